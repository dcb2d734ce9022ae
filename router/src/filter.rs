//! The filter chain for requests.
//!
//! A [`Filter`] examines an [`Exchange`] and lets it pass or rejects it. Filters
//! are composed with [`Filter::then`], without dynamic dispatch.

mod identify;
mod key;
mod matching;

use entity::Now;

use crate::exchange::{Exchange, Rejection};

pub use identify::Identify;
pub use key::{KEY_HEADER, ReadKey};
pub use matching::MatchRoute;

/// One step of the examination of a request.
pub trait Filter {
    /// Examines the request.
    ///
    /// # Errors
    ///
    /// Returns the rejection that ends the request.
    fn apply(&self, now: Now, exchange: &mut Exchange) -> Result<(), Rejection>;

    /// This filter, followed by `next` if it lets the request pass.
    fn then<F: Filter>(self, next: F) -> Then<Self, F>
    where
        Self: Sized,
    {
        Then {
            first: self,
            second: next,
        }
    }
}

/// Two filters in sequence.
#[derive(Clone, Copy, Debug)]
pub struct Then<A, B> {
    first: A,
    second: B,
}

impl<A: Filter, B: Filter> Filter for Then<A, B> {
    fn apply(&self, now: Now, exchange: &mut Exchange) -> Result<(), Rejection> {
        self.first.apply(now, exchange)?;
        self.second.apply(now, exchange)
    }
}

/// The chain that every request passes before admission.
pub type Chain = Then<Then<Identify, MatchRoute>, ReadKey>;

/// Creates the chain.
pub fn chain() -> Chain {
    Identify.then(MatchRoute).then(ReadKey)
}
