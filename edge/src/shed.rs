//! Turns connections away without reading what they ask for.
//!
//! A router that is far behind cannot serve what it takes in, and reading,
//! judging and logging each request only delays those that it has. Such a caller
//! is told at once to come back; the balancer sends it elsewhere.
//!
//! Invariant: nothing of a request that is turned away was passed on.

use std::io;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::context::Context;

/// The answer. Callers come back after a quarter of a second: the balancer needs
/// up to two to notice, and a caller's objective is not much longer.
const ANSWER: &[u8] = b"HTTP/1.1 503 Service Unavailable\r\nRetry-After: 0.25\r\n\
    Connection: close\r\nContent-Length: 9\r\n\r\nstrained\n";

/// How long a connection waits for its request, and for the caller to close it.
const PATIENCE: Duration = Duration::from_millis(1_000);

/// Bytes that are read at once.
const READ_BYTES: usize = 4 * 1024;

/// Answers what comes on a connection, whatever it is, and closes it.
pub(crate) async fn turn_away(context: &Context, mut stream: TcpStream) {
    context.metrics.shed();
    // A caller that left or is too slow has nothing to be told.
    if let Ok(Err(error)) = timeout(PATIENCE, answer(&mut stream)).await {
        log::debug!("caller's connection: {error}");
    }
}

async fn answer(stream: &mut TcpStream) -> io::Result<()> {
    let mut bytes = [0; READ_BYTES];
    if stream.read(&mut bytes).await? == 0 {
        return Ok(());
    }
    stream.write_all(ANSWER).await?;
    stream.shutdown().await?;
    // Closing with unread bytes resets the connection and may take the answer with it.
    while stream.read(&mut bytes).await? > 0 {}
    Ok(())
}
