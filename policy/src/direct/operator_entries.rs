//! Decides when a router asks a peer for the operators' entries: the configuration and
//! the drained data centres.
//!
//! A router reads them from the store. The store may serve some routers and refuse
//! others, may answer nobody while a router starts, or may answer from an older copy of
//! itself. Routers state a digest of their entries in each heartbeat, so such a router
//! learns that a peer knows other entries, and gets them from that peer.
//!
//! Invariants:
//! - While the store serves this router, a new digest causes one read of the store and
//!   no question to a peer, unless the digests still differ after that read.
//! - A peer is asked only while its digest differs from this router's.

use std::net::SocketAddr;
use std::time::Duration;

use derive_more::Display;

/// The delay before a peer that did not answer is asked again.
pub const MIN_ASK_DELAY: Duration = Duration::from_millis(200);

/// The maximum of this delay, which doubles with each failure.
pub const MAX_ASK_DELAY: Duration = Duration::from_millis(800);

/// What a router does when it learns of entries that differ from its own.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum NewsAction {
    /// Nothing; the entries are its own, or are already being looked for.
    None,
    /// It reads the store.
    ReadStore,
    /// It asks the peer.
    AskPeer,
}

/// How a question to a peer ended.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Display)]
pub enum AskOutcome {
    /// The peer sent newer entries.
    #[display("newer")]
    Newer,
    /// The peer has none that are newer.
    #[display("not-newer")]
    NotNewer,
    /// The peer did not answer, or its answer cannot be read.
    #[display("failed")]
    Failed,
}

/// The last peer whose entries differ from those of this router.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
struct News {
    peer: SocketAddr,
    digest: u64,
    /// Whether a call to the store has ended since its digest was heard.
    is_read_since: bool,
}

/// What is known of entries of peers that differ from those of this router.
#[derive(Clone, Copy, Default, Debug)]
pub struct PeerEntries {
    /// The last digest of a peer that differed.
    heard: Option<u64>,
    news: Option<News>,
    /// Whether the last call to the store failed, or there was none.
    is_unserved: bool,
    failures: u32,
}

impl PeerEntries {
    /// Creates the state of a router that has not read the store.
    pub fn new() -> Self {
        Self {
            is_unserved: true,
            ..Self::default()
        }
    }

    /// Records the digest of a peer's entries; `own` is that of this router.
    pub fn hear(&mut self, peer: SocketAddr, digest: u64, own: u64) -> NewsAction {
        if digest == own {
            self.news = self.news.filter(|news| news.peer != peer);
            return NewsAction::None;
        }
        // Digests have no order, so each new one is looked at once.
        if self.heard.replace(digest) == Some(digest) {
            if let Some(news) = self.news.as_mut().filter(|news| news.digest == digest) {
                news.peer = peer;
            }
            return NewsAction::None;
        }
        self.failures = 0;
        self.news = Some(News {
            peer,
            digest,
            is_read_since: false,
        });
        match self.is_unserved {
            true => NewsAction::AskPeer,
            false => NewsAction::ReadStore,
        }
    }

    /// Records that a call to the store ended.
    pub fn record_read(&mut self, is_success: bool) {
        self.is_unserved = !is_success;
        if let Some(news) = &mut self.news {
            news.is_read_since = true;
        }
    }

    /// The peer to ask now; `own` is the digest of this router's entries.
    pub fn peer_to_ask(&self, own: u64) -> Option<SocketAddr> {
        let news = self.news.filter(|news| news.digest != own)?;
        (self.is_unserved || news.is_read_since).then_some(news.peer)
    }

    /// Records how a question ended; returns the time after which the peer may be asked
    /// again.
    pub fn record_outcome(&mut self, peer: SocketAddr, outcome: AskOutcome) -> Duration {
        match outcome {
            AskOutcome::Newer => self.failures = 0,
            AskOutcome::NotNewer => {
                self.failures = 0;
                self.news = self.news.filter(|news| news.peer != peer);
            }
            AskOutcome::Failed => self.failures = self.failures.saturating_add(1),
        }
        let doublings = self.failures.saturating_sub(1).min(8);
        (MIN_ASK_DELAY * (1 << doublings)).min(MAX_ASK_DELAY)
    }

    /// Forgets a peer that is not reachable any more, so that the next one is heard.
    pub fn forget(&mut self, peer: SocketAddr) {
        if self.news.is_some_and(|news| news.peer == peer) {
            self.news = None;
            self.heard = None;
        }
    }
}
