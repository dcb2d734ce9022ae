//! Slots, pulls and offers of an agent.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime};

use cranelift_entity::EntityRef;
use entity::{
    AttemptId, Class, Cost, Directory, Fingerprint, Incarnation, Machine, Name, Now, PoolId,
    ProcessId, RequestId, Revision, RuleRef, Tag, TargetId, TeamId, Weight,
};
use knapweed_policy::message::{Bid, BidUpdate, Endpoint, Left, Offer, Pulled};
use knapweed_policy::{Agent, AgentAction, AgentEvent, AgentSettings, AttemptEnd};
use rules::{Config, Fencing, Limits, Pool, PoolKind, Target, Team, Window};

const RULE: RuleRef = RuleRef {
    revision: Revision(1),
    line: 1,
};

struct Bench {
    agent: Agent,
    start: Now,
    log: String,
}

fn endpoint(name: &str) -> Endpoint {
    Endpoint {
        id: ProcessId(Name::new(name).tag()),
        incarnation: Incarnation(1),
        control: SocketAddr::from(([127, 0, 0, 1], 0)),
    }
}

fn config() -> Config {
    let mut names = Directory::default();
    let pool: PoolId = names.pools.intern(&Name::new("pool"));
    let centre = names.centres.intern(&Name::new("dc"));
    let target: TargetId = names.targets.intern(&Name::new("agent"));
    let mut config = Config::default();
    for name in ["one", "two"] {
        let team: TeamId = names.teams.intern(&Name::new(name));
        config.teams[team] = Some(Team {
            rule: RULE,
            weight: Weight::ONE,
            class: Class::Standard,
            limits: Limits::default(),
        });
    }
    config.targets[target] = Some(Target {
        rule: RULE,
        pool,
        centre,
        data: endpoint("agent").control,
        control: endpoint("agent").control,
        fencing: Fencing::Checked,
        drain: None,
        from: None,
        until: None,
    });
    config.pools[pool] = Some(Pool {
        rule: RULE,
        kind: PoolKind::Model,
        targets: vec![TargetId::new(0)],
        window: Window { cold: 2, max: 4 },
    });
    config.names = Arc::new(names);
    config
}

impl Bench {
    fn new() -> Self {
        let settings = AgentSettings {
            endpoint: endpoint("agent"),
            seed: 1,
            gossip: AgentSettings::GOSSIP_INTERVAL,
        };
        let mut bench = Self {
            agent: Agent::new(settings),
            start: Now {
                mono: Instant::now(),
                wall: SystemTime::UNIX_EPOCH,
            },
            log: String::new(),
        };
        bench.tell(0, AgentEvent::Configured(Arc::new(config())));
        bench
    }

    fn tell(&mut self, millis: u64, event: AgentEvent) {
        let now = self.start.after(Duration::from_millis(millis));
        let mut actions = Vec::new();
        self.agent.handle(now, event, &mut actions);
        for action in actions {
            let line = match action {
                AgentAction::Start(attempt) => format!("start {}", attempt.request.0),
                AgentAction::Reject {
                    attempt, refusal, ..
                } => format!("reject {}: {}", attempt.request.0, refusal.reason),
                AgentAction::Pull { pull, .. } => {
                    let picks = pull.picks.iter();
                    let team = |tag: Tag| match tag == Name::new("one").tag() {
                        true => "one",
                        false => "two",
                    };
                    let picks = picks.map(|pick| format!("{} {}", pick.count, team(pick.team)));
                    format!(
                        "pull {}: {}",
                        pull.sequence,
                        picks.collect::<Vec<_>>().join(", ")
                    )
                }
                AgentAction::Solicit(_) => "solicit".to_owned(),
                AgentAction::Cancel(attempt) => format!("cancel {}", attempt.request.0),
                AgentAction::Decided(decision) => {
                    let lines: Vec<_> = decision.rules.iter().map(|rule| rule.line).collect();
                    let (request, step) = (decision.request.0, decision.step);
                    format!(
                        "decide {request} {step:?} by {lines:?}: {}",
                        decision.detail
                    )
                }
                AgentAction::Stopped => "stopped".to_owned(),
                other => format!("{other:?}"),
            };
            self.log.push_str(&format!("{millis} {line}\n"));
        }
    }

    fn bids(&mut self, millis: u64, sequence: u64, bids: &[(&str, u32)]) {
        let bids = bids.iter().map(|&(team, waiting)| Bid {
            team: Name::new(team).tag(),
            class: Class::Standard,
            waiting,
            oldest: Duration::ZERO,
            hint: Cost(10),
        });
        let update = BidUpdate {
            router: endpoint("router"),
            sequence,
            pool: Name::new("pool").tag(),
            full: true,
            bids: bids.collect(),
        };
        self.tell(millis, AgentEvent::Bids(update));
    }

