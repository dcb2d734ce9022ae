//! What the control thread and the traffic thread know of each other.
//!
//! Each value has one writer and reaches the other thread as an immutable
//! snapshot, so no request waits for control state.

use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use arc_swap::{ArcSwap, ArcSwapOption};
use policy::direct::cold::Members;
use policy::direct::config::Config;
use policy::direct::confirmation::{Confirmation, Uptime};
use policy::direct::crash::CrashRecord;
use policy::direct::fair_share::TeamRate;
use policy::direct::target::TargetRegistry;
use policy::direct::target_table::{LoadReport, PeerLoadReport};
use rustc_hash::FxHashMap;

/// What the peers reported last.
#[derive(Clone, Debug, Default)]
pub(crate) struct Peers {
    /// What each peer has in hand.
    pub(crate) reports: Vec<PeerLoadReport>,
    /// What teams ask for and get at all peers together.
    pub(crate) teams: FxHashMap<u64, TeamRate>,
    /// How many peers report trouble with each target.
    pub(crate) trouble: FxHashMap<u64, u32>,
    /// The routers that limits are divided by.
    pub(crate) members: Members,
}

/// What the traffic thread reports to the peers.
#[derive(Clone, Debug, Default)]
pub(crate) struct Sheet {
    /// What it has in hand.
    pub(crate) loads: Vec<LoadReport>,
    /// What teams ask for and get.
    pub(crate) teams: Vec<(u64, TeamRate)>,
    /// The targets with which it has trouble.
    pub(crate) trouble: Vec<u64>,
}

/// The state that both threads see.
#[derive(Debug)]
pub(crate) struct Shared {
    /// The configuration in force; written by the control thread.
    pub(crate) config: ArcSwapOption<Config>,
    /// The targets; written by the control thread.
    pub(crate) roster: ArcSwap<TargetRegistry>,
    /// What the peers have in hand; written by the control thread.
    pub(crate) peers: ArcSwap<Peers>,
    /// What this router has in hand; written by the traffic thread.
    pub(crate) sheet: ArcSwap<Sheet>,
    /// Whether a planned stop has begun.
    pub(crate) stopping: AtomicBool,
    /// Whether this router has more to do than it can.
    pub(crate) strained: AtomicBool,
    /// Whether a planned stop has come to the point at which no request is taken.
    pub(crate) closing: AtomicBool,
    /// Requests that have not ended.
    pub(crate) open: AtomicUsize,
    confirmed: AtomicU64,
    revoke: Option<Duration>,
    /// Crash notes on their way from one thread to the other.
    notes: Mutex<Notes>,
}

#[derive(Debug, Default)]
struct Notes {
    own: Vec<CrashRecord>,
    peers: Vec<CrashRecord>,
}

impl Shared {
    /// The state at the start: nothing is known.
    pub(crate) fn new(revoke: Option<Duration>) -> Arc<Self> {
        Arc::new(Self {
            config: ArcSwapOption::empty(),
            roster: ArcSwap::default(),
            peers: ArcSwap::default(),
            sheet: ArcSwap::default(),
            stopping: AtomicBool::new(false),
            closing: AtomicBool::new(false),
            strained: AtomicBool::new(false),
            open: AtomicUsize::new(0),
            confirmed: AtomicU64::new(0),
            revoke,
            notes: Mutex::default(),
        })
    }

    /// Publishes when the configuration was last known to be current.
    pub(crate) fn confirm(&self, confirmation: &Confirmation) {
        let at = confirmation
            .confirmed_at()
            .map_or(0, |at| at.0.as_micros() as u64);
        self.confirmed.store(at, Ordering::Release);
    }

    /// When the configuration was last known to be current.
    pub(crate) fn confirmation(&self) -> Confirmation {
        let mut confirmation = Confirmation::new(self.revoke);
        let at = self.confirmed.load(Ordering::Acquire);
        if at > 0 {
            confirmation.record_read(Uptime(Duration::from_micros(at)));
        }
        confirmation
    }

    /// Whether a planned stop has begun.
    pub(crate) fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Relaxed)
    }

    /// The number of routers, this one included.
    pub(crate) fn router_count(&self) -> usize {
        self.peers.load().members.count()
    }

    /// Adds crash notes of this router, for the peers.
    pub(crate) fn noted(&self, notes: impl IntoIterator<Item = CrashRecord>) {
        self.notes().own.extend(notes);
    }

    /// Adds crash notes of peers.
    pub(crate) fn heard(&self, notes: impl IntoIterator<Item = CrashRecord>) {
        self.notes().peers.extend(notes);
    }

    /// Takes the crash notes of this router.
    pub(crate) fn take_noted(&self) -> Vec<CrashRecord> {
        std::mem::take(&mut self.notes().own)
    }

    /// Takes the crash notes of peers.
    pub(crate) fn take_heard(&self) -> Vec<CrashRecord> {
        std::mem::take(&mut self.notes().peers)
    }

    fn notes(&self) -> std::sync::MutexGuard<'_, Notes> {
        self.notes.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
