//! Tests of the engine's state machines.

use std::time::Duration;

use insta::{assert_debug_snapshot, assert_snapshot};
use knapweed_standins::engine::{
    AnswerText, Batch, CRASH_MARKER, CacheEventKind, DelayedLoadReport, Engine, EngineOptions,
    EngineRequest, EventLog, Fencing, Limits, LoadReport, Order, Orders, Phase, PrefixCache,
    Resumed,
};

fn at(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn limits() -> Limits {
    Limits {
        cold: 2,
        warm: 4,
        warm_after: 4,
        ..Limits::default()
    }
}

fn chat_request(request: &str, content: &str, max_tokens: u32) -> EngineRequest {
    let body = format!(
        r#"{{"model":"m","messages":[{{"role":"user","content":"{content}"}}],"max_tokens":{max_tokens}}}"#
    );
    EngineRequest {
        request_id: request.to_owned(),
        key: None,
        body: body.into_bytes().into(),
    }
}

#[test]
fn the_answer_text_depends_on_the_body_alone() {
    let answer_text = AnswerText::new(b"body", 12);
    assert_eq!(answer_text, AnswerText::new(b"body", 12));
    assert_snapshot!(format!("{} {:?}", answer_text.length(), answer_text.full()));
}

#[test]
fn a_cold_engine_crashes_over_its_limit_and_a_warm_one_queues() {
    let mut batch = Batch::new(limits());
    let mut lines = String::new();
    let short = AnswerText::new(b"short", 1);
    for round in 0..4 {
        let admitted = batch.admit(short, 0, 0, false).is_ok();
        let step = batch.step();
        lines.push_str(&format!(
            "round {round}: admitted {admitted}, tokens {}, limit {}, {:?}\n",
            step.tokens.len(),
            batch.limit(),
            batch.phase()
        ));
    }
    let long = AnswerText::new(b"long", 100);
    for _ in 0..6 {
        batch
            .admit(long, 0, 0, false)
            .expect("a warm engine queues");
    }
    lines.push_str(&format!(
        "warm: {} run, {} wait, a step takes {:?}\n",
        batch.running(),
        batch.waiting(),
        batch.step_time()
    ));
    batch.crash();
    batch.restart();
    let results: Vec<_> = (0..3)
        .map(|_| {
            batch
                .admit(long, 0, 0, false)
                .map_err(|crashed_sequences| crashed_sequences.len())
        })
        .collect();
    lines.push_str(&format!(
        "cold again, generation {}: {results:?}, {:?}\n",
        batch.generation(),
        batch.phase()
    ));
    assert_snapshot!(lines);
}

#[test]
fn a_prompt_is_processed_before_the_first_token() {
    let mut batch = Batch::new(limits());
    let answer_text = AnswerText::new(b"x", 3);
    batch.admit(answer_text, 0, 200, false).expect("one fits");
    let tokens: Vec<usize> = (0..6).map(|_| batch.step().tokens.len()).collect();
    assert_eq!(tokens[..4], [0, 0, 0, 1]);
}

#[test]
fn a_marked_request_crashes_the_engine_that_runs_it() {
    let mut engine = Engine::new(at(0), EngineOptions::default());
    engine
        .start(at(1), &chat_request("good", "hello", 50))
        .expect("fits");
    engine
        .start(at(1), &chat_request("bad", CRASH_MARKER, 50))
        .expect("fits");
    let step = engine.step(at(5));
    assert_eq!(step.crashed.len(), 2);
    assert_eq!(engine.phase(), Phase::Down);
    assert!(
        engine
            .start(at(6), &chat_request("late", "hello", 5))
            .is_err()
    );
    engine.restart(at(1500));
    assert_debug_snapshot!(engine.counts(at(1600)));
}

#[test]
fn a_cancelled_answer_resumes_where_the_caller_stopped() {
    let mut engine = Engine::new(at(0), EngineOptions::default());
    let admitted = engine
        .start(at(0), &chat_request("r", "hello", 40))
        .expect("fits");
    let tokens_generated: Vec<u32> = (1..4)
        .flat_map(|n| engine.step(at(n)).tokens)
        .map(|token| token.index)
        .collect();
    assert_eq!(tokens_generated, [0, 1, 2]);
    assert!(engine.cancel(at(4), admitted.sequence));
    let Resumed::Running {
        tokens_generated, ..
    } = engine.resume(at(5), "r", 2)
    else {
        panic!("the request is known");
    };
    assert_eq!(tokens_generated, 2);
    let next = engine.step(at(6)).tokens;
    assert_eq!(next[0].index, 2);
    assert_eq!(engine.resume(at(7), "other", 0), Resumed::Unknown);
}

#[test]
fn a_load_report_lags() {
    let mut reporter = DelayedLoadReport::new(at(300));
    for n in 0..8_u64 {
        reporter.add_sample(LoadReport {
            running: usize::try_from(n).expect("small"),
            at_millis: n * 100,
            ..LoadReport::default()
        });
    }
    let seen: Vec<usize> = [700, 800, 1000, 2000]
        .map(|millis| reporter.report(at(millis)).running)
        .into();
    assert_eq!(seen, [4, 5, 7, 7]);
}

#[test]
fn the_cache_evicts_the_least_recently_used_prefix() {
    let mut cache = PrefixCache::new(100);
    assert!(cache.insert(1, 40).is_empty());
    assert!(cache.insert(2, 40).is_empty());
    assert!(cache.mark_used(1));
    assert_eq!(cache.insert(3, 40), [2]);
    assert_eq!((cache.tokens(1), cache.tokens(2)), (Some(40), None));
}

#[test]
fn cache_events_are_late_and_have_gaps() {
    let mut log = EventLog::new(at(500), 3);
    for n in 1..=7 {
        log.push(at(n * 100), CacheEventKind::Stored, n);
    }
    let numbers = |now, after| -> Vec<u64> {
        log.visible(at(now), after)
            .iter()
            .map(|event| event.number)
            .collect()
    };
    assert_eq!(numbers(650, 0), [1]);
    assert_eq!(numbers(5000, 0), [1, 2, 4, 5, 7]);
    assert_eq!(numbers(5000, 4), [5, 7]);
}

#[test]
fn an_order_is_fenced_only_if_the_engine_checks_fencing_numbers() {
    let order = || Order::Load {
        model: "m".to_owned(),
    };
    let apply = |fencing| {
        let mut orders = Orders::new(fencing);
        let numbers = [Some(5), Some(4), Some(5), None];
        numbers.map(|number| {
            orders
                .apply(number, order())
                .map_err(|error| error.to_string())
        })
    };
    assert_debug_snapshot!((apply(Fencing::Checked), apply(Fencing::Ignored)));
}
