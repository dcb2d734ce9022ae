//! Planned stops under load.

use knapweed_livetests::caller::{Request, SendOutcome, is_complete_stream};
use knapweed_livetests::deployment::{Deployment, DeploymentPlan};
use knapweed_livetests::process::{Process, Signal};
use knapweed_livetests::wait_until;

/// The number of streams that run when the stop begins.
const STREAMS: usize = 100;

/// The tokens of a stream that ends during the stop.
const SHORT_STREAM_TOKENS: u32 = 60;

/// The tokens of a stream that cannot end before the second signal.
const LONG_STREAM_TOKENS: u32 = 20_000;

/// Engines that run all streams concurrently, with steps long enough for a stop to begin during
/// the streams.
fn high_capacity_plan() -> DeploymentPlan {
    let flags = [
        "--cold",
        "200",
        "--warm",
        "200",
        "--step-micros",
        "10000",
        "--each-micros",
        "1",
    ];
    DeploymentPlan {
        engine_flags: flags.map(ToOwned::to_owned).to_vec(),
        ..DeploymentPlan::default()
    }
}

async fn start(name: &str) -> Deployment {
    let mut fleet = Deployment::start(name, high_capacity_plan())
        .await
        .expect("the fleet starts");
    fleet.has_high_capacity = true;
    fleet.publish().await.expect("the rules are published");
    fleet.wait_until_ready().await;
    fleet
}

async fn open_streams(
    fleet: &Deployment,
    tokens: u32,
) -> Vec<actix_rt::task::JoinHandle<SendOutcome>> {
    let streams: Vec<_> = (0..STREAMS)
        .map(|number| {
            let request = Request::chat("alpha", &format!("review {number}"), tokens);
            let router = fleet.caller_address(0);
            actix_rt::spawn(async move { request.send(router).await })
        })
        .collect();
    wait_until("all streams run", || async {
        let mut running = 0;
        for index in 0..fleet.pairs.len() {
            running += fleet.target_counts(index).await["runs"]["started"]
                .as_u64()
                .unwrap_or(0);
        }
        (running >= STREAMS as u64).then_some(())
    })
    .await;
    streams
}

async fn complete_count(streams: Vec<actix_rt::task::JoinHandle<SendOutcome>>) -> usize {
    let mut complete = 0;
    for stream in streams {
        let outcome = stream.await.expect("the caller's task ends");
        complete += usize::from(
            matches!(outcome, SendOutcome::Complete(answer) if is_complete_stream(&answer.body)),
        );
    }
    complete
}

async fn wait_for_exit_code(process: &mut Process) -> Option<i32> {
    let status = wait_until("the process has exited", || {
        let status = process
            .exit_status()
            .expect("the process has a readable state");
        async move { status }
    })
    .await;
    status.code()
}

#[actix_rt::test]
async fn stopping_router_interrupts_no_stream() {
    let mut fleet = start("router-stops").await;
    let streams = open_streams(&fleet, SHORT_STREAM_TOKENS).await;
    fleet.routers[0]
        .signal(Signal::Terminate)
        .expect("the router runs");
    assert_eq!(complete_count(streams).await, STREAMS);
    assert_eq!(wait_for_exit_code(&mut fleet.routers[0]).await, Some(0));
}

#[actix_rt::test]
async fn stopping_agent_interrupts_no_stream_and_new_requests_are_served() {
    let mut fleet = start("agent-stops").await;
    let streams = open_streams(&fleet, SHORT_STREAM_TOKENS).await;
    fleet.pairs[0]
        .agent
        .signal(Signal::Terminate)
        .expect("the agent runs");
    let answer = Request::chat("beta", "short question", 3)
        .send(fleet.caller_address(1))
        .await
        .expect_complete();
    assert_eq!(answer.status, 200, "{}", answer.body);
    assert_eq!(complete_count(streams).await, STREAMS);
    assert_eq!(wait_for_exit_code(&mut fleet.pairs[0].agent).await, Some(0));
}

#[actix_rt::test]
async fn second_signal_stops_the_router_immediately() {
    let mut fleet = start("second-signal").await;
    let streams = open_streams(&fleet, LONG_STREAM_TOKENS).await;
    fleet.routers[0]
        .signal(Signal::Terminate)
        .expect("the router runs");
    wait_until("the router is not ready", || async {
        let operators = fleet.routers[0].address("operators");
        let (status, _) = knapweed_livetests::deployment::http_get(operators, "/ready").await?;
        (status == 503).then_some(())
    })
    .await;
    fleet.routers[0]
        .signal(Signal::Terminate)
        .expect("the router runs");
    assert_eq!(wait_for_exit_code(&mut fleet.routers[0]).await, Some(3));
    let complete = complete_count(streams).await;
    assert!(
        complete < STREAMS,
        "no stream was interrupted, so the signal did not stop the router"
    );
}
