//! A small deployment of routers, agents and targets on loopback.

use std::fmt::Write as _;
use std::fs;
use std::net::SocketAddr;
use std::path::PathBuf;

use eyre::WrapErr;
use serde_json::Value;

use crate::caller::hex_digest;
use crate::process::Process;
use crate::wait_until;

/// The kind of the target behind an agent.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum TargetKind {
    /// A model engine.
    Engine,
    /// A plain service.
    Service,
}

/// An agent with its target.
#[derive(Debug)]
pub struct AgentWithTarget {
    /// The target's name.
    pub name: String,
    /// The name of the data centre.
    pub data_centre: String,
    /// The kind of the target.
    pub target_kind: TargetKind,
    /// The target process.
    pub target: Process,
    /// The agent process.
    pub agent: Process,
}

/// The processes of a deployment and the rules that it publishes.
#[derive(Debug)]
pub struct Deployment {
    directory: PathBuf,
    /// The configuration service.
    pub config_service: Process,
    /// The routers.
    pub routers: Vec<Process>,
    /// The agents with their targets.
    pub pairs: Vec<AgentWithTarget>,
    /// The last published revision.
    pub revision: u64,
    /// Additional rule lines.
    pub extra_rules: String,
    /// The names of the processes whose VMs the VM list marks as leaving.
    pub leaving_vms: Vec<String>,
    teams: Vec<String>,
    engine_flags: Vec<String>,
    /// Whether the pool of the engines allows hundreds of concurrent requests.
    pub has_high_capacity: bool,
}

/// The size and the settings of a deployment.
#[derive(Clone, Debug)]
pub struct DeploymentPlan {
    /// The number of routers.
    pub routers: usize,
    /// The number of engines, distributed over two data centres.
    pub engines: usize,
    /// The number of plain services, distributed over two data centres.
    pub services: usize,
    /// The teams, each of weight 1.
    pub teams: Vec<String>,
    /// The command-line flags of every engine.
    pub engine_flags: Vec<String>,
    /// The command-line flags of every plain service.
    pub service_flags: Vec<String>,
}

impl Default for DeploymentPlan {
    fn default() -> Self {
        Self {
            routers: 2,
            engines: 2,
            services: 0,
            teams: vec!["alpha".to_owned(), "beta".to_owned()],
            engine_flags: Vec::new(),
            service_flags: Vec::new(),
        }
    }
}

impl Deployment {
    /// Starts all processes, publishes the VM list and the rules, and waits until all processes are
    /// ready.
    ///
    /// # Errors
    ///
    /// Returns an error if a process does not start.
    pub async fn start(name: &str, plan: DeploymentPlan) -> eyre::Result<Self> {
        let directory = std::env::temp_dir().join(format!("kw-{name}-{}", std::process::id()));
        fs::create_dir_all(&directory).wrap_err("cannot create the directory")?;
        let listen = ["--listen", "127.0.0.1:0"];
        let log = directory.join("config.log");
        let config_service = Process::start("knapweed-standin-config", &listen, &log)?;
        let mut fleet = Self {
            directory,
            config_service,
            routers: Vec::new(),
            pairs: Vec::new(),
            revision: 0,
            extra_rules: String::new(),
            leaving_vms: Vec::new(),
            teams: plan.teams,
            engine_flags: plan.engine_flags,
            has_high_capacity: false,
        };
        for index in 0..plan.engines {
            let engine_flags = fleet.engine_flags.clone();
            fleet.start_pair(
                &format!("llm-{index}"),
                index,
                TargetKind::Engine,
                &engine_flags,
            )?;
        }
        for index in 0..plan.services {
            fleet.start_pair(
                &format!("desk-{index}"),
                index,
                TargetKind::Service,
                &plan.service_flags,
            )?;
        }
        for index in 0..plan.routers {
            fleet.start_router(index)?;
        }
        fleet.publish_vms().await?;
        fleet.publish().await?;
        fleet.wait_until_ready().await;
        Ok(fleet)
    }

    /// Starts router `index`, or restarts it at new addresses.
    ///
    /// # Errors
    ///
    /// Returns an error if it does not start.
    pub fn start_router(&mut self, index: usize) -> eyre::Result<()> {
        let name = format!("router-{index}");
        let any_port = "127.0.0.1:0".to_owned();
        let process = self.start_daemon(
            "knapweed-router",
            &name,
            "dc1",
            &[any_port.clone(), any_port.clone(), any_port],
            "",
        )?;
        match index < self.routers.len() {
            true => self.routers[index] = process,
            false => self.routers.push(process),
        }
        Ok(())
    }

