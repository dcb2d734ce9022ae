//! A proxy on loopback that harms the connections through it.

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

/// What the proxy does with bytes and connections.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Default)]
pub enum Mode {
    /// Passes them on.
    #[default]
    Pass,
    /// Passes them on later.
    Delay(Duration),
    /// Loses them. The connections on which it did so stay silent for good.
    Silent,
    /// Loses those from the listener's side only.
    OneWay,
    /// Resets connections, old and new.
    Reset,
}

/// Which way bytes go.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Way {
    ToListener,
    FromListener,
}

impl Mode {
    fn loses(self, way: Way) -> bool {
        match self {
            Self::Silent => true,
            Self::OneWay => way == Way::FromListener,
            Self::Pass | Self::Delay(_) | Self::Reset => false,
        }
    }
}

/// A proxy in front of one listener.
#[derive(Debug)]
pub struct Proxy {
    mode: watch::Sender<Mode>,
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
        let mode = watch::Sender::new(Mode::Pass);
        let modes = mode.clone();
        tokio::spawn(async move {
            while let Ok((near, _)) = socket.accept().await {
                let modes = modes.subscribe();
                tokio::spawn(async move {
                    // A connection that ends with an error is one that ends.
                    let _ended = relay(near, listener, modes).await;
                });
            }
        });
        Ok(Self { mode, address })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets what it does.
    pub fn set(&self, mode: Mode) {
        self.mode.send_replace(mode);
    }
}

async fn relay(
    near: TcpStream,
    listener: SocketAddr,
    mut modes: watch::Receiver<Mode>,
) -> io::Result<()> {
    // Dropping a connection without lingering resets it.
    SockRef::from(&near).set_linger(Some(Duration::ZERO))?;
    if *modes.borrow_and_update() == Mode::Reset {
        return Ok(());
    }
    let far = TcpStream::connect(listener).await?;
    near.set_nodelay(true)?;
    far.set_nodelay(true)?;
    SockRef::from(&far).set_linger(Some(Duration::ZERO))?;
    let (near_read, near_write) = near.into_split();
    let (far_read, far_write) = far.into_split();
    let there = pump(near_read, far_write, modes.clone(), Way::ToListener);
    let back = pump(far_read, near_write, modes.clone(), Way::FromListener);
    tokio::select! {
        _ = modes.wait_for(|mode| *mode == Mode::Reset) => Ok(()),
        ended = futures::future::try_join(there, back) => ended.map(|_| ()),
    }
}

async fn pump(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    modes: watch::Receiver<Mode>,
    way: Way,
) -> io::Result<()> {
    let mut bytes = BytesMut::with_capacity(16 * 1024);
    let mut is_silent = false;
    while from.read_buf(&mut bytes).await? > 0 {
        let mode = *modes.borrow();
        is_silent |= mode.loses(way);
        if let Mode::Delay(delay) = mode {
            sleep(delay).await;
        }
        if !is_silent {
            to.write_all(&bytes).await?;
        }
        bytes.clear();
    }
    match is_silent {
        true => Ok(()),
        false => to.shutdown().await,
    }
}
