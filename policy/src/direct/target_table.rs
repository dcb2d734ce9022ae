//! The load of every target, caused by this router and by its peers.
//!
//! Invariants:
//! - Every [`TargetTable::begin_attempt`] is followed by one
//!   [`TargetTable::end_attempt`]; the counters of a target never fall below zero.
//! - A new incarnation of a target starts without load and with an empty cache.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use cranelift_entity::{PrimaryMap, entity_impl};
use derive_more::Display;
use entity::Name;
use rustc_hash::FxHashMap;

use super::outlier::OutlierDetector;
use super::prefill_rate::PrefillRate;
pub use super::prompt::{Prompt, PromptPart};
use super::stall::{Activity, MIN_REPORTING_PEERS, OldestAttempt, STREAM_STALL_TIMEOUT};
use super::target::{SoftwareVersion, TargetRegistry, TargetState};

/// How long a prompt part is assumed to stay in a target's cache after its last
/// use.
const PART_CACHE_TTL: Duration = Duration::from_secs(60);

/// The maximum number of cached parts tracked for one target.
const MAX_CACHED_PARTS: usize = 4096;

/// The number of requests to a cold target that a router can save up.
const COLD_BURST: f64 = 1.0;

/// The longest pause that a target is granted, so that a wrong value does not take it out
/// of service for good.
pub const MAX_PAUSE: Duration = Duration::from_secs(600);

/// The age at which a peer's report is discarded.
pub const REPORT_TTL: Duration = Duration::from_secs(2);

/// The half-life of the deviation of a target's pace from the usual one: it changes many
/// times a second.
const PACE_HALF_LIFE: Duration = Duration::from_millis(250);

/// The bounds of a stated pace, as a multiple of the usual time, so that a wrong value
/// neither excludes a target nor draws all requests to it.
const PACE_BOUNDS: (f64, f64) = (0.5, 4.0);

/// The half-life of the waiting tokens in a peer's report.
const WAITING_HALF_LIFE: Duration = Duration::from_millis(150);

/// Identifies one incarnation of a target within this router.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TargetEntryId(u32);
entity_impl!(TargetEntryId, "spot");

/// The load that one attempt adds to a target.
#[derive(Clone, Copy, Default, PartialEq, Debug)]
pub struct AttemptCost {
    /// Tokens to prefill before the first event.
    pub prefill_tokens: u32,
    /// Tokens of memory used while it runs.
    pub memory_tokens: u32,
    sequence: u64,
    /// Tokens that the target cannot have cached.
    certain_tokens: u32,
    sent: Option<Instant>,
}

/// The load of a target.
#[derive(Clone, Copy, Default, PartialEq, Debug)]
pub struct TargetLoad {
    /// Tokens to prefill of attempts without a first event.
    pub waiting_tokens: f64,
    /// The number of attempts.
    pub attempts: u32,
    /// Tokens of memory that the attempts use.
    pub memory_tokens: f64,
}

/// The load that one router reports for one target.
#[derive(Clone, Copy, PartialEq, Debug)]
pub struct LoadReport {
    /// The tag of the target's incarnation.
    pub target: u64,
    /// The load caused by the router.
    pub load: TargetLoad,
}

/// The reports of one peer.
#[derive(Clone, PartialEq, Debug)]
pub struct PeerLoadReport {
    /// The time at which the reports were received.
    pub received_at: Instant,
    /// The reports, which do not change between two messages of the peer.
    pub reports: Arc<[LoadReport]>,
}

/// An attempt whose prompt is not yet prefilled.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
struct PendingPrefill {
    sequence: u64,
    prefill_tokens: u32,
    sent: Instant,
}

#[derive(Clone, Copy, Debug)]
struct ColdBucket {
    tokens: f64,
    refilled_at: Instant,
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
    said_leaving: bool,
    /// Failure statistics of its requests.
    pub outlier_detector: OutlierDetector,
    /// The time until which it is cold.
    pub cold_until: Option<Instant>,
    own_load: TargetLoad,
    /// Attempts of this router without a first event, in the order of sending.
    pending_prefills: VecDeque<PendingPrefill>,
    /// The time of the last first event seen by this router.
    last_first_event: Option<Instant>,
    peer_load: TargetLoad,
    cold_bucket: Option<ColdBucket>,
    /// The time until which the target wants no requests.
    paused_until: Option<Instant>,
    /// The time that work took there as a multiple of the usual time, and when it said so.
    stated_pace: Option<(f64, Instant)>,
    cached_parts: FxHashMap<u64, Instant>,
    activity: Activity,
    /// Whether several peers report a problem with it.
    reported_by_peers: bool,
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
    /// millisecond.
    pub fn waiting_tokens(&self, rate: f64, now: Instant) -> f64 {
        self.peer_load.waiting_tokens + self.own_waiting_tokens(rate, now)
    }

