//! Answers that targets break off while they still receive the request, and answers without a
//! valid status, through an edge router.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use knapweed_livetests::edge::{EdgeConfig, EdgeFleet, RED_KEY, looks_complete, status_of};
use serde_json::Value;
use socket2::SockRef;
use standins::platform::{RawResponse, raw_exchange};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::sleep;

/// More than the buffers of two sockets hold.
const UPLOAD_BYTES: usize = 12_000_000;

/// The receive buffer of a target, in bytes.
const RECEIVE_BUFFER: usize = 16 * 1024;

/// The answer of a target that did not run a request.
const SHED: &str = "HTTP/1.1 503 X\r\nX-Knapweedgate-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";

/// The connections of a target on which it turns the first request away.
const SHEDDING_CONNECTIONS: usize = 2;

/// How a target ends an upload that it has already answered.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum UploadEnd {
    /// It resets the connection after this time.
    Reset(Duration),
    /// It closes the connection with bytes of the upload unread, which resets it.
    CloseUnread,
}

/// The requests that targets ran.
type Runs = Arc<Mutex<Vec<String>>>;

/// What a target sends.
#[derive(Clone, Debug)]
enum Script {
    /// The first part of an answer without a length, while it receives the upload.
    EarlyPart(UploadEnd),
    /// A whole answer, and an answer with this status line to each later request on the
    /// connection; at once if the flag is not set.
    Status { line: String, is_kept: bool },
    /// An answer that the first request on one of the first connections has not run, which names
    /// no request. All others run, on such a connection after a late copy of that answer if the
    /// flag is set.
    LateCopy { runs: Runs, is_copied: bool },
    /// The first events of a stream, and an answer with this status line to its resumption.
    Resumption { line: String },
}

/// Starts a target that is registered as `id`.
async fn start_target(fleet: &EdgeFleet, id: &str, script: Script) -> eyre::Result<()> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    SockRef::from(&listener).set_recv_buffer_size(RECEIVE_BUFFER)?;
    fleet.register(id, listener.local_addr()?);
    tokio::spawn(async move {
        let mut connection = 0;
        while let Ok((stream, _)) = listener.accept().await {
            let script = script.clone();
            // The connection is broken on purpose.
            tokio::spawn(async move { serve(stream, connection, script).await.ok() });
            connection += 1;
        }
    });
    Ok(())
}

/// Reads the head of a request; returns it with the part of the body that came along.
async fn read_head(stream: &mut TcpStream) -> std::io::Result<String> {
    let mut head = Vec::new();
    while !head.windows(4).any(|bytes| bytes == b"\r\n\r\n") {
        if stream.read_buf(&mut head).await? == 0 {
            return Err(std::io::ErrorKind::UnexpectedEof.into());
        }
    }
    Ok(String::from_utf8_lossy(&head).into_owned())
}

fn id_of(request: &str) -> &str {
    let lines = request.lines();
    let mut headers = lines.filter_map(|line| line.split_once(": "));
    let id = headers.find(|(name, _)| name.eq_ignore_ascii_case("x-knapweedgate-request-id"));
    id.map_or("", |(_, value)| value)
}

fn identity(request: &str) -> String {
    let id = id_of(request);
    format!("X-Knapweedgate-Request-Id: {id}\r\nX-Knapweedgate-Server-Seal: s.{id}\r\n")
}

fn record_run(runs: &Runs, id: &str) {
    let mut runs = runs.lock().unwrap_or_else(PoisonError::into_inner);
    runs.push(id.to_owned());
}

/// Serves the connection of this number, from 0.
async fn serve(mut stream: TcpStream, connection: usize, script: Script) -> std::io::Result<()> {
    let mut is_first = true;
    loop {
        let request = read_head(&mut stream).await?;
        let identity = identity(&request);
        let is_resumption = request.to_ascii_lowercase().contains("\r\nlast-event-id:");
        match &script {
            Script::EarlyPart(end) => {
                let part = format!("HTTP/1.1 200 OK\r\n{identity}\r\nid: 1\ndata: one\n\n");
                stream.write_all(part.as_bytes()).await?;
                if let UploadEnd::Reset(delay) = end {
                    sleep(*delay).await;
                    SockRef::from(&stream).set_linger(Some(Duration::ZERO))?;
                }
                return Ok(());
            }
            Script::Resumption { .. } if !is_resumption => {
                let event = "id: 1\ndata: one\n\n";
                let events = format!(
                    "HTTP/1.1 200 OK\r\n{identity}Content-Type: text/event-stream\r\n\
                     Transfer-Encoding: chunked\r\n\r\n{:x}\r\n{event}\r\n",
                    event.len()
                );
                stream.write_all(events.as_bytes()).await?;
                return Ok(());
            }
            Script::LateCopy { .. } if is_first && connection < SHEDDING_CONNECTIONS => {
                stream.write_all(SHED.as_bytes()).await?;
            }
            Script::LateCopy { runs, is_copied } => {
                if *is_copied && !is_first && connection < SHEDDING_CONNECTIONS {
                    stream.write_all(SHED.as_bytes()).await?;
                }
                record_run(runs, id_of(&request));
                let whole = format!("HTTP/1.1 200 OK\r\n{identity}Content-Length: 2\r\n\r\nok");
                stream.write_all(whole.as_bytes()).await?;
            }
            Script::Status { is_kept: true, .. } if is_first => {
                let whole = format!("HTTP/1.1 200 OK\r\n{identity}Content-Length: 2\r\n\r\nok");
                stream.write_all(whole.as_bytes()).await?;
            }
            Script::Status { line, .. } | Script::Resumption { line } => {
                let answer = format!("{line}\r\n{identity}Content-Length: 2\r\n\r\nno");
                stream.write_all(answer.as_bytes()).await?;
            }
        }
        is_first = false;
    }
}

