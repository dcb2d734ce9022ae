//! Every check notices a record in which its promise is broken, and is silent
//! about one in which it is kept.

use std::time::{Duration, Instant};

use knapweed_soak::check::{EVENTS, Promise, check};
use knapweed_soak::record::{Answer, Bounds, Call, Harm, Outcome, Record, Repeat, Run};
use knapweed_soak::schedule::{Kind, Step};
use rustc_hash::FxHashMap;

const SECOND: Duration = Duration::from_secs(1);
const MILLI: Duration = Duration::from_millis(1);

fn bounds() -> Bounds {
    Bounds {
        timeout: SECOND * 3,
        revoke: SECOND * 5,
        drain: SECOND * 2,
        stop: SECOND * 8,
        settle: SECOND * 4,
        retry_ratio: 0.2,
        retry_slack: 20.0,
        retry_window: SECOND * 10,
        cold_most: 26.0,
        cold: SECOND * 3,
    }
}

fn run(id: &str, target: usize, at: Instant) -> Run {
    let header = |name: &str, value: &str| (name.to_owned(), value.to_owned());
    Run {
        id: id.to_owned(),
        target,
        at,
        ran: true,
        headers: vec![
            header("x-knapweedgate-tenant", "red"),
            header("x-knapweedgate-deadline-ms", "2900"),
        ],
    }
}

fn events(ids: impl Iterator<Item = u64>) -> String {
    ids.map(|id| format!("id: {id}\ndata: token {id}\n\n"))
        .collect()
}

fn call(id: &str, repeat: Repeat, sent: Instant) -> Call {
    let body = match repeat.is_stream() {
        true => events(1..=EVENTS),
        false => format!("answer to {id}"),
    };
    Call {
        id: id.to_owned(),
        repeat,
        script: "ok",
        loose: false,
        router: 0,
        sent,
        ended: sent + MILLI * 20,
        outcome: Outcome::Answer(Answer {
            status: 200,
            id: id.to_owned(),
            signed: true,
            retry: false,
            body,
            whole: true,
        }),
    }
}

/// One request of each kind a second, all well.
fn sound(start: Instant) -> Record {
    let kinds = [
        Repeat::Safe,
        Repeat::Once,
        Repeat::Stream,
        Repeat::Resumable,
    ];
    let calls: Vec<Call> = (0..80)
        .map(|number| {
            let sent = start + MILLI * 250 * number;
            call(&format!("c{number}"), kinds[number as usize % 4], sent)
        })
        .collect();
    let last_calls: Vec<Call> = (0..10)
        .map(|number| call(&format!("l{number}"), Repeat::Safe, start + SECOND * 40))
        .collect();
    let all = calls.iter().chain(&last_calls);
    let runs = all.map(|call| run(&call.id, 0, call.sent + MILLI));
    Record {
        bounds: bounds(),
        runs: runs.collect(),
        calls,
        last_calls,
        left: FxHashMap::default(),
        harms: Vec::new(),
        exits: Vec::new(),
        stops: Vec::new(),
    }
}

fn harm(kind: Kind, subject: usize, began: Instant, span: Duration) -> Harm {
    Harm {
        step: Step {
            at: Duration::ZERO,
            span,
            kind,
            subject,
        },
        began,
        ended: began + span,
    }
}

fn own(status: u16, retry: bool) -> Outcome {
    Outcome::Answer(Answer {
        status,
        retry,
        whole: true,
        ..Answer::default()
    })
}

fn answer(call: &mut Call) -> &mut Answer {
    match &mut call.outcome {
        Outcome::Answer(answer) => answer,
        other => panic!("{other:?} is no answer"),
    }
}

/// What the checks find in a sound record after a change.
fn found(plant: impl FnOnce(&mut Record, Instant)) -> Vec<Promise> {
    let start = Instant::now();
    let mut record = sound(start);
    plant(&mut record, start);
    let mut promises: Vec<Promise> = check(&record).iter().map(|it| it.promise).collect();
    promises.sort_unstable();
    promises.dedup();
    promises
}

#[test]
fn a_sound_record_breaks_nothing() {
    assert_eq!(found(|_, _| {}), []);
}

#[test]
fn answers_of_others_and_bodies_of_others_are_found() {
    let expected = [Promise::OwnAnswers];
    assert_eq!(
        found(|it, _| answer(&mut it.calls[0]).id = "c1".to_owned()),
        expected
    );
    assert_eq!(
        found(|it, _| answer(&mut it.calls[0]).body = "answer to c1".to_owned()),
        expected
    );
    assert_eq!(
        found(|it, _| answer(&mut it.calls[0]).signed = false),
        expected
    );
}

#[test]
fn events_that_are_missing_double_or_cut_are_found() {
    let plant = |body: String| found(|it, _| answer(&mut it.calls[2]).body = body);
    assert_eq!(
        plant(events((1..=EVENTS).filter(|id| *id != 4))),
        [Promise::Order]
    );
    assert_eq!(plant(events((1..=4).chain(4..=EVENTS))), [Promise::Order]);
    assert_eq!(
        plant(events(1..=4)),
        [Promise::Order],
        "its end is not the last event's"
    );
}

