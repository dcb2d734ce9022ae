//! The load of every target, caused by this router and by its peers.
//!
//! Invariants:
//! - Every [`TargetTable::begin_attempt`] is followed by one
//!   [`TargetTable::end_attempt`]; the counters of a target never fall below zero.
//! - A new incarnation of a target starts without load and with an empty cache.

mod entry;
mod kept;
mod load;
mod rates;

use std::time::{Duration, Instant};

use cranelift_entity::PrimaryMap;
use entity::Name;
use rustc_hash::{FxHashMap, FxHashSet};

use super::incarnation::{ConnectionEnd, EndCause, IncarnationCheck};
use super::kept::KeptParts;
use super::outlier::OutlierDetector;
use super::prefill_rate::PrefillRate;
pub use super::prompt::{Prompt, PromptPart};
use super::slots::{PlainResult, SlotState};
use super::stall::MIN_REPORTING_PEERS;
use super::target::{MAX_COLD, TargetRegistry, TargetState};
use super::target_limit::{LimitChange, LimitReport, StatedLimit};
use super::target_rate::PrefillTime;
pub use entry::{AvoidReason, TargetEntry, TargetEntryId};
use entry::{ColdBucket, PART_CACHE_TTL, PendingPrefill};
use kept::Weighing;
pub use load::{AttemptCost, LoadReport, PeerLoadReport, REPORT_TTL, TargetLoad, sum_loads};

/// The maximum number of cached parts tracked for one target.
const MAX_CACHED_PARTS: usize = 4096;

/// The longest pause that a target is granted, so that a wrong value does not take it out
/// of service for good.
pub const MAX_PAUSE: Duration = Duration::from_secs(600);

/// The bounds of a stated pace, as a multiple of the usual time, so that a wrong value
/// neither excludes a target nor draws all requests to it.
const PACE_BOUNDS: (f64, f64) = (0.5, 4.0);

/// The targets known to one router.
#[derive(Clone, Default, Debug)]
pub struct TargetTable {
    entries: PrimaryMap<TargetEntryId, TargetEntry>,
    by_name: FxHashMap<Name, TargetEntryId>,
    by_service: FxHashMap<Name, Vec<TargetEntryId>>,
    attempts_begun: u64,
    observed_rate: PrefillRate,
    /// Whether the rate of each target is learned.
    learns_rates: bool,
    /// When the rates of targets were last updated.
    rates_at: Option<Instant>,
    kept: KeptParts,
    /// What is needed to weigh kept parts, if they are weighed.
    weighing: Option<Weighing>,
}

impl TargetTable {
    /// Applies the list of registered targets. Returns those of which it shows that they have
    /// not started again, with the time at which that became doubtful.
    pub fn apply_registry(
        &mut self,
        registry: &TargetRegistry,
        now: Instant,
    ) -> Vec<(TargetEntryId, Instant)> {
        let mut confirmed = Vec::new();
        for entry in self.entries.values_mut() {
            entry.accepts_requests = false;
        }
        self.by_service.clear();
        let read_at = registry.age(now).and_then(|age| now.checked_sub(age));
        let mut names: Vec<&Name> = registry.targets.keys().collect();
        names.sort();
        for name in names {
            let (target, reported_at) = &registry.targets[name];
            let tag = incarnation_tag(name, target.born);
            let known_id = self.by_name.get(name).copied();
            let id = match known_id {
                Some(id) if self.entries[id].tag == tag => id,
                _ => {
                    let id = self.entries.push(TargetEntry::new(target, tag));
                    self.by_name.insert(name.clone(), id);
                    id
                }
            };
            let entry = &mut self.entries[id];
            let doubted_at = read_at.and_then(|read_at| entry.incarnation.record_listed(read_at));
            confirmed.extend(doubted_at.map(|doubted_at| (id, doubted_at)));
            let is_drained = registry.drained.contains(&target.centre);
            entry.accepts_requests =
                target.state == TargetState::Ready && !is_drained && !entry.said_leaving;
            entry.slots = target.slots;
            entry.address = target.address;
            entry.service = target.service.clone();
            let reported_until = reported_at.map(|reported_at| target.cold_until(reported_at));
            entry.cold_until = entry
                .cold_until
                .max(reported_until)
                .filter(|&until| until > now);
            self.by_service
                .entry(target.service.clone())
                .or_default()
                .push(id);
        }
        self.retain_kept_parts();
        confirmed
    }