/// A fleet of one router and targets with this script.
async fn start_fleet(name: &str, targets: usize, script: Script) -> eyre::Result<EdgeFleet> {
    let mut fleet = EdgeFleet::start(name, 0, 0).await?;
    let config = EdgeConfig {
        version: 2,
        ..EdgeConfig::default()
    };
    let mut config = config.to_json();
    config["limits"]["maxBodyBytes"] = Value::from(2 * UPLOAD_BYTES);
    fleet.store.put("op/config", &config);
    for target in 0..targets {
        start_target(&fleet, &format!("raw-{target}"), script.clone()).await?;
    }
    fleet.add_router().await?;
    Ok(fleet)
}

async fn upload(fleet: &EdgeFleet, path: &str, bytes: usize) -> eyre::Result<RawResponse> {
    let request = format!(
        "POST {path} HTTP/1.1\r\nHost: desk.example\r\nConnection: close\r\n\
         X-Knapweedgate-Request-Id: u\r\nX-Knapweedgate-Deadline-Ms: 4000\r\n\
         Authorization: Bearer {RED_KEY}\r\nContent-Length: {bytes}\r\n\r\n{}",
        "x".repeat(bytes)
    );
    Ok(raw_exchange(fleet.routers[0].address("callers"), &request).await?)
}

/// Guards against the first part of an answer that is given to the caller as the whole.
#[actix_rt::test]
async fn answer_that_is_reset_during_the_upload_does_not_look_complete() -> eyre::Result<()> {
    for end in [
        UploadEnd::Reset(Duration::ZERO),
        UploadEnd::Reset(Duration::from_millis(20)),
        UploadEnd::Reset(Duration::from_millis(300)),
        UploadEnd::CloseUnread,
    ] {
        let fleet = start_fleet("early-part", 2, Script::EarlyPart(end)).await?;
        for path in ["/safe/x", "/once/x", "/stream/x", "/resume/x"] {
            let response = upload(&fleet, path, UPLOAD_BYTES).await?;
            let status = status_of(&response.text);
            let is_refused = [502, 503].contains(&status);
            assert!(
                is_refused || !looks_complete(&response),
                "{end:?} {path}: {response:?}"
            );
            // What was sent may run, so nothing may promise that it has not.
            assert_ne!(status, 503, "{end:?} {path}: {response:?}");
        }
    }
    Ok(())
}

/// A status above 599 was given to the caller as an answer.
#[actix_rt::test]
async fn answer_without_a_valid_status_reaches_no_caller() -> eyre::Result<()> {
    for status in [
        "000", "001", "099", "600", "601", "777", "999", "1000", "20", "2", "-20", "+200", "2OO",
        "",
    ] {
        for is_kept in [false, true] {
            let line = format!("HTTP/1.1 {status} X");
            let fleet = start_fleet("status", 1, Script::Status { line, is_kept }).await?;
            for path in ["/safe/x", "/once/x", "/resume/x", "/stream/x"] {
                let mut answer = String::new();
                // The last request finds the connection of an earlier one.
                for _ in 0..=usize::from(is_kept) {
                    answer = fleet.send("GET", path, "s").await;
                }
                let expected = [502];
                assert!(
                    expected.contains(&status_of(&answer)),
                    "{status:?} {is_kept} {path}: {answer}"
                );
            }
        }
    }
    Ok(())
}

/// The rest of a stream is no answer either if its status is not valid.
#[actix_rt::test]
async fn resumption_without_a_valid_status_does_not_end_a_stream() -> eyre::Result<()> {
    for status in ["000", "600", "999"] {
        let line = format!("HTTP/1.1 {status} X");
        let fleet = start_fleet("resumption", 2, Script::Resumption { line }).await?;
        let response = fleet.receive("GET", "/resume/x", "r").await?;
        assert_eq!(status_of(&response.text), 200, "{status}: {response:?}");
        assert!(!looks_complete(&response), "{status}: {response:?}");
        assert!(!response.text.contains("no"), "{status}: {response:?}");
    }
    Ok(())
}

/// A late second copy of an answer that names no request was taken for the answer to the next
/// request on the connection, which ran again at another target, or was refused though it ran.
#[actix_rt::test]
async fn late_copy_of_an_answer_without_an_id_answers_no_request_that_must_not_repeat()
-> eyre::Result<()> {
    for is_copied in [true, false] {
        let runs = Runs::default();
        let script = Script::LateCopy {
            runs: runs.clone(),
            is_copied,
        };
        let fleet = start_fleet("late-copy", 2, script).await?;
        for path in ["/once/x", "/stream/x"] {
            for number in 0..6 {
                let id = format!("{path}-{number}");
                // Connections to the targets are opened, and answered on, by safe requests too.
                fleet.send("GET", "/safe/x", "other").await;
                let answer = fleet.send("POST", path, &id).await;
                let runs = runs.lock().unwrap_or_else(PoisonError::into_inner);
                let count = runs.iter().filter(|&it| *it == id).count();
                assert!(count <= 1, "{id} ran {count} times");
                let is_refused = status_of(&answer) == 503;
                assert!(!is_refused || count == 0, "{id} ran: {answer}");
            }
        }
        let runs = runs.lock().unwrap_or_else(PoisonError::into_inner);
        assert!(runs.iter().any(|id| id.starts_with("/once/")), "{runs:?}");
    }
    Ok(())
}
