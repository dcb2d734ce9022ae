//! Requests around a planned stop of their router.

use std::net::SocketAddr;
use std::time::Duration;

use knapweed_livetests::edge::{EdgeFleet, RED_KEY, is_complete_chunked, status_of};
use knapweed_livetests::process::Signal;
use knapweed_livetests::wait_until;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

/// The time from the signal to the phase in which new requests are refused, with a margin.
const CLOSING_TIME: Duration = Duration::from_millis(3_000);

/// The time limit for an answer.
const ANSWER_TIME: Duration = Duration::from_secs(5);

/// Returns the text of a request that keeps its connection.
fn request(path: &str, id: &str) -> String {
    format!(
        "GET {path} HTTP/1.1\r\nHost: desk.example\r\nX-Knapweedgate-Request-Id: {id}\r\n\
         Authorization: Bearer {RED_KEY}\r\n\r\n"
    )
}

/// Reads until the end of an answer or of the connection.
async fn read_answer(stream: &mut TcpStream, end: &str) -> String {
    let mut bytes = Vec::new();
    while !bytes.ends_with(end.as_bytes()) {
        let read = timeout(ANSWER_TIME, stream.read_buf(&mut bytes)).await;
        if !matches!(read, Ok(Ok(1..))) {
            break;
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

/// Starts a stream on a kept connection, waits until it runs, and stops the router.
async fn stop_during_stream(fleet: &EdgeFleet, path: &str) -> eyre::Result<TcpStream> {
    let address: SocketAddr = fleet.routers[0].address("callers");
    let mut stream = TcpStream::connect(address).await?;
    stream.write_all(request(path, "long").as_bytes()).await?;
    wait_until("the request arrives", || async {
        (!fleet.arrivals("long").is_empty()).then_some(())
    })
    .await;
    fleet.signal(0, Signal::Terminate)?;
    Ok(stream)
}

/// A stopping router closed new connections without reading their requests.
#[actix_rt::test]
async fn requests_on_new_connections_late_in_a_planned_stop_are_refused() -> eyre::Result<()> {
    let fleet = EdgeFleet::start("late-stop", 1, 2).await?;
    let address: SocketAddr = fleet.routers[0].address("callers");
    let mut long = stop_during_stream(&fleet, "/stream/slow-430").await?;
    sleep(CLOSING_TIME).await;
    for number in 0..3 {
        let mut stream = TcpStream::connect(address).await?;
        // The request is sent somewhat later than the connection is opened.
        sleep(Duration::from_millis(20 * number)).await;
        let id = format!("late{number}");
        stream
            .write_all(request("/once/ok", &id).as_bytes())
            .await?;
        let answer = read_answer(&mut stream, "stopping\n").await;
        assert_eq!(status_of(&answer), 503, "{answer}");
        assert!(answer.contains("retry-after"), "{answer}");
        assert!(fleet.arrivals(&id).is_empty());
    }
    let answer = read_answer(&mut long, "0\r\n\r\n").await;
    assert!(is_complete_chunked(&answer), "{answer}");
    Ok(())
}

/// A connection whose answer had not announced it was closed after the answer.
#[actix_rt::test]
async fn kept_connection_is_closed_only_after_an_answer_that_says_so() -> eyre::Result<()> {
    let fleet = EdgeFleet::start("kept-stop", 1, 2).await?;
    let mut stream = stop_during_stream(&fleet, "/stream/slow-100").await?;
    let answer = read_answer(&mut stream, "0\r\n\r\n").await;
    assert!(is_complete_chunked(&answer), "{answer}");
    assert!(!answer.contains("connection: close"), "{answer}");
    stream
        .write_all(request("/once/ok", "next").as_bytes())
        .await?;
    let answer = read_answer(&mut stream, "answer to next").await;
    assert_eq!(status_of(&answer), 200, "{answer}");
    assert!(answer.contains("connection: close"), "{answer}");
    Ok(())
}
