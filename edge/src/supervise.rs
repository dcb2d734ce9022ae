//! What happens after a panic.
//!
//! A panic shows a defect, often one that a single request or entry brings out. It ends that
//! request, or that turn of a loop, and the router goes on: the other routers would meet the
//! same input, and a fleet without its loops serves nobody.

use std::any::Any;
use std::panic::AssertUnwindSafe;
use std::time::Duration;

use futures::FutureExt;
use node::event::{self, Event};
use tokio::time::sleep;

/// The pause before a loop is started again; short against the age at which peers no longer
/// use what this router reports.
const RESTART_PAUSE: Duration = Duration::from_millis(500);

/// Runs a future; returns `None` if it panics, which is logged.
pub async fn catch_panic<T>(part: &'static str, future: impl Future<Output = T>) -> Option<T> {
    let result = AssertUnwindSafe(future).catch_unwind().await;
    result
        .inspect_err(|cause| log_panic(part, cause.as_ref()))
        .ok()
}

/// Runs a loop until it returns, and starts it again after a panic.
pub async fn restart_on_panic(part: &'static str, mut run: impl AsyncFnMut()) {
    while catch_panic(part, run()).await.is_none() {
        sleep(RESTART_PAUSE).await;
    }
}

fn log_panic(part: &'static str, cause: &(dyn Any + Send)) {
    let text = cause.downcast_ref::<&str>().copied();
    let text = text.or_else(|| cause.downcast_ref::<String>().map(String::as_str));
    let why = text.unwrap_or("unknown");
    event::log(Event::TaskPanicked, &[("part", &part), ("why", &why)]);
}
