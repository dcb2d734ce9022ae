//! A stand-in for a plain service.

use std::time::Duration;

use eyre::WrapErr as _;
use knapweed_standins::http::{bind_and_announce, init_logging};
use knapweed_standins::service::{ServiceOptions, run};

use crate::flags::KnapweedStandinService;

fn main() -> eyre::Result<()> {
    init_logging();
    let flags = KnapweedStandinService::from_env_or_exit();
    if flags.version {
        println!("knapweed-standin-service {}", env!("CARGO_PKG_VERSION"));
        return Ok(());
    }
    let base = ServiceOptions::default();
    let options = ServiceOptions {
        service_time: flags
            .service_millis
            .map_or(base.service_time, Duration::from_millis),
        limit: flags.limit.unwrap_or(base.limit),
    };
    let name = flags.name.as_deref().unwrap_or("service");
    let listen = flags.listen.unwrap_or(([127, 0, 0, 1], 0).into());
    let listener = bind_and_announce(listen).wrap_err("cannot listen")?;
    actix_rt::System::new().block_on(async { run(listener, name, options)?.await })?;
    Ok(())
}

mod flags {
    //! Command-line flags.
    #![allow(missing_docs, unreachable_pub)]

    use std::net::SocketAddr;

    xflags::xflags! {
        /// Responds on any path and counts runs by idempotency key.
        cmd knapweed-standin-service {
            /// Address to listen on; port 0 selects a free port.
            optional --listen addr: SocketAddr
            /// Service name in the responses.
            optional --name name: String
            /// Duration of one run, in milliseconds.
            optional --service-millis millis: u64
            /// Maximum number of concurrent runs; further requests are rejected.
            optional --limit count: usize
            /// Prints the version.
            optional --version
        }
    }
}
