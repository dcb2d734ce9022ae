//! Panics of requests and loops.

use std::cell::Cell;

use knapweed_edge::supervise::{catch_panic, restart_on_panic};

/// A loop that panicked on one entry of the store ended, and the router went on without it.
#[actix_rt::test]
async fn a_loop_that_panics_is_started_again_with_its_state() {
    let mut entries = vec!["last", "bad", "bad", "first"];
    let applied = Cell::new(0);
    restart_on_panic("test", async || {
        while let Some(entry) = entries.pop() {
            tokio::task::yield_now().await;
            assert_ne!(entry, "bad", "an entry that cannot be applied");
            applied.set(applied.get() + 1);
        }
    })
    .await;
    assert_eq!(applied.get(), 2);
    assert!(entries.is_empty());
}

#[actix_rt::test]
async fn a_request_that_panics_ends_alone() {
    assert_eq!(catch_panic("test", async { 7 }).await, Some(7));
    let panicking = async {
        tokio::task::yield_now().await;
        panic!("a defect");
    };
    assert_eq!(catch_panic::<()>("test", panicking).await, None);
}