    fn start_pair(
        &mut self,
        name: &str,
        index: usize,
        target_kind: TargetKind,
        target_flags: &[String],
    ) -> eyre::Result<()> {
        let program = match target_kind {
            TargetKind::Engine => "knapweed-standin-engine",
            TargetKind::Service => "knapweed-standin-service",
        };
        let mut args = vec!["--listen".to_owned(), "127.0.0.1:0".to_owned()];
        args.extend_from_slice(target_flags);
        let log = self.directory.join(format!("{name}-target.log"));
        let target = Process::start(program, &args, &log)?;
        let data_centre = format!("dc{}", index % 2 + 1);
        let any_port = "127.0.0.1:0".to_owned();
        let url = format!("target: http://{}\n", target.address("listen"));
        let addresses = [any_port.clone(), any_port.clone(), any_port];
        let agent = self.start_daemon("knapweed-agent", name, &data_centre, &addresses, &url)?;
        self.pairs.push(AgentWithTarget {
            name: name.to_owned(),
            data_centre,
            target_kind,
            target,
            agent,
        });
        Ok(())
    }

    /// Kills an agent and restarts it without its state at the same addresses.
    ///
    /// # Errors
    ///
    /// Returns an error if it does not start.
    pub fn restart_agent(&mut self, index: usize) -> eyre::Result<()> {
        self.pairs[index].agent.kill()?;
        let pair = &self.pairs[index];
        let names = ["listen", "control", "operators"];
        let addresses = names.map(|name| pair.agent.address(name).to_string());
        let url = format!("target: http://{}\n", pair.target.address("listen"));
        let (name, data_centre) = (pair.name.clone(), pair.data_centre.clone());
        let agent = self.start_daemon("knapweed-agent", &name, &data_centre, &addresses, &url)?;
        self.pairs[index].agent = agent;
        Ok(())
    }

    fn start_daemon(
        &self,
        program: &str,
        name: &str,
        data_centre: &str,
        addresses: &[String; 3],
        extra_settings: &str,
    ) -> eyre::Result<Process> {
        let [listen, control, operators] = addresses;
        let config_service = self.config_service.address("listen");
        let peers: Vec<String> = self
            .pairs
            .iter()
            .take(2)
            .map(|pair| format!("\"{}\"", pair.agent.address("control")))
            .collect();
        let peers = peers.join(", ");
        let settings = format!(
            "name: {name}\ndata_centre: {data_centre}\nlisten: {listen}\ncontrol: {control}\n\
             operators: {operators}\nservice: [\"http://{config_service}\"]\npeers: [{peers}]\n{extra_settings}"
        );
        let path = self.directory.join(format!("{name}.yaml"));
        fs::write(&path, settings)?;
        let log = self.directory.join(format!("{name}.log"));
        let path = path.to_string_lossy().into_owned();
        Process::start(program, &["--settings".to_owned(), path], &log)
    }

    /// The rules document of the current revision.
    pub fn rules(&self) -> String {
        let mut rules = format!("revision {}  # asked by: tests\n", self.revision);
        let mut write_line = |text: String| writeln!(rules, "{text}  # asked by: tests");
        let mut write = |text: String| write_line(text).expect("writing to a string");
        write("data-centre dc1".to_owned());
        write("data-centre dc2".to_owned());
        let has = |target_kind| {
            self.pairs
                .iter()
                .any(|pair| pair.target_kind == target_kind)
        };
        if has(TargetKind::Engine) {
            let limits = if self.has_high_capacity {
                "cold 200 max 200"
            } else {
                "cold 2 max 8"
            };
            write(format!("pool llm kind model {limits}"));
            write("route chat POST /v1/chat/completions pool llm idempotent cost 50".to_owned());
        }
        if has(TargetKind::Service) {
            write("pool desk kind service cold 2 max 8".to_owned());
            write("route bookings POST /v1/bookings pool desk once cost 20".to_owned());
            write("route stock POST /v1/stock pool desk idempotent cost 5".to_owned());
        }
        for pair in &self.pairs {
            let pool = match pair.target_kind {
                TargetKind::Engine => "llm",
                TargetKind::Service => "desk",
            };
            let (data, control) = (pair.agent.address("listen"), pair.agent.address("control"));
            let AgentWithTarget {
                name, data_centre, ..
            } = pair;
            write(format!(
                "target {name} pool {pool} data-centre {data_centre} data {data} control {control}"
            ));
        }
        for team in &self.teams {
            write(format!("team {team} weight 1"));
            write(format!(
                "key {team} sha256:{}",
                hex_digest(&format!("kw-demo-{team}"))
            ));
        }
        rules.push_str(&self.extra_rules);
        rules.push_str("end  # asked by: tests\n");
        rules
    }

