//! Attempts that broke at a target, and what they show once the target turns out to be dead.
//!
//! Invariant: a broken attempt is evidence only if its target was found unreachable within
//! [`CRASH_WINDOW`], by this router or by a peer.

use std::cell::RefCell;
use std::time::{Duration, Instant};

use entity::Fingerprint;
use node::event::{self, Event};
use policy::direct::crash::{CompletedRun, CrashHistory, CrashRecord};
use policy::direct::exchange::crashes::MAX_TOLD;
use policy::direct::exchange::message::{PartCrashRow, PartNews, PartRunRow};
use policy::direct::part_crash::{
    MAX_SUSPECT_AGE, PartCrash, PartHistory, PartIds, VerdictChange, suspect_parts,
};
use policy::direct::prompt::Prompt;
use rustc_hash::FxHashMap;

use crate::attempt::AttemptTimes;
use crate::metrics::TrafficMetrics;
use crate::request::{CallerRequest, FingerprintTag};
use crate::shared::Shared;

/// The time after a broken attempt during which it is suspected of crashing its target.
const CRASH_WINDOW: Duration = Duration::from_secs(2);

/// The minimum time between two probes of a target. Attempts that break later may be the
/// first sign of a crash.
const PROBE_INTERVAL: Duration = Duration::from_millis(500);

/// The maximum number of runs that one event names.
const MAX_LOGGED_RUNS: usize = 16;

/// A broken attempt that may have crashed its target.
struct BrokenAttempt {
    /// The tag of the target's incarnation.
    target: u64,
    fingerprint: Fingerprint,
    /// The shared parts of its prompt; none if its response had begun long before.
    parts: PartIds,
    sent_at: Instant,
    broken_at: Instant,
}

/// The crashes that this router knows of.
#[derive(Default)]
pub(crate) struct Crashes {
    requests: RefCell<CrashHistory>,
    parts: RefCell<PartHistory>,
    broken: RefCell<Vec<BrokenAttempt>>,
    /// When targets were last probed.
    probed: RefCell<FxHashMap<u64, Instant>>,
}

impl Crashes {
    /// Returns why and for how long a request is rejected.
    pub(crate) fn rejected_for(
        &self,
        request: &CallerRequest,
        now: Instant,
    ) -> Option<(&'static str, Duration)> {
        let requests = self.requests.borrow();
        if let Some(after) = requests.rejected_for(request.fingerprint, now) {
            return Some(("crashes its targets", after));
        }
        let prompt = request.caller_headers.prompt.as_ref()?;
        let after = self.parts.borrow_mut().rejected_for(prompt, now)?;
        Some(("a part crashes its targets", after))
    }

    /// The crashes of rejected requests, each with the time of the latest one of its request.
    pub(crate) fn rejected_requests(&self, now: Instant) -> Vec<(CrashRecord, Instant)> {
        self.requests.borrow().rejected(MAX_TOLD, now)
    }

    /// The number of rejected prompt parts, or groups of parts.
    pub(crate) fn rejected_parts(&self) -> usize {
        self.parts.borrow().rejected_count()
    }

    /// Records an attempt that broke while its target was processing it.
    pub(crate) fn record_broken(
        &self,
        target: u64,
        request: &CallerRequest,
        times: AttemptTimes,
        now: Instant,
    ) {
        let has_run_long = times
            .started_at
            .is_some_and(|at| now.saturating_duration_since(at) >= MAX_SUSPECT_AGE);
        let prompt = request.caller_headers.prompt.as_ref();
        let parts = prompt.filter(|_| !has_run_long).map(suspect_parts);
        self.broken.borrow_mut().push(BrokenAttempt {
            target,
            fingerprint: request.fingerprint,
            parts: parts.unwrap_or_default(),
            sent_at: times.sent_at,
            broken_at: now,
        });
    }

    /// Whether a target is to be probed now, since an attempt broke there.
    pub(crate) fn begin_probe(&self, target: u64, now: Instant) -> bool {
        let mut probed = self.probed.borrow_mut();
        let is_recent = |at: &Instant| now.saturating_duration_since(*at) < PROBE_INTERVAL;
        if probed.get(&target).is_some_and(is_recent) {
            return false;
        }
        probed.insert(target, now);
        true
    }

    /// Records that a target is unreachable, which recently broken attempts on it may have
    /// caused.
    pub(crate) fn record_unreachable(
        &self,
        target: u64,
        from: &'static str,
        shared: &Shared,
        now: Instant,
    ) {
        let mut broken = self.broken.borrow_mut();
        let is_recent = |at| now.saturating_duration_since(at) < CRASH_WINDOW;
        let suspects = broken.extract_if(.., |it| it.target == target && is_recent(it.broken_at));
        let suspects: Vec<BrokenAttempt> = suspects.collect();
        drop(broken);
        if suspects.is_empty() {
            return;
        }
        let mut requests = self.requests.borrow_mut();
        let records = suspects.iter().map(|it| CrashRecord {
            request: it.fingerprint,
            target,
        });
        let new = records.filter(|&record| requests.add(record, now));
        shared.add_local_crashes(new.collect::<Vec<_>>());
        let mut news = PartNews::default();
        for suspect in &suspects {
            for &part in &suspect.parts {
                let crash = PartCrash {
                    part,
                    target,
                    sent_at: suspect.sent_at,
                    broken_at: suspect.broken_at,
                };
                if self.parts.borrow_mut().add_crash(crash, now) {
                    news.crashes.push(PartCrashRow {
                        part,
                        target,
                        sent: age(suspect.sent_at, now),
                        broken: age(suspect.broken_at, now),
                    });
                }
            }
        }
        let target = format!("{target:016x}");
        let fields: [event::Field<'_>; 4] = [
            ("tag", &target),
            ("from", &from),
            ("suspects", &suspects.len()),
            ("parts", &news.crashes.len()),
        ];
        event::log(Event::TargetCrashed, &fields);
        shared.add_local_parts(news, now);
    }