    fn offer(&mut self, millis: u64, request: u128, team: &str, pulled: bool) {
        let offer = Offer {
            attempt: attempt(request),
            router: endpoint("router").id,
            team: Name::new(team).tag(),
            route: Tag(0),
            class: Class::Standard,
            hint: Cost(10),
            remaining: None,
            key: None,
            fingerprint: Fingerprint(request),
            prefix: None,
            pulled,
        };
        self.tell(millis, AgentEvent::Offered(offer));
    }

    fn pulled(&mut self, millis: u64, sequence: u64, count: u16) {
        let pulled = Pulled {
            router: endpoint("router").id,
            sequence,
            counts: vec![count],
            left: vec![Left::default()],
        };
        self.tell(millis, AgentEvent::Pulled(pulled));
    }

    fn answered(&mut self, millis: u64, request: u128) {
        let end = AttemptEnd::Answered { cost: Cost(10) };
        let attempt = attempt(request);
        self.tell(millis, AgentEvent::Ended { attempt, end });
    }
}

fn attempt(request: u128) -> AttemptId {
    AttemptId {
        request: RequestId(request),
        number: 0,
    }
}

#[test]
fn offers_without_a_pull_start_only_in_free_slots_and_not_before_bids() {
    let mut bench = Bench::new();
    bench.offer(0, 1, "one", false);
    bench.offer(1, 2, "one", false);
    bench.offer(2, 3, "one", false);
    bench.bids(3, 1, &[("two", 5)]);
    bench.answered(4, 1);
    bench.offer(5, 4, "one", false);
    insta::assert_snapshot!(bench.log);
}

#[test]
fn slots_of_a_pull_without_answer_are_given_back_and_its_router_is_left_alone() {
    let mut bench = Bench::new();
    bench.bids(0, 1, &[("one", 5), ("two", 5)]);
    bench.offer(1, 1, "one", true);
    assert_eq!(bench.agent.used(), 2);
    bench.tell(700, AgentEvent::Tick);
    assert_eq!(bench.agent.used(), 1);
    bench.bids(800, 2, &[("two", 5)]);
    assert_eq!(bench.agent.used(), 2);
    insta::assert_snapshot!(bench.log);
}

#[test]
fn an_empty_pull_ends_the_bid() {
    let mut bench = Bench::new();
    bench.bids(0, 1, &[("one", 9)]);
    bench.pulled(1, 1, 0);
    assert_eq!(bench.agent.used(), 0);
    insta::assert_snapshot!(bench.log);
}

#[test]
fn solicits_ever_more_rarely_while_idle() {
    let mut bench = Bench::new();
    for step in 0..300 {
        bench.tell(100 * step, AgentEvent::Tick);
    }
    insta::assert_snapshot!(bench.log);
}

#[test]
fn a_target_that_is_down_gets_nothing() {
    let mut bench = Bench::new();
    bench.tell(0, AgentEvent::TargetDown);
    bench.bids(1, 1, &[("one", 5)]);
    bench.offer(2, 1, "one", true);
    bench.tell(3, AgentEvent::TargetUp);
    insta::assert_snapshot!(bench.log);
}

#[test]
fn stops_when_its_attempts_have_ended() {
    let mut bench = Bench::new();
    bench.offer(0, 1, "one", false);
    bench.tell(1, AgentEvent::Stop);
    bench.offer(2, 2, "one", false);
    bench.answered(3, 1);
    bench.tell(4, AgentEvent::Tick);
    insta::assert_snapshot!(bench.log);
}

#[test]
fn a_superseded_agent_starts_nothing_and_its_running_attempts_end() {
    let mut bench = Bench::new();
    bench.offer(0, 1, "one", false);
    bench.bids(1, 1, &[("two", 5)]);
    bench.pulled(2, 1, 1);
    bench.offer(3, 2, "two", true);
    bench.bids(4, 2, &[("two", 5)]);
    bench.offer(5, 3, "two", true);
    bench.log.push_str("superseded\n");
    bench.tell(6, AgentEvent::Superseded);
    assert!(bench.agent.load().draining);
    bench.offer(7, 4, "one", false);
    bench.offer(8, 5, "two", true);
    bench.bids(9, 3, &[("two", 9)]);
    bench.answered(10, 1);
    bench.tell(3_000, AgentEvent::Tick);
    bench.offer(3_001, 6, "one", false);
    insta::assert_snapshot!(bench.log);
}
