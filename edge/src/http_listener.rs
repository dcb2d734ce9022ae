//! Serves HTTP requests of operators and of other routers on the control thread.

use std::future::Future;
use std::rc::Rc;
use std::time::Duration;

use actix_http::body::MessageBody;
use actix_http::{HttpService, Request, Response};
use actix_service::{Service, ServiceFactory, fn_service};
use node::event::{self, Event};
use tokio::net::TcpListener;

/// The delay after a connection could not be accepted.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Responds to the requests of a listener for as long as the process runs.
///
/// # Errors
///
/// Returns an error if the service cannot be created.
pub(crate) async fn serve<B, F>(
    listener: TcpListener,
    respond: impl Fn(Request) -> F + Clone + 'static,
) -> eyre::Result<()>
where
    B: MessageBody + 'static,
    F: Future<Output = Response<B>> + 'static,
{
    let respond = fn_service(move |request: Request| {
        let response = respond(request);
        async move { Ok::<_, actix_http::Error>(response.await) }
    });
    let factory = HttpService::build().finish(respond).tcp();
    let service = factory.new_service(()).await;
    let service = Rc::new(service.map_err(|()| eyre::eyre!("cannot create the HTTP service"))?);
    actix_rt::spawn(async move {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    let service = service.clone();
                    actix_rt::spawn(async move {
                        if let Err(error) = service.call(stream).await {
                            log::debug!("a connection failed: {error}");
                        }
                    });
                }
                Err(error) => {
                    event::log(Event::ListenerFailed, &[("why", &error)]);
                    actix_rt::time::sleep(ACCEPT_RETRY_DELAY).await;
                }
            }
        }
    });
    Ok(())
}
