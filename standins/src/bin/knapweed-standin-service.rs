//! Stand-in for a plain service.

use std::time::Duration;

use eyre::WrapErr as _;
use knapweed_standins::http::{announce, start_log};
use knapweed_standins::service::{DeskOptions, run};

use crate::flags::KnapweedStandinService;

fn main() -> eyre::Result<()> {
    start_log();
    let flags = KnapweedStandinService::from_env_or_exit();
    if flags.version {
        println!("knapweed-standin-service {}", env!("CARGO_PKG_VERSION"));
        return Ok(());
    }
    let base = DeskOptions::default();
    let options = DeskOptions {
        service_time: flags
            .service_millis
            .map_or(base.service_time, Duration::from_millis),
        limit: flags.limit.unwrap_or(base.limit),
    };
    let name = flags.name.as_deref().unwrap_or("service");
    let listen = flags.listen.unwrap_or(([127, 0, 0, 1], 0).into());
    let listener = announce(listen).wrap_err("cannot listen")?;
    actix_rt::System::new().block_on(async { run(listener, name, options)?.await })?;
    Ok(())
}

mod flags {
    //! The command line.
    #![allow(missing_docs, unreachable_pub)]

    use std::net::SocketAddr;

    xflags::xflags! {
        /// Answers any path and counts its runs by idempotency key.
        cmd knapweed-standin-service {
            /// Address to listen on; port 0 picks a free one.
            optional --listen addr: SocketAddr
            /// Name that the answers carry.
            optional --name name: String
            /// Time of one run, in milliseconds.
            optional --service-millis millis: u64
            /// Greatest number of concurrent runs; more are refused.
            optional --limit count: usize
            /// Prints the version.
            optional --version
        }
    }
}
