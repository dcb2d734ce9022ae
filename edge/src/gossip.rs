//! Exchanges state with the other routers by datagrams.
//!
//! `policy::direct::exchange` decides what is sent to whom and what a message means; this
//! module moves the datagrams and hands the result to the other parts of the router.
//!
//! Invariant: a datagram that cannot be decoded or is ignored is counted with its reason.

mod kept;
mod listing;
mod origins;

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use entity::{Clock, Fingerprint, Name, SystemClock};
use node::event::{self, Event};
use policy::direct::cold::Members;
use policy::direct::crash::{CompletedRun, CrashRecord};
use policy::direct::exchange::kept::Roster;
use policy::direct::exchange::message::{CentreTag, CrashRow, Message, RequestRunRow};
use policy::direct::exchange::{
    Exchange, Identity, LocalState, Moment, Outgoing, PERIOD, PeerEvent, Received,
};
use tokio::net::UdpSocket;
use tokio::sync::watch;
use tokio::time::{MissedTickBehavior, interval};
use wire::{Datagram, DatagramError, MAX_DATAGRAM_BYTES};
use xxhash_rust::xxh3::xxh3_64;

use crate::clock::{BootClock, SystemBootClock};
use crate::kept_events::KeptEvents;
use crate::metrics::ExchangeMetrics;
use crate::shared::{LocalReport, PeerState, Shared};
use crate::store::StoreReader;

/// The minimum time between two publications of the peers' state while there are many
/// peers. A publication processes all reports of all peers, and many peers send
/// heartbeats continuously.
const MIN_PUBLISH_INTERVAL: Duration = Duration::from_millis(80);

/// The time between two publications of the rates of targets.
const RATE_PUBLISH_INTERVAL: Duration = Duration::from_millis(500);

/// The number of peers up to which each heartbeat is published at once.
const MAX_IMMEDIATE_PEERS: usize = 8;

/// The exchange of state with the other routers.
pub(crate) struct Gossip {
    socket: UdpSocket,
    address: SocketAddr,
    exchange: Exchange,
    /// Whether it was published that this router had time to discover all others.
    was_settled: bool,
    /// When the peers' state was last published.
    last_published: Instant,
    /// When the rates of targets were last published.
    rates_published: Instant,
    /// Whether a message was received since then.
    is_stale: bool,
    /// The digest of the settings that was last announced to all routers.
    announced_digest: Option<u64>,
    store: Rc<StoreReader>,
    metrics: ExchangeMetrics,
    /// The calls to targets, if the settings ask for them.
    kept_events: Option<KeptEvents>,
    started: Instant,
    /// The roster for which the targets were last divided among routers, and when.
    divided_by: Option<Roster>,
    divided_at: Instant,
    shared: Arc<Shared>,
}

impl Gossip {
    /// Binds the socket.
    ///
    /// `seeds` gives the IP addresses of routers; all routers use the port of `address`.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be bound.
    pub(crate) async fn bind(
        address: SocketAddr,
        seeds: &[SocketAddr],
        (centre, incarnation): (&Name, u64),
        shared: Arc<Shared>,
        store: Rc<StoreReader>,
        metrics: ExchangeMetrics,
        kept_events: Option<KeptEvents>,
    ) -> std::io::Result<Self> {
        let socket = UdpSocket::bind(address).await?;
        let address = socket.local_addr()?;
        let own = Identity {
            address,
            centre: CentreTag::new(centre),
            incarnation,
        };
        let now = SystemClock.now().mono;
        let lost_age = store.poll_intervals().lost_peer_age;
        let mut gossip = Self {
            socket,
            address,
            exchange: Exchange::new(own, &[], lost_age, now),
            was_settled: false,
            last_published: now,
            rates_published: now,
            is_stale: false,
            announced_digest: None,
            store,
            metrics,
            kept_events,
            started: now,
            divided_by: None,
            divided_at: now,
            shared,
        };
        gossip.set_seeds(seeds);
        Ok(gossip)
    }

