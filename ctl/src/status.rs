//! `status`: the state of the fleet, combined from the dumps of its processes.
//!
//! Any part of a dump may be missing; a table is printed if at least one process
//! provides rows for it.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::client::{QueryError, Response, query_all};
use crate::report::{Exit, Report};
use crate::table::table;

/// The fields of a dump that `status` uses.
#[derive(Clone, PartialEq, Debug, Serialize, Deserialize)]
pub struct ProcessState {
    /// The process.
    pub process: String,
    /// The revision in force.
    pub revision: u64,
    /// The hash of the document in force.
    pub hash: String,
    /// The state of the process's role.
    #[serde(default)]
    pub role: RoleState,
}

/// The state of a router or an agent.
#[derive(Clone, Default, PartialEq, Debug, Serialize, Deserialize)]
#[serde(default)]
pub struct RoleState {
    /// `router` or `agent`.
    pub kind: String,
    /// The data centre.
    pub data_centre: Option<String>,
    /// The load of an agent's target.
    pub load: Option<LoadState>,
    /// For an agent, the service given to each team; for a router, the waiting requests.
    pub teams: Vec<TeamState>,
    /// Quarantined requests.
    pub quarantine: Vec<QuarantineState>,
}

/// The load of a target.
#[derive(Clone, Copy, Default, PartialEq, Eq, Debug, Serialize, Deserialize)]
#[serde(default)]
pub struct LoadState {
    /// Free slots.
    pub free: u32,
    /// The admission window in slots.
    pub window: u32,
    /// Running attempts.
    pub running: u32,
    /// Whether bids are waiting.
    pub congested: bool,
    /// Whether the target accepts no new work.
    pub draining: bool,
}

/// The state of one team at one process.
#[derive(Clone, Default, PartialEq, Debug, Serialize, Deserialize)]
#[serde(default)]
pub struct TeamState {
    /// The team.
    pub team: String,
    /// The weight in force.
    pub weight: u32,
    /// The service given by this process, in cost units.
    pub service: i64,
    /// Number of requests waiting at this process.
    pub waiting: u64,
}

/// One quarantined request.
#[derive(Clone, Default, PartialEq, Eq, PartialOrd, Ord, Debug, Serialize, Deserialize)]
#[serde(default)]
pub struct QuarantineState {
    /// Fingerprint shared by equal requests.
    pub fingerprint: String,
    /// The team that sent the request.
    pub team: String,
    /// Number of crashes during which the request was running.
    pub crashes: u32,
}

/// Totals of one team over all processes.
#[derive(Clone, PartialEq, Debug, Serialize)]
pub struct TeamTotal {
    /// The team.
    pub team: String,
    /// The weight in force.
    pub weight: u32,
    /// The service, in cost units.
    pub service: i64,
    /// Percentage of the service given to all teams.
    pub portion: f64,
    /// Difference in service per weight from the best-served team, in cost units.
    pub gap: f64,
    /// Number of waiting requests.
    pub waiting: u64,
}

/// The state of the fleet.
#[derive(Clone, PartialEq, Debug, Serialize)]
pub struct FleetState {
    /// Processes, sorted by name.
    pub processes: Vec<ProcessState>,
    /// Teams, sorted by name.
    pub teams: Vec<TeamTotal>,
    /// Quarantined requests.
    pub quarantine: Vec<QuarantineState>,
    /// Error messages of processes that did not respond.
    pub failures: Vec<String>,
}

/// Queries the state of the processes at `addresses`.
pub async fn run(addresses: &[SocketAddr]) -> Report {
    let responses = query_all(addresses, "/dump?format=json").await;
    let mut processes = Vec::new();
    let mut failures = Vec::new();
    for (address, response) in responses {
        match response.and_then(|response| parse(address, response)) {
            Ok(state) => processes.push(state),
            Err(error) => failures.push(error.to_string()),
        }
    }
    report(&summarize(processes, failures))
}

fn parse(address: SocketAddr, response: Response) -> Result<ProcessState, QueryError> {
    let malformed = |cause| QueryError::Malformed { address, cause };
    match response {
        Response::Found(body) => {
            serde_json::from_str(&body).map_err(|error| malformed(error.to_string()))
        }
        Response::NotFound => Err(malformed("no dump".to_owned())),
    }
}

/// Combines the states of processes into the state of the fleet.
pub fn summarize(mut processes: Vec<ProcessState>, failures: Vec<String>) -> FleetState {
    processes.sort_by(|a, b| a.process.cmp(&b.process));
    let quarantined = processes.iter().flat_map(|state| &state.role.quarantine);
    let mut quarantine: Vec<_> = quarantined.cloned().collect();
    quarantine.sort();
    quarantine.dedup();
    FleetState {
        teams: team_totals(&processes),
        processes,
        quarantine,
        failures,
    }
}