    /// Records that a request ran to the marked end of its response.
    ///
    /// A failure may be answered before the prompt is looked at, so it clears no part.
    pub(crate) fn record_completed(
        &self,
        request: &CallerRequest,
        is_success: bool,
        shared: &Shared,
        now: Instant,
    ) {
        let run = CompletedRun {
            request: request.fingerprint,
            at: now,
        };
        self.requests.borrow_mut().record_completed(run);
        if let Some(prompt) = request
            .caller_headers
            .prompt
            .as_ref()
            .filter(|_| is_success)
        {
            self.record_run(prompt, shared, now);
        }
    }

    fn record_run(&self, prompt: &Prompt, shared: &Shared, now: Instant) {
        let parts = suspect_parts(prompt);
        for broken in self.broken.borrow_mut().iter_mut() {
            broken.parts.retain(|part| !parts.contains(part));
        }
        let cleared = self.parts.borrow_mut().record_run(&parts, now);
        let runs = cleared.iter().map(|&part| PartRunRow { part, age: 0 });
        let news = PartNews {
            crashes: Vec::new(),
            runs: runs.collect(),
        };
        shared.add_local_parts(news, now);
    }

    /// Applies what peers saw, and forgets what is old.
    pub(crate) fn run_maintenance(&self, shared: &Shared, metrics: &TrafficMetrics, now: Instant) {
        for (record, at) in shared.take_peer_crashes() {
            self.requests.borrow_mut().add(record, at);
            self.record_unreachable(record.target, "peer", shared, now);
        }
        for run in shared.take_peer_runs() {
            self.requests.borrow_mut().record_peer_run(run, now);
        }
        let runs = self.requests.borrow_mut().take_news();
        log_runs(&runs, now);
        shared.add_local_runs(runs);
        for (heard_at, news) in shared.take_peer_parts() {
            self.apply(&news, heard_at, shared, now);
        }
        let is_recent = |at| now.saturating_duration_since(at) < CRASH_WINDOW;
        let mut broken = self.broken.borrow_mut();
        broken.retain(|it| is_recent(it.broken_at));
        drop(broken);
        let mut probed = self.probed.borrow_mut();
        probed.retain(|_, at| now.saturating_duration_since(*at) < PROBE_INTERVAL);
        let mut parts = self.parts.borrow_mut();
        parts.expire(now);
        for change in parts.take_changes(now) {
            log_change(&change);
            metrics.record_part_verdict(change.crashes > 0);
        }
    }

    fn apply(&self, news: &PartNews, heard_at: Instant, shared: &Shared, now: Instant) {
        let before = |age: u32| heard_at.checked_sub(Duration::from_millis(age.into()));
        for row in &news.crashes {
            let (Some(sent_at), Some(broken_at)) = (before(row.sent), before(row.broken)) else {
                continue;
            };
            let crash = PartCrash {
                part: row.part,
                target: row.target,
                sent_at,
                broken_at,
            };
            self.parts.borrow_mut().add_crash(crash, now);
            self.record_unreachable(row.target, "peer", shared, now);
        }
        for row in &news.runs {
            if let Some(at) = before(row.age) {
                self.parts.borrow_mut().record_peer_run(row.part, at, now);
            }
        }
    }
}

/// Logs runs after which the crashes of their requests no longer count.
fn log_runs(runs: &[CompletedRun], now: Instant) {
    let Some(first) = runs.iter().map(|run| run.at).min() else {
        return;
    };
    let age = now.saturating_duration_since(first).as_millis();
    let works = runs.iter().take(MAX_LOGGED_RUNS);
    let works = works.map(|run| FingerprintTag::from(run.request).to_string());
    let works = works.collect::<Vec<_>>().join(",");
    let fields: [event::Field<'_>; 3] =
        [("runs", &runs.len()), ("works", &works), ("age_ms", &age)];
    event::log(Event::CrashesCleared, &fields);
}

fn log_change(change: &VerdictChange) {
    let parts = change.parts.iter().map(|part| format!("{part:x}"));
    let parts = parts.collect::<Vec<_>>().join(",");
    let fields: [event::Field<'_>; 2] = [("parts", &parts), ("crashes", &change.crashes)];
    let event = match change.crashes {
        0 => Event::PartCleared,
        _ => Event::PartRejected,
    };
    event::log(event, &fields);
}

/// Rounded up, so that nothing appears more recent than it is.
fn age(at: Instant, now: Instant) -> u32 {
    let age = now.saturating_duration_since(at).as_millis();
    u32::try_from(age).unwrap_or(u32::MAX).saturating_add(1)
}
