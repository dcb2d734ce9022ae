//! Start of the agent daemon: creates its components and connects them.

use std::net::SocketAddr;

use entity::{Name, SystemClock};
use eyre::WrapErr;
use node::client::Client;
use node::daemon::{self, DataListenerLimits, Listeners};
use node::host::{Exit, Host, HostSettings, INPUT_CHANNEL_CAPACITY, Snapshot};
use node::metrics::Metrics;
use node::settings::AgentSettings;
use node::start::endpoint;
use policy::AgentSettings as AgentPolicy;
use policy::fleet::Role;
use tokio::sync::mpsc;

use crate::control::{AgentRole, SharedIncarnation};
use crate::orders::{self, EngineOrders};
use crate::relay::Reporter;
use crate::service::{Service, SharedState};
use crate::target::{self, TargetProbe};

/// Runs an agent until it is stopped.
///
/// # Errors
///
/// Returns an error if the agent cannot start.
pub fn run(settings: AgentSettings) -> eyre::Result<Exit> {
    actix_rt::System::new().block_on(run_async(settings))
}

async fn run_async(settings: AgentSettings) -> eyre::Result<Exit> {
    let listeners = Listeners::bind(
        "listen",
        settings.listen,
        settings.control,
        settings.operators,
    )?;
    let endpoint = endpoint(&Name::new(&settings.name), &listeners.control, &SystemClock)?;
    let snapshot = Snapshot::default();
    let (input_sender, inputs) = mpsc::channel(INPUT_CHANNEL_CAPACITY);
    let reporter = Reporter::new(input_sender);

    let incarnation = SharedIncarnation::new(endpoint.incarnation.0.into());
    let policy = AgentPolicy {
        endpoint,
        seed: endpoint.incarnation.0,
        gossip: AgentPolicy::GOSSIP_INTERVAL,
    };
    let max_answer_bytes = settings.limits.answers_bytes as u64;
    let (engine_orders, permitted_orders) = EngineOrders::new(endpoint);
    let metrics = Metrics::new()?;
    let meter = metrics.meter();
    let role = AgentRole::new(
        policy,
        max_answer_bytes,
        incarnation.clone(),
        engine_orders,
        &meter,
    );
    let host_settings = HostSettings {
        name: settings.name.clone(),
        endpoint,
        kind: Role::Agent,
        centre: Name::new(&settings.data_centre),
        service: settings.service.clone(),
        peers: settings.peers.clone(),
        metrics: metrics.clone(),
    };
    let host = Host::new(host_settings, role, snapshot);
    let target = target_address(&settings.target)?;
    let (probe, probe_requests) = TargetProbe::new();
    let shared = SharedState {
        target,
        incarnation,
        probe,
        reporter: reporter.clone(),
        body_limit: settings.limits.body_bytes,
        answer_limit: settings.limits.answer_bytes,
    };
    let client = Client::new();
    actix_rt::spawn(orders::send_orders(
        client.clone(),
        target,
        reporter.clone(),
        permitted_orders,
    ));
    actix_rt::spawn(target::monitor(client, target, reporter, probe_requests));
    let traffic = DataListenerLimits {
        workers: settings.workers,
        connections: settings.limits.connections,
        head_timeout: settings.limits.head_timeout,
    };
    let service = move || Service::new(shared.clone());
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

/// Parses the address in the target's URL.
fn target_address(url: &str) -> eyre::Result<SocketAddr> {
    let authority = url.trim_start_matches("http://").trim_end_matches('/');
    authority
        .parse()
        .wrap_err("the target URL has no valid IP number and port")
}
