//! Options of connections that carry requests.

use std::io;
use std::time::Duration;

use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;

/// The silence after which a connection is probed, and the time between probes.
const PROBE_PERIOD: Duration = Duration::from_secs(1);

/// The number of unanswered probes after which a connection is broken.
const PROBES: u32 = 3;

/// The time after which bytes that are not acknowledged break a connection.
const ACK_TIMEOUT: Duration = Duration::from_secs(3);

/// Sets a connection up: small segments leave at once, and a peer that is gone
/// without a word breaks the connection.
///
/// # Errors
///
/// Returns an error if the system refuses an option.
pub(crate) fn prepare(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    let probes = TcpKeepalive::new()
        .with_time(PROBE_PERIOD)
        .with_interval(PROBE_PERIOD)
        .with_retries(PROBES);
    socket.set_tcp_keepalive(&probes)?;
    socket.set_tcp_user_timeout(Some(ACK_TIMEOUT))
}
