//! Requests that an edge router has given up, at targets that read them late.

use std::time::Duration;

use knapweed_livetests::edge::{EdgeConfig, EdgeFleet, RED_KEY, status_of};
use serde_json::Value;
use socket2::SockRef;
use standins::platform::raw_exchange;
use tokio::io::AsyncReadExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::time::{sleep, timeout};

/// More than the receive buffer of the target holds, and less than the sender's.
const UPLOAD_BYTES: usize = 1_000_000;

/// The receive buffer of a target, in bytes.
const RECEIVE_BUFFER: usize = 16 * 1024;

/// The time after which the routers give a request up, in milliseconds.
const TIMEOUT_MS: u64 = 800;

/// The time after which the target begins to read.
const READ_DELAY: Duration = Duration::from_millis(1_500);

/// What a target received on a connection.
#[derive(Clone, Copy, Debug)]
struct Received {
    bytes: usize,
    is_reset: bool,
}

async fn read_late(mut stream: TcpStream) -> Received {
    sleep(READ_DELAY).await;
    let mut received = Vec::new();
    let end = timeout(READ_DELAY, stream.read_to_end(&mut received)).await;
    Received {
        bytes: received.len(),
        is_reset: end.is_ok_and(|end| end.is_err()),
    }
}

/// Connections of requests that were given up were closed, so what the network had held up
/// reached the target later, when it was known to leave.
#[actix_rt::test]
async fn request_that_was_given_up_is_not_delivered_later() -> eyre::Result<()> {
    let mut fleet = EdgeFleet::start("given-up", 0, 0).await?;
    let config = EdgeConfig {
        version: 2,
        timeout_ms: TIMEOUT_MS,
        ..EdgeConfig::default()
    };
    let mut config = config.to_json();
    config["limits"]["maxBodyBytes"] = Value::from(2 * UPLOAD_BYTES);
    fleet.store.put("op/config", &config);
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    SockRef::from(&listener).set_recv_buffer_size(RECEIVE_BUFFER)?;
    fleet.register("late", listener.local_addr()?);
    let (sender, mut received) = mpsc::unbounded_channel();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let sender = sender.clone();
            // The test may have ended.
            tokio::spawn(async move { sender.send(read_late(stream).await).ok() });
        }
    });
    fleet.add_router().await?;
    for path in ["/safe/x", "/once/x", "/stream/x"] {
        let request = format!(
            "POST {path} HTTP/1.1\r\nHost: desk.example\r\nConnection: close\r\n\
             X-Knapweedgate-Request-Id: g\r\nX-Knapweedgate-Deadline-Ms: 4000\r\n\
             Authorization: Bearer {RED_KEY}\r\nContent-Length: {UPLOAD_BYTES}\r\n\r\n{}",
            "x".repeat(UPLOAD_BYTES)
        );
        let answer = raw_exchange(fleet.routers[0].address("callers"), &request).await?;
        let status = status_of(&answer.text);
        assert!([502, 504].contains(&status), "{path}: {answer:?}");
        let received = received.recv().await.expect("the target goes on");
        assert!(received.is_reset, "{path}: {received:?}");
        assert!(received.bytes < UPLOAD_BYTES, "{path}: {received:?}");
    }
    Ok(())
}
