//! A stand-in for the configuration service and the VM list.

use std::path::Path;

use bytes::Bytes;
use eyre::WrapErr as _;
use knapweed_standins::config::{Store, run};
use knapweed_standins::http::{bind_and_announce, init_logging};

use crate::flags::KnapweedStandinConfig;

fn main() -> eyre::Result<()> {
    init_logging();
    let flags = KnapweedStandinConfig::from_env_or_exit();
    if flags.version {
        println!("knapweed-standin-config {}", env!("CARGO_PKG_VERSION"));
        return Ok(());
    }
    let mut store = Store::default();
    if let Some(file) = &flags.load {
        store.put("rules", read(file)?);
    }
    match &flags.vms {
        Some(file) => store.put("vms", read(file)?),
        None => store.put("vms", Bytes::from_static(b"[]")),
    };
    let listen = flags.listen.unwrap_or(([127, 0, 0, 1], 0).into());
    let listener = bind_and_announce(listen).wrap_err("cannot listen")?;
    actix_rt::System::new().block_on(run(listener, store)?)?;
    Ok(())
}

fn read(file: &Path) -> eyre::Result<Bytes> {
    let text = std::fs::read(file).wrap_err_with(|| file.display().to_string())?;
    Ok(text.into())
}

mod flags {
    //! Command-line flags.
    #![allow(missing_docs, unreachable_pub)]

    use std::net::SocketAddr;
    use std::path::PathBuf;

    xflags::xflags! {
        /// Serves configuration values and the VM list, with injected faults.
        cmd knapweed-standin-config {
            /// Address to listen on; port 0 selects a free port.
            optional --listen addr: SocketAddr
            /// File with the initial value of `rules`.
            optional --load file: PathBuf
            /// File with the initial value of `vms`.
            optional --vms file: PathBuf
            /// Prints the version.
            optional --version
        }
    }
}
