//! How long targets keep unused prompt parts, and how much room they have.
//!
//! Running requests and kept parts share a target's memory, and the part that was used
//! least recently is evicted first. So an unused part stays until as many new tokens have
//! come as the memory holds beside running requests and the parts that are in use. All
//! routers report the memory of their attempts; divided by the time that a token stays
//! with its attempt, which this router measures on its own attempts, it is the rate of new
//! tokens. The load that this answers: targets whose memory turns over within seconds.
//!
//! Invariants:
//! - The horizon never exceeds [`MAX_HORIZON`].
//! - A part that was found evicted bounds the horizon by its age; the bound doubles with
//!   each [`EVIDENCE_HALF_LIFE`].

use std::time::{Duration, Instant};

/// The longest time for which an unused part is expected to be kept.
pub const MAX_HORIZON: Duration = Duration::from_secs(60);

/// The time in which a bound found by an evicted part doubles.
pub const EVIDENCE_HALF_LIFE: Duration = Duration::from_secs(5);

/// The half-life of the rate of new tokens, and of the mean stay of a token.
const RATE_HALF_LIFE: Duration = Duration::from_secs(4);

/// The bounds of the mean stay of a token with its attempt, in seconds.
const STAY_BOUNDS: (f64, f64) = (0.02, 60.0);

/// The bounds of the factor on the horizon, so that wrong observations do little.
const SCALE_BOUNDS: (f64, f64) = (0.5, 3.0);

/// The change of this factor by one observation.
const SCALE_STEP: f64 = 1.05;

/// The least number of admitted tokens from which the stay is computed.
const MIN_ADMITTED_TOKENS: f64 = 5_000.0;

/// The fraction of the memory that is planned with, since blocks are not filled evenly.
const USABLE_FRACTION: f64 = 0.9;

/// The number of standard deviations of the output lengths that are kept free.
const SPREAD_MARGIN: f64 = 2.0;

/// The mean time for which a token of memory belongs to an attempt of this router.
#[derive(Clone, Copy, Default, Debug)]
pub struct TokenStay {
    /// The integral of the memory of attempts, in token seconds.
    occupied: f64,
    /// The tokens of attempts that began.
    admitted: f64,
}

impl TokenStay {
    /// Records the start of an attempt.
    pub fn record_admitted(&mut self, tokens: u32) {
        self.admitted += f64::from(tokens);
    }

    /// Records that attempts had `tokens` of memory for `elapsed`.
    pub fn record_occupied(&mut self, tokens: f64, elapsed: Duration) {
        let remaining = remaining_fraction(elapsed);
        self.admitted *= remaining;
        self.occupied = self.occupied * remaining + tokens * elapsed.as_secs_f64();
    }

    /// The mean stay in seconds, if enough is known.
    pub fn seconds(&self) -> Option<f64> {
        let (min, max) = STAY_BOUNDS;
        let is_known = self.admitted >= MIN_ADMITTED_TOKENS;
        is_known.then(|| (self.occupied / self.admitted).clamp(min, max))
    }
}

/// By what the computed horizon has to be multiplied, as found by first events that came
/// when parts were kept for longer or shorter than computed. Engines differ in what counts
/// as a use and in what else is in their memory.
#[derive(Clone, Copy, PartialEq, Debug)]
pub struct HorizonScale(f64);

impl Default for HorizonScale {
    fn default() -> Self {
        Self(1.0)
    }
}

impl HorizonScale {
    /// Records whether a part was kept for longer than computed, or else for shorter.
    pub fn record(&mut self, is_longer: bool) {
        let (min, max) = SCALE_BOUNDS;
        let step = if is_longer {
            SCALE_STEP
        } else {
            1.0 / SCALE_STEP
        };
        self.0 = (self.0 * step).clamp(min, max);
    }

    /// The factor.
    pub fn factor(self) -> f64 {
        self.0
    }
}

/// The use of one target's memory.
#[derive(Clone, Copy, Default, PartialEq, Debug)]
pub struct MemoryUse {
    /// The tokens of the service's engines' memory.
    capacity: f64,
    /// New tokens a second, of all routers.
    turnover: f64,
    /// Tokens of shared parts that are expected to be kept.
    shared_tokens: f64,
    /// Tokens of those among them that running attempts use, which do not yield.
    pinned_tokens: f64,
    /// The time for which an unused part is expected to be kept.
    horizon: Option<Duration>,
    /// The age of a part that was found evicted, and when.
    evidence: Option<(Duration, Instant)>,
}