    fn set_seeds(&mut self, seeds: &[SocketAddr]) {
        let port = self.address.port();
        let seeds = seeds.iter().map(|seed| SocketAddr::new(seed.ip(), port));
        self.exchange.set_seeds(&seeds.collect::<Vec<_>>());
    }

    /// Sends and receives for as long as the process runs.
    pub(crate) async fn run(&mut self, seeds: &mut watch::Receiver<Vec<SocketAddr>>) {
        let mut ticks = interval(PERIOD);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
        let (store, shared) = (self.store.clone(), self.shared.clone());
        loop {
            tokio::select! {
                _ = ticks.tick() => self.tick(),
                () = store.wait_for_update() => self.send_update(),
                () = shared.origin_asked.notified() => self.send_origin_queries(),
                received = self.socket.recv_from(&mut buffer) => match received {
                    Ok((length, from)) => self.receive(&buffer[..length], from),
                    // The ICMP error of an unreachable peer is reported by the next call.
                    Err(error) => log::debug!("datagram socket failed to receive: {error}"),
                },
                changed = seeds.changed() => if changed.is_ok() {
                    let new = seeds.borrow_and_update().clone();
                    self.set_seeds(&new);
                },
            }
        }
    }

    fn tick(&mut self) {
        let now = present();
        self.add_local_records(now);
        self.update_kept(now);
        let report = self.shared.local_report.load_full();
        self.exchange.set_own_rates(report.rates.clone());
        self.exchange.set_own_limits(report.limits.clone());
        let rejected = report.rejected.iter();
        let rejected = rejected.map(|(record, at)| (crash_row(record), *at));
        self.exchange.set_rejected(rejected.collect());
        let sent = self.exchange.tick(&self.local_state(&report), now);
        self.log_events();
        self.publish_if_stale(now.mono);
        self.publish_rates(now.mono);
        self.publish_limits(now.mono);
        self.send_origins(now.mono);
        self.send_all(sent);
        self.ask_for_rest();
    }

    fn send_all(&self, messages: Vec<Outgoing>) {
        for Outgoing { to, message } in messages {
            self.send(&Datagram::from(message), to);
        }
    }

    fn send(&self, datagram: &Datagram, to: SocketAddr) {
        let bytes = datagram.encode();
        self.metrics.record_sent(bytes.len());
        // A failed send is equivalent to a datagram lost in the network.
        if let Err(error) = self.socket.try_send_to(&bytes, to) {
            log::debug!("cannot send datagram to {to}: {error}");
        }
    }

    /// Sends the peers the latest reading of the store at once.
    fn send_update(&mut self) {
        let now = present();
        let update = self.store.take_peer_update();
        let to: Vec<SocketAddr> = self.exchange.reachable().collect();
        if to.is_empty() {
            return;
        }
        match update {
            None => {
                let report = self.shared.local_report.load_full();
                let local = self.local_state(&report);
                // Others that read the same need not tell all.
                let is_changed = self.announced_digest.replace(local.digest) != Some(local.digest);
                let to_all = is_changed && self.store.is_reader();
                let sent = self.exchange.announce(&local, to_all, now);
                self.send_all(sent);
            }
            Some(messages) => self.send_listing(messages, &to),
        }
    }

