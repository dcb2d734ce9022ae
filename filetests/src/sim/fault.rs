//! Scheduled events of a scenario.

use std::time::Duration;

use entity::{RequestId, Revision};
use policy::fleet::FleetEvent;
use policy::reader::ServiceKey;
use policy::{AgentEvent, AttemptResult, RouterEvent};

use super::link::{Cut, is_in_scope};
use super::plan::Plan;
use super::{Sim, Step, TICK_INTERVAL, WARM_UP};
use crate::record::{EntryKind, Subject};
use crate::scenario::{Change, Event, Place, PlantedBug};

impl Sim {
    pub(super) fn fault(&mut self, index: usize) {
        let (_, event) = self.plan.events[index].clone();
        self.log_entry(Subject::default(), EntryKind::Fault(event.to_string()));
        match event {
            Event::Cut { place, from } => {
                self.had_isolation_fault = true;
                self.cuts.push(Cut { place, from });
                self.restart_measurements();
            }
            Event::Heal => {
                self.cuts.clear();
                self.restart_measurements();
            }
            Event::Pause { place, time } => {
                self.had_isolation_fault = true;
                let until = self.at + time;
                for process in self.processes_in(&place) {
                    self.processes[process].paused = Some(until);
                    let name = self.processes[process].name.clone();
                    self.resume_times
                        .push((name, until.saturating_sub(WARM_UP)));
                }
                self.restart_measurements();
            }
            Event::Restart(place) => {
                self.had_isolation_fault = true;
                for process in self.processes_in(&place) {
                    self.restart(process);
                }
            }
            Event::Stop(place) => {
                for process in self.processes_in(&place) {
                    self.stop(process);
                }
            }
            Event::Cold(target) => {
                let agent = self
                    .plan
                    .target_index(&target)
                    .expect("checked by the plan");
                self.crash_engine(agent);
            }
            Event::Crash(team) => {
                let team = self.plan.team(&team).expect("checked by the plan");
                self.crash_request(team);
            }
            Event::Flood { team, rate, time } => {
                let team = self.plan.team(&team).expect("checked by the plan");
                self.flood(team, rate, time);
            }
            Event::Service(mode) => {
                self.service.set_mode(mode);
                self.end_watches();
            }
            Event::Publish(change) => self.publish(&change),
            Event::Leaves(target) => {
                let agent = self
                    .plan
                    .target_index(&target)
                    .expect("checked by the plan");
                self.leaving.push(agent);
                let subject = Subject {
                    target: Some(target),
                    ..Subject::default()
                };
                self.log_entry(subject, EntryKind::Leaves);
                self.publish_list();
                self.end_watches();
            }
            Event::Skew { place, back, by } => {
                for process in self.processes_in(&place) {
                    self.processes[process].skew = (back, by);
                }
            }
        }
    }

    fn restart_measurements(&mut self) {
        let at = self.at;
        for meter in &mut self.meters {
            meter.restart_measurements(at);
        }
    }

    fn processes_in(&self, place: &Place) -> Vec<usize> {
        let processes = self.processes.iter().enumerate();
        let found = processes.filter(|(_, process)| is_in_scope(place, process));
        found.map(|(index, _)| index).collect()
    }

    /// Restarts a process without state.
    fn restart(&mut self, index: usize) {
        let subject = self.process_subject(index);
        self.log_entry(subject, EntryKind::Restarted);
        match self.target_of(index) {
            None => {
                for (request, attempt) in self.held_by(index) {
                    if let Some((attempt, agent)) = attempt {
                        self.router_disconnected(index, agent, attempt);
                    }
                    self.lose_connection(request);
                }
            }
            Some(agent) => self.drop_agent_connections(agent),
        }
        let epoch = self.processes[index].epoch + 1;
        self.processes[index] = self.new_process(index, epoch);
        self.schedule(
            TICK_INTERVAL,
            Step::Tick {
                process: index,
                epoch,
            },
        );
    }

    /// Breaks the connections of a crashed agent; its target keeps running.
    fn drop_agent_connections(&mut self, agent: usize) {
        for attempt in self.attempts_at(agent) {
            let result = AttemptResult::Broken { delivered: false };
            self.break_attempt(attempt.request, result);
        }
        let runs: Vec<_> = self.engines[agent].running.keys().copied().collect();
        for attempt in runs {
            let pool = self.plan.targets[agent].pool;
            let run = self.engines[agent].running.remove(&attempt);
            let run = run.expect("listed above");
            let delivered = run.delivered(self.at);
            self.meters[pool].team_meters[run.team].service += delivered.0 as f64;
        }
    }

