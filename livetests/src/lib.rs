//! Tests of the daemons as real processes on loopback.
//!
//! The crate starts the programs of the workspace with settings in a temporary directory,
//! injects faults into them and reads the counters of the stand-ins. It asserts nothing about
//! time: a wait ends when its condition holds, and a limit far above any expected duration only
//! keeps a hung test from blocking CI.

pub mod caller;
pub mod deployment;
pub mod edge;
pub mod process;

use std::future::Future;
use std::time::Duration;

/// The time after which a wait is reported as hung.
const HANG_LIMIT: Duration = Duration::from_secs(60);

/// The interval for checking a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Waits until `condition` returns a value.
///
/// # Panics
///
/// Panics if the condition does not hold within the hang limit.
pub async fn wait_until<T, F: Future<Output = Option<T>>>(
    description: &str,
    mut condition: impl FnMut() -> F,
) -> T {
    let wait = async {
        loop {
            if let Some(value) = condition().await {
                return value;
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    };
    match tokio::time::timeout(HANG_LIMIT, wait).await {
        Ok(value) => value,
        Err(_) => panic!("hung while waiting until {description}"),
    }
}
