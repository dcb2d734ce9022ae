//! State shared by the control thread and the traffic thread.
//!
//! Each value has one writer and reaches the other thread as an immutable
//! snapshot, so no request waits for control state.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use arc_swap::{ArcSwap, ArcSwapOption};
use policy::direct::cold::Members;
use policy::direct::config::Config;
use policy::direct::confirmation::{Confirmation, Uptime};
use policy::direct::crash::{CompletedRun, CrashRecord};
use policy::direct::exchange::message::PartNews;
use policy::direct::fair_share::TeamRate;
use policy::direct::kept::KeptRow;
use policy::direct::rotation::{Neighbour, Readiness};
use policy::direct::stream_origin::{StreamId, StreamOrigins};
use policy::direct::target::TargetRegistry;
use policy::direct::target_limit::LimitReport;
use policy::direct::target_notice::CallNotice;
use policy::direct::target_rate::RateRow;
use policy::direct::target_table::{LoadReport, PeerLoadReport};
use rustc_hash::{FxHashMap, FxHashSet};
use tokio::sync::Notify;

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
    /// The relay to which this router reports, unless it is one itself.
    pub(crate) relay: Option<SocketAddr>,
    /// The other routers of the data centre.
    pub(crate) neighbours: Vec<Neighbour>,
    /// What is known of prompt parts that targets keep.
    pub(crate) kept: KeptCounts,
}

/// How much is known of prompt parts that targets keep.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct KeptCounts {
    /// The parts at targets that are known to the exchange.
    pub(crate) known: usize,
    /// The rows that wait to be sent.
    pub(crate) waiting: usize,
    /// The targets that this router asks.
    pub(crate) watched: usize,
    /// The calls under way.
    pub(crate) calls: usize,
    /// The parts that these targets said they hold.
    pub(crate) held: usize,
}

/// The maximum number of rows about prompt parts that wait for a thread; if it falls
/// behind further, rows are lost as datagrams are.
const MAX_KEPT_QUEUE: usize = 16_384;

/// The maximum number of messages about crashes under prompt parts that wait for a thread.
const MAX_PART_QUEUE: usize = 256;

/// The report of the traffic thread for the peers.
#[derive(Clone, Debug, Default)]
pub(crate) struct LocalReport {
    /// The load on each target.
    pub(crate) loads: Vec<LoadReport>,
    /// The requested and admitted rate of each team.
    pub(crate) teams: Vec<(u64, TeamRate)>,
    /// The targets with problems.
    pub(crate) problem_targets: Vec<u64>,
    /// What it says of its readiness.
    pub(crate) readiness: Readiness,
    /// The rates that it observed at targets.
    pub(crate) rates: Vec<RateRow>,
    /// What it heard of limits of targets, and what it needs.
    pub(crate) limits: Vec<LimitReport>,
    /// The crashes of the requests that it rejects, with the time of the latest one.
    pub(crate) rejected: Vec<(CrashRecord, Instant)>,
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
    /// The rates of targets that peers observed; written by the control thread.
    pub(crate) peer_rates: ArcSwap<Vec<RateRow>>,
    /// The limits of targets that peers report; written by the control thread.
    pub(crate) peer_limits: ArcSwap<Vec<LimitReport>>,
    /// The tags of targets that are not called beside requests; written by the traffic thread.
    pub(crate) withheld: ArcSwap<FxHashSet<u64>>,
    /// The report of this router; written by the traffic thread.
    pub(crate) local_report: ArcSwap<LocalReport>,
    /// Whether a planned stop has begun.
    pub(crate) stopping: AtomicBool,
    /// Whether this router has left rotation because it is overloaded.
    pub(crate) out: AtomicBool,
    /// Whether a planned stop has reached the phase in which new requests are refused.
    pub(crate) closing: AtomicBool,
    /// The number of requests in progress.
    pub(crate) open_requests: AtomicUsize,
    confirmed_at_micros: AtomicU64,
    revocation_limit: Option<Duration>,
    /// When the targets were last read, in microseconds of uptime.
    targets_read_at_micros: AtomicU64,
    /// Crash records that one thread hands to the other.
    crash_queues: Mutex<CrashQueues>,
    /// Tags of leaving targets that one thread hands to the other.
    leaving_queues: Mutex<LeavingQueues>,
    /// What targets said in responses to calls of the control thread.
    call_notices: Mutex<Vec<CallNotice>>,
    /// Rows about prompt parts that one thread hands to the other.
    kept_queues: Mutex<KeptQueues>,
    /// Crashes under prompt parts that one thread hands to the other.
    part_queues: Mutex<PartQueues>,
    origins: Mutex<StreamOrigins>,
    /// Streams whose origin the traffic thread asks the peers for.
    origin_questions: Mutex<Vec<OriginQuestion>>,
    /// Wakes the control thread when there is a question.
    pub(crate) origin_asked: Notify,
    /// Wakes the traffic thread when peers have answered.
    pub(crate) origin_learned: Notify,
}

