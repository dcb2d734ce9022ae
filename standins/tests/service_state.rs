//! Tests of the plain service's state machine.

use knapweed_standins::service::{
    Fault, FinishDecision, ServiceOptions, ServiceState, StartDecision,
};

fn service(limit: usize) -> ServiceState {
    ServiceState::new(ServiceOptions {
        limit,
        ..ServiceOptions::default()
    })
}

fn run(service: &mut ServiceState, key: &str) -> (StartDecision, Option<FinishDecision>) {
    let decision = service.try_start(Some("r"), Some(key));
    let finish = matches!(decision, StartDecision::Run { .. }).then(|| service.finish());
    (decision, finish)
}

#[test]
fn each_run_of_a_key_is_counted() {
    let mut service = service(2);
    run(&mut service, "a");
    run(&mut service, "a");
    run(&mut service, "b");
    assert_eq!(
        service.counts().runs.repeated_keys().collect::<Vec<_>>(),
        ["a"]
    );
    insta::assert_debug_snapshot!(service.counts());
}

#[test]
fn requests_over_the_limit_do_not_run() {
    let mut service = service(1);
    service.try_start(None, Some("a"));
    assert_eq!(service.try_start(None, Some("b")), StartDecision::Busy);
    service.cancel();
    assert_eq!(
        (service.counts().busy, service.counts().runs.started),
        (1, 1)
    );
}

#[test]
fn a_run_is_counted_even_if_its_answer_is_lost() {
    let mut service = service(4);
    service.set_fault(Fault::DieBefore { times: 1 });
    assert_eq!(run(&mut service, "a"), (StartDecision::Disconnect, None));
    assert!(service.counts().runs.by_key.is_empty());
    service.set_fault(Fault::DieAfter { times: 1 });
    assert_eq!(run(&mut service, "a").1, Some(FinishDecision::Disconnect));
    assert_eq!(run(&mut service, "a").1, Some(FinishDecision::Answer));
    assert_eq!(service.counts().runs.by_key["a"], 2);
}
