//! Crashes of the target and the requests suspected of causing them.

use std::time::{Duration, Instant};

use entity::{AttemptId, Fingerprint, Now, Reason, Step};
use rules::Config;

use super::admit::HeldAttempt;
use super::{Agent, AgentAction};
use crate::fact::Fact;
use crate::fair::SharingPolicy;
use crate::message::Offer;
use crate::quarantine::{Admission, Quarantine, QuarantineEvidence, QuarantineSettings};

/// Runs that broke off within this time before a crash was detected count as present at it.
const BROKEN_RUN_WINDOW: Duration = Duration::from_secs(3);

/// The minimum interval between announcements of completions of the same request.
const ANNOUNCE_INTERVAL: Duration = Duration::from_secs(60);

/// The agent's record of crashes.
#[derive(Debug)]
pub(super) struct CrashState {
    quarantine: Quarantine,
    broken_runs: Vec<(Instant, Fingerprint)>,
    announced: Vec<(Instant, Fingerprint)>,
    /// Whether the target is known to be down.
    pub(super) down: bool,
    /// The suspect that waits until no other attempt runs.
    pub(super) suspect: Option<HeldAttempt>,
    /// The suspect that is running alone.
    pub(super) running_suspect: Option<AttemptId>,
}

impl Default for CrashState {
    fn default() -> Self {
        Self {
            quarantine: Quarantine::new(QuarantineSettings::default()),
            broken_runs: Vec::new(),
            announced: Vec::new(),
            down: false,
            suspect: None,
            running_suspect: None,
        }
    }
}

impl CrashState {
    /// Whether the target is reserved for a suspect.
    pub(super) fn is_reserved(&self) -> bool {
        self.suspect.is_some() || self.running_suspect.is_some()
    }

    pub(super) fn merge(&mut self, now: Now, evidence: &QuarantineEvidence) {
        self.quarantine.merge(now, evidence);
    }

    /// Records that a run of `fingerprint` broke off.
    pub(super) fn record_broken_run(&mut self, now: Now, fingerprint: Fingerprint) {
        self.broken_runs.push((now.mono, fingerprint));
        self.broken_runs
            .retain(|(at, _)| now.mono < *at + BROKEN_RUN_WINDOW);
    }

    fn should_announce(&mut self, now: Now, fingerprint: Fingerprint) -> bool {
        self.announced
            .retain(|(at, _)| now.mono < *at + ANNOUNCE_INTERVAL);
        let announced = self
            .announced
            .iter()
            .any(|(_, announced)| *announced == fingerprint);
        let is_new = !announced && self.quarantine.was_present_at_crash(fingerprint);
        if is_new {
            self.announced.push((now.mono, fingerprint));
        }
        is_new
    }
}

impl<S: SharingPolicy> Agent<S> {
    /// Decides from the recorded crashes whether and how an offered request may run.
    pub(super) fn check_quarantine(
        &mut self,
        now: Now,
        config: &Config,
        offer: &Offer,
        actions: &mut Vec<AgentAction>,
    ) -> Admission {
        let fingerprint = offer.fingerprint;
        let usable = |tag| {
            let target = config.names.targets.by_tag(tag);
            target.is_some_and(|target| config.drain_rule(target).is_none())
        };
        let trial_agent = self.keys.roster().trial_agent(fingerprint, now, usable);
        let is_trial_agent = trial_agent == Some(self.settings.endpoint.id.0);
        let quarantine = &self.crashes.quarantine;
        let admission = quarantine.admit(now, fingerprint, is_trial_agent);
        if admission != Admission::Run {
            let detail = quarantine.explain(now, fingerprint);
            let request = offer.attempt.request;
            self.record_decision(now, request, Step::Quarantine, &detail, actions);
        }
        admission
    }

    /// Records a completed run; broadcasts it if it is evidence in favour of a suspect.
    pub(super) fn completed(
        &mut self,
        now: Now,
        fingerprint: Fingerprint,
        actions: &mut Vec<AgentAction>,
    ) {
        self.crashes.quarantine.record_completion(now, fingerprint);
        if self.crashes.should_announce(now, fingerprint) {
            let at = now.wall;
            actions.push(AgentAction::Broadcast(Fact::Completed { fingerprint, at }));
        }
    }

    pub(super) fn target_up(&mut self, now: Now) {
        self.crashes.down = false;
        self.crashes.broken_runs.clear();
        self.window.up(now.mono);
    }

    pub(super) fn target_down(&mut self, now: Now, actions: &mut Vec<AgentAction>) {
        let running = self.running.values().map(|running| running.fingerprint);
        let broken_runs = std::mem::take(&mut self.crashes.broken_runs);
        let recent = broken_runs
            .iter()
            .filter(|(at, _)| now.mono < *at + BROKEN_RUN_WINDOW);
        let recent = recent.map(|&(_, fingerprint)| fingerprint);
        let present: Vec<_> = running.chain(recent).collect();
        self.crashes.down = true;
        self.window.down(now.mono);
        // Operators may stop a drained target, so this is not counted as a crash.
        if self.is_draining() {
            return;
        }
        let endpoint = self.settings.endpoint;
        let quarantine = &mut self.crashes.quarantine;
        let crash = quarantine.record_crash(now, endpoint.id.0, endpoint.incarnation, present);
        if let Some((id, note)) = crash {
            let facts = Fact::from_crash(id, &note);
            actions.extend(facts.into_iter().map(AgentAction::Broadcast));
        }
    }

    /// Starts the waiting suspect once no other attempt runs, or rejects it if the target is down.
    pub(super) fn start_suspect(&mut self, now: Now, actions: &mut Vec<AgentAction>) {
        let is_idle = self.running.is_empty();
        let Some(held) = self.crashes.suspect.take_if(|_| is_idle) else {
            return;
        };
        if self.window.limit() == 0 {
            return self.reject_held(now, held, Reason::NoTarget, actions);
        }
        self.crashes.running_suspect = Some(held.attempt);
        self.start(now, held, actions);
        if !self.running.contains_key(&held.attempt) {
            self.crashes.running_suspect = None;
        }
    }
}
