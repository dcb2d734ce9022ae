//! Stand-in for a model engine.

use std::time::Duration;

use eyre::WrapErr as _;
use knapweed_standins::engine::{EngineOptions, Fencing, run};
use knapweed_standins::http::{announce, start_log};

use crate::flags::KnapweedStandinEngine;

fn main() -> eyre::Result<()> {
    start_log();
    let flags = KnapweedStandinEngine::from_env_or_exit();
    if flags.version {
        println!("knapweed-standin-engine {}", env!("CARGO_PKG_VERSION"));
        return Ok(());
    }
    let listen = flags.listen.unwrap_or(([127, 0, 0, 1], 0).into());
    let options = options(&flags);
    let listener = announce(listen).wrap_err("cannot listen")?;
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
    //! The command line.
    #![allow(missing_docs, unreachable_pub)]

    use std::net::SocketAddr;

    xflags::xflags! {
        /// Serves chat completions with continuous batching and a true limit.
        cmd knapweed-standin-engine {
            /// Address to listen on; port 0 picks a free one.
            optional --listen addr: SocketAddr
            /// Sequences that a cold engine carries.
            optional --cold count: usize
            /// Sequences that a warm engine runs at once.
            optional --warm count: usize
            /// Completions that make a cold engine warm.
            optional --warm-after count: u64
            /// Time of a step that does not depend on the batch, in microseconds.
            optional --step-micros micros: u64
            /// Time that each running sequence adds to a step, in microseconds.
            optional --each-micros micros: u64
            /// Time that a dead engine is down, in milliseconds.
            optional --down-millis millis: u64
            /// Lag of the load report, in milliseconds.
            optional --report-lag millis: u64
            /// Lag of cache events, in milliseconds.
            optional --event-lag millis: u64
            /// Every how many-th cache event is lost; 0 loses none.
            optional --event-gap count: u64
            /// Size of the prefix cache, in tokens.
            optional --cache-tokens count: u64
            /// Takes orders without a look at their fencing number.
            optional --ignore-fencing
            /// Prints the version.
            optional --version
        }
    }
}
