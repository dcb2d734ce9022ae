//! Puts the parts of the daemon together.

use std::net::{SocketAddr, TcpListener};
use std::time::Duration;

use actix_http::{HttpService, Request};
use actix_server::Server;
use actix_service::fn_service;
use entity::{Name, SystemClock};
use eyre::WrapErr;
use node::client::Client;
use node::host::{Exit, Host, HostSettings, INPUT_DEPTH, Inputs, Snapshot};
use node::http::{SERVER_KEEP_ALIVE, bind};
use node::metrics::Metrics;
use node::ops::{self, QUERY_DEPTH};
use node::settings::AgentSettings;
use node::start::endpoint;
use policy::AgentSettings as AgentPolicy;
use policy::fleet::Role;
use tokio::sync::mpsc;

use crate::control::{AgentRole, SharedIncarnation};
use crate::orders::{self, EngineOrders};
use crate::relay::Reporter;
use crate::service::{Service, Shared};
use crate::target::{self, Probe};

/// How long idle connections of routers may delay the end of the process.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(2);

/// Runs an agent until it is stopped.
///
/// # Errors
///
/// Returns an error if the agent cannot start.
pub fn run(settings: AgentSettings) -> eyre::Result<Exit> {
    actix_rt::System::new().block_on(serve(settings))
}

async fn serve(settings: AgentSettings) -> eyre::Result<Exit> {
    let data = bind(settings.listen).wrap_err("cannot bind the routers' address")?;
    let control = bind(settings.control).wrap_err("cannot bind the control address")?;
    let operators = bind(settings.operators).wrap_err("cannot bind the operators' address")?;
    let endpoint = endpoint(&Name::new(&settings.name), &control, &SystemClock)?;
    node::start::announce(&[
        ("listen", &data),
        ("control", &control),
        ("operators", &operators),
    ]);
    let snapshot = Snapshot::default();
    let (traffic, traffic_inputs) = mpsc::channel(INPUT_DEPTH);
    let (queries, query_inputs) = mpsc::channel(QUERY_DEPTH);
    let reporter = Reporter::new(traffic);

    let incarnation = SharedIncarnation::new(endpoint.incarnation.0.into());
    let policy = AgentPolicy {
        endpoint,
        seed: endpoint.incarnation.0,
        gossip: AgentPolicy::GOSSIP,
    };
    let answers = settings.limits.answers_bytes as u64;
    let (orders, given) = EngineOrders::new(endpoint);
    let role = AgentRole::new(policy, answers, incarnation.clone(), orders);
    let metrics = Metrics::new()?;
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
    let (probe, asks) = Probe::new();
    let shared = Shared {
        target,
        incarnation,
        probe,
        reporter: reporter.clone(),
        body_limit: settings.limits.body_bytes,
        answer_limit: settings.limits.answer_bytes,
    };
    let client = Client::new();
    actix_rt::spawn(orders::send(
        client.clone(),
        target,
        reporter.clone(),
        given,
    ));
    actix_rt::spawn(target::watch(client, target, reporter, asks));
    let server = listen(data, &settings, shared)?;
    let handle = server.handle();
    actix_rt::spawn(server);
    let operators = ops::start(operators, queries, metrics)?;
    let operators_handle = operators.handle();
    actix_rt::spawn(operators);

    let inputs = Inputs {
        traffic: traffic_inputs,
        queries: query_inputs,
    };
    let exit = host.run(control, inputs, settings.stop_limit).await?;
    handle.stop(exit == Exit::Finished).await;
    operators_handle.stop(false).await;
    Ok(exit)
}

/// The address in the target's URL.
fn target_address(url: &str) -> eyre::Result<SocketAddr> {
    let authority = url.trim_start_matches("http://").trim_end_matches('/');
    authority
        .parse()
        .wrap_err("the target's URL names no IP number and port")
}

fn listen(listener: TcpListener, settings: &AgentSettings, shared: Shared) -> eyre::Result<Server> {
    let head_timeout = settings.limits.head_timeout;
    let server = Server::build()
        .workers(settings.workers)
        .disable_signals()
        .max_concurrent_connections(settings.limits.connections)
        .shutdown_timeout(SHUTDOWN_TIMEOUT.as_secs())
        .listen("routers", listener, move || {
            let service = Service::new(shared.clone());
            let respond = move |request: Request| {
                let service = service.clone();
                async move { Ok::<_, actix_http::Error>(service.respond(request).await) }
            };
            HttpService::build()
                .client_request_timeout(head_timeout)
                .keep_alive(SERVER_KEEP_ALIVE)
                .h1_allow_half_closed(false)
                .h1(fn_service(respond))
                .tcp()
        })
        .wrap_err("cannot serve routers")?;
    Ok(server.run())
}
