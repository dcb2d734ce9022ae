//! The state of one incarnation of a target.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use cranelift_entity::entity_impl;
use derive_more::Display;
use entity::Name;
use rustc_hash::FxHashMap;

use super::load::TargetLoad;
use crate::direct::incarnation::IncarnationCheck;
use crate::direct::memory::MemoryUse;
use crate::direct::outlier::OutlierDetector;
use crate::direct::prompt::Prompt;
use crate::direct::slots::SlotState;
use crate::direct::stall::{Activity, OldestAttempt, STREAM_STALL_TIMEOUT};
use crate::direct::target::{SoftwareVersion, Target};
use crate::direct::target_limit::TargetLimit;
use crate::direct::target_rate::{TargetRate, level_weight};

/// How long a prompt part is assumed to stay in a target's cache after its last
/// use.
pub(super) const PART_CACHE_TTL: Duration = Duration::from_secs(60);

/// The number of requests to a cold target that a router can save up.
const COLD_BURST: f64 = 1.0;

/// The half-life of the deviation of a target's pace from the usual one: it changes many
/// times a second.
const PACE_HALF_LIFE: Duration = Duration::from_millis(250);

/// Identifies one incarnation of a target within this router.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TargetEntryId(u32);

entity_impl!(TargetEntryId, "spot");

/// An attempt whose prompt is not yet prefilled.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(super) struct PendingPrefill {
    pub(super) sequence: u64,
    pub(super) prefill_tokens: u32,
    pub(super) sent: Instant,
}

#[derive(Clone, Copy, Debug)]
pub(super) struct ColdBucket {
    pub(super) tokens: f64,
    pub(super) refilled_at: Instant,
}

/// The state of one incarnation of a target.
#[derive(Clone, Debug)]
pub struct TargetEntry {
    /// The id of the incarnation.
    pub name: Name,
    /// The hash of name and start time, identical on all routers.
    pub tag: u64,
    /// The service.
    pub service: Name,
    /// The address on which it listens.
    pub address: SocketAddr,
    /// The data centre.
    pub centre: Name,
    /// The version of its software.
    pub version: SoftwareVersion,
    /// The number of requests that it runs concurrently.
    pub slots: u32,
    /// Whether it accepts new requests according to its registration and to itself.
    pub accepts_requests: bool,
    /// Whether the target said that it is leaving, which no registration of this
    /// incarnation revokes.
    pub(super) said_leaving: bool,
    /// Failure statistics of its requests.
    pub outlier_detector: OutlierDetector,
    /// The time until which it is cold.
    pub cold_until: Option<Instant>,
    pub(super) incarnation: IncarnationCheck,
    pub(super) own_load: TargetLoad,
    /// Attempts of this router without a first event, in the order of sending.
    pub(super) pending_prefills: VecDeque<PendingPrefill>,
    /// The time of the last first event seen by this router.
    pub(super) last_first_event: Option<Instant>,
    pub(super) peer_load: TargetLoad,
    pub(super) cold_bucket: Option<ColdBucket>,
    /// The time until which the target wants no requests.
    pub(super) paused_until: Option<Instant>,
    pub(super) limit: TargetLimit,
    /// The time that work took there as a multiple of the usual time, and when it said so.
    pub(super) stated_pace: Option<(f64, Instant)>,
    /// The prefill rate learned for this target, in tokens per millisecond.
    pub(super) learned_rate: Option<f64>,
    pub(super) rate: TargetRate,
    /// The level of its rate by which homes are weighted; of the middle one if its own is
    /// not known.
    pub(super) home_level: i8,
    pub(super) cached_parts: FxHashMap<u64, Instant>,
    /// The use of its memory, if kept parts are weighed.
    pub memory: MemoryUse,
    pub(super) activity: Activity,
    /// Its slots, if it has no engine.
    pub(super) slot_state: SlotState,
    /// Whether several peers report a problem with it.
    pub(super) reported_by_peers: bool,
}

