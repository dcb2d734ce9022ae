//! Socket options of connections that carry requests.

use std::io;
use std::time::Duration;

use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;

/// The idle time before the first keepalive probe, and the time between probes.
const KEEPALIVE_PERIOD: Duration = Duration::from_secs(1);

/// The number of unanswered keepalive probes after which the connection is closed.
const MAX_KEEPALIVE_PROBES: u32 = 3;

/// How long sent bytes may stay unacknowledged before the connection is closed.
const ACK_TIMEOUT: Duration = Duration::from_secs(3);

/// Disables Nagle's algorithm and enables keepalive probes, so that a peer that
/// vanished without closing is detected.
///
/// # Errors
///
/// Returns an error if the operating system rejects an option.
pub(crate) fn configure(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_PERIOD)
        .with_interval(KEEPALIVE_PERIOD)
        .with_retries(MAX_KEEPALIVE_PROBES);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(ACK_TIMEOUT))
}

/// Sets whether dropping the socket resets the connection instead of closing it, also
/// when the process is killed.
///
/// # Errors
///
/// Returns an error if the operating system rejects the option.
pub(crate) fn set_reset_on_drop(stream: &TcpStream, resets: bool) -> io::Result<()> {
    SockRef::from(stream).set_linger(resets.then_some(Duration::ZERO))
}
