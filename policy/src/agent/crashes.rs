//! Crashes of the target, and requests that are suspected of causing them.

use std::time::{Duration, Instant};

use entity::{AttemptId, Fingerprint, Now, Reason, Step};
use rules::Config;

use super::admit::Held;
use super::{Agent, AgentAction};
use crate::fact::Fact;
use crate::fair::SharingPolicy;
use crate::message::Offer;
use crate::quarantine::{Admission, Quarantine, QuarantineEvidence, QuarantineSettings};

/// How long before a crash was noticed its victims may have broken off.
const BROKEN_TIME: Duration = Duration::from_secs(3);

/// The interval at which a completion is told again.
const TELL_INTERVAL: Duration = Duration::from_secs(60);

/// What the agent knows of crashes.
#[derive(Debug)]
pub(super) struct Crashes {
    quarantine: Quarantine,
    broken: Vec<(Instant, Fingerprint)>,
    told: Vec<(Instant, Fingerprint)>,
    /// Whether the target is known to be down.
    pub(super) down: bool,
    /// The suspect that waits until nothing else runs.
    pub(super) suspect: Option<Held>,
    /// The suspect that runs alone.
    pub(super) alone: Option<AttemptId>,
}

impl Default for Crashes {
    fn default() -> Self {
        Self {
            quarantine: Quarantine::new(QuarantineSettings::default()),
            broken: Vec::new(),
            told: Vec::new(),
            down: false,
            suspect: None,
            alone: None,
        }
    }
}

impl Crashes {
    /// Whether the target is kept for a suspect.
    pub(super) fn is_reserved(&self) -> bool {
        self.suspect.is_some() || self.alone.is_some()
    }

    pub(super) fn merge(&mut self, now: Now, notice: &QuarantineEvidence) {
        self.quarantine.merge(now, notice);
    }

    /// Notes that a run of `fingerprint` broke off.
    pub(super) fn broke(&mut self, now: Now, fingerprint: Fingerprint) {
        self.broken.push((now.mono, fingerprint));
        self.broken.retain(|(at, _)| now.mono < *at + BROKEN_TIME);
    }

    fn tells(&mut self, now: Now, fingerprint: Fingerprint) -> bool {
        self.told.retain(|(at, _)| now.mono < *at + TELL_INTERVAL);
        let told = self.told.iter().any(|(_, told)| *told == fingerprint);
        let news = !told && self.quarantine.was_present_at_crash(fingerprint);
        if news {
            self.told.push((now.mono, fingerprint));
        }
        news
    }
}

impl<S: SharingPolicy> Agent<S> {
    /// How an offered request may run, by what is known of crashes.
    pub(super) fn examine(
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
        let home = self.keys.roster().trial_agent(fingerprint, now, usable);
        let is_home = home == Some(self.settings.endpoint.id.0);
        let quarantine = &self.crashes.quarantine;
        let admission = quarantine.admit(now, fingerprint, is_home);
        if admission != Admission::Run {
            let detail = quarantine.explain(now, fingerprint);
            let request = offer.attempt.request;
            self.decide(now, request, Step::Quarantine, &detail, actions);
        }
        admission
    }

    /// Notes a whole answer; tells peers if it speaks for a suspect.
    pub(super) fn completed(
        &mut self,
        now: Now,
        fingerprint: Fingerprint,
        actions: &mut Vec<AgentAction>,
    ) {
        self.crashes.quarantine.record_completion(now, fingerprint);
        if self.crashes.tells(now, fingerprint) {
            let at = now.wall;
            actions.push(AgentAction::Spread(Fact::Completed { fingerprint, at }));
        }
    }

    pub(super) fn target_up(&mut self, now: Now) {
        self.crashes.down = false;
        self.crashes.broken.clear();
        self.window.up(now.mono);
    }

    pub(super) fn target_down(&mut self, now: Now, actions: &mut Vec<AgentAction>) {
        let running = self.running.values().map(|running| running.fingerprint);
        let broken = std::mem::take(&mut self.crashes.broken);
        let recent = broken.iter().filter(|(at, _)| now.mono < *at + BROKEN_TIME);
        let recent = recent.map(|&(_, fingerprint)| fingerprint);
        let present: Vec<_> = running.chain(recent).collect();
        self.crashes.down = true;
        self.window.down(now.mono);
        // A target that is drained may be stopped by its operators.
        if self.is_draining() {
            return;
        }
        let endpoint = self.settings.endpoint;
        let quarantine = &mut self.crashes.quarantine;
        let crash = quarantine.record_crash(now, endpoint.id.0, endpoint.incarnation, present);
        if let Some((id, note)) = crash {
            let facts = Fact::from_crash(id, &note);
            actions.extend(facts.into_iter().map(AgentAction::Spread));
        }
    }

    /// Starts the suspect that waits once nothing else runs, or refuses it if the target is down.
    pub(super) fn start_suspect(&mut self, now: Now, actions: &mut Vec<AgentAction>) {
        let is_clear = self.running.is_empty();
        let Some(held) = self.crashes.suspect.take_if(|_| is_clear) else {
            return;
        };
        if self.window.limit() == 0 {
            return self.hand_back(now, held, Reason::NoTarget, actions);
        }
        self.crashes.alone = Some(held.attempt);
        self.start(now, held, actions);
        if !self.running.contains_key(&held.attempt) {
            self.crashes.alone = None;
        }
    }
}
