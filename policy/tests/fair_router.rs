//! Admission, queues, bids and pulls of a router, driven through its events.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime};

use cranelift_entity::EntityRef;
use entity::{
    AttemptId, Class, Cost, Directory, Fingerprint, Incarnation, Name, Now, PoolId, ProcessId,
    Reason, Refusal, RequestId, RetryAdvice, Revision, RouteId, RuleRef, StateMachine, TargetId,
    TeamId, Weight,
};
use knapweed_policy::message::{Endpoint, Load, Pick, Pull};
use knapweed_policy::{Arrival, AttemptResult, Router, RouterAction, RouterEvent, RouterSettings};
use rules::{Config, DataCentre, Fencing, Limits, Pool, PoolKind, RateLimit, Target, Team, Window};

const RULE: RuleRef = RuleRef {
    revision: Revision(1),
    line: 1,
};

struct Harness {
    router: Router,
    start: Now,
    log: String,
}

fn address() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

fn endpoint(name: &str) -> Endpoint {
    Endpoint {
        id: ProcessId(Name::new(name).tag()),
        incarnation: Incarnation(1),
        control: address(),
    }
}

/// Two data centres with one target each, and one team.
fn config(limits: Limits) -> Config {
    let mut names = Directory::default();
    names.pools.intern(&Name::new("pool"));
    names.routes.intern(&Name::new("route"));
    names.teams.intern(&Name::new("team"));
    let mut config = Config::default();
    for name in ["near", "far"] {
        let centre = names.centres.intern(&Name::new(name));
        let target = names.targets.intern(&Name::new(&format!("target-{name}")));
        config.centres[centre] = Some(DataCentre {
            rule: RULE,
            drain: None,
        });
        config.targets[target] = Some(Target {
            rule: RULE,
            pool: PoolId::new(0),
            centre,
            data: address(),
            control: address(),
            fencing: Fencing::Checked,
            drain: None,
            from: None,
            until: None,
        });
    }
    config.teams[TeamId::new(0)] = Some(Team {
        rule: RULE,
        weight: Weight::ONE,
        class: Class::Standard,
        limits,
    });
    config.pools[PoolId::new(0)] = Some(Pool {
        rule: RULE,
        kind: PoolKind::Model,
        targets: vec![TargetId::new(0), TargetId::new(1)],
        window: Window::default(),
    });
    config.names = Arc::new(names);
    config
}

impl Harness {
    fn new() -> Self {
        let settings = RouterSettings {
            endpoint: endpoint("router"),
            centre: Name::new("near"),
            seed: 1,
        };
        Self {
            router: Router::new(settings),
            start: Now {
                mono: Instant::now(),
                wall: SystemTime::UNIX_EPOCH,
            },
            log: String::new(),
        }
    }

    fn configured(limits: Limits) -> Self {
        let mut harness = Self::new();
        harness.send(0, RouterEvent::Configured(Arc::new(config(limits))));
        harness
    }

    fn send(&mut self, millis: u64, event: RouterEvent) {
        let now = self.start.after(Duration::from_millis(millis));
        let mut actions = Vec::new();
        self.router.handle(now, event, &mut actions);
        for action in actions {
            self.write(millis, &action);
        }
    }

    fn write(&mut self, millis: u64, action: &RouterAction) {
        let line = match action {
            RouterAction::Dispatch(order) => {
                format!(
                    "dispatch {} to {}",
                    order.offer.attempt.request.0, order.target
                )
            }
            RouterAction::Finish { request, outcome } => format!("finish {request:?}: {outcome:?}"),
            RouterAction::Cancel(attempt) => format!("cancel {attempt:?}"),
            RouterAction::Bid { target, update } => {
                let bids = update.bids.iter();
                let bids = bids.map(|bid| format!("{} {}", bid.class, bid.waiting));
                format!("bid to {target}: {}", bids.collect::<Vec<_>>().join(", "))
            }
            RouterAction::PullReply { pulled, .. } => {
                format!("pulled {:?} left {:?}", pulled.counts, pulled.left)
            }
            RouterAction::Decided(_) => return,
            RouterAction::Stopped => "stopped".to_owned(),
        };
        self.log.push_str(&format!("{millis} {line}\n"));
    }

    fn arrive(&mut self, millis: u64, request: u128, class: Class, deadline: u64) {
        let arrival = Arrival {
            request: RequestId(request),
            team: TeamId::new(0),
            route: RouteId::new(0),
            pool: PoolId::new(0),
            class,
            hint: Some(Cost(10)),
            deadline: self.start.mono + Duration::from_millis(deadline),
            key: None,
            fingerprint: Fingerprint(request),
            prefix: None,
        };
        self.send(millis, RouterEvent::Arrived(arrival));
    }

    fn loaded(&mut self, millis: u64, target: usize, free: u16) {
        let load = Load {
            free,
            window: 4,
            ..Load::default()
        };
        let target = TargetId::new(target);
        self.send(millis, RouterEvent::LoadReported { target, load });
    }

    fn full(&mut self, millis: u64) {
        self.loaded(millis, 0, 0);
        self.loaded(millis, 1, 0);
    }

