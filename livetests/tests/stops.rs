//! Planned stops, under load.

use knapweed_livetests::caller::{Call, Ending, is_whole_stream};
use knapweed_livetests::deployment::{Deployment, Plan};
use knapweed_livetests::process::{Process, Signal};
use knapweed_livetests::until;

/// The number of streams that are open when the stop begins.
const STREAMS: usize = 100;

/// The tokens of a stream that ends during the stop.
const SHORT: u32 = 60;

/// The tokens of a stream that cannot end before the second signal.
const LONG: u32 = 20_000;

/// Engines that carry all streams at once and take a while for each.
fn plan() -> Plan {
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
    Plan {
        engine_flags: flags.map(ToOwned::to_owned).to_vec(),
        ..Plan::default()
    }
}

async fn start(name: &str) -> Deployment {
    let mut fleet = Deployment::start(name, plan())
        .await
        .expect("the fleet starts");
    fleet.wide = true;
    fleet.publish().await.expect("the rules are published");
    fleet.ready().await;
    fleet
}

async fn open_streams(fleet: &Deployment, tokens: u32) -> Vec<actix_rt::task::JoinHandle<Ending>> {
    let streams: Vec<_> = (0..STREAMS)
        .map(|number| {
            let call = Call::chat("alpha", &format!("review {number}"), tokens);
            let router = fleet.callers(0);
            actix_rt::spawn(async move { call.send(router).await })
        })
        .collect();
    until("all streams run", || async {
        let mut running = 0;
        for index in 0..fleet.pairs.len() {
            running += fleet.counts(index).await["runs"]["started"]
                .as_u64()
                .unwrap_or(0);
        }
        (running >= STREAMS as u64).then_some(())
    })
    .await;
    streams
}

async fn uncut(streams: Vec<actix_rt::task::JoinHandle<Ending>>) -> usize {
    let mut whole = 0;
    for stream in streams {
        let ending = stream.await.expect("the caller's task ends");
        whole +=
            usize::from(matches!(ending, Ending::Whole(answer) if is_whole_stream(&answer.body)));
    }
    whole
}

async fn exit_code(process: &mut Process) -> Option<i32> {
    let status = until("the process has ended", || {
        let ended = process.ended().expect("the process can be asked");
        async move { ended }
    })
    .await;
    status.code()
}

#[actix_rt::test]
async fn a_router_that_stops_cuts_no_stream() {
    let mut fleet = start("router-stops").await;
    let streams = open_streams(&fleet, SHORT).await;
    fleet.routers[0]
        .signal(Signal::Terminate)
        .expect("the router runs");
    assert_eq!(uncut(streams).await, STREAMS);
    assert_eq!(exit_code(&mut fleet.routers[0]).await, Some(0));
}

#[actix_rt::test]
async fn an_agent_that_stops_cuts_no_stream_and_gets_no_new_work() {
    let mut fleet = start("agent-stops").await;
    let streams = open_streams(&fleet, SHORT).await;
    fleet.pairs[0]
        .agent
        .signal(Signal::Terminate)
        .expect("the agent runs");
    let answer = Call::chat("beta", "short question", 3)
        .send(fleet.callers(1))
        .await
        .whole();
    assert_eq!(answer.status, 200, "{}", answer.body);
    assert_eq!(uncut(streams).await, STREAMS);
    assert_eq!(exit_code(&mut fleet.pairs[0].agent).await, Some(0));
}

#[actix_rt::test]
async fn a_second_signal_stops_at_once() {
    let mut fleet = start("second-signal").await;
    let streams = open_streams(&fleet, LONG).await;
    fleet.routers[0]
        .signal(Signal::Terminate)
        .expect("the router runs");
    until("the router is not ready", || async {
        let operators = fleet.routers[0].address("operators");
        let (status, _) = knapweed_livetests::deployment::get(operators, "/ready").await?;
        (status == 503).then_some(())
    })
    .await;
    fleet.routers[0]
        .signal(Signal::Terminate)
        .expect("the router runs");
    assert_eq!(exit_code(&mut fleet.routers[0]).await, Some(3));
    let whole = uncut(streams).await;
    assert!(
        whole < STREAMS,
        "nothing was cut, so the signal did not stop the router"
    );
}