    /// Publishes the rules as a new revision.
    ///
    /// # Errors
    ///
    /// Returns an error if the service cannot be reached.
    pub async fn publish(&mut self) -> eyre::Result<()> {
        self.revision += 1;
        let rules = self.rules();
        self.put_value("rules", rules).await
    }

    /// Publishes the VM list with all routers and agents, as live unless they are in `leaving_vms`.
    ///
    /// # Errors
    ///
    /// Returns an error if the service cannot be reached.
    pub async fn publish_vms(&self) -> eyre::Result<()> {
        let vm = |name: &str, role: &str, data_centre: &str, control: SocketAddr| {
            let is_leaving = self.leaving_vms.iter().any(|vm| vm == name);
            serde_json::json!({
                "name": name, "role": role, "data_centre": data_centre,
                "control": control.to_string(), "state": if is_leaving { "leaving" } else { "live" },
            })
        };
        let routers = self.routers.iter().enumerate().map(|(index, router)| {
            vm(
                &format!("router-{index}"),
                "router",
                "dc1",
                router.address("control"),
            )
        });
        let agents = self.pairs.iter().map(|pair| {
            vm(
                &pair.name,
                "agent",
                &pair.data_centre,
                pair.agent.address("control"),
            )
        });
        let list: Vec<Value> = routers.chain(agents).collect();
        self.put_value("vms", Value::from(list).to_string()).await
    }

    async fn put_value(&self, key: &str, value: String) -> eyre::Result<()> {
        let url = format!(
            "http://{}/test/values/{key}",
            self.config_service.address("listen")
        );
        let result = awc::Client::default().put(url).send_body(value).await;
        result
            .map(|_| ())
            .map_err(|error| eyre::eyre!("cannot publish {key}: {error}"))
    }

    /// Waits until every process is ready and has the published revision.
    pub async fn wait_until_ready(&self) {
        let agents = self.pairs.iter().map(|pair| &pair.agent);
        for process in self.routers.iter().chain(agents) {
            let operators = process.address("operators");
            wait_until("the process is ready", || async move {
                let dump = fetch_dump(operators).await?;
                let (status, _) = http_get(operators, "/ready").await?;
                let revision = dump["revision"].as_u64()?;
                (revision >= self.revision && status == 200).then_some(())
            })
            .await;
        }
    }

    /// The address of router `index` for callers.
    pub fn caller_address(&self, index: usize) -> SocketAddr {
        self.routers[index].address("callers")
    }

    /// The counters of a target; null if they cannot be read.
    pub async fn target_counts(&self, index: usize) -> Value {
        let target = self.pairs[index].target.address("listen");
        let answer = http_get(target, "/test/counts").await;
        answer.map_or(Value::Null, |(_, body)| {
            serde_json::from_str(&body).unwrap_or(Value::Null)
        })
    }

    /// Injects a fault into a target.
    ///
    /// # Errors
    ///
    /// Returns an error if the target cannot be reached.
    pub async fn inject_target_fault(&self, index: usize, fault: Value) -> eyre::Result<()> {
        let target = self.pairs[index].target.address("listen");
        inject_fault(target, fault).await
    }

    /// Injects a fault into the configuration service.
    ///
    /// # Errors
    ///
    /// Returns an error if the service cannot be reached.
    pub async fn inject_service_fault(&self, fault: Value) -> eyre::Result<()> {
        inject_fault(self.config_service.address("listen"), fault).await
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        if !std::thread::panicking() {
            // The directory is temporary; the system removes what is left of it.
            let _ = fs::remove_dir_all(&self.directory);
        }
    }
}

async fn inject_fault(address: SocketAddr, fault: Value) -> eyre::Result<()> {
    let url = format!("http://{address}/test/faults");
    let result = awc::Client::default().post(url).send_json(&fault).await;
    result
        .map(|_| ())
        .map_err(|error| eyre::eyre!("cannot inject the fault: {error}"))
}

/// Fetches the state dump of a process from its operators' address.
pub async fn fetch_dump(operators: SocketAddr) -> Option<Value> {
    let (_, body) = http_get(operators, "/dump?format=json").await?;
    serde_json::from_str(&body).ok()
}

/// Sends a GET request and returns the status and the body; `None` if there is no response.
pub async fn http_get(address: SocketAddr, path: &str) -> Option<(u16, String)> {
    let url = format!("http://{address}{path}");
    let mut response = awc::Client::default().get(url).send().await.ok()?;
    let body = response.body().limit(16 << 20).await.ok()?;
    Some((
        response.status().as_u16(),
        String::from_utf8_lossy(&body).into_owned(),
    ))
}
