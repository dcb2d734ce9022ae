//! The slots of one target without an engine: how many requests are there, how long one
//! takes, and which failures are the target's own.
//!
//! It answers a load of short requests from many routers on few slots. Reports of peers
//! are then older than a request takes, so the count of requests at a target is corrected
//! by what the target itself says in each response; the correction fades as that response
//! ages. The time of a request is learned from responses without the queue's part of it.
//!
//! Invariants:
//! - The count is never below this router's own requests.
//! - One response changes the mean time to a response by at most [`MAX_STEP`] of it.
//! - A reported count that is false fades; it cannot exclude a target for good.

use std::time::{Duration, Instant};

/// The weight of one response in the means.
const TIME_WEIGHT: f64 = 0.1;

/// The largest change of the mean time to a response by one response, as a fraction of it.
const MAX_STEP: f64 = 0.2;

/// The part of an objective that a request is assumed to take until a response shows it.
const ASSUMED_TIME: f64 = 0.25;

/// The bounds of the half-life of a reported count; in between it is the learned time, in
/// which the requests that were counted end.
const REPORT_HALF_LIFE: (Duration, Duration) =
    (Duration::from_millis(20), Duration::from_millis(250));

/// The half-life of the weight of a response in the fraction of failures.
const FAILURE_HALF_LIFE: Duration = Duration::from_secs(2);

/// The total weight of responses from which on the fraction of failures is compared.
const MIN_WEIGHT: f64 = 6.0;

/// The excess over the other targets' fraction of failures from which on a failure is
/// attributed to the target rather than to the request.
const MIN_EXCESS: f64 = 0.25;

/// The result of a request to a target without an engine.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum PlainResult {
    /// A complete response that states no failure.
    Answered,
    /// A complete response that states a failure. All targets may fail such a request, so
    /// it counts against the target only if it fails more than the others.
    Failed,
    /// The target turned the request away since all its slots were in use, which says
    /// nothing of its health.
    Full,
}

/// The number of requests that a target reported.
#[derive(Clone, Copy, Debug)]
struct Report {
    count: f64,
    /// The requests of this router there at that moment.
    own: f64,
    received_at: Instant,
}

/// Means of recent responses.
#[derive(Clone, Copy, Debug)]
struct Pace {
    /// The time to a response in seconds, with its wait for a slot.
    elapsed: f64,
    /// The same time as a multiple of the time without the wait, by the counts of routers.
    crowd: f64,
}

/// The requests at one target, their time and their failures.
#[derive(Clone, Copy, Default, Debug)]
pub struct SlotState {
    report: Option<Report>,
    pace: Option<Pace>,
    failed: f64,
    answered: f64,
    answered_at: Option<Instant>,
    /// What the target is owed in the rotation of this router; see [`Self::owe`].
    credit: f64,
}

impl SlotState {
    /// Records the number of requests that the target reported; `own` is the number of
    /// this router's among them.
    pub fn record_report(&mut self, reported: u32, own: u32, now: Instant) {
        self.report = Some(Report {
            count: f64::from(reported),
            own: f64::from(own),
            received_at: now,
        });
    }

    /// The number of requests at the target, given the `known` number of all routers and
    /// that of this router.
    pub fn occupancy(&self, known: u32, own: u32, now: Instant) -> f64 {
        let (known, own) = (f64::from(known), f64::from(own));
        let occupancy = self.report.map_or(known, |report| {
            let age = now.saturating_duration_since(report.received_at);
            let (min, max) = REPORT_HALF_LIFE;
            let half_life = self.learned_time().unwrap_or_default().clamp(min, max);
            let weight = 0.5_f64.powf(age.as_secs_f64() / half_life.as_secs_f64());
            let reported = report.count + own - report.own;
            reported * weight + known * (1.0 - weight)
        });
        occupancy.max(own)
    }

    /// Records the time to a response of a request that met `known` requests of all routers
    /// at a target of `slots` slots.
    ///
    /// The counts of routers are old, so one response says little of its wait; their mean
    /// is right, and a target can't falsify it.
    pub fn record_time(&mut self, elapsed: Duration, known: u32, slots: u32) {
        let elapsed = elapsed.as_secs_f64();
        let crowd = 1.0 + queue_rounds(f64::from(known), slots);
        let pace = self.pace.get_or_insert(Pace { elapsed, crowd });
        let step = (elapsed - pace.elapsed) * TIME_WEIGHT;
        let max_step = pace.elapsed * MAX_STEP;
        pace.elapsed += step.clamp(-max_step, max_step);
        pace.crowd += (crowd - pace.crowd) * TIME_WEIGHT;
    }

    /// The learned time of a request, if there was a response.
    pub fn learned_time(&self) -> Option<Duration> {
        let pace = self.pace?;
        Some(Duration::from_secs_f64(pace.elapsed / pace.crowd))
    }

    /// The learned time of a request, or a part of its objective.
    pub fn request_time(&self, objective: Duration) -> Duration {
        self.learned_time()
            .unwrap_or_else(|| objective.mul_f64(ASSUMED_TIME))
    }

    /// The time that a request waits for a slot behind `ahead` others.
    pub fn wait(&self, ahead: f64, slots: u32, objective: Duration) -> Duration {
        self.request_time(objective)
            .mul_f64(queue_rounds(ahead, slots))
    }

    /// Counts a complete response, and whether it states a failure.
    pub fn record_answer(&mut self, failed: bool, now: Instant) {
        self.decay(now);
        self.answered += 1.0;
        self.failed += f64::from(u8::from(failed));
    }

    /// The number of failures and of responses, weighted by age.
    pub fn failures(&self) -> (f64, f64) {
        (self.failed, self.answered)
    }

    /// Whether the target fails more requests than the other targets of its service, of
    /// which `others` is the fraction of failures.
    pub fn fails_more_than(&self, others: f64) -> bool {
        self.answered >= MIN_WEIGHT && self.failed > (others + MIN_EXCESS) * self.answered
    }

    /// Adds the target's part of one request to what it is owed.
    ///
    /// Sending each request to the target that is owed most spreads the requests of a
    /// router in proportion to the parts. Routers that all choose the best target by the
    /// same old counts would fill one after the other.
    pub fn owe(&mut self, part: f64) -> f64 {
        self.credit += part;
        self.credit
    }

    /// Records that a request was sent to the target.
    pub fn settle(&mut self) {
        self.credit -= 1.0;
    }

    fn decay(&mut self, now: Instant) {
        if let Some(at) = self.answered_at {
            let age = now.saturating_duration_since(at).as_secs_f64();
            let factor = 0.5_f64.powf(age / FAILURE_HALF_LIFE.as_secs_f64());
            self.answered *= factor;
            self.failed *= factor;
        }
        self.answered_at = Some(now);
    }
}

/// How often all slots are used again before a request behind `ahead` others gets one.
fn queue_rounds(ahead: f64, slots: u32) -> f64 {
    let slots = f64::from(slots.max(1));
    ((ahead + 1.0 - slots) / slots).max(0.0)
}
