//! The latest snapshot that a thread took over from another one.

use std::cell::RefCell;
use std::sync::Arc;

use arc_swap::ArcSwap;

/// A snapshot that is held until a later one is taken.
///
/// Holding it keeps its address from being used for a later one, so that the
/// two can be told apart by their addresses.
#[derive(Debug, Default)]
pub struct Latest<T>(RefCell<Arc<T>>);

impl<T> Latest<T> {
    /// Takes over what `source` holds, if it is not what was taken last.
    pub fn take(&self, source: &ArcSwap<T>) -> Option<Arc<T>> {
        let latest = source.load_full();
        let is_new = !Arc::ptr_eq(&self.0.borrow(), &latest);
        is_new.then(|| self.0.replace(latest.clone()))?;
        Some(latest)
    }
}
