//! Starts the control thread and the traffic thread, and performs a planned stop.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use entity::{Clock, Name, SystemClock};
use eyre::WrapErr;
use node::event::{self, Event};
use node::host::Exit;
use node::metrics::Metrics;
use node::settings::{self, EdgeSettings};
use node::sink::BufferedLogger;
use policy::direct::overload::ACCEPT_BATCH;
use policy::direct::polling::PollIntervals;
use tokio::net::{TcpListener, TcpSocket};
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::{mpsc, watch};
use tokio::time::{interval, sleep};

use crate::caller::LINGER_TIMEOUT;
use crate::context::{Context, MAINTENANCE_PERIOD};
use crate::gossip::Gossip;
use crate::kept_events::KeptEvents;
use crate::metrics::{EntriesMetrics, ExchangeMetrics, KeptMetrics, TrafficMetrics};
use crate::operators::{DumpRequest, Operators};
use crate::session;
use crate::shared::Shared;
use crate::shed;
use crate::store::StoreReader;
use crate::supervise::{catch_panic, restart_on_panic};

/// The maximum number of connections waiting to be accepted: at the lowest rate, those of
/// less than half a second, since callers leave after a second and objectives are not much
/// longer. Further ones fail at once.
const LISTEN_BACKLOG: u32 = 128;

/// The maximum number of dump requests waiting for the traffic thread.
const MAX_QUEUED_DUMPS: usize = 4;

/// The period at which the settings file is checked for changes.
const SETTINGS_CHECK_PERIOD: Duration = Duration::from_secs(1);

/// How long new connections are accepted after a planned stop began; the balancer
/// notices the stop within two of its health checks.
const STOP_ACCEPT_TIME: Duration = Duration::from_millis(2_700);

/// The part of the stop limit reserved for the process to exit.
const STOP_MARGIN: Duration = Duration::from_millis(300);

/// The period at which a stopping process checks whether its requests have ended.
const STOP_CHECK_PERIOD: Duration = Duration::from_millis(25);

/// Runs an edge router until it is stopped.
///
/// # Errors
///
/// Returns an error if the router cannot start.
pub fn run(settings: EdgeSettings, path: PathBuf) -> eyre::Result<Exit> {
    actix_rt::System::new().block_on(serve(settings, path))
}

async fn serve(settings: EdgeSettings, path: PathBuf) -> eyre::Result<Exit> {
    let started_at = SystemClock.now();
    let incarnation = started_at
        .wall
        .duration_since(std::time::UNIX_EPOCH)
        .unwrap_or_default();
    let incarnation = incarnation.as_micros() as u64;
    let fields: [event::Field<'_>; 4] = [
        ("name", &settings.name),
        ("centre", &settings.data_centre),
        ("life", &incarnation),
        ("version", &env!("CARGO_PKG_VERSION")),
    ];
    event::log(Event::ProcessStarted, &fields);
    let metrics = Metrics::new()?;
    let shared = Shared::new(settings.bounds.revoke);
    let (dumps, dump_receiver) = mpsc::channel(MAX_QUEUED_DUMPS);
    let seed = Name::new(&settings.name).tag().0 ^ incarnation;
    let traffic_metrics = TrafficMetrics::new(&metrics.meter());
    let context = Context::new(&settings, shared.clone(), traffic_metrics, seed);
    let listener = bind(settings.listen)?;
    let callers = listener.local_addr()?;
    event::log(Event::ListenerBound, &[("callers", &callers)]);

    let control = actix_rt::Arbiter::new();
    let operators = Operators {
        shared: shared.clone(),
        metrics,
        dump_requests: dumps,
    };
    let started = start_control(
        &control,
        settings.clone(),
        path,
        shared.clone(),
        operators,
        incarnation,
    );
    let operators = started.await.wrap_err("the control thread ended")??;
    println!("listening callers={callers} operators={operators}");
    actix_rt::spawn(run_maintenance_loop(context.clone(), dump_receiver));
    accept(context, listener, &settings).await
}

fn bind(address: SocketAddr) -> eyre::Result<TcpListener> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket
        .bind(address)
        .wrap_err_with(|| format!("cannot bind {address}"))?;
    Ok(socket.listen(LISTEN_BACKLOG)?)
}

