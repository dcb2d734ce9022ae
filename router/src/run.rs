//! Start of the router daemon: creates its components and connects them.

use entity::{Name, SystemClock};
use node::daemon::{self, DataListenerLimits, Listeners};
use node::host::{Exit, Host, HostSettings, INPUT_CHANNEL_CAPACITY, Snapshot};
use node::metrics::Metrics;
use node::settings::RouterSettings;
use node::start::endpoint;
use policy::RouterSettings as RouterPolicy;
use policy::fleet::Role;
use tokio::sync::mpsc;

use crate::control::{Reporter, RouterRole};
use crate::service::{RequestLimits, Service};

/// Runs a router until it is stopped.
///
/// # Errors
///
/// Returns an error if the router cannot start.
pub fn run(settings: RouterSettings) -> eyre::Result<Exit> {
    actix_rt::System::new().block_on(run_async(settings))
}

async fn run_async(settings: RouterSettings) -> eyre::Result<Exit> {
    let listeners = Listeners::bind(
        "callers",
        settings.listen,
        settings.control,
        settings.operators,
    )?;
    let endpoint = endpoint(&Name::new(&settings.name), &listeners.control, &SystemClock)?;
    let snapshot = Snapshot::default();
    let (input_sender, inputs) = mpsc::channel(INPUT_CHANNEL_CAPACITY);

    let policy = RouterPolicy {
        endpoint,
        centre: Name::new(&settings.data_centre),
        seed: endpoint.incarnation.0,
    };
    let metrics = Metrics::new()?;
    let role = RouterRole::new(policy, settings.stop_limit, &metrics.meter());
    let host_settings = HostSettings {
        name: settings.name.clone(),
        endpoint,
        kind: Role::Router,
        centre: Name::new(&settings.data_centre),
        service: settings.service.clone(),
        peers: settings.peers.clone(),
        metrics: metrics.clone(),
    };
    let host = Host::new(host_settings, role, snapshot.clone());
    let limits = RequestLimits {
        head_bytes: settings.limits.head_bytes,
        body_bytes: settings.limits.body_bytes,
    };
    let reporter = Reporter::new(input_sender);
    let traffic = DataListenerLimits {
        workers: settings.workers,
        connections: settings.limits.connections,
        head_timeout: settings.limits.head_timeout,
    };
    let service = move || Service::new(snapshot.clone(), reporter.clone(), limits);
    daemon::run(
        host,
        inputs,
        listeners,
        traffic,
        metrics,
        settings.stop_limit,
        service,
    )
    .await
}
