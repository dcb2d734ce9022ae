//! The plain service's state machine.

use knapweed_standins::service::{Begin, Desk, DeskOptions, End, Fault};

fn desk(limit: usize) -> Desk {
    Desk::new(DeskOptions {
        limit,
        ..DeskOptions::default()
    })
}

fn run(desk: &mut Desk, key: &str) -> (Begin, Option<End>) {
    let begin = desk.begin(Some("r"), Some(key));
    let end = matches!(begin, Begin::Run { .. }).then(|| desk.end());
    (begin, end)
}

#[test]
fn each_run_of_a_key_is_counted() {
    let mut desk = desk(2);
    run(&mut desk, "a");
    run(&mut desk, "a");
    run(&mut desk, "b");
    assert_eq!(desk.counts().runs.doubled().collect::<Vec<_>>(), ["a"]);
    insta::assert_debug_snapshot!(desk.counts());
}

#[test]
fn requests_over_the_limit_do_not_run() {
    let mut desk = desk(1);
    desk.begin(None, Some("a"));
    assert_eq!(desk.begin(None, Some("b")), Begin::Busy);
    desk.abandon();
    assert_eq!((desk.counts().busy, desk.counts().runs.started), (1, 1));
}

#[test]
fn a_run_is_counted_even_if_its_answer_is_lost() {
    let mut desk = desk(4);
    desk.set_fault(Fault::DieBefore { times: 1 });
    assert_eq!(run(&mut desk, "a"), (Begin::Drop, None));
    assert!(desk.counts().runs.by_key.is_empty());
    desk.set_fault(Fault::DieAfter { times: 1 });
    assert_eq!(run(&mut desk, "a").1, Some(End::Drop));
    assert_eq!(run(&mut desk, "a").1, Some(End::Answer));
    assert_eq!(desk.counts().runs.by_key["a"], 2);
}