/// Why a registered target is avoided.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Display)]
pub enum AvoidReason {
    /// Requests or connections failed.
    #[display("failures")]
    Failures,
    /// The target is stalled.
    #[display("quiet")]
    Quiet,
    /// Several peers report a problem, and no traffic of this router shows
    /// otherwise.
    #[display("peers")]
    Peers,
}

impl TargetEntry {
    /// Creates the state of an incarnation that has not been used yet.
    pub(super) fn new(target: &Target, tag: u64) -> Self {
        Self {
            name: target.name.clone(),
            tag,
            service: target.service.clone(),
            address: target.address,
            centre: target.centre.clone(),
            version: target.version.clone(),
            slots: target.slots,
            accepts_requests: false,
            said_leaving: false,
            outlier_detector: OutlierDetector::default(),
            cold_until: None,
            incarnation: IncarnationCheck::default(),
            own_load: TargetLoad::default(),
            pending_prefills: VecDeque::new(),
            last_first_event: None,
            peer_load: TargetLoad::default(),
            cold_bucket: None,
            paused_until: None,
            limit: TargetLimit::default(),
            stated_pace: None,
            learned_rate: None,
            rate: TargetRate::default(),
            home_level: 0,
            cached_parts: FxHashMap::default(),
            memory: MemoryUse::default(),
            activity: Activity::default(),
            slot_state: SlotState::default(),
            reported_by_peers: false,
        }
    }

    /// The load caused by all routers.
    pub fn load(&self) -> TargetLoad {
        TargetLoad {
            waiting_tokens: self.own_load.waiting_tokens + self.peer_load.waiting_tokens,
            attempts: self
                .own_load
                .attempts
                .saturating_add(self.peer_load.attempts),
            memory_tokens: self.own_load.memory_tokens + self.peer_load.memory_tokens,
        }
    }

    /// The load caused by this router.
    pub fn own_load(&self) -> TargetLoad {
        self.own_load
    }

    /// The waiting tokens of all routers, less what has been prefilled of this
    /// router's oldest prompt. `rate` is the prefill rate in tokens per
    /// millisecond that is assumed for targets whose own rate is not known.
    pub fn waiting_tokens(&self, rate: f64, now: Instant) -> f64 {
        self.peer_load.waiting_tokens + self.own_waiting_tokens(rate, now)
    }

    pub(super) fn own_waiting_tokens(&self, rate: f64, now: Instant) -> f64 {
        let Some(first) = self.pending_prefills.front() else {
            return 0.0;
        };
        // Engines prefill prompts in the order of arrival.
        let since = self
            .last_first_event
            .map_or(first.sent, |last_first_event| {
                last_first_event.max(first.sent)
            });
        let prefilled = now.saturating_duration_since(since).as_secs_f64() * 1e3;
        let prefilled = prefilled * self.usual_rate(rate);
        self.own_load.waiting_tokens - prefilled.min(f64::from(first.prefill_tokens))
    }

    /// The tokens of a prompt that are not in the target's cache.
    pub fn prefill_tokens(&self, prompt: &Prompt, now: Instant) -> u32 {
        let mut cached = 0;
        for part in &prompt.parts {
            let used = self.cached_parts.get(&part.id);
            match used {
                Some(&used) if now.saturating_duration_since(used) < PART_CACHE_TTL => {
                    cached += part.tokens;
                }
                _ => break,
            }
        }
        prompt.input_tokens.saturating_sub(cached)
    }

    /// The reason for which the target is avoided, if any; `rate` as in
    /// [`TargetEntry::waiting_tokens`].
    pub fn avoid_reason(&self, rate: f64, now: Instant) -> Option<AvoidReason> {
        let silence = self.activity.silence(now);
        let is_active = silence.is_some_and(|silence| silence <= STREAM_STALL_TIMEOUT);
        match () {
            () if self.outlier_detector.is_ejected(now) => Some(AvoidReason::Failures),
            () if self.is_stalled(rate, now) => Some(AvoidReason::Quiet),
            () if self.reported_by_peers && !is_active => Some(AvoidReason::Peers),
            () => None,
        }
    }