#[test]
fn a_second_run_is_found_where_one_is_allowed() {
    let again = |index: usize| {
        found(|it, _| {
            let id = it.calls[index].id.clone();
            let at = it.calls[index].sent + MILLI * 5;
            it.runs.push(run(&id, 1, at));
        })
    };
    assert_eq!(again(0), [], "safe");
    assert_eq!(again(1), [Promise::Once]);
    assert_eq!(again(2), [Promise::Once]);
    assert_eq!(again(3), [], "resumable");
}

#[test]
fn a_refusal_that_ran_or_names_no_time_is_found() {
    assert_eq!(
        found(|it, _| it.calls[1].outcome = own(503, true)),
        [Promise::Refusals]
    );
    let refused = |it: &mut Record, retry| {
        it.calls[1].outcome = own(503, retry);
        it.runs.retain(|run| run.id != "c1");
    };
    assert_eq!(found(|it, _| refused(it, true)), []);
    assert_eq!(found(|it, _| refused(it, false)), [Promise::Refusals]);
}

#[test]
fn a_run_with_a_withdrawn_key_is_found() {
    let plant = |since: Duration| {
        found(|it, start| {
            it.calls[40].loose = true;
            it.runs[40].headers[0].1 = "loose".to_owned();
            let began = start + SECOND * 10 - since;
            it.harms.push(harm(Kind::WithdrawKey, 0, began, SECOND * 9));
        })
    };
    assert_eq!(plant(SECOND * 6), [Promise::Keys]);
    assert_eq!(plant(SECOND * 4), [], "the bound has not passed");
}

#[test]
fn a_request_at_a_target_that_left_is_found() {
    let plant = |trouble: bool| {
        found(|it, start| {
            it.harms
                .push(harm(Kind::DrainTarget, 0, start + SECOND, SECOND * 4));
            if trouble {
                it.harms
                    .push(harm(Kind::SilentStore, 0, start + SECOND, SECOND));
            }
        })
    };
    assert_eq!(plant(false), [Promise::Drains]);
    assert_eq!(plant(true), [], "routers could not know");
}

#[test]
fn a_request_lost_in_a_planned_stop_is_found() {
    let plant = |outcome: Outcome| {
        found(|it, start| {
            it.harms.push(harm(Kind::StopRouter, 0, start, SECOND * 2));
            it.calls[0].outcome = outcome;
        })
    };
    assert_eq!(plant(Outcome::Closed), [Promise::Stops]);
    assert_eq!(plant(Outcome::Unconnected), []);
    assert_eq!(
        found(|it, _| it.stops.push((0, SECOND * 9))),
        [Promise::Stops]
    );
}

#[test]
fn an_answer_after_its_limit_is_found() {
    let late = |it: &mut Record| it.calls[0].ended = it.calls[0].sent + SECOND * 4;
    assert_eq!(found(|it, _| late(it)), [Promise::Limits]);
    let paused = found(|it, start| {
        late(it);
        it.harms.push(harm(Kind::PauseRouter, 0, start, SECOND * 2));
    });
    assert_eq!(paused, []);
}

#[test]
fn a_target_that_is_not_told_of_a_caller_that_left_is_found() {
    let plant = |told: Option<Duration>| {
        found(|it, _| {
            it.calls[0].outcome = Outcome::Left;
            let ended = it.calls[0].ended;
            it.left
                .extend(told.map(|after| ("c0".to_owned(), ended + after)));
        })
    };
    assert_eq!(plant(None), [Promise::Cancels]);
    assert_eq!(plant(Some(SECOND)), [Promise::Cancels]);
    assert_eq!(plant(Some(MILLI * 100)), []);
}

#[test]
fn repeats_beyond_the_budget_are_found() {
    let plant = |count: usize| {
        found(|it, start| {
            let repeats = (0..count).map(|_| run("c0", 1, start + SECOND));
            it.runs.extend(repeats);
        })
    };
    // 80 requests in 20 s: a fifth of those around, and 20.
    assert_eq!(plant(25), []);
    assert_eq!(plant(40), [Promise::Budget]);
}

#[test]
fn too_many_arrivals_at_a_cold_target_are_found() {
    let plant = |count: usize| {
        found(|it, start| {
            it.harms.push(harm(Kind::CrashTarget, 1, start, SECOND));
            let ids = (0..count).map(|number| format!("x{number}"));
            it.runs
                .extend(ids.map(|id| run(&id, 1, start + MILLI * 1_500)));
        })
    };
    assert_eq!(plant(26), []);
    assert_eq!(plant(27), [Promise::Cold]);
}

#[test]
fn headers_that_are_the_systems_to_set_are_looked_at() {
    let expected = [Promise::Headers];
    assert_eq!(
        found(|it, _| it.runs[0].headers[0].1 = "blue".to_owned()),
        expected
    );
    assert_eq!(
        found(|it, _| it.runs[0].headers[1].1 = "9000".to_owned()),
        expected
    );
    let key = ("authorization".to_owned(), "Bearer x".to_owned());
    assert_eq!(found(|it, _| it.runs[0].headers.push(key)), expected);
}

#[test]
fn a_process_that_ends_and_a_fleet_that_does_not_recover_are_found() {
    assert_eq!(
        found(|it, start| it.exits.push((0, start))),
        [Promise::Exits]
    );
    let unserved = found(|it, _| {
        for call in &mut it.last_calls[..2] {
            call.outcome = Outcome::Unconnected;
        }
    });
    assert_eq!(unserved, [Promise::Recovery]);
}
