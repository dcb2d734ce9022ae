//! Requests with long bodies or long runs around planned work.

use std::time::Duration;

use knapweed_livetests::edge::{
    EdgeConfig, EdgeFleet, RED_KEY, is_complete_chunked, looks_complete, status_of,
};
use knapweed_livetests::process::Signal;
use knapweed_livetests::wait_until;
use standins::platform::{RawResponse, raw_exchange};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::sleep;

/// The size of a body and the number of pieces in which it is sent.
const BODY_BYTES: usize = 60_000;
const PIECES: usize = 6;

/// The time in which an announced change is in force, with a margin.
const PROPAGATION_TIME: Duration = Duration::from_millis(1_500);

/// Sends a request with a long body in pieces, and returns the answer to the end of the
/// connection. The router is stopped after the first piece.
async fn send_slowly_during_stop(
    fleet: &EdgeFleet,
    id: &str,
    pause: Duration,
) -> eyre::Result<String> {
    let mut stream = TcpStream::connect(fleet.routers[0].address("callers")).await?;
    let head = format!(
        "POST /once/ok HTTP/1.1\r\nHost: desk.example\r\nX-Knapweedgate-Request-Id: {id}\r\n\
         Connection: close\r\nAuthorization: Bearer {RED_KEY}\r\nContent-Length: {BODY_BYTES}\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).await?;
    let piece = vec![b'x'; BODY_BYTES / PIECES];
    for number in 0..PIECES {
        stream.write_all(&piece).await?;
        if number == 0 {
            sleep(Duration::from_millis(50)).await;
            fleet.signal(0, Signal::Terminate)?;
        }
        sleep(pause).await;
    }
    let mut answer = Vec::new();
    stream.read_to_end(&mut answer).await?;
    Ok(String::from_utf8_lossy(&answer).into_owned())
}

/// Starts a request that takes two seconds, and returns its answer; `change` is called while
/// the request runs.
async fn answer_during(
    fleet: &EdgeFleet,
    path: &str,
    change: impl FnOnce() -> eyre::Result<()>,
) -> eyre::Result<RawResponse> {
    let address = fleet.routers[0].address("callers");
    let text = format!(
        "POST {path} HTTP/1.1\r\nHost: desk.example\r\nX-Knapweedgate-Request-Id: long\r\n\
         Connection: close\r\nAuthorization: Bearer {RED_KEY}\r\nContent-Length: 0\r\n\r\n"
    );
    let exchange = async { eyre::Ok(raw_exchange(address, &text).await?) };
    let change = async {
        wait_until("the request arrives", || async {
            (!fleet.arrivals("long").is_empty()).then_some(())
        })
        .await;
        change()?;
        sleep(PROPAGATION_TIME).await;
        eyre::Ok(())
    };
    let (response, changed) = futures::join!(exchange, change);
    changed?;
    response
}

#[actix_rt::test]
async fn request_whose_body_is_read_during_a_stop_is_served() -> eyre::Result<()> {
    let fleet = EdgeFleet::start("slow-body", 1, 2).await?;
    let answer = send_slowly_during_stop(&fleet, "slow", Duration::from_millis(250)).await?;
    assert_eq!(status_of(&answer), 200, "{answer}");
    Ok(())
}

/// The body ends once the router refuses requests.
#[actix_rt::test]
async fn request_whose_body_ends_late_in_a_stop_is_answered() -> eyre::Result<()> {
    let fleet = EdgeFleet::start("slower-body", 1, 2).await?;
    let answer = send_slowly_during_stop(&fleet, "slower", Duration::from_millis(550)).await?;
    let arrived = !fleet.arrivals("slower").is_empty();
    match status_of(&answer) {
        200 => assert!(arrived),
        503 => assert!(!arrived, "{answer}"),
        _ => panic!("{answer}"),
    }
    Ok(())
}

#[actix_rt::test]
async fn running_request_survives_the_end_of_its_key_and_route_timeout() -> eyre::Result<()> {
    for path in ["/once/slow-200", "/stream/slow-200"] {
        let fleet = EdgeFleet::start("long-config", 1, 2).await?;
        let change = || {
            let config = EdgeConfig {
                version: 2,
                keys: vec!["another"],
                timeout_ms: 4_000,
                ..EdgeConfig::default()
            };
            fleet.store.put("op/config", &config.to_json());
            Ok(())
        };
        let response = answer_during(&fleet, path, change).await?;
        assert_eq!(status_of(&response.text), 200, "{}", response.text);
        assert!(looks_complete(&response), "{}", response.text);
        assert!(response.text.contains("token 10"), "{}", response.text);
        fleet
            .wait_for_status(0, "/safe/ok", Some(RED_KEY), 401)
            .await;
    }
    Ok(())
}

#[actix_rt::test]
async fn running_request_survives_evacuation_and_the_end_of_its_registration() -> eyre::Result<()> {
    for path in ["/once/slow-200", "/resume/slow-200"] {
        for is_evacuated in [false, true] {
            let fleet = EdgeFleet::start("long-leaving", 1, 2).await?;
            let change = || {
                match is_evacuated {
                    true => fleet.store.put("op/evacuate/north", &serde_json::json!({})),
                    false => {
                        for target in &fleet.targets {
                            fleet.store.delete(&target.key());
                        }
                    }
                }
                Ok(())
            };
            let response = answer_during(&fleet, path, change).await?;
            assert_eq!(status_of(&response.text), 200, "{}", response.text);
            assert!(looks_complete(&response), "{}", response.text);
            assert!(response.text.contains("token 10"), "{}", response.text);
            assert_eq!(fleet.arrivals("long").len(), 1);
        }
    }
    Ok(())
}

#[actix_rt::test]
async fn running_requests_survive_reloads_of_the_settings() -> eyre::Result<()> {
    let fleet = EdgeFleet::start("long-reload", 1, 2).await?;
    let change = || {
        for _ in 0..5 {
            fleet.signal(0, Signal::HangUp)?;
        }
        Ok(())
    };
    let response = answer_during(&fleet, "/stream/slow-200", change).await?;
    assert!(is_complete_chunked(&response.text), "{}", response.text);
    Ok(())
}
