//! Control messages between processes.
//!
//! [`serve`] accepts envelopes and [`Links`] sends them. Connections are opened
//! when first used and closed when idle. All of it runs on the control thread.
//!
//! Invariant: an envelope that cannot be read is counted and answered with an
//! empty one; it never stops the process.

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

/// The greatest size of a frame on a control connection, in bytes.
const MAX_FRAME_BYTES: usize = MAX_ENVELOPE_BYTES + 1024;

/// The time limit of one exchange.
const EXCHANGE_TIMEOUT: Duration = Duration::from_secs(2);

/// The time after which an unused connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);

/// The greatest number of control connections that a process accepts.
const MAX_CONNECTIONS: usize = 2048;

/// Receives envelopes on the control thread.
pub trait Receiver: Clone + 'static {
    /// Processes an envelope and returns the answer.
    fn receive(&self, envelope: &Envelope) -> Envelope;

    /// Is told of bytes that are not an envelope; returns the answer to send.
    fn rejected(&self, error: EnvelopeError) -> Envelope;
}

/// Counts of the bytes of control messages.
#[derive(Clone, Copy, Default, PartialEq, Eq, Debug)]
pub struct ControlBytes {
    /// Bytes of envelopes that were sent.
    pub sent: u64,
    /// Bytes of envelopes that were received.
    pub received: u64,
    /// The number of exchanges that this process started.
    pub exchanges: u64,
}

/// Shared counts of the control thread.
pub type SharedBytes = Rc<RefCell<ControlBytes>>;

#[derive(Clone)]
struct Server<R> {
    receiver: R,
    bytes: SharedBytes,
}

impl<R: Receiver> Control for Server<R> {
    async fn exchange(self, _: Context, envelope: Vec<u8>) -> Vec<u8> {
        let answer = match Envelope::decode(&envelope) {
            Ok(envelope) => self.receiver.receive(&envelope),
            Err(error) => self.receiver.rejected(error),
        };
        let answer = answer.encode();
        let mut bytes = self.bytes.borrow_mut();
        bytes.received += envelope.len() as u64;
        bytes.sent += answer.len() as u64;
        answer
    }
}

/// Serves the control service on `listener` until the thread ends.
///
/// # Errors
///
/// Returns an error if the listener cannot be used.
pub async fn serve<R: Receiver>(
    listener: TcpListener,
    receiver: R,
    bytes: SharedBytes,
) -> io::Result<()> {
    listener.set_nonblocking(true)?;
    let listener = tokio::net::TcpListener::from_std(listener)?;
    let mut incoming = tcp::listen_on(listener, Bincode::default).await?;
    incoming.config_mut().max_frame_length(MAX_FRAME_BYTES);
    let open = Rc::new(());
    actix_rt::spawn(async move {
        while let Some(connection) = incoming.next().await {
            let Ok(transport) = connection else { continue };
            if Rc::strong_count(&open) > MAX_CONNECTIONS {
                continue;
            }
            let server = Server {
                receiver: receiver.clone(),
                bytes: bytes.clone(),
            };
            let held = open.clone();
            actix_rt::spawn(async move {
                let channel = BaseChannel::with_defaults(transport);
                let calls = channel.execute(server.serve());
                calls
                    .for_each(|call| {
                        actix_rt::spawn(call);
                        ready(())
                    })
                    .await;
                drop(held);
            });
        }
    });
    Ok(())
}

/// Why an exchange failed.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Display, Error)]
pub enum LinkError {
    /// No connection could be opened.
    #[display("cannot connect")]
    Connect,
    /// The other side did not answer in time or the connection broke.
    #[display("no answer")]
    NoAnswer,
    /// The answer is not an envelope.
    #[display("unreadable answer")]
    Unreadable,
}

struct Link {
    client: ControlClient,
    used: Instant,
}

/// Connections to the control services of other processes.
#[derive(Clone)]
pub struct Links {
    links: Rc<RefCell<FxHashMap<SocketAddr, Link>>>,
    bytes: SharedBytes,
}

impl Links {
    /// Creates an empty set of connections.
    pub fn new(bytes: SharedBytes) -> Self {
        Self {
            links: Rc::default(),
            bytes,
        }
    }

    /// Sends an envelope and returns the answer.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no readable answer in time.
    pub async fn exchange(
        &self,
        to: SocketAddr,
        envelope: &Envelope,
    ) -> Result<Envelope, LinkError> {
        let client = self.client(to).await?;
        let bytes = envelope.encode();
        {
            let mut counts = self.bytes.borrow_mut();
            counts.sent += bytes.len() as u64;
            counts.exchanges += 1;
        }
        let call = client.exchange(context::current(), bytes);
        let Ok(Ok(answer)) = timeout(EXCHANGE_TIMEOUT, call).await else {
            self.links.borrow_mut().remove(&to);
            return Err(LinkError::NoAnswer);
        };
        self.bytes.borrow_mut().received += answer.len() as u64;
        Envelope::decode(&answer).map_err(|_| LinkError::Unreadable)
    }

    /// Closes the connections that were not used for a while.
    pub fn close_idle(&self, now: Instant) {
        let used = |link: &mut Link| now.saturating_duration_since(link.used) < IDLE_TIMEOUT;
        self.links.borrow_mut().retain(|_, link| used(link));
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
            link.used = Instant::now();
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
            used: Instant::now(),
        };
        self.links.borrow_mut().insert(to, link);
        Ok(client)
    }
}
