//! How fast the engines of a service read prompts.
//!
//! The settings state a rate, but engines of another make, or beside other
//! streams, read at another one, and every prediction of a wait rests on it. The
//! time from sending a prompt to its first event, and the tokens that were to be
//! read in it, show the real rate.
//!
//! What is observed is slower than what engines do, since prompts of other routers
//! that are under way are not known, and varies with the load. So a rate near the
//! stated one changes nothing, one far from it counts in full, and between them the
//! one goes over into the other.
//!
//! Invariant: the rate stays within [`LEAST_FACTOR`] and [`MOST_FACTOR`] of the
//! stated one, and is the stated one before anything was observed.

use std::time::Duration;

/// The least and the greatest rate, as multiples of the stated one.
pub const LEAST_FACTOR: f64 = 0.1;
/// See [`LEAST_FACTOR`].
pub const MOST_FACTOR: f64 = 6.0;

/// The factors of the stated rate below which what is seen counts in full, and from
/// which on it changes nothing.
const SLOWER: (f64, f64) = (0.35, 0.5);

/// The factors above which it counts in full, and up to which it changes nothing.
const FASTER: (f64, f64) = (2.2, 1.5);

/// The least number of tokens that tell something: below it the time goes to the
/// steps of the engine and to the way there.
const LEAST_TOKENS: f64 = 2_000.0;

/// The time of an answer that is not spent reading: the first step and the way
/// there and back, in milliseconds.
const BASE_MILLIS: f64 = 12.0;

/// The weight of the stated rate, as a time of reading in milliseconds.
const STATED_MILLIS: f64 = 500.0;

/// The weight of all observations at which the older half of them fades, as a time
/// of reading in milliseconds.
const FADE_MILLIS: f64 = 20_000.0;

/// What was observed of the engines of a service.
#[derive(Clone, Copy, Default, PartialEq, Debug)]
pub struct Speed {
    tokens: f64,
    millis: f64,
}

impl Speed {
    /// A prompt had its first event `took` after it was sent, with `tokens` to read
    /// at the target at that time, its own included.
    pub fn read(&mut self, tokens: f64, took: Duration) {
        let millis = took.as_secs_f64() * 1e3 - BASE_MILLIS;
        if tokens < LEAST_TOKENS || millis <= 0.0 {
            return;
        }
        self.tokens += tokens;
        self.millis += millis;
        if self.millis > FADE_MILLIS {
            self.tokens /= 2.0;
            self.millis /= 2.0;
        }
    }

    /// The rate in tokens per millisecond, where the settings state `stated`.
    pub fn rate(&self, stated: f64) -> f64 {
        let seen = (self.tokens + stated * STATED_MILLIS) / (self.millis + STATED_MILLIS);
        let factor = match seen / stated {
            factor if factor < SLOWER.1 => between(factor, SLOWER),
            factor if factor > FASTER.1 => between(factor, FASTER),
            _ => 1.0,
        };
        stated * factor.clamp(LEAST_FACTOR, MOST_FACTOR)
    }
}

/// A factor as it counts: in full beyond `full`, not at all at `none`.
fn between(factor: f64, (full, none): (f64, f64)) -> f64 {
    let share = ((factor - none) / (full - none)).min(1.0);
    1.0 + (factor - 1.0) * share
}