/// A question to the peers for the origin of a stream.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(crate) struct OriginQuestion {
    pub(crate) stream: StreamId,
    /// Whether all peers are asked instead of the holders.
    pub(crate) asks_all: bool,
    /// The part of the prompt that no other stream shares.
    pub(crate) part: Option<u64>,
}

#[derive(Debug, Default)]
struct CrashQueues {
    local: Vec<CrashRecord>,
    /// With the time at which the crash was noticed.
    peers: Vec<(CrashRecord, Instant)>,
    local_runs: Vec<CompletedRun>,
    peer_runs: Vec<CompletedRun>,
}

#[derive(Debug, Default)]
struct KeptQueues {
    local: Vec<KeptRow>,
    peers: Vec<KeptRow>,
}

/// Rows with the time at which they were handed over.
type TimedNews = (Instant, PartNews);

#[derive(Debug, Default)]
struct PartQueues {
    local: Vec<TimedNews>,
    peers: Vec<TimedNews>,
}

#[derive(Debug, Default)]
struct LeavingQueues {
    local: Vec<u64>,
    peers: Vec<u64>,
}

impl Shared {
    /// Creates the initial state, without configuration, targets and peers.
    pub(crate) fn new(revocation_limit: Option<Duration>) -> Arc<Self> {
        Arc::new(Self {
            config: ArcSwapOption::empty(),
            registry: ArcSwap::default(),
            peers: ArcSwap::default(),
            peer_rates: ArcSwap::default(),
            peer_limits: ArcSwap::default(),
            withheld: ArcSwap::default(),
            local_report: ArcSwap::default(),
            stopping: AtomicBool::new(false),
            closing: AtomicBool::new(false),
            out: AtomicBool::new(false),
            open_requests: AtomicUsize::new(0),
            confirmed_at_micros: AtomicU64::new(0),
            revocation_limit,
            targets_read_at_micros: AtomicU64::new(0),
            crash_queues: Mutex::default(),
            leaving_queues: Mutex::default(),
            call_notices: Mutex::default(),
            kept_queues: Mutex::default(),
            part_queues: Mutex::default(),
            origins: Mutex::default(),
            origin_questions: Mutex::default(),
            origin_asked: Notify::new(),
            origin_learned: Notify::new(),
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

    /// Publishes the time at which the targets were last read.
    pub(crate) fn publish_targets_read(&self, at: Uptime) {
        let micros = at.0.as_micros() as u64;
        self.targets_read_at_micros.store(micros, Ordering::Release);
    }

    /// Returns how long ago the targets were read, suspensions of the machine included.
    pub(crate) fn targets_age(&self, now: Uptime) -> Option<Duration> {
        let at = self.targets_read_at_micros.load(Ordering::Acquire);
        (at > 0).then(|| now.since(Uptime(Duration::from_micros(at))))
    }

    /// Locks the origins of streams; never held across a suspension point.
    pub(crate) fn origins(&self) -> MutexGuard<'_, StreamOrigins> {
        self.origins.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Asks the peers for the origin of a stream.
    pub(crate) fn ask_origin(&self, question: OriginQuestion) {
        self.origin_questions().push(question);
        self.origin_asked.notify_one();
    }

    /// Takes the questions for the peers.
    pub(crate) fn take_origin_questions(&self) -> Vec<OriginQuestion> {
        std::mem::take(&mut self.origin_questions())
    }

    fn origin_questions(&self) -> MutexGuard<'_, Vec<OriginQuestion>> {
        let questions = self.origin_questions.lock();
        questions.unwrap_or_else(PoisonError::into_inner)
    }

    /// Adds a target that told this router that it is leaving, to be sent to the peers.
    pub(crate) fn add_local_leaving(&self, target: u64) {
        self.leaving_queues().local.push(target);
    }

    /// Adds targets that told a peer that they are leaving.
    pub(crate) fn add_peer_leaving(&self, targets: Vec<u64>) {
        self.leaving_queues().peers.extend(targets);
    }

    /// Takes the targets to be sent to the peers.
    pub(crate) fn take_local_leaving(&self) -> Vec<u64> {
        std::mem::take(&mut self.leaving_queues().local)
    }

    /// Takes the targets received from peers.
    pub(crate) fn take_peer_leaving(&self) -> Vec<u64> {
        std::mem::take(&mut self.leaving_queues().peers)
    }

    fn leaving_queues(&self) -> MutexGuard<'_, LeavingQueues> {
        let queues = self.leaving_queues.lock();
        queues.unwrap_or_else(PoisonError::into_inner)
    }

    /// Adds what a target said in the response to a call of the control thread.
    pub(crate) fn add_call_notice(&self, notice: CallNotice) {
        self.call_notices().push(notice);
    }

    /// Takes what targets said in responses to calls of the control thread.
    pub(crate) fn take_call_notices(&self) -> Vec<CallNotice> {
        std::mem::take(&mut self.call_notices())
    }

    fn call_notices(&self) -> MutexGuard<'_, Vec<CallNotice>> {
        let notices = self.call_notices.lock();
        notices.unwrap_or_else(PoisonError::into_inner)
    }

