//! The routers as processes, started with the command and the template of the deploy file, and
//! the addresses of a deployment on loopback.

use std::fs::{self, File};
use std::io::Write;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Mutex;
use std::thread;
use std::time::{Duration, Instant};

use crate::http;

pub const SIGHUP: i32 = 1;

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

/// The addresses of one deployment: a /24 of loopback that nothing else uses.
#[derive(Clone, Copy)]
pub struct Net(u8, u8);

impl Net {
    /// Finds a free network.
    pub fn find() -> Self {
        let seed = std::process::id();
        for offset in 0..1_000 {
            let number = seed.wrapping_mul(31).wrapping_add(offset * 7);
            let net = Self(20 + (number % 200) as u8, (number / 200 % 250) as u8);
            if TcpListener::bind(net.at(1, 8783)).is_ok() && TcpListener::bind(net.at(200, 8781)).is_ok() {
                return net;
            }
        }
        panic!("no free addresses");
    }

    pub fn at(self, host: u8, port: u16) -> SocketAddr {
        SocketAddr::new(IpAddr::V4(Ipv4Addr::new(127, self.0, self.1, host)), port)
    }
}

/// The record of a run: `record.txt`.
pub struct Record {
    file: Mutex<File>,
    pub begun: Instant,
}

impl Record {
    pub fn create(path: &Path) -> std::io::Result<Self> {
        Ok(Self {
            file: Mutex::new(File::create(path)?),
            begun: Instant::now(),
        })
    }

    pub fn time(&self, at: Instant) -> f64 {
        at.saturating_duration_since(self.begun).as_secs_f64()
    }

    pub fn line(&self, text: &str) {
        let line = format!("{:8.3} {text}\n", self.begun.elapsed().as_secs_f64());
        let _ = self.file.lock().unwrap().write_all(line.as_bytes());
    }

    /// Writes a line to the record and to the output.
    pub fn tell(&self, text: &str) {
        self.line(text);
        println!("{text}");
    }
}

/// One router.
pub struct Router {
    pub number: u8,
    net: Net,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

impl Router {
    /// Describes a router at host `number` + 1 of the network, not yet started.
    pub fn new(net: Net, folder: &Path, number: u8, seeds: &[u8]) -> std::io::Result<Self> {
        let settings = folder.join(format!("front-{number}.yaml"));
        let ip = net.at(number + 1, 0).ip().to_string();
        let seeds: Vec<String> = seeds.iter().map(|seed| net.at(seed + 1, 8785).to_string()).collect();
        let fields = [
            ("nodeName", format!("front-longview-a-{}", number + 1)),
            ("zone", "longview-a".to_owned()),
            ("ip", ip.clone()),
            ("listen.front", format!("{ip}:8783")),
            ("listen.ready", format!("{ip}:8780")),
            ("internalPorts.0", "7400".to_owned()),
            ("platform.address", net.at(200, 8781).to_string()),
            ("seeds", seeds.join(",")),
            ("limits.maxFds", "4100".to_owned()),
            ("bounds.graceS", "8".to_owned()),
            ("bounds.strictRevoke", "true".to_owned()),
            ("bounds.revokeMs", "5000".to_owned()),
            ("bounds.drainMs", "2000".to_owned()),
            ("bounds.configMs", "2000".to_owned()),
            ("bounds.retryBudgetRatio", "0.2".to_owned()),
            ("bounds.budgetSlack", "56".to_owned()),
            ("bounds.budgetWindowS", "10".to_owned()),
            ("bounds.coldOver", "1.5".to_owned()),
            ("bounds.coldSlack", "5".to_owned()),
        ];
        fs::write(&settings, render(&fs::read_to_string("deploy/edge.yaml")?, &fields))?;
        Ok(Self {
            number,
            net,
            settings,
            log: folder.join(format!("front-{number}.log")),
            child: None,
        })
    }

    /// Starts the process, as `run` in the deploy file says.
    pub fn start(&mut self) -> std::io::Result<()> {
        let log = File::options().create(true).append(true).open(&self.log)?;
        let mut command = Command::new("target/deploy/knapweed-edge");
        command.arg("--settings").arg(&self.settings).env_clear();
        for name in ["PATH", "HOME", "LANG"] {
            if let Ok(value) = std::env::var(name) {
                command.env(name, value);
            }
        }
        command.env("KNAPWEEDGATE_NODE_FILE", &self.settings);
        command.stdin(Stdio::null()).stdout(log.try_clone()?).stderr(log);
        self.child = Some(command.spawn()?);
        Ok(())
    }

    pub fn front(&self) -> SocketAddr {
        self.net.at(self.number + 1, 8783)
    }

    pub fn is_ready(&self) -> bool {
        let request = b"GET /ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
        let ready = self.net.at(self.number + 1, 8780);
        http::call(ready, request, Duration::from_millis(500)).is_ok_and(|it| it.status() == 200)
    }

    pub fn pid(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }

    pub fn signal(&self, signal: i32) {
        if let Some(pid) = self.pid() {
            // SAFETY: a plain system call, to a process that this one started.
            unsafe { kill(pid as i32, signal) };
        }
    }

    /// How the process ended, if it did.
    pub fn ended(&mut self) -> Option<String> {
        let ended = self.child.as_mut()?.try_wait().ok()??;
        Some(ended.to_string())
    }

    /// Kills the process.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

impl Drop for Router {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Waits until all routers are ready.
pub fn wait_until_ready<'a>(routers: impl Iterator<Item = &'a Router>, limit: Duration) -> bool {
    let begun = Instant::now();
    let mut waiting: Vec<&Router> = routers.collect();
    while !waiting.is_empty() && begun.elapsed() < limit {
        waiting.retain(|router| !router.is_ready());
        thread::sleep(Duration::from_millis(50));
    }
    waiting.is_empty()
}

/// Fills the template in: values and sections that are present.
fn render(template: &str, fields: &[(&str, String)]) -> String {
    let mut text = template.to_owned();
    for (name, value) in fields {
        text = text.replace(&format!("{{{{{name}}}}}"), value);
        text = text.replace(&format!("{{{{#{name}}}}}"), "");
        text = text.replace(&format!("{{{{/{name}}}}}"), "");
    }
    assert!(!text.contains("{{"), "the template has fields that this stand-in does not know: {text}");
    text
}