    fn local_state<'a>(&self, report: &'a LocalReport) -> LocalState<'a> {
        LocalState {
            loads: &report.loads,
            teams: &report.teams,
            problem_targets: &report.problem_targets,
            digest: self.store.digest(),
            confirmation_age: self.store.confirmation().age(SystemBootClock.uptime()),
            is_stopping: self.shared.is_stopping(),
            readiness: report.readiness,
        }
    }

    /// Hands records of the traffic thread to the exchange.
    fn add_local_records(&mut self, now: Moment) {
        let crashes = self.shared.take_local_crashes().into_iter();
        let rows = crashes.map(|crash| crash_row(&crash));
        self.exchange.add_crashes(rows, now.mono);
        let runs = self.shared.take_local_runs().into_iter();
        let runs = runs.map(|run| run_row(&run, now.mono)).collect();
        self.exchange.add_request_runs(runs, now);
        let leaving = self.shared.take_local_leaving();
        self.exchange.add_leaving(leaving, now.mono);
        for (at, news) in self.shared.take_local_parts() {
            let waited = now.mono.saturating_duration_since(at);
            self.exchange.add_parts(news.aged(waited), now);
        }
    }

    fn receive(&mut self, bytes: &[u8], from: SocketAddr) {
        self.metrics.record_received(bytes.len());
        let message = match Datagram::decode(bytes) {
            Ok(Datagram::Beat(beat)) => Message::Beat(Box::new(beat)),
            Ok(Datagram::Summary(summary)) => Message::Summary(Box::new(summary)),
            Ok(Datagram::Trouble(problems)) => Message::Trouble(problems),
            Ok(Datagram::Leaving(targets)) => Message::Leaving(targets),
            Ok(Datagram::Kept(update)) => Message::Kept(update),
            Ok(Datagram::Rates(update)) => Message::Rates(update),
            Ok(Datagram::Parts(news)) => Message::Parts(news),
            Ok(Datagram::Limits(update)) => Message::Limits(update),
            Ok(Datagram::Crashes(rows)) => Message::Crashes(rows),
            Ok(Datagram::RequestRuns(rows)) => Message::RequestRuns(rows),
            Ok(
                datagram @ (Datagram::Listing(_)
                | Datagram::VersionedListing(_)
                | Datagram::AgedListing(_)
                | Datagram::ChangedListing(_)
                | Datagram::ListingQuery
                | Datagram::ListingRangeQuery(_)
                | Datagram::ListingRanges(_)
                | Datagram::Unchanged(_)),
            ) => {
                if let Some(message) = datagram.into_listing_message() {
                    self.receive_listing(message, from);
                }
                return;
            }
            Ok(Datagram::Origins(origins)) => return self.receive_origins(&origins),
            Ok(Datagram::OriginQuery(query)) => return self.answer_query(&query, from),
            Ok(Datagram::SingleVersions(single)) => return self.receive_single(&single),
            Ok(Datagram::HolderQuery(parts)) => return self.answer_holder_query(&parts, from),
            Ok(Datagram::Holders(rows)) => return self.receive_holders(&rows),
            Err(DatagramError::Version) => {
                event::log(Event::VersionRefused, &[("peer", &from)]);
                return;
            }
            Err(DatagramError::Garbage) => {
                self.metrics.record_ignored("garbage");
                event::log(Event::MessageRefused, &[("peer", &from)]);
                return;
            }
        };
        let now = present();
        let sender = match &message {
            Message::Beat(beat) => beat.from,
            _ => from,
        };
        let received = self.exchange.receive(message, now);
        self.apply(received, sender, now);
        self.ask_for_first_listing(sender);
    }

    /// Hands what a message said to the other parts of the router.
    fn apply(&mut self, received: Received, sender: SocketAddr, now: Moment) {
        if let Some(reason) = received.rejected {
            self.metrics.record_ignored(&reason.to_string());
            return;
        }
        if let Some((digest, at)) = received.confirmation {
            self.store.record_peer_confirmation(sender, digest, at);
        }
        let crashes = received.crashes.into_iter().filter_map(|row| {
            let record = CrashRecord {
                request: Fingerprint(row.request),
                target: row.target,
            };
            let age = Duration::from_millis(row.age.into());
            Some((record, now.mono.checked_sub(age)?))
        });
        self.shared.add_peer_crashes(crashes);
        let runs = received.request_runs.into_iter().filter_map(|row| {
            Some(CompletedRun {
                request: Fingerprint(row.request),
                at: now
                    .mono
                    .checked_sub(Duration::from_millis(row.age.into()))?,
            })
        });
        self.shared.add_peer_runs(runs);
        if !received.leaving.is_empty() {
            self.shared.add_peer_leaving(received.leaving);
        }
        self.shared.add_peer_parts(received.parts, now.mono);
        self.receive_kept(received.kept, now);
        if received.wants_reply {
            let report = self.shared.local_report.load_full();
            let local = self.local_state(&report);
            let sent = self.exchange.replies(sender, &local, now);
            self.send_all(sent);
        }
        self.log_events();
        self.is_stale = true;
        let since = now.mono.saturating_duration_since(self.last_published);
        let is_small = self.exchange.members().count() <= MAX_IMMEDIATE_PEERS;
        if received.is_new || is_small || since >= MIN_PUBLISH_INTERVAL {
            self.publish(now.mono);
        }
    }

    fn log_events(&mut self) {
        for change in self.exchange.take_events() {
            match change {
                PeerEvent::Reachable(peer) => {
                    event::log(Event::PeerReachable, &[("peer", &peer)]);
                }
                PeerEvent::Failed(peer) => event::log(Event::PeerFailed, &[("peer", &peer)]),
                PeerEvent::RelayChosen { relay, silent } => {
                    let text = |address: Option<SocketAddr>, none: &str| {
                        address.map_or_else(|| none.to_owned(), |it| it.to_string())
                    };
                    let (relay, silent) = (text(relay, "self"), text(silent, "-"));
                    let routers = self.exchange.reachable().count() + 1;
                    let fields: [event::Field<'_>; 3] = [
                        ("relay", &relay),
                        ("silent", &silent),
                        ("routers", &routers),
                    ];
                    event::log(Event::RelayChosen, &fields);
                }
            }
            // The routers among which limits are divided have changed.
            self.is_stale = true;
        }
    }

    /// Publishes the state received since the last publication, and when it changes whether
    /// all members are known.
    fn publish_if_stale(&mut self, now: Instant) {
        let is_settled = self.exchange.knows_members(now);
        if self.is_stale || is_settled != std::mem::replace(&mut self.was_settled, is_settled) {
            self.publish(now);
        }
    }

    /// Publishes the rates of targets that peers observed, if that is due.
    fn publish_rates(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.rates_published);
        if elapsed < RATE_PUBLISH_INTERVAL {
            return;
        }
        self.rates_published = now;
        let rates = self.exchange.peer_rates(now);
        if !rates.is_empty() {
            self.shared.peer_rates.store(Arc::new(rates));
        }
    }

    /// Publishes the limits of targets that peers report, unless there are none.
    fn publish_limits(&mut self, now: Instant) {
        let limits = self.exchange.peer_limits(now);
        if !(limits.is_empty() && self.shared.peer_limits.load().is_empty()) {
            self.shared.peer_limits.store(Arc::new(limits));
        }
    }

    fn publish(&mut self, now: Instant) {
        self.last_published = now;
        self.is_stale = false;
        let view = self.exchange.view(now);
        let others = self.exchange.members();
        let silent = others.filter(|(_, is_reachable)| !is_reachable).count();
        let others = self.exchange.members();
        let others = others.map(|(address, _)| member_tag(address));
        let own = member_tag(self.address);
        let is_settled = self.exchange.knows_members(now);
        self.shared.peers.store(Arc::new(PeerState {
            members: Members::new(own, others.collect(), is_settled).with_silent(silent),
            reports: view.reports,
            teams: view.teams,
            problem_counts: view.problem_counts,
            relay: self.exchange.relay(),
            neighbours: view.neighbours,
            kept: self.kept_counts(),
        }));
        self.store.set_peers(
            self.exchange.readers().collect(),
            self.exchange.reachable().collect(),
        );
    }
}

fn crash_row(record: &CrashRecord) -> CrashRow {
    CrashRow {
        request: record.request.0,
        target: record.target,
    }
}

fn run_row(run: &CompletedRun, now: Instant) -> RequestRunRow {
    let age = now.saturating_duration_since(run.at).as_millis();
    RequestRunRow {
        request: run.request.0,
        // Rounded up, so that the run never appears more recent than it is.
        age: u32::try_from(age).unwrap_or(u32::MAX).saturating_add(1),
    }
}

/// Returns the present on both clocks.
fn present() -> Moment {
    Moment {
        // Read first, so that it is never later than the moment of sending.
        uptime: SystemBootClock.uptime(),
        mono: SystemClock.now().mono,
    }
}

/// Returns the tag by which all routers identify a router.
fn member_tag(address: SocketAddr) -> u64 {
    xxh3_64(address.to_string().as_bytes())
}
