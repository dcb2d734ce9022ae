//! A stand-in for a model engine.

use std::time::Duration;

use eyre::WrapErr as _;
use knapweed_standins::engine::{EngineOptions, Fencing, run};
use knapweed_standins::http::{bind_and_announce, init_logging};

use crate::flags::KnapweedStandinEngine;

fn main() -> eyre::Result<()> {
    init_logging();
    let flags = KnapweedStandinEngine::from_env_or_exit();
    if flags.version {
        println!("knapweed-standin-engine {}", env!("CARGO_PKG_VERSION"));
        return Ok(());
    }
    let listen = flags.listen.unwrap_or(([127, 0, 0, 1], 0).into());
    let options = options(&flags);
    let listener = bind_and_announce(listen).wrap_err("cannot listen")?;
    actix_rt::System::new().block_on(async { run(listener, options)?.await })?;
    Ok(())
}

fn options(flags: &KnapweedStandinEngine) -> EngineOptions {
    let base = EngineOptions::default();
    let mut limits = base.limits;
    limits.cold = flags.cold.unwrap_or(limits.cold);
    limits.warm = flags.warm.unwrap_or(limits.warm);
    limits.warm_after = flags.warm_after.unwrap_or(limits.warm_after);
    limits.step_base = flags
        .step_micros
        .map_or(limits.step_base, Duration::from_micros);
    limits.step_each = flags
        .each_micros
        .map_or(limits.step_each, Duration::from_micros);
    let millis = |flag: Option<u64>, default| flag.map_or(default, Duration::from_millis);
    EngineOptions {
        limits,
        down: millis(flags.down_millis, base.down),
        report_lag: millis(flags.report_lag, base.report_lag),
        event_lag: millis(flags.event_lag, base.event_lag),
        event_gap: flags.event_gap.unwrap_or(base.event_gap),
        cache_tokens: flags.cache_tokens.unwrap_or(base.cache_tokens),
        fencing: match flags.ignore_fencing {
            true => Fencing::Ignored,
            false => Fencing::Checked,
        },
    }
}

mod flags {
    //! Command-line flags.
    #![allow(missing_docs, unreachable_pub)]

    use std::net::SocketAddr;

    xflags::xflags! {
        /// Serves chat completions with continuous batching and a concurrency limit.
        cmd knapweed-standin-engine {
            /// Address to listen on; port 0 selects a free port.
            optional --listen addr: SocketAddr
            /// Concurrency limit of a cold engine, in sequences.
            optional --cold count: usize
            /// Concurrency limit of a warm engine, in sequences.
            optional --warm count: usize
            /// Number of completions after which a cold engine is warm.
            optional --warm-after count: u64
            /// Fixed part of the duration of a step, in microseconds.
            optional --step-micros micros: u64
            /// Duration that each running sequence adds to a step, in microseconds.
            optional --each-micros micros: u64
            /// Time between a crash and the restart, in milliseconds.
            optional --down-millis millis: u64
            /// Delay of the load report, in milliseconds.
            optional --report-lag millis: u64
            /// Delay of cache events, in milliseconds.
            optional --event-lag millis: u64
            /// Loses every N-th cache event; 0 loses none.
            optional --event-gap count: u64
            /// Size of the prefix cache, in tokens.
            optional --cache-tokens count: u64
            /// Accepts orders without checking their fencing numbers.
            optional --ignore-fencing
            /// Prints the version.
            optional --version
        }
    }
}