    fn own_waiting_tokens(&self, rate: f64, now: Instant) -> f64 {
        let Some(first) = self.pending_prefills.front() else {
            return 0.0;
        };
        // Engines prefill prompts in the order of arrival.
        let since = self
            .last_first_event
            .map_or(first.sent, |last_first_event| {
                last_first_event.max(first.sent)
            });
        let prefilled = now.saturating_duration_since(since).as_secs_f64() * 1e3 * rate;
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
            prefill_millis: self.load().waiting_tokens / rate,
        });
        self.activity.is_stalled(oldest, now)
    }

    /// Whether this router may send a request to the target while it is cold,
    /// given its share `rate` in requests per second.
    pub fn may_send_cold(&self, rate: f64, now: Instant) -> bool {
        self.cold_tokens(rate, now) >= 1.0
    }

    fn cold_tokens(&self, rate: f64, now: Instant) -> f64 {
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

    /// The time that work takes at the target, as a multiple of the usual time.
    pub fn pace(&self, now: Instant) -> f64 {
        self.stated_pace.map_or(1.0, |(pace, stated_at)| {
            let age = now.saturating_duration_since(stated_at).as_secs_f64();
            1.0 + (pace - 1.0) * 0.5_f64.powf(age / PACE_HALF_LIFE.as_secs_f64())
        })
    }

    /// Whether the target is cold at `now`.
    pub fn is_cold(&self, now: Instant) -> bool {
        self.cold_until.is_some_and(|until| until > now)
    }
}

/// The targets known to one router.
#[derive(Clone, Default, Debug)]
pub struct TargetTable {
    entries: PrimaryMap<TargetEntryId, TargetEntry>,
    by_name: FxHashMap<Name, TargetEntryId>,
    by_service: FxHashMap<Name, Vec<TargetEntryId>>,
    attempts_begun: u64,
    observed_rate: PrefillRate,
}

impl TargetTable {
    /// Applies the list of registered targets.
    pub fn apply_registry(&mut self, registry: &TargetRegistry, now: Instant) {
        for entry in self.entries.values_mut() {
            entry.accepts_requests = false;
        }
        self.by_service.clear();
        let mut names: Vec<&Name> = registry.targets.keys().collect();
        names.sort();
        for name in names {
            let (target, reported_at) = &registry.targets[name];
            let tag = incarnation_tag(name, target.born);
            let known_id = self.by_name.get(name).copied();
            let id = match known_id {
                Some(id) if self.entries[id].tag == tag => id,
                _ => {
                    let id = self.entries.push(TargetEntry {
                        name: name.clone(),
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
                        own_load: TargetLoad::default(),
                        pending_prefills: VecDeque::new(),
                        last_first_event: None,
                        peer_load: TargetLoad::default(),
                        cold_bucket: None,
                        paused_until: None,
                        stated_pace: None,
                        cached_parts: FxHashMap::default(),
                        activity: Activity::default(),
                        reported_by_peers: false,
                    });
                    self.by_name.insert(name.clone(), id);
                    id
                }
            };
            let entry = &mut self.entries[id];
            let is_drained = registry.drained.contains(&target.centre);
            entry.accepts_requests =
                target.state == TargetState::Ready && !is_drained && !entry.said_leaving;
            entry.slots = target.slots;
            entry.address = target.address;
            entry.service = target.service.clone();
            let reported_until = reported_at.map(|reported_at| reported_at + target.cold);
            entry.cold_until = entry
                .cold_until
                .max(reported_until)
                .filter(|&until| until > now);
            self.by_service
                .entry(target.service.clone())
                .or_default()
                .push(id);
        }
    }

    /// The prefill rate observed on the engines.
    pub fn observed_rate(&self) -> &PrefillRate {
        &self.observed_rate
    }

    /// Ends an interval of observations of the prefill rate; see
    /// [`PrefillRate::end_interval`].
    pub fn end_rate_interval(&mut self, is_on_time: bool) {
        self.observed_rate.end_interval(is_on_time);
    }

    /// The targets of a service, including those that accept no requests.
    pub fn targets_of_service(&self, service: &Name) -> &[TargetEntryId] {
        self.by_service.get(service).map_or(&[], Vec::as_slice)
    }

    /// All incarnations of targets, including past ones.
    pub fn targets(&self) -> impl Iterator<Item = (TargetEntryId, &TargetEntry)> {
        self.entries.iter()
    }

    /// Returns a target.
    pub fn target(&self, id: TargetEntryId) -> &TargetEntry {
        &self.entries[id]
    }

    /// Returns the failure statistics of a target for updating.
    pub fn outlier_detector(&mut self, id: TargetEntryId) -> &mut OutlierDetector {
        &mut self.entries[id].outlier_detector
    }