    fn pull(&mut self, millis: u64, sequence: u64, class: Class, count: u16) {
        let pick = Pick {
            team: Name::new("team").tag(),
            class,
            count,
        };
        let pull = Pull {
            agent: endpoint("target-near"),
            sequence,
            picks: vec![pick],
        };
        self.send(millis, RouterEvent::Pull(pull));
    }

    fn ended(&mut self, millis: u64, request: u128, number: u16, result: AttemptResult) {
        let request = RequestId(request);
        let attempt = AttemptId { request, number };
        self.send(millis, RouterEvent::Ended { attempt, result });
    }
}

#[test]
fn refuses_without_configuration() {
    let mut harness = Harness::new();
    harness.arrive(0, 1, Class::Standard, 1_000);
    insta::assert_snapshot!(harness.log);
}

#[test]
fn sends_at_once_to_free_slots_own_data_centre_first() {
    let mut harness = Harness::configured(Limits::default());
    harness.loaded(0, 0, 1);
    harness.loaded(0, 1, 1);
    for request in 1..=3 {
        harness.arrive(1, request, Class::Standard, 10_000);
    }
    insta::assert_snapshot!(harness.log);
}

#[test]
fn a_rejected_attempt_is_pulled_before_the_others_and_a_repeated_pull_is_ignored() {
    let mut harness = Harness::configured(Limits::default());
    harness.full(0);
    harness.arrive(1, 1, Class::Standard, 10_000);
    harness.arrive(2, 2, Class::Standard, 10_000);
    harness.pull(3, 1, Class::Standard, 1);
    let refusal = Refusal::new(Reason::NoSlot, RetryAdvice::After(Duration::from_secs(1)));
    harness.ended(4, 1, 0, AttemptResult::NotRun(refusal));
    harness.pull(5, 2, Class::Standard, 5);
    harness.pull(5, 2, Class::Standard, 5);
    insta::assert_snapshot!(harness.log);
}

#[test]
fn an_old_batch_request_goes_before_a_new_interactive_one() {
    let mut harness = Harness::configured(Limits::default());
    harness.full(0);
    harness.arrive(0, 1, Class::Batch, 600_000);
    harness.arrive(10_000, 2, Class::Interactive, 600_000);
    harness.arrive(31_000, 3, Class::Interactive, 600_000);
    harness.full(31_500);
    harness.pull(32_000, 1, Class::Standard, 3);
    insta::assert_snapshot!(harness.log);
}

#[test]
fn a_passed_deadline_is_refused_as_not_run() {
    let mut harness = Harness::configured(Limits::default());
    harness.full(0);
    harness.arrive(1, 1, Class::Standard, 500);
    harness.send(499, RouterEvent::Tick);
    harness.send(500, RouterEvent::Tick);
    insta::assert_snapshot!(harness.log);
}

#[test]
fn limit_refusals_carry_a_retry_delay() {
    let mut harness = Harness::configured(Limits {
        in_flight: 10,
        rate: Some(RateLimit { rate: 2, burst: 3 }),
        queue: 2,
    });
    harness.full(0);
    for request in 1..=4 {
        harness.arrive(1, request, Class::Standard, 10_000);
    }
    insta::assert_snapshot!(harness.log);
}

#[test]
fn waiting_requests_are_refused_when_no_agent_is_reachable() {
    let mut harness = Harness::configured(Limits::default());
    harness.full(0);
    harness.arrive(1, 1, Class::Standard, 10_000);
    harness.send(2, RouterEvent::Unreachable(TargetId::new(0)));
    harness.send(3, RouterEvent::Unreachable(TargetId::new(1)));
    harness.arrive(4, 2, Class::Standard, 10_000);
    insta::assert_snapshot!(harness.log);
}

#[test]
fn stops_when_its_requests_have_ended() {
    let mut harness = Harness::configured(Limits::default());
    harness.loaded(0, 0, 1);
    harness.arrive(1, 1, Class::Standard, 10_000);
    harness.send(2, RouterEvent::Stop);
    harness.arrive(3, 2, Class::Standard, 10_000);
    harness.ended(4, 1, 0, AttemptResult::Answered { cost: Cost(5) });
    harness.send(5, RouterEvent::Tick);
    insta::assert_snapshot!(harness.log);
}

#[test]
fn a_superseded_router_starts_nothing_and_its_running_attempts_end() {
    let mut harness = Harness::configured(Limits::default());
    harness.loaded(0, 0, 2);
    harness.loaded(0, 1, 2);
    harness.arrive(1, 1, Class::Standard, 9_000);
    harness.arrive(1, 2, Class::Standard, 9_000);
    harness.full(2);
    harness.arrive(3, 3, Class::Standard, 9_000);
    harness.log.push_str("superseded\n");
    harness.send(4, RouterEvent::Superseded);
    harness.loaded(5, 1, 4);
    harness.arrive(6, 4, Class::Standard, 9_000);
    harness.pull(7, 1, Class::Standard, 2);
    let refusal = Refusal::new(Reason::NoSlot, RetryAdvice::After(Duration::ZERO));
    harness.ended(8, 1, 0, AttemptResult::NotRun(refusal));
    let answered = AttemptResult::Answered { cost: Cost(10) };
    harness.ended(9, 2, 0, answered);
    harness.send(5_000, RouterEvent::Tick);
    insta::assert_snapshot!(harness.log);
}