    /// Reports the interrupted attempt of a request to its router.
    fn break_attempt(&mut self, request: RequestId, result: AttemptResult) {
        let known = &self.requests[&request];
        let (Some((attempt, _)), Some((router, epoch))) = (known.attempt, known.sender) else {
            return;
        };
        let event = Box::new(RouterEvent::Ended { attempt, result });
        let step = Step::Router {
            router,
            epoch,
            event,
        };
        self.schedule(Duration::ZERO, step);
    }

    /// Starts the planned stop of a process.
    fn stop(&mut self, process: usize) {
        let subject = self.process_subject(process);
        self.log_entry(subject, EntryKind::Stopping);
        self.processes[process].stopping = true;
        if self.plan.has_bug(&PlantedBug::CutOnStop) {
            match self.target_of(process) {
                None => {
                    for (request, _) in self.held_by(process) {
                        self.lose_connection(request);
                    }
                }
                Some(agent) => self.drop_agent_connections(agent),
            }
            return self.stopped(process);
        }
        match self.target_of(process) {
            Some(agent) => {
                self.notify_fleet(process, FleetEvent::Leaving(true));
                self.drive_agent(agent, AgentEvent::Stop);
            }
            None => self.drive_router(process, RouterEvent::Stop),
        }
    }

    fn publish(&mut self, change: &Change) {
        self.revision = Revision(self.revision.0 + 1);
        let valid = *change != Change::Invalid;
        let subject = match change {
            Change::DrainTarget(target) | Change::UndrainTarget(target) => Subject {
                target: Some(target.clone()),
                ..Subject::default()
            },
            _ => Subject::default(),
        };
        let undone = match change {
            Change::UndrainCentre(centre) => Some(Change::DrainCentre(centre.clone())),
            Change::UndrainTarget(target) => Some(Change::DrainTarget(target.clone())),
            _ => None,
        };
        match (undone, valid) {
            (Some(undone), _) => self.drains.retain(|drain| *drain != undone),
            (None, true) if !self.drains.contains(change) => self.drains.push(change.clone()),
            _ => {}
        }
        self.note_drain(change, subject);
        let text = self.plan.revised_rules(self.revision, &self.drains, valid);
        let revision = self.revision;
        self.log_entry(Subject::default(), EntryKind::Published { revision, valid });
        self.service.publish(&ServiceKey::Rules, text);
        self.end_watches();
        if self.plan.has_bug(&PlantedBug::RevertRules) {
            self.revert();
        }
    }

    /// Records which targets a change drains or undrains.
    fn note_drain(&mut self, change: &Change, subject: Subject) {
        let targets: Vec<_> = match change {
            Change::DrainCentre(centre) | Change::UndrainCentre(centre) => {
                let targets = self.plan.targets.iter();
                let here = targets.filter(|target| target.centre == *centre);
                here.map(|target| target.name.clone()).collect()
            }
            _ => subject.target.into_iter().collect(),
        };
        let kind = match change {
            Change::DrainCentre(_) | Change::DrainTarget(_) => EntryKind::Drained,
            Change::UndrainCentre(_) | Change::UndrainTarget(_) => EntryKind::Undrained,
            Change::Invalid => return,
        };
        for target in targets {
            let subject = Subject {
                target: Some(target),
                ..Subject::default()
            };
            self.log_entry(subject, kind.clone());
        }
    }

    /// Reverts the first router to its first configuration.
    fn revert(&mut self) {
        if let Some(first) = self.processes[0].first_config.clone() {
            self.apply_config(0, first);
        }
    }

    /// Publishes the VM list.
    pub(super) fn publish_list(&mut self) {
        let routers = (1..=self.plan.routers).map(|number| {
            let name = Plan::router_name(number);
            let centre = self.plan.router_centre(number);
            list_entry(
                name.as_str(),
                "router",
                centre.as_str(),
                Plan::router_address(number),
                false,
            )
        });
        let agents = self.plan.targets.iter().enumerate().map(|(index, target)| {
            let is_hidden = self.plan.has_bug(&PlantedBug::IgnoreList);
            let leaving = self.leaving.contains(&index) && !is_hidden;
            list_entry(
                target.name.as_str(),
                "agent",
                target.centre.as_str(),
                target.control,
                leaving,
            )
        });
        let list: Vec<_> = routers.chain(agents).collect();
        let text = serde_json::Value::from(list).to_string();
        self.service.publish(&ServiceKey::Vms, text);
    }
}

fn list_entry(
    name: &str,
    role: &str,
    centre: &str,
    control: std::net::SocketAddr,
    leaving: bool,
) -> serde_json::Value {
    serde_json::json!({
        "name": name,
        "role": role,
        "data_centre": centre,
        "control": control,
        "state": if leaving { "leaving" } else { "live" },
    })
}
