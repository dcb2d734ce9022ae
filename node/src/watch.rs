//! thin
mod client;

pub use client::{ANSWER_TIMEOUT, INDEX_HEADER, MAX_VALUE_BYTES, ServiceClient};

use crate::host::{Host, Role};
use entity::Directory;
use std::rc::Rc;
use std::time::Duration;

/// Follows the rules at the configuration service.
pub async fn follow<R: Role>(host: Rc<Host<R>>, urls: Vec<String>) {
    let client = crate::http::client();
    let mut index = 0;
    loop {
        for url in &urls {
            let url = format!("{url}/v1/values/rules?after={index}&wait=5000");
            let Ok(mut response) = client.get(url).timeout(Duration::from_secs(8)).send().await
            else {
                continue;
            };
            if response.status() != 200 {
                continue;
            }
            index = crate::http::text(response.headers(), "x-index")
                .and_then(|t| t.parse().ok())
                .unwrap_or(0);
            let Ok(body) = response.body().await else {
                continue;
            };
            let names = host.names();
            match rules::load(&String::from_utf8_lossy(&body), &names) {
                Ok(config) => host.adopt(std::sync::Arc::new(config)),
                Err(errors) => {
                    for e in errors {
                        log::error!("{e}")
                    }
                }
            }
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
}
/// x
pub fn empty() -> Directory {
    Directory::default()
}
