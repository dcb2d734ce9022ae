//! Puts the parts of the daemon together: one control thread, one traffic thread.

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
use node::sink::Sink;
use policy::direct::polling::PollIntervals;
use tokio::net::{TcpListener, TcpSocket};
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::{mpsc, watch};
use tokio::time::{interval, sleep};

use crate::context::{Context, MAINTENANCE_PERIOD};
use crate::gossip::Gossip;
use crate::metrics::TrafficMetrics;
use crate::operators::{DumpQuery, Operators};
use crate::session;
use crate::shared::Shared;
use crate::shed;
use crate::store::StoreReader;

/// New connections that may wait to be accepted.
const BACKLOG: u32 = 1024;

/// Dumps that may wait for the traffic thread.
const DUMP_DEPTH: usize = 4;

/// How often the settings file is compared with what was read.
const SETTINGS_PERIOD: Duration = Duration::from_secs(1);

/// How long new connections are taken after a planned stop began; the balancer
/// notices within two of its checks.
const STOP_ACCEPT: Duration = Duration::from_millis(2_700);

/// The part of the stop limit that is left for the process to end.
const STOP_MARGIN: Duration = Duration::from_millis(300);

/// How often a stopping process looks whether its requests have ended.
const STOP_POLL: Duration = Duration::from_millis(25);

/// Runs an edge router until it is stopped.
///
/// # Errors
///
/// Returns an error if the router cannot start.
pub fn run(settings: EdgeSettings, path: PathBuf) -> eyre::Result<Exit> {
    actix_rt::System::new().block_on(serve(settings, path))
}

async fn serve(settings: EdgeSettings, path: PathBuf) -> eyre::Result<Exit> {
    let began = SystemClock.now();
    let life = began
        .wall
        .duration_since(std::time::UNIX_EPOCH)
        .unwrap_or_default();
    let life = life.as_micros() as u64;
    let fields: [event::Field<'_>; 4] = [
        ("name", &settings.name),
        ("centre", &settings.data_centre),
        ("life", &life),
        ("version", &env!("CARGO_PKG_VERSION")),
    ];
    event::log(Event::ProcessStarted, &fields);
    let metrics = Metrics::new()?;
    let shared = Shared::new(settings.bounds.revoke);
    let (dumps, dump_queries) = mpsc::channel(DUMP_DEPTH);
    let seed = Name::new(&settings.name).tag().0 ^ life;
    let instruments = TrafficMetrics::new(&metrics.meter());
    let context = Context::new(&settings, shared.clone(), instruments, seed);
    let listener = bind(settings.listen)?;
    let callers = listener.local_addr()?;
    event::log(Event::ListenerBound, &[("callers", &callers)]);
    println!(
        "listening callers={callers} operators={}",
        settings.operators
    );

    let control = actix_rt::Arbiter::new();
    let operators = Operators {
        shared: shared.clone(),
        metrics,
        dumps,
    };
    let started = start_control(
        &control,
        settings.clone(),
        path,
        shared.clone(),
        operators,
        life,
    );
    started.await.wrap_err("the control thread ended")??;
    actix_rt::spawn(upkeep(context.clone(), dump_queries));
    accept(context, listener, &settings).await
}

fn bind(address: std::net::SocketAddr) -> eyre::Result<TcpListener> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket
        .bind(address)
        .wrap_err_with(|| format!("cannot bind {address}"))?;
    Ok(socket.listen(BACKLOG)?)
}