/// What is known of a target's memory at one time.
#[derive(Clone, Copy, PartialEq, Debug)]
pub struct MemoryReading {
    /// The tokens of its memory.
    pub capacity: u64,
    /// The tokens of all routers' attempts.
    pub running_tokens: f64,
    /// The tokens of the shared parts that were used within the horizon.
    pub shared_tokens: u64,
    /// The tokens of those that running attempts use.
    pub pinned_tokens: u64,
    /// The mean time for which a token belongs to an attempt, in seconds.
    pub stay: Option<f64>,
    /// By what the computed horizon is multiplied; see [`HorizonScale`].
    pub scale: f64,
}

impl MemoryUse {
    /// Applies what is known now, `elapsed` after the last time.
    pub fn update(&mut self, reading: &MemoryReading, elapsed: Duration) {
        self.capacity = reading.capacity as f64;
        self.shared_tokens = reading.shared_tokens as f64;
        self.pinned_tokens = reading.pinned_tokens as f64;
        let Some(stay) = reading.stay else {
            return;
        };
        let remaining = remaining_fraction(elapsed);
        let rate = reading.running_tokens.max(0.0) / stay;
        self.turnover = self.turnover * remaining + rate * (1.0 - remaining);
        let unused = self.capacity - reading.running_tokens - self.shared_tokens;
        let horizon = reading.scale * unused.max(0.0) / self.turnover.max(1.0);
        let horizon = horizon.min(MAX_HORIZON.as_secs_f64());
        self.horizon = Some(Duration::from_secs_f64(horizon));
    }

    /// Records that a part was found evicted, `age` after its last use.
    pub fn record_evicted(&mut self, age: Duration, now: Instant) {
        let age = age.min(self.horizon(now));
        self.evidence = Some((age, now));
    }

    /// The time for which an unused part is expected to be kept.
    pub fn horizon(&self, now: Instant) -> Duration {
        let horizon = self.horizon.unwrap_or(MAX_HORIZON);
        let Some((age, found)) = self.evidence else {
            return horizon;
        };
        let elapsed = now.saturating_duration_since(found).as_secs_f64();
        let doublings = elapsed / EVIDENCE_HALF_LIFE.as_secs_f64();
        // An age of 0 would never recover.
        let bound = age.as_secs_f64().max(0.1) * doublings.min(10.0).exp2();
        horizon.min(Duration::from_secs_f64(bound))
    }

    /// New tokens a second that all routers send to the target.
    pub fn turnover(&self) -> f64 {
        self.turnover
    }

    /// The fraction of what an unused part shares the memory with that other requests may
    /// use again.
    pub fn shared_fraction(&self) -> f64 {
        (self.shared_tokens / self.capacity.max(1.0)).min(1.0)
    }

    /// Whether there is room for a request beside running attempts.
    pub fn has_room(&self, capacity: u64, running: Running, needed: &Needed) -> bool {
        let margin = SPREAD_MARGIN * needed.spread * f64::from(running.attempts + 1).sqrt();
        // The kept parts of the request may be in use by others already.
        let pinned = self.pinned_tokens.max(f64::from(needed.kept_tokens));
        let used = running.tokens + pinned + f64::from(needed.new_tokens) + margin;
        used <= capacity as f64 * USABLE_FRACTION
    }
}

/// The memory that a request needs.
#[derive(Clone, Copy, PartialEq, Debug)]
pub struct Needed {
    /// The tokens of its output and of the parts that are not kept.
    pub new_tokens: u32,
    /// The tokens of the parts that are kept.
    pub kept_tokens: u32,
    /// The standard deviation of its output, in tokens.
    pub spread: f64,
}

/// The attempts of all routers at a target.
#[derive(Clone, Copy, PartialEq, Debug)]
pub struct Running {
    /// Their number.
    pub attempts: u32,
    /// Their memory in tokens.
    pub tokens: f64,
}

fn remaining_fraction(elapsed: Duration) -> f64 {
    0.5_f64.powf(elapsed.as_secs_f64() / RATE_HALF_LIFE.as_secs_f64())
}
