//! Stand-ins for the review cases: the platform's store, workers as processes of their own,
//! and clients; and what starts routers with the command of the deploy file.
//!
//! Standard library only; built by `review/build.sh`.

use std::collections::BTreeMap;
use std::fs::{self, File, OpenOptions};
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

include!("http.rs");
include!("store.rs");
include!("worker.rs");
include!("fleet.rs");
include!("cases.rs");

fn main() {
    let args: Vec<String> = std::env::args().collect();
    match args.get(1).map(String::as_str) {
        Some("worker") => worker_main(&args[2..]),
        Some("case") => {
            let dir = PathBuf::from(args.get(3).expect("the folder of the case"));
            let trouble = std::env::var("TROUBLE").map_or(true, |it| it != "0");
            let code = run_case(&args[2], dir, trouble);
            std::process::exit(code);
        }
        _ => {
            eprintln!("usage: stand case NAME FOLDER | stand worker ...");
            std::process::exit(2);
        }
    }
}

/// The time of day in milliseconds; the same clock for all processes of this machine.
fn wall_ms() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    now.unwrap_or_default().as_millis() as u64
}