fn team_totals(processes: &[ProcessState]) -> Vec<TeamTotal> {
    let mut sums: BTreeMap<&str, TeamState> = BTreeMap::new();
    for state in processes.iter().flat_map(|state| &state.role.teams) {
        let sum = sums.entry(&state.team).or_default();
        sum.weight = sum.weight.max(state.weight);
        sum.service += state.service;
        sum.waiting += state.waiting;
    }
    let service_per_weight = |sum: &TeamState| sum.service as f64 / f64::from(sum.weight.max(1));
    let best_served = sums.values().map(service_per_weight).fold(0.0, f64::max);
    let total_service: i64 = sums.values().map(|sum| sum.service).sum();
    let totals = sums.iter().map(|(&team, sum)| TeamTotal {
        team: team.to_owned(),
        weight: sum.weight,
        service: sum.service,
        portion: 100.0 * sum.service as f64 / total_service.max(1) as f64,
        gap: best_served - service_per_weight(sum),
        waiting: sum.waiting,
    });
    totals.collect()
}

/// Formats the state of the fleet.
pub fn report(fleet: &FleetState) -> Report {
    let tables = [
        process_table(&fleet.processes),
        data_centre_table(&fleet.processes),
        target_table(&fleet.processes),
        team_table(&fleet.teams),
        quarantine_table(&fleet.quarantine),
    ];
    let mut sections: Vec<_> = tables.into_iter().flatten().collect();
    sections.extend(fleet.failures.iter().map(|failure| format!("! {failure}")));
    let exit = match fleet.failures.is_empty() {
        true => Exit::Done,
        false => Exit::Unreachable,
    };
    Report::new(exit, sections.join("\n\n"), fleet)
}

fn process_table(processes: &[ProcessState]) -> Option<String> {
    let rows: Vec<_> = processes
        .iter()
        .map(|state| {
            let centre = state.role.data_centre.clone();
            [
                state.process.clone(),
                state.role.kind.clone(),
                centre.unwrap_or_else(|| "-".to_owned()),
                state.revision.to_string(),
                state.hash.clone(),
            ]
        })
        .collect();
    let header = ["process", "kind", "data centre", "revision", "hash"];
    (!rows.is_empty()).then(|| table(header, &rows))
}

/// Totals of one data centre.
#[derive(Clone, Copy, Default)]
struct DataCentreTotals {
    processes: u32,
    targets: u32,
    draining: u32,
    window: u32,
    running: u32,
}

fn data_centre_table(processes: &[ProcessState]) -> Option<String> {
    let mut sums: BTreeMap<&str, DataCentreTotals> = BTreeMap::new();
    for role in processes.iter().map(|state| &state.role) {
        let Some(centre) = &role.data_centre else {
            continue;
        };
        let sum = sums.entry(centre).or_default();
        sum.processes += 1;
        if let Some(load) = role.load {
            sum.targets += 1;
            sum.draining += u32::from(load.draining);
            sum.window += load.window;
            sum.running += load.running;
        }
    }
    let rows: Vec<_> = sums
        .into_iter()
        .map(|(centre, sum)| {
            [
                centre.to_owned(),
                sum.processes.to_string(),
                sum.targets.to_string(),
                sum.draining.to_string(),
                sum.window.to_string(),
                sum.running.to_string(),
            ]
        })
        .collect();
    let header = [
        "data centre",
        "processes",
        "targets",
        "draining",
        "window",
        "running",
    ];
    (!rows.is_empty()).then(|| table(header, &rows))
}

fn target_table(processes: &[ProcessState]) -> Option<String> {
    let rows: Vec<_> = processes
        .iter()
        .filter_map(|state| {
            let load = state.role.load?;
            let condition = match (load.draining, load.congested) {
                (true, _) => "draining",
                (false, true) => "congested",
                (false, false) => "-",
            };
            Some([
                state.process.clone(),
                load.window.to_string(),
                load.running.to_string(),
                load.free.to_string(),
                condition.to_owned(),
            ])
        })
        .collect();
    let header = ["target", "window", "running", "free", "condition"];
    (!rows.is_empty()).then(|| table(header, &rows))
}

fn team_table(teams: &[TeamTotal]) -> Option<String> {
    let rows: Vec<_> = teams
        .iter()
        .map(|total| {
            [
                total.team.clone(),
                total.weight.to_string(),
                total.service.to_string(),
                format!("{:.1} %", total.portion),
                format!("{:.1}", total.gap),
                total.waiting.to_string(),
            ]
        })
        .collect();
    let header = ["team", "weight", "service", "portion", "gap", "waiting"];
    (!rows.is_empty()).then(|| table(header, &rows))
}

fn quarantine_table(quarantine: &[QuarantineState]) -> Option<String> {
    let rows: Vec<_> = quarantine
        .iter()
        .map(|state| {
            [
                state.fingerprint.clone(),
                state.team.clone(),
                state.crashes.to_string(),
            ]
        })
        .collect();
    let header = ["quarantined", "team", "crashes"];
    (!rows.is_empty()).then(|| table(header, &rows))
}
