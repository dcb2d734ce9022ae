//! Puts the parts of the daemon together.

use std::net::TcpListener;
use std::time::Duration;

use actix_http::{HttpService, Request};
use actix_server::Server;
use actix_service::fn_service;
use entity::{Name, SystemClock};
use eyre::WrapErr;
use node::host::{Exit, Host, HostSettings, INPUT_DEPTH, Inputs, Snapshot};
use node::http::{SERVER_KEEP_ALIVE, bind};
use node::metrics::Metrics;
use node::ops::{self, QUERY_DEPTH};
use node::settings::RouterSettings;
use node::start::endpoint;
use policy::RouterSettings as RouterPolicy;
use policy::fleet::Role;
use tokio::sync::mpsc;

use crate::control::{Reporter, RouterRole};
use crate::service::{Limits, Service};

/// How long idle connections of callers may delay the end of the process.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(2);

/// Runs a router until it is stopped.
///
/// # Errors
///
/// Returns an error if the router cannot start.
pub fn run(settings: RouterSettings) -> eyre::Result<Exit> {
    actix_rt::System::new().block_on(serve(settings))
}

async fn serve(settings: RouterSettings) -> eyre::Result<Exit> {
    let callers = bind(settings.listen).wrap_err("cannot bind the callers' address")?;
    let control = bind(settings.control).wrap_err("cannot bind the control address")?;
    let operators = bind(settings.operators).wrap_err("cannot bind the operators' address")?;
    let endpoint = endpoint(&Name::new(&settings.name), &control, &SystemClock)?;
    node::start::announce(&[
        ("callers", &callers),
        ("control", &control),
        ("operators", &operators),
    ]);
    let snapshot = Snapshot::default();
    let (traffic, traffic_inputs) = mpsc::channel(INPUT_DEPTH);
    let (queries, query_inputs) = mpsc::channel(QUERY_DEPTH);

    let policy = RouterPolicy {
        endpoint,
        centre: Name::new(&settings.data_centre),
        seed: endpoint.incarnation.0,
    };
    let role = RouterRole::new(policy, settings.stop_limit);
    let metrics = Metrics::new()?;
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
    let limits = Limits {
        body: settings.limits.body_bytes,
    };
    let reporter = Reporter::new(traffic);
    let server = listen(callers, &settings, move || {
        Service::new(snapshot.clone(), reporter.clone(), limits)
    })?;
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

fn listen(
    listener: TcpListener,
    settings: &RouterSettings,
    service: impl Fn() -> std::rc::Rc<Service> + Clone + Send + 'static,
) -> eyre::Result<Server> {
    let head_timeout = settings.limits.head_timeout;
    let server = Server::build()
        .workers(settings.workers)
        .disable_signals()
        .max_concurrent_connections(settings.limits.connections)
        .shutdown_timeout(SHUTDOWN_TIMEOUT.as_secs())
        .listen("callers", listener, move || {
            let service = service();
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
        .wrap_err("cannot serve callers")?;
    Ok(server.run())
}
