//! Load shedding: rejects connections without parsing their requests.
//!
//! An overloaded router cannot serve more requests, and parsing, authorizing and
//! logging each of them delays those in progress. The caller gets an immediate
//! 503 with a retry delay, and the balancer sends its retry to another router.
//!
//! Invariant: no part of a rejected request was forwarded.

use std::io;
use std::time::{Duration, Instant};

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::context::Context;
use crate::metrics::Rejection;

/// The time limit for the caller to send its request and close the connection.
const REJECT_TIMEOUT: Duration = Duration::from_millis(1_000);

/// The size of the read buffer.
const READ_BUFFER_BYTES: usize = 4 * 1024;

/// Sends the fixed response to whatever arrives on a connection, and closes it.
pub(crate) async fn reject(context: &Context, mut stream: TcpStream) {
    context.record_rejection(Rejection::Connection);
    // A timeout needs no log line: the caller disconnected or is too slow.
    if let Ok(Err(error)) = timeout(REJECT_TIMEOUT, respond(context, &mut stream)).await {
        log::debug!("caller's connection failed: {error}");
    }
}

async fn respond(context: &Context, stream: &mut TcpStream) -> io::Result<()> {
    let mut buffer = [0; READ_BUFFER_BYTES];
    if stream.read(&mut buffer).await? == 0 {
        return Ok(());
    }
    let delay = context.strained_retry_delay(Instant::now()).as_secs_f64();
    let response = format!(
        "HTTP/1.1 503 Service Unavailable\r\nRetry-After: {delay:.3}\r\n\
        Connection: close\r\nContent-Length: 9\r\n\r\nstrained\n"
    );
    stream.write_all(response.as_bytes()).await?;
    stream.shutdown().await?;
    // Closing with unread bytes resets the connection, and the response may be lost.
    while stream.read(&mut buffer).await? > 0 {}
    Ok(())
}