    /// Extends a target's cold time: the target reported that it stays cold for
    /// `remaining`.
    pub fn extend_cold(&mut self, id: TargetEntryId, remaining: Duration, now: Instant) {
        let entry = &mut self.entries[id];
        entry.cold_until = entry.cold_until.max(Some(now + remaining));
    }

    /// Marks a target as accepting no requests. A draining target reports this in
    /// a response before its registration changes.
    pub fn stop_requests(&mut self, id: TargetEntryId) {
        self.entries[id].accepts_requests = false;
    }

    /// Records that a target said that it is leaving; returns whether this is new. The
    /// target gets no further requests in this incarnation.
    pub fn record_leaving(&mut self, id: TargetEntryId) -> bool {
        let entry = &mut self.entries[id];
        entry.accepts_requests = false;
        !std::mem::replace(&mut entry.said_leaving, true)
    }

    /// Records that a target wants no requests for this time, at most [`MAX_PAUSE`]. A
    /// shorter pause does not end a longer one.
    pub fn record_pause(&mut self, id: TargetEntryId, pause: Duration, now: Instant) {
        let entry = &mut self.entries[id];
        entry.paused_until = entry.paused_until.max(Some(now + pause.min(MAX_PAUSE)));
    }

    /// Records how long work takes at a target, in percent of the usual time.
    pub fn record_pace(&mut self, id: TargetEntryId, percent: u32, now: Instant) {
        let (min, max) = PACE_BOUNDS;
        let pace = (f64::from(percent) / 100.0).clamp(min, max);
        self.entries[id].stated_pace = Some((pace, now));
    }

    /// Like [`Self::record_leaving`], for the targets with these tags, as heard from a peer;
    /// returns those for which this is new.
    pub fn record_leaving_tags(&mut self, tags: &[u64]) -> Vec<TargetEntryId> {
        let known = self.entries.iter();
        let known = known.filter(|(_, entry)| tags.contains(&entry.tag));
        let known: Vec<TargetEntryId> = known.map(|(id, _)| id).collect();
        known
            .into_iter()
            .filter(|&id| self.record_leaving(id))
            .collect()
    }

    /// Records the start of an attempt.
    ///
    /// `copied_tokens` of its prompt tokens are copied from another target.
    pub fn begin_attempt(
        &mut self,
        id: TargetEntryId,
        prompt: Option<&Prompt>,
        copied_tokens: u32,
        now: Instant,
    ) -> AttemptCost {
        self.attempts_begun += 1;
        let sequence = self.attempts_begun;
        let entry = &mut self.entries[id];
        let cost = prompt.map_or(AttemptCost::default(), |prompt| {
            let prefill_tokens = entry.prefill_tokens(prompt, now);
            AttemptCost {
                prefill_tokens: prefill_tokens.saturating_sub(copied_tokens),
                memory_tokens: prompt.input_tokens + prompt.max_output_tokens,
                sequence,
                // Another router may have caused the target to cache the shared parts.
                certain_tokens: prefill_tokens.min(prompt.own_tokens()),
                sent: Some(now),
            }
        });
        if cost.prefill_tokens > 0 {
            entry.pending_prefills.push_back(PendingPrefill {
                sequence,
                prefill_tokens: cost.prefill_tokens,
                sent: now,
            });
        }
        entry.own_load.waiting_tokens += f64::from(cost.prefill_tokens);
        entry.own_load.attempts += 1;
        entry.own_load.memory_tokens += f64::from(cost.memory_tokens);
        if let Some(prompt) = prompt {
            if entry.cached_parts.len() >= MAX_CACHED_PARTS {
                let is_current =
                    |used: Instant| now.saturating_duration_since(used) < PART_CACHE_TTL / 4;
                entry.cached_parts.retain(|_, used| is_current(*used));
            }
            // The last part is specific to the request and cannot be reused by
            // others.
            let shared_count = prompt.parts.len().saturating_sub(1);
            for part in &prompt.parts[..shared_count] {
                entry.cached_parts.insert(part.id, now);
            }
        }
        cost
    }

    /// Records the first event of an attempt.
    pub fn record_first_event(&mut self, id: TargetEntryId, cost: AttemptCost, now: Instant) {
        let entry = &mut self.entries[id];
        entry.last_first_event = Some(now);
        entry.activity.record_start(now);
        if let Some(sent) = cost.sent {
            let elapsed = now.saturating_duration_since(sent);
            self.observed_rate
                .record_prefill(f64::from(cost.certain_tokens), elapsed);
        }
        self.finish_prefill(id, cost);
    }

    /// Records a received byte of a response.
    pub fn record_byte(&mut self, id: TargetEntryId, now: Instant) {
        self.entries[id].activity.record_byte(now);
    }

