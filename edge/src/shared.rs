//! State shared by the control thread and the traffic thread.
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

/// The latest reports of the peers.
#[derive(Clone, Debug, Default)]
pub(crate) struct PeerState {
    /// The load of each peer.
    pub(crate) reports: Vec<PeerLoadReport>,
    /// The requested and admitted rate of each team, summed over all peers.
    pub(crate) teams: FxHashMap<u64, TeamRate>,
    /// The number of peers that report problems with each target.
    pub(crate) problem_counts: FxHashMap<u64, u32>,
    /// The routers among which limits are divided.
    pub(crate) members: Members,
}

/// The report of the traffic thread for the peers.
#[derive(Clone, Debug, Default)]
pub(crate) struct LocalReport {
    /// The load on each target.
    pub(crate) loads: Vec<LoadReport>,
    /// The requested and admitted rate of each team.
    pub(crate) teams: Vec<(u64, TeamRate)>,
    /// The targets with problems.
    pub(crate) problem_targets: Vec<u64>,
}

/// The state that both threads access.
#[derive(Debug)]
pub(crate) struct Shared {
    /// The active configuration; written by the control thread.
    pub(crate) config: ArcSwapOption<Config>,
    /// The targets; written by the control thread.
    pub(crate) registry: ArcSwap<TargetRegistry>,
    /// The state of the peers; written by the control thread.
    pub(crate) peers: ArcSwap<PeerState>,
    /// The report of this router; written by the traffic thread.
    pub(crate) local_report: ArcSwap<LocalReport>,
    /// Whether a planned stop has begun.
    pub(crate) stopping: AtomicBool,
    /// Whether this router is overloaded.
    pub(crate) overloaded: AtomicBool,
    /// Whether a planned stop has reached the phase in which new requests are refused.
    pub(crate) closing: AtomicBool,
    /// The number of requests in progress.
    pub(crate) open_requests: AtomicUsize,
    confirmed_at_micros: AtomicU64,
    revocation_limit: Option<Duration>,
    /// Crash records that one thread hands to the other.
    crash_queues: Mutex<CrashQueues>,
}

#[derive(Debug, Default)]
struct CrashQueues {
    local: Vec<CrashRecord>,
    peers: Vec<CrashRecord>,
}

impl Shared {
    /// Creates the initial state, without configuration, targets and peers.
    pub(crate) fn new(revocation_limit: Option<Duration>) -> Arc<Self> {
        Arc::new(Self {
            config: ArcSwapOption::empty(),
            registry: ArcSwap::default(),
            peers: ArcSwap::default(),
            local_report: ArcSwap::default(),
            stopping: AtomicBool::new(false),
            closing: AtomicBool::new(false),
            overloaded: AtomicBool::new(false),
            open_requests: AtomicUsize::new(0),
            confirmed_at_micros: AtomicU64::new(0),
            revocation_limit,
            crash_queues: Mutex::default(),
        })
    }

    /// Publishes the time at which the configuration was last known to be current.
    pub(crate) fn publish_confirmation(&self, confirmation: &Confirmation) {
        let at = confirmation
            .confirmed_at()
            .map_or(0, |at| at.0.as_micros() as u64);
        self.confirmed_at_micros.store(at, Ordering::Release);
    }

    /// Returns when the configuration was last known to be current.
    pub(crate) fn confirmation(&self) -> Confirmation {
        let mut confirmation = Confirmation::new(self.revocation_limit);
        let at = self.confirmed_at_micros.load(Ordering::Acquire);
        if at > 0 {
            confirmation.record_read(Uptime(Duration::from_micros(at)));
        }
        confirmation
    }

    /// Whether a planned stop has begun.
    pub(crate) fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Relaxed)
    }

    /// Returns the number of routers, including this one.
    pub(crate) fn router_count(&self) -> usize {
        self.peers.load().members.count()
    }

    /// Adds crash records of this router, to be sent to the peers.
    pub(crate) fn add_local_crashes(&self, crashes: impl IntoIterator<Item = CrashRecord>) {
        self.crash_queues().local.extend(crashes);
    }

    /// Adds crash records received from peers.
    pub(crate) fn add_peer_crashes(&self, crashes: impl IntoIterator<Item = CrashRecord>) {
        self.crash_queues().peers.extend(crashes);
    }

    /// Takes the crash records of this router.
    pub(crate) fn take_local_crashes(&self) -> Vec<CrashRecord> {
        std::mem::take(&mut self.crash_queues().local)
    }

    /// Takes the crash records received from peers.
    pub(crate) fn take_peer_crashes(&self) -> Vec<CrashRecord> {
        std::mem::take(&mut self.crash_queues().peers)
    }

    fn crash_queues(&self) -> std::sync::MutexGuard<'_, CrashQueues> {
        self.crash_queues
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}
