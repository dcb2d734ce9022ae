//! Detects new snapshots published by another thread.

use std::cell::RefCell;
use std::sync::Arc;

use arc_swap::ArcSwap;

/// The snapshot that the reader took last.
///
/// Snapshots are compared by address. Keeping the last one alive prevents the
/// allocator from reusing its address for a newer snapshot.
#[derive(Debug, Default)]
pub struct LatestSnapshot<T>(RefCell<Arc<T>>);

impl<T> LatestSnapshot<T> {
    /// Returns the snapshot in `source` if it differs from the one taken last.
    pub fn take_if_new(&self, source: &ArcSwap<T>) -> Option<Arc<T>> {
        let latest = source.load_full();
        let is_new = !Arc::ptr_eq(&self.0.borrow(), &latest);
        is_new.then(|| self.0.replace(latest.clone()))?;
        Some(latest)
    }
}
