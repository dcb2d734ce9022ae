//! Slots, pulls and offers of an agent, driven through its events.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime};

use cranelift_entity::EntityRef;
use entity::{
    AttemptId, Class, Cost, Directory, Fingerprint, Incarnation, Name, Now, PoolId, ProcessId,
    RequestId, Revision, RuleRef, StateMachine, Tag, TargetId, TeamId, Weight,
};
use knapweed_policy::message::{Bid, BidUpdate, Endpoint, Left, Offer, Pulled};
use knapweed_policy::{Agent, AgentAction, AgentEvent, AgentSettings, AttemptEnd};
use rules::{Config, Fencing, Limits, Pool, PoolKind, Target, Team, Window};

const RULE: RuleRef = RuleRef {
    revision: Revision(1),
    line: 1,
};

struct Harness {
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

impl Harness {
    fn new() -> Self {
        let settings = AgentSettings {
            endpoint: endpoint("agent"),
            seed: 1,
            gossip: AgentSettings::GOSSIP_INTERVAL,
        };
        let mut harness = Self {
            agent: Agent::new(settings),
            start: Now {
                mono: Instant::now(),
                wall: SystemTime::UNIX_EPOCH,
            },
            log: String::new(),
        };
        harness.send(0, AgentEvent::Configured(Arc::new(config())));
        harness
    }

    fn send(&mut self, millis: u64, event: AgentEvent) {
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
        self.send(millis, AgentEvent::Bids(update));
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
        self.send(millis, AgentEvent::Offered(offer));
    }

    fn pulled(&mut self, millis: u64, sequence: u64, count: u16) {
        let pulled = Pulled {
            router: endpoint("router").id,
            sequence,
            counts: vec![count],
            left: vec![Left::default()],
        };
        self.send(millis, AgentEvent::Pulled(pulled));
    }

    fn answered(&mut self, millis: u64, request: u128) {
        let end = AttemptEnd::Answered { cost: Cost(10) };
        let attempt = attempt(request);
        self.send(millis, AgentEvent::Ended { attempt, end });
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
    let mut harness = Harness::new();
    harness.offer(0, 1, "one", false);
    harness.offer(1, 2, "one", false);
    harness.offer(2, 3, "one", false);
    harness.bids(3, 1, &[("two", 5)]);
    harness.answered(4, 1);
    harness.offer(5, 4, "one", false);
    insta::assert_snapshot!(harness.log);
}

#[test]
fn an_unanswered_pull_releases_its_slots_and_drops_the_router_bids() {
    let mut harness = Harness::new();
    harness.bids(0, 1, &[("one", 5), ("two", 5)]);
    harness.offer(1, 1, "one", true);
    assert_eq!(harness.agent.used(), 2);
    harness.send(700, AgentEvent::Tick);
    assert_eq!(harness.agent.used(), 1);
    harness.bids(800, 2, &[("two", 5)]);
    assert_eq!(harness.agent.used(), 2);
    insta::assert_snapshot!(harness.log);
}

#[test]
fn an_empty_pull_ends_the_bid() {
    let mut harness = Harness::new();
    harness.bids(0, 1, &[("one", 9)]);
    harness.pulled(1, 1, 0);
    assert_eq!(harness.agent.used(), 0);
    insta::assert_snapshot!(harness.log);
}

#[test]
fn solicits_back_off_while_idle() {
    let mut harness = Harness::new();
    for step in 0..300 {
        harness.send(100 * step, AgentEvent::Tick);
    }
    insta::assert_snapshot!(harness.log);
}

#[test]
fn a_target_that_is_down_gets_no_attempts() {
    let mut harness = Harness::new();
    harness.send(0, AgentEvent::TargetDown);
    harness.bids(1, 1, &[("one", 5)]);
    harness.offer(2, 1, "one", true);
    harness.send(3, AgentEvent::TargetUp);
    insta::assert_snapshot!(harness.log);
}

#[test]
fn stops_when_its_attempts_have_ended() {
    let mut harness = Harness::new();
    harness.offer(0, 1, "one", false);
    harness.send(1, AgentEvent::Stop);
    harness.offer(2, 2, "one", false);
    harness.answered(3, 1);
    harness.send(4, AgentEvent::Tick);
    insta::assert_snapshot!(harness.log);
}

#[test]
fn a_superseded_agent_starts_nothing_and_its_running_attempts_end() {
    let mut harness = Harness::new();
    harness.offer(0, 1, "one", false);
    harness.bids(1, 1, &[("two", 5)]);
    harness.pulled(2, 1, 1);
    harness.offer(3, 2, "two", true);
    harness.bids(4, 2, &[("two", 5)]);
    harness.offer(5, 3, "two", true);
    harness.log.push_str("superseded\n");
    harness.send(6, AgentEvent::Superseded);
    assert!(harness.agent.load().draining);
    harness.offer(7, 4, "one", false);
    harness.offer(8, 5, "two", true);
    harness.bids(9, 3, &[("two", 9)]);
    harness.answered(10, 1);
    harness.send(3_000, AgentEvent::Tick);
    harness.offer(3_001, 6, "one", false);
    insta::assert_snapshot!(harness.log);
}