    fn finish_prefill(&mut self, id: TargetEntryId, cost: AttemptCost) {
        let entry = &mut self.entries[id];
        entry
            .pending_prefills
            .retain(|pending| pending.sequence != cost.sequence);
        entry.own_load.waiting_tokens =
            (entry.own_load.waiting_tokens - f64::from(cost.prefill_tokens)).max(0.0);
    }

    /// Records the end of an attempt; `had_started` tells whether its first event
    /// had been received.
    pub fn end_attempt(&mut self, id: TargetEntryId, cost: AttemptCost, had_started: bool) {
        match had_started {
            true => self.entries[id].activity.record_end(),
            false => self.finish_prefill(id, cost),
        }
        let own_load = &mut self.entries[id].own_load;
        own_load.attempts = own_load.attempts.saturating_sub(1);
        own_load.memory_tokens = (own_load.memory_tokens - f64::from(cost.memory_tokens)).max(0.0);
    }

    /// Replaces the loads caused by peers.
    pub fn set_peer_loads<'a>(
        &mut self,
        peers: impl Iterator<Item = &'a PeerLoadReport>,
        now: Instant,
    ) {
        let sums = sum_loads(peers, now);
        for entry in self.entries.values_mut() {
            entry.peer_load = sums.get(&entry.tag).copied().unwrap_or_default();
        }
    }

    /// Replaces the number of peers that report a problem, by target.
    pub fn set_problem_reports(&mut self, reports: &FxHashMap<u64, u32>) {
        for entry in self.entries.values_mut() {
            let count = reports.get(&entry.tag).copied().unwrap_or(0);
            entry.reported_by_peers = count >= MIN_REPORTING_PEERS;
        }
    }

    /// The targets with which this router has problems itself, to be reported to
    /// peers. The list is empty if they are the majority, since the cause is then
    /// more likely this router.
    pub fn problem_targets(&self, rate: f64, now: Instant) -> Vec<u64> {
        let accepting = self.entries.values().filter(|entry| entry.accepts_requests);
        let has_own_problem = |entry: &&TargetEntry| {
            let avoid_reason = entry.avoid_reason(rate, now);
            avoid_reason.is_some_and(|avoid_reason| avoid_reason != AvoidReason::Peers)
        };
        let problem_targets: Vec<u64> = accepting
            .clone()
            .filter(has_own_problem)
            .map(|entry| entry.tag)
            .collect();
        match problem_targets.len() * 2 < accepting.count() {
            true => problem_targets,
            false => Vec::new(),
        }
    }

    /// The loads caused by this router, to be reported to peers; `rate` as in
    /// [`TargetEntry::waiting_tokens`].
    pub fn load_reports(&self, rate: f64, now: Instant) -> Vec<LoadReport> {
        let busy = self
            .entries
            .values()
            .filter(|entry| entry.own_load.attempts > 0);
        busy.map(|entry| LoadReport {
            target: entry.tag,
            load: TargetLoad {
                waiting_tokens: entry.own_waiting_tokens(rate, now),
                ..entry.own_load
            },
        })
        .collect()
    }

    /// Uses up one request of this router to a cold target.
    ///
    /// `rate` is this router's share in requests per second.
    pub fn spend_cold_request(&mut self, id: TargetEntryId, rate: f64, now: Instant) {
        let entry = &mut self.entries[id];
        entry.cold_bucket = Some(ColdBucket {
            tokens: entry.cold_tokens(rate, now) - 1.0,
            refilled_at: now,
        });
    }
}

/// Sums up reports by target. What waited when a report was made has been prefilled in
/// part since.
pub fn sum_loads<'a>(
    reports: impl Iterator<Item = &'a PeerLoadReport>,
    now: Instant,
) -> FxHashMap<u64, TargetLoad> {
    let mut sums: FxHashMap<u64, TargetLoad> = FxHashMap::default();
    for report in reports {
        let age = now.saturating_duration_since(report.received_at);
        if age >= REPORT_TTL {
            continue;
        }
        let remaining = 0.5_f64.powf(age.as_secs_f64() / WAITING_HALF_LIFE.as_secs_f64());
        for LoadReport { target, load } in report.reports.iter() {
            let sum = sums.entry(*target).or_default();
            sum.waiting_tokens += load.waiting_tokens * remaining;
            // A wrong report must not wrap the sum around to a small one.
            sum.attempts = sum.attempts.saturating_add(load.attempts);
            sum.memory_tokens += load.memory_tokens;
        }
    }
    sums
}

/// The tag of one incarnation of a target, identical on all routers.
pub fn incarnation_tag(name: &Name, born: u64) -> u64 {
    let mut bytes = name.as_str().as_bytes().to_vec();
    bytes.extend_from_slice(&born.to_le_bytes());
    xxhash_rust::xxh3::xxh3_64(&bytes)
}
