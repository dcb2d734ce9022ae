//! Measures the size of ledger deltas by pool size on a simulated fleet.

use std::cell::Cell;
use std::time::{Duration, Instant};

use entity::{DocumentHash, ProcessId, Revision, TeamId, Weight};
use filetests::fleet::{Fleet, FleetSettings, TeamLoad};
use policy::fair::{Charge, Consumer, Rank, SharingPolicy, TeamDirectory};
use policy::ledger::{Extrapolation, Ledger, LedgerSettings};
use policy::message::{Endpoint, LedgerDelta};
use rules::Window;
use wire::{Envelope, Message};

/// The simulated time before the measurement.
const WARM_UP: Duration = Duration::from_secs(10);

/// The simulated time of the measurement.
const MEASURED_TIME: Duration = Duration::from_secs(20);

/// Totals over the deltas of all agents.
#[derive(Clone, Copy, Default)]
struct Sizes {
    deltas: u64,
    totals: u64,
    bytes: u64,
}

thread_local! {
    /// Thread-local because the fleet creates policies by a plain function pointer.
    static SIZES: Cell<Sizes> = const { Cell::new(Sizes { deltas: 0, totals: 0, bytes: 0 }) };
}

/// A ledger that sums the encoded sizes of its deltas.
struct Measured {
    ledger: Ledger,
    sender: Endpoint,
}

impl SharingPolicy for Measured {
    fn backlogged(&mut self, now: Instant, team: TeamId, weight: Weight) {
        self.ledger.backlogged(now, team, weight);
    }

    fn rank(&self, now: Instant, team: TeamId) -> Rank {
        self.ledger.rank(now, team)
    }

    fn router_rank(&self, router: ProcessId) -> Rank {
        self.ledger.router_rank(router)
    }

    fn unreported_service(&self, now: Instant) -> i64 {
        self.ledger.unreported_service(now)
    }

    fn recent_service(&self, team: TeamId) -> i64 {
        self.ledger.recent_service(team)
    }

    fn record_choice(&mut self, rank: Rank) {
        self.ledger.record_choice(rank);
    }

    fn charge(&mut self, now: Instant, party: Consumer, charge: Charge) {
        self.ledger.charge(now, party, charge);
    }

    fn merge(&mut self, now: Instant, delta: &LedgerDelta, teams: &impl TeamDirectory) {
        self.ledger.merge(now, delta, teams);
    }

    fn delta(&mut self, now: Instant, teams: &impl TeamDirectory) -> Option<LedgerDelta> {
        let delta = self.ledger.delta(now, teams)?;
        let message = Message::Ledger(delta.clone());
        let envelope = Envelope::new(
            self.sender,
            Revision(9),
            DocumentHash(u64::MAX),
            core::slice::from_ref(&message),
        );
        let mut sizes = SIZES.get();
        sizes.deltas += 1;
        sizes.totals += delta.totals.len() as u64;
        sizes.bytes += envelope.encode().len() as u64;
        SIZES.set(sizes);
        Some(delta)
    }

    fn prune(&mut self, now: Instant, is_active: impl Fn(TeamId) -> bool) {
        self.ledger.prune(now, is_active);
    }
}

fn team(open: usize) -> TeamLoad {
    TeamLoad {
        weight: 1,
        median: 60.0,
        sigma: 1.0,
        error: 10.0,
        routers: 0..4,
        open,
    }
}

fn settings(agents: usize, teams: usize) -> FleetSettings {
    FleetSettings {
        seed: 1,
        routers: 4,
        agents,
        centres: 4,
        window: Window { cold: 4, max: 4 },
        limit: 4,
        local_delay: Duration::from_micros(200),
        remote_delay: Duration::from_micros(500),
        token_time: Duration::from_millis(10),
        gossip: Some(Duration::from_millis(250)),
        loss: 0.0,
        duplication: 0.0,
        timeout: Duration::from_secs(600),
        teams: vec![team(2 * agents); teams],
    }
}

fn share(settings: &FleetSettings, sender: Endpoint) -> Measured {
    let ledger = Ledger::new(LedgerSettings {
        agent: sender.id,
        incarnation: sender.incarnation,
        gossip: settings.gossip,
        extrapolation: Extrapolation::default(),
    });
    Measured { ledger, sender }
}

fn measure(agents: usize, teams: usize) {
    let mut fleet = Fleet::new(settings(agents, teams), share);
    fleet.start_load();
    fleet.run_until(WARM_UP);
    let sent = fleet.counts.deltas;
    let before = SIZES.get();
    fleet.run_until(WARM_UP + MEASURED_TIME);
    let after = SIZES.get();
    let made = (after.deltas - before.deltas) as f64;
    let totals = (after.totals - before.totals) as f64 / made;
    let size = (after.bytes - before.bytes) as f64 / made;
    let rate = (fleet.counts.deltas - sent) as f64 / MEASURED_TIME.as_secs_f64() / agents as f64;
    println!(
        "pool {agents:>2}, {teams} teams: {totals:.1} totals and {size:.0} bytes a delta, each agent \
         sends {rate:.1} messages and {:.0} bytes a second",
        rate * size,
    );
}

fn main() {
    for agents in [5, 10, 16, 64] {
        for teams in [15, 60] {
            measure(agents, teams);
        }
    }
}
