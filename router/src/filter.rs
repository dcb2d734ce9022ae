//! The filter chain for requests.
//!
//! A [`Filter`] checks an [`Exchange`] and accepts or rejects it. Filters are
//! composed with [`Filter::then`], without dynamic dispatch.

mod identify;
mod key;
mod matching;

use entity::Now;

use crate::exchange::{Exchange, Rejection};

pub use identify::Identify;
pub use key::{KEY_HEADER, ParseKey};
pub use matching::MatchRoute;

/// One check of a request.
pub trait Filter {
    /// Checks the request and records the result in `exchange`.
    ///
    /// # Errors
    ///
    /// Returns the rejection that ends the request.
    fn apply(&self, now: Now, exchange: &mut Exchange) -> Result<(), Rejection>;

    /// Returns a filter that applies this filter and, if it accepts the request, `next`.
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

/// The filter chain that every request passes before admission.
pub type FilterChain = Then<Then<Identify, MatchRoute>, ParseKey>;

/// Creates the filter chain.
pub fn filter_chain() -> FilterChain {
    Identify.then(MatchRoute).then(ParseKey)
}