/// Starts the controllers on their thread.
fn start_control(
    control: &actix_rt::Arbiter,
    settings: EdgeSettings,
    path: PathBuf,
    shared: Arc<Shared>,
    operators: Operators,
    life: u64,
) -> tokio::sync::oneshot::Receiver<eyre::Result<()>> {
    let (done, started) = tokio::sync::oneshot::channel();
    control.spawn_fn(move || {
        actix_rt::spawn(async move {
            let result = control_loops(settings, path, shared, operators, life).await;
            // The receiver waits for this; if it is gone, the process is ending.
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
    life: u64,
) -> eyre::Result<()> {
    let listeners = [Some(settings.operators), settings.metrics];
    for address in listeners.into_iter().flatten() {
        let listening = operators.clone().listen(address).await;
        listening.wrap_err_with(|| format!("cannot serve operators at {address}"))?;
    }
    let revoke = settings.bounds.revoke;
    let pace = PollIntervals::new(settings.bounds.drain, settings.bounds.config);
    let (address, shared_store) = (settings.control, shared.clone());
    let store = StoreReader::new(settings.store, address, revoke, pace, shared_store);
    let gossip = Gossip::bind(
        settings.control,
        &settings.peers,
        life,
        shared.clone(),
        store.clone(),
    );
    let gossip = gossip.await.wrap_err("cannot bind the control address")?;
    let (seeds, changed) = watch::channel(settings.peers.clone());
    actix_rt::spawn(gossip.run(changed));
    actix_rt::spawn(store.clone().follow_operators());
    actix_rt::spawn(store.follow_targets());
    actix_rt::spawn(follow_settings(path, settings, seeds));
    Ok(())
}

/// Reads the settings again when the file has changed or SIGHUP asks for it.
async fn follow_settings(
    path: PathBuf,
    mut current: EdgeSettings,
    seeds: watch::Sender<Vec<std::net::SocketAddr>>,
) {
    let Ok(mut hangup) = signal(SignalKind::hangup()) else {
        event::log(Event::SettingsRefused, &[("why", &"cannot handle SIGHUP")]);
        return;
    };
    let mut text = std::fs::read_to_string(&path).unwrap_or_default();
    let mut ticks = interval(SETTINGS_PERIOD);
    loop {
        let asked = tokio::select! {
            _ = hangup.recv() => true,
            _ = ticks.tick() => false,
        };
        // A file that is being written is read again at the next tick.
        let Ok(read) = std::fs::read_to_string(&path) else {
            continue;
        };
        if read == text && !asked {
            continue;
        }
        text = read;
        match settings::parse::<EdgeSettings>(&text) {
            Ok(new) => {
                event::log(Event::SettingsReloaded, &[("asked", &asked)]);
                if new.peers != current.peers && seeds.send(new.peers.clone()).is_err() {
                    event::log(Event::ThreadLost, &[("part", &"gossip")]);
                }
                current = new;
            }
            Err(faults) => {
                let why = faults.first().map(ToString::to_string).unwrap_or_default();
                event::log(Event::SettingsRefused, &[("why", &why)]);
            }
        }
    }
}

async fn upkeep(context: Rc<Context>, mut dumps: mpsc::Receiver<DumpQuery>) {
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
                // The one who asked may have gone.
                let _ = reply.send(context.dump());
            }
        }
    }
}

/// Takes connections until a planned stop has ended.
async fn accept(
    context: Rc<Context>,
    listener: TcpListener,
    settings: &EdgeSettings,
) -> eyre::Result<Exit> {
    let mut terminate = signal(SignalKind::terminate()).wrap_err("cannot handle SIGTERM")?;
    let mut interrupt = signal(SignalKind::interrupt()).wrap_err("cannot handle SIGINT")?;
    let stop = stopped(context.clone(), settings.stop_limit);
    tokio::pin!(stop);
    loop {
        let is_stopping = context.shared.is_stopping();
        tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) if context.connections.try_acquire() => {
                    let context = context.clone();
                    actix_rt::spawn(async move {
                        match context.rejects_connections(Instant::now()) {
                            true => shed::reject(&context, stream).await,
                            false => session::serve(context.clone(), stream).await,
                        }
                        context.connections.release();
                    });
                }
                Ok(_) => event::log(Event::LimitReached, &[("limit", &"connections")]),
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

/// Waits until the requests of a planned stop have ended, or its limit.
async fn stopped(context: Rc<Context>, limit: Duration) -> Exit {
    let began = Instant::now();
    let limit = limit.saturating_sub(STOP_MARGIN);
    loop {
        let open = context.shared.open_requests.load(Ordering::Relaxed);
        let spent = began.elapsed();
        let is_closing = spent >= STOP_ACCEPT.min(limit);
        if is_closing && !context.shared.closing.swap(true, Ordering::Relaxed) {
            context.closing.notify_waiters();
        }
        if open == 0 && is_closing {
            event::log(Event::StopEnded, &[("after_ms", &spent.as_millis())]);
            return Exit::Finished;
        }
        if spent >= limit {
            event::log(Event::StopCut, &[("open", &open)]);
            return Exit::Cut(open);
        }
        sleep(STOP_POLL).await;
    }
}

/// Installs the log on standard output.
///
/// # Errors
///
/// Returns an error if a logger is installed already.
pub fn install_log() -> eyre::Result<()> {
    let level = std::env::var("KNAPWEED_LOG").ok();
    let level = level.and_then(|level| level.parse().ok());
    Sink::install(std::io::stdout(), level.unwrap_or(log::LevelFilter::Info))?;
    Ok(())
}