/// Starts the control loops on the control thread. Returns the address for operators once
/// all addresses are bound.
fn start_control(
    control: &actix_rt::Arbiter,
    settings: EdgeSettings,
    path: PathBuf,
    shared: Arc<Shared>,
    operators: Operators,
    incarnation: u64,
) -> tokio::sync::oneshot::Receiver<eyre::Result<SocketAddr>> {
    let (done, started) = tokio::sync::oneshot::channel();
    control.spawn_fn(move || {
        actix_rt::spawn(async move {
            let result = control_loops(settings, path, shared, operators, incarnation).await;
            // The receiver waits for this; if it was dropped, the process is exiting.
            let _ = done.send(result);
        });
    });
    started
}

async fn control_loops(
    settings: EdgeSettings,
    path: PathBuf,
    shared: Arc<Shared>,
    operators: Operators,
    incarnation: u64,
) -> eyre::Result<SocketAddr> {
    let operators_address = operators.clone().listen(settings.operators).await?;
    if let Some(address) = settings.metrics {
        operators.clone().listen(address).await?;
    }
    let revoke = settings.bounds.revoke;
    let poll_intervals = PollIntervals::new(settings.bounds.drain, settings.bounds.config);
    let (address, shared_store) = (settings.control, shared.clone());
    let (centre, meter) = (Name::new(&settings.data_centre), operators.metrics.meter());
    let store = StoreReader::new(
        settings.store,
        address,
        revoke,
        poll_intervals,
        shared_store,
        EntriesMetrics::new(&meter),
        incarnation,
    );
    store.clone().serve_peers().await?;
    let kept_events = settings.routing.kept_parts;
    let kept_events =
        kept_events.then(|| KeptEvents::new(KeptMetrics::new(&meter), shared.clone()));
    let gossip = Gossip::bind(
        settings.control,
        &settings.peers,
        (&centre, incarnation),
        shared.clone(),
        store.clone(),
        ExchangeMetrics::new(&meter),
        kept_events,
    );
    let gossip = gossip.await.wrap_err("cannot bind the control address")?;
    let (seeds, changed) = watch::channel(settings.peers.clone());
    actix_rt::spawn(run_gossip(gossip, changed));
    let operators_store = store.clone();
    actix_rt::spawn(restart_on_panic("operators' entries", async move || {
        operators_store.clone().follow_operators().await;
    }));
    let peers_store = store.clone();
    actix_rt::spawn(restart_on_panic("peers' entries", async move || {
        peers_store.clone().follow_peers().await;
    }));
    actix_rt::spawn(restart_on_panic("targets", async move || {
        store.clone().follow_targets().await;
    }));
    actix_rt::spawn(follow_settings(path, settings, seeds));
    Ok(operators_address)
}

/// Reloads the settings when the file has changed or on SIGHUP.
async fn follow_settings(
    path: PathBuf,
    mut current: EdgeSettings,
    seeds: watch::Sender<Vec<SocketAddr>>,
) {
    let Ok(mut hangup) = signal(SignalKind::hangup()) else {
        event::log(Event::SettingsRefused, &[("why", &"cannot handle SIGHUP")]);
        return;
    };
    let mut text = std::fs::read_to_string(&path).unwrap_or_default();
    let mut ticks = interval(SETTINGS_CHECK_PERIOD);
    loop {
        let by_signal = tokio::select! {
            _ = hangup.recv() => true,
            _ = ticks.tick() => false,
        };
        // An unreadable file is read again at the next tick; it may be in the process
        // of being written.
        let Ok(new_text) = std::fs::read_to_string(&path) else {
            continue;
        };
        if new_text == text && !by_signal {
            continue;
        }
        text = new_text;
        match settings::parse::<EdgeSettings>(&text) {
            Ok(new) => {
                event::log(Event::SettingsReloaded, &[("asked", &by_signal)]);
                if new.peers != current.peers && seeds.send(new.peers.clone()).is_err() {
                    event::log(Event::ThreadLost, &[("part", &"gossip")]);
                }
                current = new;
            }
            Err(errors) => {
                let why = errors.first().map(ToString::to_string).unwrap_or_default();
                event::log(Event::SettingsRefused, &[("why", &why)]);
            }
        }
    }
}

async fn run_gossip(mut gossip: Gossip, mut seeds: watch::Receiver<Vec<SocketAddr>>) {
    let run = async || gossip.run(&mut seeds).await;
    restart_on_panic("exchange", run).await;
}

async fn run_maintenance_loop(context: Rc<Context>, mut dumps: mpsc::Receiver<DumpRequest>) {
    let run = async || run_maintenance(&context, &mut dumps).await;
    restart_on_panic("maintenance", run).await;
}

