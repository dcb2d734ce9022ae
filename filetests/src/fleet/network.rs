//! Delays, losses and partitions between processes.

use std::time::Duration;

use cranelift_entity::EntityRef;
use entity::{ProcessId, TargetId};
use policy::fair::SharingPolicy;
use policy::{AgentEvent, RouterEvent};
use rand::RngExt;

use super::{Event, Fleet, Process};

impl<S: SharingPolicy> Fleet<S> {
    pub(super) fn send_to_agent(&mut self, from: Process, target: TargetId, event: &AgentEvent) {
        self.counts.control += 1;
        let index = target.index();
        for delay in self.deliveries(from, Process::Agent(index)) {
            self.agent_event(delay, index, event.clone());
        }
    }

    pub(super) fn send_to_router(&mut self, from: Process, index: usize, event: &RouterEvent) {
        self.counts.control += 1;
        for delay in self.deliveries(from, Process::Router(index)) {
            self.schedule(delay, Event::Router(index, event.clone()));
        }
    }

    /// Returns the delay of each copy of a control message; empty if it is lost.
    fn deliveries(&mut self, from: Process, to: Process) -> Vec<Duration> {
        let Some(delay) = self.link_delay(from, to) else {
            return Vec::new();
        };
        let draw: f64 = self.rng.random();
        match draw {
            _ if draw < self.settings.loss => Vec::new(),
            _ if draw < self.settings.loss + self.settings.duplication => {
                vec![
                    delay,
                    delay + Duration::from_millis(self.rng.random_range(0..100)),
                ]
            }
            _ => vec![delay],
        }
    }

    /// Returns the delay between two processes, or `None` if they are partitioned.
    pub(super) fn link_delay(&self, from: Process, to: Process) -> Option<Duration> {
        let (from, to) = (self.index(from), self.index(to));
        if self.partitions[from] != self.partitions[to] {
            return None;
        }
        let centre = |index: usize| match index.checked_sub(self.settings.routers) {
            None => index % self.settings.centres,
            Some(agent) => agent % self.settings.centres,
        };
        Some(match centre(from) == centre(to) {
            true => self.settings.local_delay,
            false => self.settings.remote_delay,
        })
    }

    pub(super) fn index(&self, process: Process) -> usize {
        match process {
            Process::Router(index) => index,
            Process::Agent(index) => self.settings.routers + index,
        }
    }

    pub(super) fn target(&self, agent: ProcessId) -> TargetId {
        let target = self.config.names.targets.by_tag(agent.0);
        target.expect("agents have the names of their targets")
    }
}
