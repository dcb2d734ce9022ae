//! Benchmarks one slot cycle in an agent: end, choice, pull, arrival, start.

use std::hint::black_box;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime};

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use entity::{
    AttemptId, Class, Cost, Directory, Fingerprint, Incarnation, Name, Now, PoolId, ProcessId,
    RequestId, Revision, RuleRef, StateMachine, Tag, TargetId, TeamId, Weight,
};
use policy::fair::SharingPolicy;
use policy::message::{Bid, BidUpdate, Endpoint, LedgerDelta, Left, Offer, Pulled, TeamTotal};
use policy::{Agent, AgentAction, AgentEvent, AgentSettings, AttemptEnd};
use rules::{Config, Fencing, Limits, Pool, PoolKind, Target, Team, Window};

const RULE: RuleRef = RuleRef {
    revision: Revision(1),
    line: 1,
};

fn endpoint(name: &str) -> Endpoint {
    Endpoint {
        id: ProcessId(Name::new(name).tag()),
        incarnation: Incarnation(1),
        control: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
    }
}

fn config(teams: usize) -> Config {
    let mut names = Directory::default();
    let pool: PoolId = names.pools.intern(&Name::new("pool"));
    let centre = names.centres.intern(&Name::new("dc"));
    let target: TargetId = names.targets.intern(&Name::new("agent"));
    let mut config = Config::default();
    for index in 0..teams {
        let team: TeamId = names.teams.intern(&Name::new(&format!("team-{index}")));
        config.teams[team] = Some(Team {
            rule: RULE,
            weight: Weight::ONE,
            class: Class::Standard,
            limits: Limits::default(),
        });
    }
    let nowhere = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    config.targets[target] = Some(Target {
        rule: RULE,
        pool,
        centre,
        data: nowhere,
        control: nowhere,
        fencing: Fencing::Checked,
        drain: None,
        from: None,
        until: None,
    });
    config.pools[pool] = Some(Pool {
        rule: RULE,
        kind: PoolKind::Model,
        targets: vec![target],
        window: Window { cold: 1, max: 1 },
    });
    config.names = Arc::new(names);
    config
}

struct Slot {
    agent: Agent,
    config: Arc<Config>,
    now: Now,
    serial: u128,
    team: Tag,
    sequence: u64,
    updates: u64,
}

impl Slot {
    fn new(known: usize, backlogged: usize) -> Self {
        let config = Arc::new(config(known));
        let settings = AgentSettings {
            endpoint: endpoint("agent"),
            seed: 1,
            gossip: AgentSettings::GOSSIP_INTERVAL,
        };
        let mut slot = Self {
            agent: Agent::new(settings),
            config: config.clone(),
            now: Now {
                mono: Instant::now(),
                wall: SystemTime::UNIX_EPOCH,
            },
            serial: 0,
            team: Tag(0),
            sequence: 0,
            updates: 0,
        };
        slot.handle_event(AgentEvent::Configured(config));
        slot.receive_peer_ledger(backlogged);
        slot.bid(backlogged);
        slot.learn_service_rate(backlogged);
        slot
    }

    /// Serves for some seconds so that the ledger learns the service rate of its peers.
    ///
    /// The pull in flight is lost meanwhile, together with the bids of the router, so it bids again.
    fn learn_service_rate(&mut self, backlogged: usize) {
        for _ in 0..4 {
            self.cycle();
            self.now = self.now.after(Duration::from_millis(1_100));
            self.handle_event(AgentEvent::Tick);
            self.bid(backlogged);
        }
        assert!(self.agent.share().unreported_service(self.now.mono) > 0);
    }

    fn tags(&self, count: usize) -> Vec<Tag> {
        let teams = &self.config.names.teams;
        (0..count)
            .map(|index| teams.tag(cranelift_entity::EntityRef::new(index)))
            .collect()
    }

    fn receive_peer_ledger(&mut self, backlogged: usize) {
        let totals = self.tags(backlogged).into_iter().map(|team| TeamTotal {
            team,
            service: Cost(1),
            pending: Cost::ZERO,
            base: Cost::ZERO,
        });
        let delta = LedgerDelta {
            agent: endpoint("peer").id,
            incarnation: Incarnation(1),
            sequence: 1,
            totals: totals.collect(),
        };
        self.handle_event(AgentEvent::Ledger(delta));
    }

    fn bid(&mut self, backlogged: usize) {
        let bids = self.tags(backlogged).into_iter().map(|team| Bid {
            team,
            class: Class::Standard,
            waiting: u32::MAX,
            oldest: Duration::ZERO,
            hint: Cost(100),
        });
        self.updates += 1;
        let update = BidUpdate {
            router: endpoint("router"),
            sequence: self.updates,
            pool: Name::new("pool").tag(),
            full: true,
            bids: bids.collect(),
        };
        self.handle_event(AgentEvent::Bids(update));
    }

    fn handle_event(&mut self, event: AgentEvent) {
        let mut actions = Vec::new();
        self.agent.handle(self.now, event, &mut actions);
        for action in actions {
            if let AgentAction::Pull { pull, .. } = action {
                self.team = pull.picks[0].team;
                self.sequence = pull.sequence;
            }
        }
    }

    /// Starts and ends the pulled request so that the agent chooses the next one.
    fn cycle(&mut self) {
        self.serial += 1;
        let attempt = AttemptId {
            request: RequestId(self.serial),
            number: 0,
        };
        let offer = Offer {
            attempt,
            router: endpoint("router").id,
            team: self.team,
            route: Tag(0),
            class: Class::Standard,
            hint: Cost(100),
            remaining: None,
            key: None,
            fingerprint: Fingerprint(0),
            prefix: None,
            pulled: true,
        };
        let before = self.sequence;
        let left = Left {
            waiting: u32::MAX,
            oldest: 0,
        };
        self.handle_event(AgentEvent::Pulled(Pulled {
            router: endpoint("router").id,
            sequence: before,
            counts: vec![1],
            left: vec![left],
        }));
        self.handle_event(AgentEvent::Offered(offer));
        self.now = self.now.after(Duration::from_micros(10));
        let end = AttemptEnd::Answered { cost: Cost(100) };
        self.handle_event(AgentEvent::Ended { attempt, end });
        assert!(self.sequence > before, "the agent pulls after each end");
    }
}

fn choice(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("slot cycle");
    for (known, backlogged) in [(10, 10), (1_000, 1_000), (42_000, 10), (42_000, 4_200)] {
        let name = format!("{known} known, {backlogged} backlogged");
        group.bench_function(BenchmarkId::from_parameter(name), |bencher| {
            let mut slot = Slot::new(known, backlogged);
            bencher.iter(|| black_box(&mut slot).cycle());
        });
    }
    group.finish();
}

criterion_group!(benches, choice);
criterion_main!(benches);
