//! The idle connections to targets, and the ends of connections that no target announced.
//!
//! Invariant: an idle connection that was closed, reset or received bytes is never returned.

use std::cell::RefCell;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use policy::direct::incarnation::{ConnectionEnd, EndCause, UNANSWERED_TIME};
use rustc_hash::FxHashMap;
use tokio::net::TcpStream;

/// The maximum idle time of a connection that is reused for a non-idempotent request.
///
/// A target may drop an idle connection without closing it. The request that
/// fails because of this cannot be retried if it must not run twice.
const MAX_NON_IDEMPOTENT_IDLE: Duration = Duration::from_millis(3000);

/// A connection without a request.
pub(super) struct IdleConnection {
    pub(super) stream: TcpStream,
    pub(super) opened_at: Instant,
    pub(super) idle_since: Instant,
    pub(super) expires_at: Instant,
    /// Whether a response on it did not name its request. A late second copy of it cannot be
    /// told from the response to the next request.
    pub(super) is_ambiguous: bool,
}

/// What became of a connection while it was idle.
#[derive(Clone, Copy, PartialEq, Eq)]
enum IdleState {
    Open,
    /// It was closed or reset.
    Ended,
    /// It received bytes that belong to no request.
    Unusable,
}

impl IdleConnection {
    fn state(&self) -> IdleState {
        match self.stream.try_read(&mut [0]) {
            Err(error) if error.kind() == ErrorKind::WouldBlock => IdleState::Open,
            Ok(0) | Err(_) => IdleState::Ended,
            Ok(_) => IdleState::Unusable,
        }
    }
}

/// Why there is no idle connection to be used.
pub(super) enum NoIdle {
    /// There is none, or none that may be used for the request.
    None,
    /// All had ended.
    Ended,
}

/// The idle connections of one router, by the address of the target.
#[derive(Default)]
pub(super) struct Connections {
    idle: RefCell<FxHashMap<SocketAddr, Vec<IdleConnection>>>,
    ends: RefCell<Vec<ConnectionEnd>>,
}

impl Connections {
    /// Keeps an idle connection.
    pub(super) fn keep(&self, address: SocketAddr, connection: IdleConnection) {
        let mut idle = self.idle.borrow_mut();
        idle.entry(address).or_default().push(connection);
    }

    /// Takes the idle connection that was used last and may be used for the request: one that
    /// was opened before `opened_before`, if that is set.
    ///
    /// # Errors
    ///
    /// Returns an error if there is none.
    pub(super) fn take_idle(
        &self,
        address: SocketAddr,
        idempotent: bool,
        opened_before: Option<Instant>,
    ) -> Result<IdleConnection, NoIdle> {
        let now = Instant::now();
        let mut idle = self.idle.borrow_mut();
        let Some(connections) = idle.get_mut(&address) else {
            return Err(NoIdle::None);
        };
        let may_use = |idle: &IdleConnection| {
            (idempotent || !idle.is_ambiguous) && opened_before.is_none_or(|at| idle.opened_at < at)
        };
        let mut no_idle = NoIdle::None;
        while let Some(index) = connections.iter().rposition(may_use) {
            let idle = connections.remove(index);
            if idle.expires_at <= now {
                continue;
            }
            match idle.state() {
                IdleState::Open => {}
                IdleState::Ended => {
                    self.record_end(address, EndCause::Idle, idle.idle_since);
                    no_idle = NoIdle::Ended;
                    continue;
                }
                IdleState::Unusable => continue,
            }
            if !idempotent && now.duration_since(idle.idle_since) > MAX_NON_IDEMPOTENT_IDLE {
                connections.insert(index, idle);
                break;
            }
            return Ok(idle);
        }
        Err(no_idle)
    }

    /// Whether there is an idle connection. Expired ones are removed with the next maintenance.
    pub(super) fn has_idle(&self, address: SocketAddr) -> bool {
        let idle = self.idle.borrow();
        idle.get(&address)
            .is_some_and(|connections| !connections.is_empty())
    }

    /// Whether there is an idle connection of this kind that is still open.
    pub(super) fn has_usable(
        &self,
        address: SocketAddr,
        is_of_kind: impl Fn(&IdleConnection) -> bool,
    ) -> bool {
        let now = Instant::now();
        let idle = self.idle.borrow();
        let mut connections = idle.get(&address).into_iter().flatten();
        connections.any(|it| is_of_kind(it) && it.expires_at > now && it.state() == IdleState::Open)
    }

    /// Closes idle connections that have expired.
    pub(super) fn close_expired(&self, now: Instant) {
        let mut idle = self.idle.borrow_mut();
        for connections in idle.values_mut() {
            connections.retain(|it| it.expires_at > now);
        }
        idle.retain(|_, connections| !connections.is_empty());
    }

    /// Records that a connection ended that was sound at `since`.
    pub(super) fn record_end(&self, address: SocketAddr, cause: EndCause, since: Instant) {
        self.ends.borrow_mut().push(ConnectionEnd {
            address,
            cause,
            since,
            at: Instant::now(),
        });
    }

    /// Records that this router closes a connection on which it waits for bytes, the last of
    /// which came at `last_byte`.
    pub(super) fn record_abandoned(&self, address: SocketAddr, last_byte: Instant) {
        if last_byte.elapsed() >= UNANSWERED_TIME {
            self.record_end(address, EndCause::Unanswered, last_byte);
        }
    }

    /// Takes the ends that were recorded since the last call.
    pub(super) fn take_ends(&self) -> Vec<ConnectionEnd> {
        self.ends.take()
    }
}
