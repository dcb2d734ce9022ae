//! Control messages between processes.
//!
//! [`serve`] accepts envelopes and [`LinkPool`] sends them. Connections are opened
//! on first use and closed when idle. Everything runs on the control thread.
//!
//! Invariant: an envelope that cannot be decoded is counted and answered with an
//! empty envelope; it never terminates the process.

use std::cell::RefCell;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::time::{Duration, Instant};

use derive_more::{Display, Error};
use futures::StreamExt;
use futures::future::ready;
use rustc_hash::FxHashMap;
use tarpc::client::{self, NewClient};
use tarpc::context::{self, Context};
use tarpc::serde_transport::tcp;
use tarpc::server::{BaseChannel, Channel};
use tarpc::tokio_serde::formats::Bincode;
use tokio::time::timeout;
use wire::{Control, ControlClient, Envelope, EnvelopeError, MAX_ENVELOPE_BYTES};

/// Maximum frame size on a control connection, in bytes.
const MAX_FRAME_BYTES: usize = MAX_ENVELOPE_BYTES + 1024;

/// Timeout of one exchange, and of opening a connection for it.
const EXCHANGE_TIMEOUT: Duration = Duration::from_secs(2);

/// Idle time after which a connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);

/// Maximum number of control connections that a process accepts.
const MAX_CONNECTIONS: usize = 2048;

/// Handles incoming envelopes on the control thread.
pub trait EnvelopeHandler: Clone + 'static {
    /// Processes an envelope and returns the reply.
    fn handle(&self, envelope: &Envelope) -> Envelope;

    /// Handles a message that is not a valid envelope and returns the reply.
    fn handle_malformed(&self, error: EnvelopeError) -> Envelope;
}

/// Traffic counters of control messages.
#[derive(Clone, Copy, Default, PartialEq, Eq, Debug)]
pub struct ControlCounters {
    /// Bytes of envelopes sent.
    pub sent: u64,
    /// Bytes of envelopes received.
    pub received: u64,
    /// Number of exchanges initiated by this process.
    pub exchanges: u64,
}

/// Counters shared within the control thread.
pub type SharedCounters = Rc<RefCell<ControlCounters>>;

#[derive(Clone)]
struct ControlServer<R> {
    handler: R,
    counters: SharedCounters,
}

impl<R: EnvelopeHandler> Control for ControlServer<R> {
    async fn exchange(self, _: Context, envelope: Vec<u8>) -> Vec<u8> {
        let reply = match Envelope::decode(&envelope) {
            Ok(envelope) => self.handler.handle(&envelope),
            Err(error) => self.handler.handle_malformed(error),
        };
        let reply = reply.encode();
        let mut counters = self.counters.borrow_mut();
        counters.received += envelope.len() as u64;
        counters.sent += reply.len() as u64;
        reply
    }
}

/// Serves the control service on `listener` until the thread ends.
///
/// # Errors
///
/// Returns an error if the listener cannot be used.
pub async fn serve<R: EnvelopeHandler>(
    listener: TcpListener,
    handler: R,
    counters: SharedCounters,
) -> io::Result<()> {
    listener.set_nonblocking(true)?;
    let listener = tokio::net::TcpListener::from_std(listener)?;
    let mut incoming = tcp::listen_on(listener, Bincode::default).await?;
    incoming.config_mut().max_frame_length(MAX_FRAME_BYTES);
    let connection_tokens = Rc::new(());
    actix_rt::spawn(async move {
        while let Some(connection) = incoming.next().await {
            let Ok(transport) = connection else { continue };
            if Rc::strong_count(&connection_tokens) > MAX_CONNECTIONS {
                continue;
            }
            let server = ControlServer {
                handler: handler.clone(),
                counters: counters.clone(),
            };
            let token = connection_tokens.clone();
            actix_rt::spawn(async move {
                let channel = BaseChannel::with_defaults(transport);
                let calls = channel.execute(server.serve());
                calls
                    .for_each(|call| {
                        actix_rt::spawn(call);
                        ready(())
                    })
                    .await;
                drop(token);
            });
        }
    });
    Ok(())
}

/// Reason why an exchange failed.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Display, Error)]
pub enum LinkError {
    /// The connection could not be opened.
    #[display("cannot connect")]
    Connect,
    /// The peer did not reply in time or the connection broke.
    #[display("no answer")]
    NoAnswer,
    /// The reply is not a valid envelope.
    #[display("unreadable answer")]
    Unreadable,
}

struct Link {
    client: ControlClient,
    last_used: Instant,
}

/// Pool of connections to the control services of other processes.
#[derive(Clone)]
pub struct LinkPool {
    links: Rc<RefCell<FxHashMap<SocketAddr, Link>>>,
    counters: SharedCounters,
}

impl LinkPool {
    /// Creates an empty pool.
    pub fn new(counters: SharedCounters) -> Self {
        Self {
            links: Rc::default(),
            counters,
        }
    }

    /// Sends an envelope and returns the reply.
    ///
    /// # Errors
    ///
    /// Returns an error if no valid reply arrives in time.
    pub async fn exchange(
        &self,
        to: SocketAddr,
        envelope: &Envelope,
    ) -> Result<Envelope, LinkError> {
        let client = self.client(to).await?;
        let bytes = envelope.encode();
        {
            let mut counts = self.counters.borrow_mut();
            counts.sent += bytes.len() as u64;
            counts.exchanges += 1;
        }
        let call = client.exchange(context::current(), bytes);
        let Ok(Ok(reply)) = timeout(EXCHANGE_TIMEOUT, call).await else {
            self.links.borrow_mut().remove(&to);
            return Err(LinkError::NoAnswer);
        };
        self.counters.borrow_mut().received += reply.len() as u64;
        Envelope::decode(&reply).map_err(|_| LinkError::Unreadable)
    }

    /// Closes connections that have been idle for `IDLE_TIMEOUT`.
    pub fn close_idle(&self, now: Instant) {
        let is_recent =
            |link: &mut Link| now.saturating_duration_since(link.last_used) < IDLE_TIMEOUT;
        self.links.borrow_mut().retain(|_, link| is_recent(link));
    }

    /// The number of open connections.
    pub fn len(&self) -> usize {
        self.links.borrow().len()
    }

    /// Whether no connection is open.
    pub fn is_empty(&self) -> bool {
        self.links.borrow().is_empty()
    }

    async fn client(&self, to: SocketAddr) -> Result<ControlClient, LinkError> {
        if let Some(link) = self.links.borrow_mut().get_mut(&to) {
            link.last_used = Instant::now();
            return Ok(link.client.clone());
        }
        let mut connect = tcp::connect(to, Bincode::default);
        connect.config_mut().max_frame_length(MAX_FRAME_BYTES);
        let Ok(Ok(transport)) = timeout(EXCHANGE_TIMEOUT, connect).await else {
            return Err(LinkError::Connect);
        };
        let NewClient { client, dispatch } =
            ControlClient::new(client::Config::default(), transport);
        actix_rt::spawn(dispatch);
        let link = Link {
            client: client.clone(),
            last_used: Instant::now(),
        };
        self.links.borrow_mut().insert(to, link);
        Ok(client)
    }
}