    /// Whether the target is stalled; `rate` as in [`TargetEntry::waiting_tokens`].
    pub fn is_stalled(&self, rate: f64, now: Instant) -> bool {
        let oldest = self.pending_prefills.front().map(|first| OldestAttempt {
            sent: first.sent,
            prefill_millis: self.load().waiting_tokens / self.usual_rate(rate),
        });
        self.activity.is_stalled(oldest, now)
    }

    /// Whether this router may send a request to the target while it is cold,
    /// given its share `rate` in requests per second.
    pub fn may_send_cold(&self, rate: f64, now: Instant) -> bool {
        self.cold_tokens(rate, now) >= 1.0
    }

    pub(super) fn cold_tokens(&self, rate: f64, now: Instant) -> f64 {
        self.cold_bucket.map_or(COLD_BURST, |cold_bucket| {
            let elapsed = now
                .saturating_duration_since(cold_bucket.refilled_at)
                .as_secs_f64();
            (cold_bucket.tokens + elapsed * rate).min(COLD_BURST)
        })
    }

    /// The time until the end of the pause that the target asked for, if there is one.
    pub fn remaining_pause(&self, now: Instant) -> Option<Duration> {
        let remaining = self.paused_until?.saturating_duration_since(now);
        (!remaining.is_zero()).then_some(remaining)
    }

    /// Whether the target gets nothing but requests, or nothing at all, from this router: it is
    /// leaving, wants a pause or names a limit.
    pub fn is_withheld(&self, now: Instant) -> bool {
        self.said_leaving || self.remaining_pause(now).is_some() || self.limit.rate().is_some()
    }

    /// The limit on its requests, as far as it is known.
    pub fn limit(&self) -> &TargetLimit {
        &self.limit
    }

    /// The time that work takes at the target, as a multiple of the usual time.
    pub fn pace(&self, now: Instant) -> f64 {
        self.stated_pace.map_or(1.0, |(pace, stated_at)| {
            let age = now.saturating_duration_since(stated_at).as_secs_f64();
            1.0 + (pace - 1.0) * 0.5_f64.powf(age / PACE_HALF_LIFE.as_secs_f64())
        })
    }

    /// The rate at which the target prefills prompts at its usual pace, in tokens per
    /// millisecond; `fallback` if its own rate is not known.
    pub fn usual_rate(&self, fallback: f64) -> f64 {
        self.learned_rate.unwrap_or(fallback)
    }

    /// The rate at which the target prefills prompts at the moment, in tokens per
    /// millisecond: [`TargetEntry::usual_rate`] at the pace that it states.
    pub fn prefill_rate(&self, fallback: f64, now: Instant) -> f64 {
        self.usual_rate(fallback) / self.pace(now)
    }

    /// The prefill rate that was learned for this target, in tokens per millisecond.
    pub fn learned_rate(&self) -> Option<f64> {
        self.learned_rate
    }

    /// The learned time between two events of a stream.
    pub fn learned_step(&self) -> Option<Duration> {
        self.rate.step()
    }

    /// The weight with which the target is the home of shared parts, in coarse steps of
    /// its rate.
    pub fn home_weight(&self) -> f64 {
        level_weight(self.home_level)
    }

    /// The state of its slots.
    pub fn slot_state(&self) -> &SlotState {
        &self.slot_state
    }

    /// The number of requests at the target, by all that is known.
    pub fn occupancy(&self, now: Instant) -> f64 {
        let (known, own) = (self.load().attempts, self.own_load.attempts);
        self.slot_state.occupancy(known, own, now)
    }

    /// Whether the target is cold at `now`, or may be since it may have started again.
    pub fn is_cold(&self, now: Instant) -> bool {
        self.incarnation.is_doubtful() || self.is_listed_cold(now)
    }

    /// If only a later incarnation of the target would be cold, the time before which a
    /// connection must have been opened to lead to this one.
    pub fn warm_before(&self, now: Instant) -> Option<Instant> {
        let since = self.incarnation.doubted_since()?;
        (!self.is_listed_cold(now)).then_some(since)
    }

    fn is_listed_cold(&self, now: Instant) -> bool {
        self.cold_until.is_some_and(|until| until > now)
    }
}