    /// The prompt parts that targets keep, by the tag of the target.
    pub fn kept(&self) -> &KeptParts {
        &self.kept
    }

    /// The same, for updating.
    pub fn kept_mut(&mut self) -> &mut KeptParts {
        &mut self.kept
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

    /// Records the end of a connection. Returns the targets at its address that may have
    /// started again for the first time.
    pub fn record_connection_end(&mut self, end: ConnectionEnd) -> Vec<TargetEntryId> {
        let registered = self.by_service.values().flatten().copied();
        let registered: Vec<TargetEntryId> = registered
            .filter(|&id| self.entries[id].address == end.address)
            .collect();
        let begins = |id: &TargetEntryId| {
            let entry = &mut self.entries[*id];
            let is_heard = end.cause == EndCause::Unanswered
                && entry.activity.last_byte().is_some_and(|at| at > end.since);
            !is_heard && entry.incarnation.record_end(end)
        };
        registered.into_iter().filter(begins).collect()
    }

    /// Returns what connections show of a target's incarnation, for updating.
    pub fn incarnation(&mut self, id: TargetEntryId) -> &mut IncarnationCheck {
        &mut self.entries[id].incarnation
    }

    /// Extends a target's cold time: the target reported that it stays cold for
    /// `remaining`, of which at most [`MAX_COLD`] counts.
    pub fn extend_cold(&mut self, id: TargetEntryId, remaining: Duration, now: Instant) {
        let entry = &mut self.entries[id];
        entry.cold_until = entry.cold_until.max(Some(now + remaining.min(MAX_COLD)));
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

    /// Records what a response says of a limit on the target's requests; `sent_at` as in
    /// [`TargetLimit::record`](super::target_limit::TargetLimit::record).
    pub fn record_limit(
        &mut self,
        id: TargetEntryId,
        stated: StatedLimit,
        sent_at: Option<Instant>,
        now: Instant,
    ) -> Option<LimitChange> {
        self.entries[id].limit.record(stated, sent_at, now)
    }

    /// Replaces what peers report of limits; returns the changes.
    pub fn set_peer_limits(
        &mut self,
        reports: &[LimitReport],
        now: Instant,
    ) -> Vec<(TargetEntryId, LimitChange)> {
        let by_target = reports.iter().map(|report| (report.target, report));
        let by_target: FxHashMap<u64, &LimitReport> = by_target.collect();
        let entries = self.entries.iter_mut();
        let changes = entries.filter_map(|(id, entry)| {
            let report = by_target.get(&entry.tag).copied();
            Some((id, entry.limit.set_peers(report, now)?))
        });
        changes.collect()
    }

    /// What this router heard of limits itself, and what it needs, to be reported to peers.
    pub fn limit_reports(&mut self, now: Instant) -> Vec<LimitReport> {
        let mut reports = Vec::new();
        for &id in self.by_service.values().flatten() {
            let entry = &mut self.entries[id];
            reports.extend(entry.limit.report(entry.tag, now));
        }
        reports
    }

    /// Records a request that would be sent to a target if it named no limit.
    pub fn record_limit_need(&mut self, id: TargetEntryId, now: Instant) {
        self.entries[id].limit.record_need(now);
    }

    /// Uses up one request of this router's `part` of a target's limit, in requests per
    /// second.
    pub fn spend_limited_request(&mut self, id: TargetEntryId, part: f64, now: Instant) {
        self.entries[id].limit.spend(part, now);
    }

    /// The targets that are not to be called beside requests at the moment, by tag.
    pub fn withheld(&self, now: Instant) -> FxHashSet<u64> {
        let registered = self.by_service.values().flatten();
        let registered = registered.map(|&id| &self.entries[id]);
        let withheld = registered.filter(|entry| entry.is_withheld(now));
        withheld.map(|entry| entry.tag).collect()
    }

    /// The registered target with this tag, if there is one.
    pub fn target_of_tag(&self, tag: u64) -> Option<TargetEntryId> {
        let mut registered = self.by_service.values().flatten();
        registered.find(|&&id| self.entries[id].tag == tag).copied()
    }

    /// Records how long work takes at a target, in percent of the usual time.
    pub fn record_pace(&mut self, id: TargetEntryId, percent: u32, now: Instant) {
        let (min, max) = PACE_BOUNDS;
        let pace = (f64::from(percent) / 100.0).clamp(min, max);
        self.entries[id].stated_pace = Some((pace, now));
    }

    /// Returns the state of a target's slots for updating.
    pub fn slot_state(&mut self, id: TargetEntryId) -> &mut SlotState {
        &mut self.entries[id].slot_state
    }

    /// Records the number of requests that a target reported in a response.
    pub fn record_slot_report(&mut self, id: TargetEntryId, reported: u32, now: Instant) {
        let entry = &mut self.entries[id];
        let own = entry.own_load.attempts;
        entry.slot_state.record_report(reported, own, now);
    }

    /// Records the result of a request to a target without an engine.
    pub fn record_plain_result(&mut self, id: TargetEntryId, result: PlainResult, now: Instant) {
        let entry = &mut self.entries[id];
        match result {
            PlainResult::Full { reported } => {
                entry.slot_state.record_full(reported, now);
                return;
            }
            PlainResult::Answered => {
                entry.slot_state.record_answer(false, now);
                entry.outlier_detector.record_success(now);
                return;
            }
            PlainResult::Failed => entry.slot_state.record_answer(true, now),
        }
        let others = self.failure_fraction_beside(id, now);
        let entry = &mut self.entries[id];
        if entry.slot_state.fails_more_than(others) {
            entry.outlier_detector.record_failure(now);
        }
    }

    /// The fraction of failures of the other targets of a target's service.
    fn failure_fraction_beside(&self, id: TargetEntryId, now: Instant) -> f64 {
        let siblings = self.targets_of_service(&self.entries[id].service).iter();
        let siblings = siblings.filter(|&&sibling| sibling != id);
        let counts = siblings.map(|&sibling| self.entries[sibling].slot_state.failures(now));
        let (failures, answers) = counts.fold((0.0, 0.0), |sum, it| (sum.0 + it.0, sum.1 + it.1));
        if answers > 0.0 {
            failures / answers
        } else {
            0.0
        }
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
        let cost = prompt.map_or(AttemptCost::default(), |prompt| {
            let prefill_tokens = self.prefill_tokens(id, prompt, now);
            AttemptCost {
                prefill_tokens: prefill_tokens.saturating_sub(copied_tokens),
                memory_tokens: self.memory_tokens(prompt, prefill_tokens),
                sequence,
                // Another router may have caused the target to cache the shared parts.
                certain_tokens: prefill_tokens.min(prompt.own_tokens()),
                sent: Some(now),
                belief: self.belief(id, prompt, copied_tokens, now),
            }
        });
        if let Some(prompt) = prompt {
            self.record_kept_use(id, prompt, cost, now);
        }
        let entry = &mut self.entries[id];
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
        let previous = entry.last_first_event.replace(now);
        entry.activity.record_start(now);
        if let Some(sent) = cost.sent {
            let elapsed = now.saturating_duration_since(sent);
            let tokens = f64::from(cost.certain_tokens);
            self.observed_rate.record_prefill(tokens, elapsed);
            if self.learns_rates {
                let since = previous.filter(|&it| it > sent);
                let prefill = PrefillTime {
                    tokens,
                    elapsed: since.map_or(elapsed, |it| now.saturating_duration_since(it)),
                    is_queued: since.is_some(),
                };
                entry.rate.record_prefill(prefill, entry.pace(now), now);
            }
        }
        self.check_belief(id, cost, now);
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

/// The tag of one incarnation of a target, identical on all routers.
pub fn incarnation_tag(name: &Name, born: u64) -> u64 {
    let mut bytes = name.as_str().as_bytes().to_vec();
    bytes.extend_from_slice(&born.to_le_bytes());
    xxhash_rust::xxh3::xxh3_64(&bytes)
}
