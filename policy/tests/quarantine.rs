//! Crash quarantine: a crashing request is found, and other requests are not refused.

use std::time::{Duration, Instant, UNIX_EPOCH};

use entity::{Fingerprint, Incarnation, Now, Revision, Tag};
use knapweed_policy::home::{Roster, RosterEntry};
use knapweed_policy::quarantine::{
    Admission, MAX_CRASHED_TARGETS, Quarantine, QuarantineSettings, QuarantineStatus,
};
use proptest::prelude::*;

const CRASHING_REQUEST: Fingerprint = Fingerprint(666);

fn now(seconds: u64) -> Now {
    let wall = UNIX_EPOCH + Duration::from_secs(1_800_000_000 + seconds);
    Now {
        mono: Instant::now(),
        wall,
    }
}

fn roster(agents: u64) -> Roster {
    let entry = |agent| RosterEntry {
        agent: Tag(agent),
        from: None,
        until: None,
    };
    Roster::new(Revision(1), (0..agents).map(entry).collect())
}

/// Agents that exchange evidence only when the test calls `gossip`.
struct Fleet {
    roster: Roster,
    agents: Vec<Quarantine>,
    crashes: usize,
    refused: Vec<Fingerprint>,
}

impl Fleet {
    fn new(agents: u64) -> Self {
        let agent = Quarantine::new(QuarantineSettings::default());
        Self {
            roster: roster(agents),
            agents: vec![agent; agents as usize],
            crashes: 0,
            refused: Vec::new(),
        }
    }

    /// Runs `batch` together on one agent, except requests that it refuses or runs alone.
    fn offer(&mut self, at: u64, agent: usize, batch: &[Fingerprint]) {
        let now = now(at);
        let mut shared = Vec::new();
        for &it in batch {
            let is_trial_agent =
                self.roster.trial_agent(it, now, |_| true) == Some(Tag(agent as u64));
            match self.agents[agent].admit(now, it, is_trial_agent) {
                Admission::Run => shared.push(it),
                Admission::Alone => self.run(at, agent, &[it]),
                Admission::Refuse(_) => self.refused.push(it),
            }
        }
        self.run(at, agent, &shared);
    }

    fn run(&mut self, at: u64, agent: usize, present: &[Fingerprint]) {
        let (now, quarantine) = (now(at), &mut self.agents[agent]);
        if present.contains(&CRASHING_REQUEST) {
            self.crashes += 1;
            quarantine.record_crash(
                now,
                Tag(agent as u64),
                Incarnation(1),
                present.iter().copied(),
            );
            return;
        }
        for &it in present {
            quarantine.record_completion(now, it);
        }
    }

    fn gossip(&mut self, at: u64) {
        let evidence: Vec<_> = self
            .agents
            .iter()
            .map(Quarantine::evidence_for_peers)
            .collect();
        for agent in &mut self.agents {
            for peer_evidence in &evidence {
                agent.merge(now(at), peer_evidence);
            }
        }
    }

    fn status(&self, at: u64, it: Fingerprint) -> QuarantineStatus {
        self.agents[0].status(now(at), it)
    }
}

/// The crashing request and a request that no agent has seen before.
fn crashing_and_unseen(repeat: u64, copy: usize) -> [Fingerprint; 2] {
    [
        CRASHING_REQUEST,
        Fingerprint(u128::from(repeat) * 100 + copy as u128 + 1000),
    ]
}

/// A caller repeats a crashing request through many routers, which try the agents in
/// different orders.
#[test]
fn a_crashing_request_crashes_a_bounded_number_of_targets() {
    let mut max_crashes = 0;
    for start in 0..10 {
        let mut fleet = Fleet::new(10);
        for repeat in 0..200 {
            let agent = (start + repeat as usize * 7) % 10;
            fleet.offer(repeat, agent, &crashing_and_unseen(repeat, 0));
            fleet.gossip(repeat);
        }
        assert!(matches!(
            fleet.status(200, CRASHING_REQUEST),
            QuarantineStatus::Quarantined(_)
        ));
        max_crashes = max_crashes.max(fleet.crashes);
    }
    assert_eq!(max_crashes, MAX_CRASHED_TARGETS);
}

/// Copies that arrive before the gossip about earlier crashes crash one target each.
#[test]
fn late_gossip_adds_one_target_for_each_copy_in_flight() {
    for copies in 1..=8 {
        let mut fleet = Fleet::new(10);
        for repeat in 0..200 {
            let concurrent_copies = if repeat == 0 { 1 } else { copies };
            for copy in 0..concurrent_copies {
                let agent = (repeat as usize * concurrent_copies + copy) % 10;
                fleet.offer(repeat, agent, &crashing_and_unseen(repeat, copy));
            }
            fleet.gossip(repeat);
        }
        let bound = MAX_CRASHED_TARGETS + copies - 1;
        assert!(
            fleet.crashes <= bound,
            "{} targets with {copies} copies",
            fleet.crashes
        );
    }
}

