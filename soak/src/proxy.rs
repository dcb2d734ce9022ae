//! A loopback TCP proxy that injects network faults.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::BytesMut;
use socket2::SockRef;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::sleep;

/// How the proxy handles connections and their bytes.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Default)]
pub enum LinkMode {
    /// Forwards bytes unchanged.
    #[default]
    Forward,
    /// Forwards bytes after a delay.
    Delay(Duration),
    /// Drops bytes in both directions. A connection that has lost bytes forwards nothing more,
    /// even in a later mode.
    Blackhole,
    /// Like [`LinkMode::Blackhole`], for the direction from the listener only.
    DropResponses,
    /// Resets existing and new connections.
    Reset,
}

/// The direction of a byte stream through the proxy.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Direction {
    ToListener,
    FromListener,
}

impl LinkMode {
    fn drops(self, direction: Direction) -> bool {
        match self {
            Self::Blackhole => true,
            Self::DropResponses => direction == Direction::FromListener,
            Self::Forward | Self::Delay(_) | Self::Reset => false,
        }
    }
}

/// A proxy in front of one listener.
#[derive(Debug)]
pub struct Proxy {
    mode: watch::Sender<LinkMode>,
    address: SocketAddr,
}

impl Proxy {
    /// Starts a proxy in front of `listener`.
    ///
    /// # Errors
    ///
    /// Returns an error if no port can be bound.
    pub async fn start(listener: SocketAddr) -> io::Result<Self> {
        let socket = TcpListener::bind("127.0.0.1:0").await?;
        let address = socket.local_addr()?;
        let mode = watch::Sender::new(LinkMode::Forward);
        let mode_changes = mode.clone();
        tokio::spawn(async move {
            while let Ok((client, _)) = socket.accept().await {
                let mode_changes = mode_changes.subscribe();
                tokio::spawn(async move {
                    // An I/O error only ends this connection.
                    let _ended = relay(client, listener, mode_changes).await;
                });
            }
        });
        Ok(Self { mode, address })
    }

    /// The address on which the proxy listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets the mode for existing and new connections.
    pub fn set_mode(&self, mode: LinkMode) {
        self.mode.send_replace(mode);
    }
}

async fn relay(
    client: TcpStream,
    listener: SocketAddr,
    mut mode_changes: watch::Receiver<LinkMode>,
) -> io::Result<()> {
    // With a zero linger time, dropping the socket sends a reset.
    SockRef::from(&client).set_linger(Some(Duration::ZERO))?;
    if *mode_changes.borrow_and_update() == LinkMode::Reset {
        return Ok(());
    }
    let server = TcpStream::connect(listener).await?;
    client.set_nodelay(true)?;
    server.set_nodelay(true)?;
    SockRef::from(&server).set_linger(Some(Duration::ZERO))?;
    let (client_read, client_write) = client.into_split();
    let (server_read, server_write) = server.into_split();
    let to_listener = forward(
        client_read,
        server_write,
        mode_changes.clone(),
        Direction::ToListener,
    );
    let from_listener = forward(
        server_read,
        client_write,
        mode_changes.clone(),
        Direction::FromListener,
    );
    tokio::select! {
        _ = mode_changes.wait_for(|mode| *mode == LinkMode::Reset) => Ok(()),
        ended = futures::future::try_join(to_listener, from_listener) => ended.map(|_| ()),
    }
}

async fn forward(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mode_changes: watch::Receiver<LinkMode>,
    direction: Direction,
) -> io::Result<()> {
    let mut buffer = BytesMut::with_capacity(16 * 1024);
    let mut is_dropping = false;
    while from.read_buf(&mut buffer).await? > 0 {
        let mode = *mode_changes.borrow();
        is_dropping |= mode.drops(direction);
        if let LinkMode::Delay(delay) = mode {
            sleep(delay).await;
        }
        if !is_dropping {
            to.write_all(&buffer).await?;
        }
        buffer.clear();
    }
    match is_dropping {
        true => Ok(()),
        false => to.shutdown().await,
    }
}
