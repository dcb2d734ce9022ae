//! Startup and shutdown shared by router and agent.
//!
//! A daemon has three listeners (data, control, operators), one control thread
//! and several traffic threads. [`run`] starts them and stops them in order.

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
use crate::ops::{self, QUERY_CHANNEL_CAPACITY};
use crate::start::print_listeners;

/// Maximum time that idle connections may delay process exit.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(2);

/// The bound listeners of a daemon.
#[derive(Debug)]
pub struct Listeners {
    /// Listener for requests.
    pub data: TcpListener,
    /// Listener for control messages.
    pub control: TcpListener,
    /// Listener for operators.
    pub operators: TcpListener,
}

impl Listeners {
    /// Binds the three addresses and prints them; the data address is labelled `name`.
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
        print_listeners(&[
            (name, &listeners.data),
            ("control", &listeners.control),
            ("operators", &listeners.operators),
        ]);
        Ok(listeners)
    }
}

/// Limits of the data listener.
#[derive(Clone, Copy, Debug)]
pub struct DataListenerLimits {
    /// Number of traffic threads.
    pub workers: usize,
    /// Maximum number of connections.
    pub connections: usize,
    /// Time allowed for a client to send the head of a request.
    pub head_timeout: Duration,
}

/// Request handler of one traffic thread.
pub trait RequestHandler: 'static {
    /// The body of its responses.
    type Body: MessageBody + 'static;

    /// Handles one request.
    fn handle(self: Rc<Self>, request: Request) -> impl Future<Output = Response<Self::Body>>;
}

/// Serves until the role has stopped or the process is aborted.
///
/// `new_handler` is called once on each traffic thread to create its request handler.
///
/// # Errors
///
/// Returns an error if a listener cannot be used.
pub async fn run<R: Role, S: RequestHandler>(
    host: Rc<Host<R>>,
    inputs: mpsc::Receiver<R::Input>,
    listeners: Listeners,
    limits: DataListenerLimits,
    metrics: Metrics,
    stop_limit: Duration,
    new_handler: impl Fn() -> Rc<S> + Clone + Send + 'static,
) -> eyre::Result<Exit> {
    let data = serve(listeners.data, limits, new_handler)?;
    let data_handle = data.handle();
    actix_rt::spawn(data);
    let (queries, query_receiver) = mpsc::channel(QUERY_CHANNEL_CAPACITY);
    let operators = ops::start(listeners.operators, queries, metrics)?;
    let operators_handle = operators.handle();
    actix_rt::spawn(operators);

    let inputs = Inputs {
        traffic: inputs,
        queries: query_receiver,
    };
    let exit = host.run(listeners.control, inputs, stop_limit).await?;
    data_handle.stop(exit == Exit::Finished).await;
    operators_handle.stop(false).await;
    Ok(exit)
}

fn serve<S: RequestHandler>(
    listener: TcpListener,
    limits: DataListenerLimits,
    new_handler: impl Fn() -> Rc<S> + Clone + Send + 'static,
) -> eyre::Result<Server> {
    let server = Server::build()
        .workers(limits.workers)
        .disable_signals()
        .max_concurrent_connections(limits.connections)
        .shutdown_timeout(SHUTDOWN_TIMEOUT.as_secs())
        .listen("data", listener, move || {
            let handler = new_handler();
            let serve_request = move |request: Request| {
                let handler = handler.clone();
                async move { Ok::<_, actix_http::Error>(handler.handle(request).await) }
            };
            HttpService::build()
                .client_request_timeout(limits.head_timeout)
                .keep_alive(SERVER_KEEP_ALIVE)
                .tcp_nodelay(true)
                .h1_allow_half_closed(false)
                .finish(fn_service(serve_request))
                .tcp()
        })
        .wrap_err("cannot serve requests")?;
    Ok(server.run())
}
