//! Crash quarantine: the culprit is found, bystanders are not refused.

use std::time::{Duration, Instant, UNIX_EPOCH};

use entity::{Fingerprint, Incarnation, Now, Revision, Tag};
use knapweed_policy::home::{Roster, RosterEntry};
use knapweed_policy::quarantine::{
    Admission, Judgement, Quarantine, QuarantineSettings, TARGET_LOSS,
};
use proptest::prelude::*;

const CULPRIT: Fingerprint = Fingerprint(666);

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

    /// Runs `batch` together on one agent, except what it refuses or runs alone.
    fn offer(&mut self, at: u64, agent: usize, batch: &[Fingerprint]) {
        let now = now(at);
        let mut shared = Vec::new();
        for &it in batch {
            let home = self.roster.trial_agent(it, now, |_| true) == Some(Tag(agent as u64));
            match self.agents[agent].admit(now, it, home) {
                Admission::Run => shared.push(it),
                Admission::Alone => self.run(at, agent, &[it]),
                Admission::Refuse(_) => self.refused.push(it),
            }
        }
        self.run(at, agent, &shared);
    }

    fn run(&mut self, at: u64, agent: usize, present: &[Fingerprint]) {
        let (now, quarantine) = (now(at), &mut self.agents[agent]);
        if present.contains(&CULPRIT) {
            self.crashes += 1;
            quarantine.crashed(
                now,
                Tag(agent as u64),
                Incarnation(1),
                present.iter().copied(),
            );
            return;
        }
        for &it in present {
            quarantine.completed(now, it);
        }
    }

    fn gossip(&mut self, at: u64) {
        let notices: Vec<_> = self.agents.iter().map(Quarantine::notice).collect();
        for agent in &mut self.agents {
            for notice in &notices {
                agent.merge(now(at), notice);
            }
        }
    }

    fn judge(&self, at: u64, it: Fingerprint) -> Judgement {
        self.agents[0].judge(now(at), it)
    }
}

/// The culprit and a request that nobody has seen before.
fn crowded(repeat: u64, copy: usize) -> [Fingerprint; 2] {
    [
        CULPRIT,
        Fingerprint(u128::from(repeat) * 100 + copy as u128 + 1000),
    ]
}

/// The caller repeats through many routers, which try the agents in all orders.
#[test]
fn one_request_takes_down_few_targets() {
    let mut worst = 0;
    for start in 0..10 {
        let mut fleet = Fleet::new(10);
        for repeat in 0..200 {
            let agent = (start + repeat as usize * 7) % 10;
            fleet.offer(repeat, agent, &crowded(repeat, 0));
            fleet.gossip(repeat);
        }
        assert!(matches!(
            fleet.judge(200, CULPRIT),
            Judgement::Quarantined(_)
        ));
        worst = worst.max(fleet.crashes);
    }
    assert_eq!(worst, TARGET_LOSS);
}

/// Repeats that arrive before the gossip add one target for each copy.
#[test]
fn late_gossip_adds_the_copies_in_flight() {
    for copies in 1..=8 {
        let mut fleet = Fleet::new(10);
        for repeat in 0..200 {
            let wave = if repeat == 0 { 1 } else { copies };
            for copy in 0..wave {
                let agent = (repeat as usize * wave + copy) % 10;
                fleet.offer(repeat, agent, &crowded(repeat, copy));
            }
            fleet.gossip(repeat);
        }
        let bound = TARGET_LOSS + copies - 1;
        assert!(
            fleet.crashes <= bound,
            "{} targets with {copies} copies",
            fleet.crashes
        );
    }
}

#[test]
fn bystanders_are_not_refused() {
    let mut fleet = Fleet::new(10);
    let lookups = [1, 2, 3].map(Fingerprint);
    let batch = [lookups[0], lookups[1], lookups[2], CULPRIT];
    fleet.offer(0, 9, &lookups);
    for repeat in 0..50 {
        fleet.offer(repeat, repeat as usize % 10, &batch);
        fleet.gossip(repeat);
    }
    let bystanders = fleet.refused.iter().filter(|&&it| it != CULPRIT);
    assert_eq!(bystanders.count(), 0);
    let judged = lookups.map(|it| fleet.judge(50, it));
    insta::assert_debug_snapshot!((fleet.crashes, judged));
}

/// Bystanders that never completed before are tried alone, and cleared by that.
#[test]
fn new_bystanders_are_cleared_by_a_trial() {
    let mut fleet = Fleet::new(10);
    let bystander = Fingerprint(1);
    let mut history = Vec::new();
    for repeat in 0..30 {
        fleet.offer(repeat, repeat as usize % 10, &[bystander, CULPRIT]);
        fleet.gossip(repeat);
        let explained = [bystander, CULPRIT].map(|it| fleet.agents[0].explain(now(repeat), it));
        history.push(explained.join("; "));
    }
    history.dedup();
    insta::assert_debug_snapshot!((fleet.crashes, history));
}

#[test]
fn release_leads_back_to_a_trial() {
    let mut fleet = Fleet::new(1);
    for second in 0..3 {
        fleet.offer(second, 0, &[CULPRIT]);
    }
    let times = [1, 600, 601, 3601, 3602];
    let judged = times.map(|at| format!("{at} s: {:?}", fleet.judge(at, CULPRIT)));
    insta::assert_debug_snapshot!((fleet.crashes, judged));
}

/// Three shared crashes convict only if no other request explains them.
#[test]
fn shared_crashes_convict_only_the_sole_candidate() {
    let mut quarantine = Quarantine::new(QuarantineSettings::default());
    let [other, fresh] = [Fingerprint(1), Fingerprint(2)];
    for second in 0..3 {
        let present = [CULPRIT, other, Fingerprint(10 + u128::from(second))];
        quarantine.crashed(now(second), Tag(second), Incarnation(1), present);
    }
    let both = [CULPRIT, other, fresh].map(|it| quarantine.judge(now(4), it));
    quarantine.completed(now(5), other);
    let one = [CULPRIT, other, fresh].map(|it| quarantine.judge(now(5), it));
    insta::assert_debug_snapshot!((both, one));
}

/// A completion voids earlier crashes, and later ones count only while alone.
#[test]
fn completion_voids_earlier_crashes() {
    let mut quarantine = Quarantine::new(QuarantineSettings::default());
    let it = Fingerprint(1);
    let crash = |quarantine: &mut Quarantine, at, others: &[Fingerprint]| {
        let present = others.iter().copied().chain([it]);
        quarantine.crashed(now(at), Tag(1), Incarnation(1), present);
        quarantine.explain(now(at), it)
    };
    let mut history = vec![
        crash(&mut quarantine, 1, &[]),
        crash(&mut quarantine, 2, &[]),
    ];
    quarantine.completed(now(3), it);
    history.push(crash(&mut quarantine, 4, &[CULPRIT]));
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
            sources[agent as usize].crashed(now(at), Tag(agent), Incarnation(1), present);
        }
        for (n, &(it, at)) in completions.iter().enumerate() {
            sources[n % 3].completed(now(at), Fingerprint(it));
        }
        let notices: Vec<_> = sources.iter().map(Quarantine::notice).collect();
        let merged = |order: &[usize]| {
            let mut all = Quarantine::new(QuarantineSettings::default());
            for &n in order {
                all.merge(now(100), &notices[n]);
            }
            (0..5).map(|it| all.judge(now(100), Fingerprint(it))).collect::<Vec<_>>()
        };
        prop_assert_eq!(merged(&[0, 1, 2]), merged(&[2, 0, 1, 0, 2]));
    }
}