#[test]
fn requests_that_ran_beside_a_crashing_one_are_not_refused() {
    let mut fleet = Fleet::new(10);
    let harmless = [1, 2, 3].map(Fingerprint);
    let batch = [harmless[0], harmless[1], harmless[2], CRASHING_REQUEST];
    fleet.offer(0, 9, &harmless);
    for repeat in 0..50 {
        fleet.offer(repeat, repeat as usize % 10, &batch);
        fleet.gossip(repeat);
    }
    let others = fleet.refused.iter().filter(|&&it| it != CRASHING_REQUEST);
    assert_eq!(others.count(), 0);
    let statuses = harmless.map(|it| fleet.status(50, it));
    insta::assert_debug_snapshot!((fleet.crashes, statuses));
}

/// A request that ran beside the crashing one and never completed before becomes a
/// suspect. It is run alone, and its completion clears it.
#[test]
fn a_suspect_that_does_not_crash_is_cleared_by_a_run_alone() {
    let mut fleet = Fleet::new(10);
    let other = Fingerprint(1);
    let mut history = Vec::new();
    for repeat in 0..30 {
        fleet.offer(repeat, repeat as usize % 10, &[other, CRASHING_REQUEST]);
        fleet.gossip(repeat);
        let explained =
            [other, CRASHING_REQUEST].map(|it| fleet.agents[0].explain(now(repeat), it));
        history.push(explained.join("; "));
    }
    history.dedup();
    insta::assert_debug_snapshot!((fleet.crashes, history));
}

#[test]
fn a_request_is_suspect_after_its_quarantine_ends() {
    let mut fleet = Fleet::new(1);
    for second in 0..3 {
        fleet.offer(second, 0, &[CRASHING_REQUEST]);
    }
    let times = [1, 600, 601, 3601, 3602];
    let statuses = times.map(|at| format!("{at} s: {:?}", fleet.status(at, CRASHING_REQUEST)));
    insta::assert_debug_snapshot!((fleet.crashes, statuses));
}

/// Three shared crashes quarantine a request only if no other request was present at all
/// of them.
#[test]
fn shared_crashes_quarantine_only_the_sole_candidate() {
    let mut quarantine = Quarantine::new(QuarantineSettings::default());
    let [other, absent] = [Fingerprint(1), Fingerprint(2)];
    for second in 0..3 {
        let present = [
            CRASHING_REQUEST,
            other,
            Fingerprint(10 + u128::from(second)),
        ];
        quarantine.record_crash(now(second), Tag(second), Incarnation(1), present);
    }
    let both = [CRASHING_REQUEST, other, absent].map(|it| quarantine.status(now(4), it));
    quarantine.record_completion(now(5), other);
    let one = [CRASHING_REQUEST, other, absent].map(|it| quarantine.status(now(5), it));
    insta::assert_debug_snapshot!((both, one));
}

/// A completion discards earlier crashes, and later ones count only if the request ran
/// alone.
#[test]
fn a_completion_discards_earlier_crashes() {
    let mut quarantine = Quarantine::new(QuarantineSettings::default());
    let it = Fingerprint(1);
    let crash = |quarantine: &mut Quarantine, at, others: &[Fingerprint]| {
        let present = others.iter().copied().chain([it]);
        quarantine.record_crash(now(at), Tag(1), Incarnation(1), present);
        quarantine.explain(now(at), it)
    };
    let mut history = vec![
        crash(&mut quarantine, 1, &[]),
        crash(&mut quarantine, 2, &[]),
    ];
    quarantine.record_completion(now(3), it);
    history.push(crash(&mut quarantine, 4, &[CRASHING_REQUEST]));
    history.push(crash(&mut quarantine, 5, &[]));
    history.push(crash(&mut quarantine, 6, &[]));
    insta::assert_debug_snapshot!(history);
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: proptest::test_runner::RngSeed::Fixed(7), ..Default::default() })]

    #[test]
    fn merging_is_idempotent_and_commutative(
        crashes in prop::collection::vec((0..3u64, 0..2u128, 0..2u128, 0..100u64), 0..12),
        completions in prop::collection::vec((0..2u128, 0..100u64), 0..8),
    ) {
        let mut sources = vec![Quarantine::new(QuarantineSettings::default()); 3];
        for &(agent, a, b, at) in &crashes {
            let present = [Fingerprint(a), Fingerprint(b)];
            sources[agent as usize].record_crash(now(at), Tag(agent), Incarnation(1), present);
        }
        for (n, &(it, at)) in completions.iter().enumerate() {
            sources[n % 3].record_completion(now(at), Fingerprint(it));
        }
        let evidence: Vec<_> = sources.iter().map(Quarantine::evidence_for_peers).collect();
        let merged = |order: &[usize]| {
            let mut all = Quarantine::new(QuarantineSettings::default());
            for &n in order {
                all.merge(now(100), &evidence[n]);
            }
            (0..5).map(|it| all.status(now(100), Fingerprint(it))).collect::<Vec<_>>()
        };
        prop_assert_eq!(merged(&[0, 1, 2]), merged(&[2, 0, 1, 0, 2]));
    }
}
