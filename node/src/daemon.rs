//! What router and agent do alike from their settings to their end.
//!
//! A daemon has three listeners (data, control, operators), one control thread
//! and several traffic threads. [`run`] starts them and ends them in order.

use std::future::Future;
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::time::Duration;

use actix_http::body::MessageBody;
use actix_http::{HttpService, Request, Response};
use actix_server::Server;
use actix_service::fn_service;
use eyre::WrapErr;
use tokio::sync::mpsc;

use crate::host::{Exit, Host, Inputs, Role};
use crate::http::{SERVER_KEEP_ALIVE, bind};
use crate::metrics::Metrics;
use crate::ops::{self, QUERY_DEPTH};
use crate::start::announce;

/// How long idle connections may delay the end of the process.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(2);

/// The bound listeners of a daemon.
#[derive(Debug)]
pub struct Listeners {
    /// For requests.
    pub data: TcpListener,
    /// For control messages.
    pub control: TcpListener,
    /// For operators.
    pub operators: TcpListener,
}

impl Listeners {
    /// Binds the three addresses and prints them, the first under `name`.
    ///
    /// # Errors
    ///
    /// Returns an error if an address cannot be bound.
    pub fn bind(
        name: &str,
        data: SocketAddr,
        control: SocketAddr,
        operators: SocketAddr,
    ) -> eyre::Result<Self> {
        let listeners = Self {
            data: bind(data).wrap_err_with(|| format!("cannot bind {data} for requests"))?,
            control: bind(control)
                .wrap_err_with(|| format!("cannot bind {control} for control"))?,
            operators: bind(operators)
                .wrap_err_with(|| format!("cannot bind {operators} for operators"))?,
        };
        announce(&[
            (name, &listeners.data),
            ("control", &listeners.control),
            ("operators", &listeners.operators),
        ]);
        Ok(listeners)
    }
}

/// The bounds of the data listener.
#[derive(Clone, Copy, Debug)]
pub struct Traffic {
    /// The number of traffic threads.
    pub workers: usize,
    /// The greatest number of connections.
    pub connections: usize,
    /// The time for a client to send a request's head.
    pub head_timeout: Duration,
}

/// The HTTP service of one traffic thread.
pub trait Respond: 'static {
    /// The body of its responses.
    type Body: MessageBody + 'static;

    /// Answers one request.
    fn respond(self: Rc<Self>, request: Request) -> impl Future<Output = Response<Self::Body>>;
}

/// Serves until the role has stopped or is cut.
///
/// `service` creates the service of each traffic thread, on that thread.
///
/// # Errors
///
/// Returns an error if a listener cannot be used.
pub async fn run<R: Role, S: Respond>(
    host: Rc<Host<R>>,
    inputs: mpsc::Receiver<R::Input>,
    listeners: Listeners,
    traffic: Traffic,
    metrics: Metrics,
    stop_limit: Duration,
    service: impl Fn() -> Rc<S> + Clone + Send + 'static,
) -> eyre::Result<Exit> {
    let data = serve(listeners.data, traffic, service)?;
    let data_handle = data.handle();
    actix_rt::spawn(data);
    let (queries, query_inputs) = mpsc::channel(QUERY_DEPTH);
    let operators = ops::start(listeners.operators, queries, metrics)?;
    let operators_handle = operators.handle();
    actix_rt::spawn(operators);

    let inputs = Inputs {
        traffic: inputs,
        queries: query_inputs,
    };
    let exit = host.run(listeners.control, inputs, stop_limit).await?;
    data_handle.stop(exit == Exit::Finished).await;
    operators_handle.stop(false).await;
    Ok(exit)
}

fn serve<S: Respond>(
    listener: TcpListener,
    traffic: Traffic,
    service: impl Fn() -> Rc<S> + Clone + Send + 'static,
) -> eyre::Result<Server> {
    let server = Server::build()
        .workers(traffic.workers)
        .disable_signals()
        .max_concurrent_connections(traffic.connections)
        .shutdown_timeout(SHUTDOWN_TIMEOUT.as_secs())
        .listen("data", listener, move || {
            let service = service();
            let respond = move |request: Request| {
                let service = service.clone();
                async move { Ok::<_, actix_http::Error>(service.respond(request).await) }
            };
            HttpService::build()
                .client_request_timeout(traffic.head_timeout)
                .keep_alive(SERVER_KEEP_ALIVE)
                .tcp_nodelay(true)
                .h1_allow_half_closed(false)
                .finish(fn_service(respond))
                .tcp()
        })
        .wrap_err("cannot serve requests")?;
    Ok(server.run())
}