    /// Adds uses of prompt parts by this router, to be sent to the peers.
    pub(crate) fn add_local_kept(&self, rows: Vec<KeptRow>) {
        push_bounded(&mut self.kept_queues().local, rows);
    }

    /// Adds what peers and targets told of kept prompt parts.
    pub(crate) fn add_peer_kept(&self, rows: Vec<KeptRow>) {
        push_bounded(&mut self.kept_queues().peers, rows);
    }

    /// Takes the uses to be sent to the peers.
    pub(crate) fn take_local_kept(&self) -> Vec<KeptRow> {
        std::mem::take(&mut self.kept_queues().local)
    }

    /// Takes what peers and targets told.
    pub(crate) fn take_peer_kept(&self) -> Vec<KeptRow> {
        std::mem::take(&mut self.kept_queues().peers)
    }

    fn kept_queues(&self) -> MutexGuard<'_, KeptQueues> {
        let queues = self.kept_queues.lock();
        queues.unwrap_or_else(PoisonError::into_inner)
    }

    /// Adds what this router saw of prompt parts, to be sent to the peers.
    pub(crate) fn add_local_parts(&self, news: PartNews, now: Instant) {
        push_news(&mut self.part_queues().local, news, now);
    }

    /// Adds what peers saw of prompt parts.
    pub(crate) fn add_peer_parts(&self, news: PartNews, now: Instant) {
        push_news(&mut self.part_queues().peers, news, now);
    }

    /// Takes what is to be sent to the peers.
    pub(crate) fn take_local_parts(&self) -> Vec<TimedNews> {
        std::mem::take(&mut self.part_queues().local)
    }

    /// Takes what peers saw.
    pub(crate) fn take_peer_parts(&self) -> Vec<TimedNews> {
        std::mem::take(&mut self.part_queues().peers)
    }

    fn part_queues(&self) -> MutexGuard<'_, PartQueues> {
        let queues = self.part_queues.lock();
        queues.unwrap_or_else(PoisonError::into_inner)
    }

    /// Adds crash records of this router, to be sent to the peers.
    pub(crate) fn add_local_crashes(&self, crashes: impl IntoIterator<Item = CrashRecord>) {
        self.crash_queues().local.extend(crashes);
    }

    /// Adds crash records received from peers.
    pub(crate) fn add_peer_crashes(
        &self,
        crashes: impl IntoIterator<Item = (CrashRecord, Instant)>,
    ) {
        self.crash_queues().peers.extend(crashes);
    }

    /// Takes the crash records of this router.
    pub(crate) fn take_local_crashes(&self) -> Vec<CrashRecord> {
        std::mem::take(&mut self.crash_queues().local)
    }

    /// Takes the crash records received from peers.
    pub(crate) fn take_peer_crashes(&self) -> Vec<(CrashRecord, Instant)> {
        std::mem::take(&mut self.crash_queues().peers)
    }

    /// Adds completed runs of which the peers are told.
    pub(crate) fn add_local_runs(&self, runs: Vec<CompletedRun>) {
        if !runs.is_empty() {
            self.crash_queues().local_runs.extend(runs);
        }
    }

    /// Adds completed runs that peers saw.
    pub(crate) fn add_peer_runs(&self, runs: impl IntoIterator<Item = CompletedRun>) {
        self.crash_queues().peer_runs.extend(runs);
    }

    /// Takes the completed runs of which the peers are told.
    pub(crate) fn take_local_runs(&self) -> Vec<CompletedRun> {
        std::mem::take(&mut self.crash_queues().local_runs)
    }

    /// Takes the completed runs that peers saw.
    pub(crate) fn take_peer_runs(&self) -> Vec<CompletedRun> {
        std::mem::take(&mut self.crash_queues().peer_runs)
    }

    fn crash_queues(&self) -> MutexGuard<'_, CrashQueues> {
        self.crash_queues
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

fn push_news(queue: &mut Vec<TimedNews>, news: PartNews, now: Instant) {
    if !news.is_empty() && queue.len() < MAX_PART_QUEUE {
        queue.push((now, news));
    }
}

fn push_bounded(queue: &mut Vec<KeptRow>, rows: Vec<KeptRow>) {
    let room = MAX_KEPT_QUEUE.saturating_sub(queue.len());
    queue.extend(rows.into_iter().take(room));
}