async fn run_maintenance(context: &Context, dumps: &mut mpsc::Receiver<DumpRequest>) {
    let mut ticks = interval(MAINTENANCE_PERIOD);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            due = ticks.tick() => {
                let now = Instant::now();
                context.record_lag(now.saturating_duration_since(due.into_std()), now);
                context.run_maintenance(now);
            }
            Some(reply) = dumps.recv() => {
                // The requester may have timed out.
                let _ = reply.send(context.dump());
            }
        }
    }
}

/// Accepts connections until a planned stop has ended.
async fn accept(
    context: Rc<Context>,
    listener: TcpListener,
    settings: &EdgeSettings,
) -> eyre::Result<Exit> {
    let mut terminate = signal(SignalKind::terminate()).wrap_err("cannot handle SIGTERM")?;
    let mut interrupt = signal(SignalKind::interrupt()).wrap_err("cannot handle SIGINT")?;
    let stop = wait_for_requests(context.clone(), settings.stop_limit);
    tokio::pin!(stop);
    let (mut accepted_count, mut pause) = (0, None);
    loop {
        let is_stopping = context.shared.is_stopping();
        if accepted_count >= ACCEPT_BATCH {
            accepted_count = 0;
            if let Some(pause) = context.accept_pause(Instant::now()) {
                context.rejections.record_pause(pause);
                sleep(pause).await;
            }
        }
        if let Some(pause) = pause.take() {
            context.rejections.record_pause(pause);
            sleep(pause).await;
        }
        tokio::select! {
            accepted = listener.accept() => match accepted.inspect(|_| accepted_count += 1) {
                Ok((stream, _)) if context.connections.try_acquire() => {
                    pause = context.record_accepted(Instant::now());
                    let context = context.clone();
                    actix_rt::spawn(async move {
                        let session = async {
                            match context.rejects_connections(Instant::now()) {
                                true => shed::reject(&context, stream).await,
                                false => session::serve(context.clone(), stream).await,
                            }
                        };
                        catch_panic("connection", session).await;
                        context.connections.release();
                    });
                }
                Ok(_) => context.connections.record_rejected(),
                Err(error) => {
                    event::log(Event::ListenerFailed, &[("why", &error)]);
                    sleep(Duration::from_millis(50)).await;
                }
            },
            _ = terminate.recv(), if !is_stopping => begin_stop(&context),
            _ = interrupt.recv(), if !is_stopping => begin_stop(&context),
            exit = &mut stop, if is_stopping => return Ok(exit),
        }
    }
}

fn begin_stop(context: &Context) {
    let open = context.shared.open_requests.load(Ordering::Relaxed);
    event::log(Event::StopBegan, &[("open", &open)]);
    context.shared.stopping.store(true, Ordering::Relaxed);
}

/// Waits until all requests have ended and callers had time to close their connections, or
/// the stop limit is reached.
async fn wait_for_requests(context: Rc<Context>, limit: Duration) -> Exit {
    let started_at = Instant::now();
    let limit = limit.saturating_sub(STOP_MARGIN);
    let mut idle_since = started_at;
    loop {
        let open = context.shared.open_requests.load(Ordering::Relaxed);
        let elapsed = started_at.elapsed();
        let is_accept_over = elapsed >= STOP_ACCEPT_TIME.min(limit);
        if is_accept_over && !context.shared.closing.swap(true, Ordering::Relaxed) {
            context.closing.notify_waiters();
        }
        if open > 0 || !is_accept_over {
            idle_since = Instant::now();
        }
        let is_idle = open == 0 && is_accept_over;
        let is_unconnected = context.connections.open_count() == 0;
        if is_idle && (is_unconnected || idle_since.elapsed() >= LINGER_TIMEOUT) {
            event::log(Event::StopEnded, &[("after_ms", &elapsed.as_millis())]);
            return Exit::Finished;
        }
        if elapsed >= limit {
            event::log(Event::StopCut, &[("open", &open)]);
            return Exit::Aborted(open);
        }
        sleep(STOP_CHECK_PERIOD).await;
    }
}

/// Installs the logger, which writes to standard output.
///
/// # Errors
///
/// Returns an error if a logger is installed already.
pub fn install_log() -> eyre::Result<()> {
    let level = std::env::var("KNAPWEED_LOG").ok();
    let level = level.and_then(|level| level.parse().ok());
    BufferedLogger::install(std::io::stdout(), level.unwrap_or(log::LevelFilter::Info))?;
    Ok(())
}
