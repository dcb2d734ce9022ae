//! Limits that targets name on the requests that they take from all routers together.

use std::time::{Duration, Instant};

use knapweed_livetests::edge::{EdgeFleet, RED_KEY, start_with_kept_calls, status_of};
use knapweed_livetests::wait_until;
use tokio::time::{interval, sleep};

/// The limit that the targets of these tests name, in requests per second.
const LIMIT: u32 = 5;

/// The time in which all routers have learned a limit.
const NOTICE: Duration = Duration::from_secs(3);

/// The window in which requests are counted, and how many may arrive in it: 1.5 times the
/// limit, plus 5.
const WINDOW: Duration = Duration::from_secs(4);
const MAX_IN_WINDOW: usize = 35;

/// How long callers ask for more than the targets take.
const LOAD_TIME: Duration = Duration::from_secs(11);

/// The time between two requests, and how many of ten go to each router.
const REQUEST_INTERVAL: Duration = Duration::from_millis(12);
const REQUESTS_BY_ROUTER: [usize; 3] = [7, 2, 1];

/// Sends requests to the routers and returns how they ended.
async fn send_load(fleet: &EdgeFleet, path: &str, time: Duration) -> Vec<String> {
    let routers: Vec<usize> = (0..3)
        .flat_map(|router| std::iter::repeat_n(router, REQUESTS_BY_ROUTER[router]))
        .collect();
    let mut ticks = interval(REQUEST_INTERVAL);
    let end = Instant::now() + time;
    let mut answers = Vec::new();
    for number in 0.. {
        ticks.tick().await;
        if Instant::now() >= end {
            break;
        }
        let router = routers[number * 7 % routers.len()];
        let id = format!("{path}-{number}");
        answers.push(fleet.send_to(router, "GET", path, &id, Some(RED_KEY)).await);
    }
    answers
}

/// The times at which requests of a load reached a target.
fn arrival_times(fleet: &EdgeFleet, target: usize) -> Vec<Instant> {
    let arrivals = fleet.targets[target].arrivals();
    let requests = arrivals
        .iter()
        .filter(|it| it.request.header("x-knapweedgate-request-id").is_some());
    requests.map(|it| it.at).collect()
}

#[actix_rt::test]
async fn targets_get_no_more_requests_than_the_limit_that_they_name() -> eyre::Result<()> {
    let fleet = EdgeFleet::start("limit", 3, 2).await?;
    let started = Instant::now();
    let answers = send_load(&fleet, &format!("/safe/limit-{LIMIT}"), LOAD_TIME).await;
    for target in 0..2 {
        let times = arrival_times(&fleet, target);
        let counted = times.iter().filter(|&&at| at >= started + NOTICE);
        let counted: Vec<Instant> = counted.copied().collect();
        for (index, &from) in counted.iter().enumerate() {
            let in_window = counted[index..].iter().filter(|&&at| at < from + WINDOW);
            let count = in_window.count();
            assert!(count <= MAX_IN_WINDOW, "target {target}: {count}");
        }
        // While callers ask for more, four fifths of the limit are used.
        let least = (LOAD_TIME - NOTICE).as_secs_f64() * f64::from(LIMIT) * 0.8;
        let count = counted.len();
        assert!(count as f64 >= least, "target {target}: {count} of {least}");
    }
    let refused = answers.iter().filter(|answer| status_of(answer) != 200);
    for answer in refused {
        assert_eq!(status_of(answer), 503, "{answer}");
        assert!(answer.contains("retry-after"), "{answer}");
    }
    Ok(())
}

#[actix_rt::test]
async fn limit_ends_on_all_routers_with_a_response_that_names_none() -> eyre::Result<()> {
    let fleet = EdgeFleet::start("limit-end", 3, 1).await?;
    send_load(&fleet, &format!("/safe/limit-{LIMIT}"), NOTICE).await;
    wait_until("a response names no limit", || async {
        let answer = fleet.send_to(0, "GET", "/safe/ok", "end", Some(RED_KEY));
        (status_of(&answer.await) == 200).then_some(())
    })
    .await;
    sleep(Duration::from_secs(1)).await;
    let answers = send_load(&fleet, "/safe/ok", Duration::from_secs(1)).await;
    assert!(answers.iter().all(|answer| status_of(answer) == 200));
    Ok(())
}

#[actix_rt::test]
async fn target_that_names_a_limit_is_not_asked_what_it_keeps() -> eyre::Result<()> {
    let fleet = start_with_kept_calls("limit-kept").await?;
    fleet.send("GET", "/safe/limit-5", "limit").await;
    sleep(Duration::from_millis(500)).await;
    let from = Instant::now();
    sleep(Duration::from_secs(3)).await;
    let calls = fleet.targets[0].kept_calls();
    assert_eq!(calls.iter().filter(|&&at| at > from).count(), 0);
    // The limit ends, and the calls go on.
    wait_until("a response names no limit", || async {
        let answer = fleet.send("GET", "/safe/ok", "end").await;
        (status_of(&answer) == 200).then_some(())
    })
    .await;
    wait_until("the target is asked what it keeps", || async {
        (fleet.targets[0].kept_calls().len() > calls.len()).then_some(())
    })
    .await;
    Ok(())
}
