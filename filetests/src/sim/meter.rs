//! Measurements during a run: service, waiting requests and idle slots.

use std::time::Duration;

/// The measurements of one team in one pool.
#[derive(Clone, Default, Debug)]
pub(super) struct TeamMeter {
    pub(super) weight: f64,
    /// The cost delivered so far.
    pub(super) service: f64,
    /// The waiting requests that may run on any target of the pool.
    pub(super) waiting: u32,
    since: Option<WaitStart>,
}

/// The start of a wait and the open slot time of the pool until then.
#[derive(Clone, Copy, Debug)]
struct WaitStart {
    at: Duration,
    open: f64,
}

/// An interval of time.
#[derive(Clone, Copy, Default, PartialEq, Debug)]
pub struct Span {
    /// The start.
    pub from: Duration,
    /// The end.
    pub until: Duration,
}

impl Span {
    /// The length.
    pub fn length(&self) -> Duration {
        self.until.saturating_sub(self.from)
    }
}

/// The largest service gap between two teams.
#[derive(Clone, Copy, Default, PartialEq, Debug)]
pub struct Gap {
    /// The gap, in cost units per weight.
    pub size: f64,
    /// The interval over which it arose.
    pub span: Span,
    /// The indexes of the teams.
    pub teams: (usize, usize),
}

/// The longest wait of a team for a start.
#[derive(Clone, Copy, Default, PartialEq, Debug)]
pub struct Starvation {
    /// The interval of the wait.
    pub span: Span,
    /// The open slot time of the pool during the wait, in seconds.
    pub open: f64,
    /// The index of the team.
    pub team: usize,
}

/// The measurements of one pool.
#[derive(Clone, Default, PartialEq, Debug)]
pub struct PoolMeasure {
    /// The largest gap, if two teams were ever backlogged at once.
    pub gap: Option<Gap>,
    /// The longest wait, if a team was ever backlogged.
    pub starvation: Option<Starvation>,
    /// The slot time that was idle while work waited, in seconds.
    pub idle: f64,
    /// The slot time while work waited, in seconds.
    pub slots: f64,
    /// The maximum actual cost in flight.
    pub in_flight: f64,
    /// The maximum actual cost in flight of each team.
    pub team_in_flight: Vec<f64>,
}

/// The range of the service difference while two teams are backlogged.
#[derive(Clone, Copy, Debug)]
struct Range {
    least: (f64, Duration),
    most: (f64, Duration),
}

/// The meter of one pool.
#[derive(Clone, Default, Debug)]
pub(super) struct Meter {
    pub(super) team_meters: Vec<TeamMeter>,
    ranges: Vec<Option<Range>>,
    /// The open slot time so far, in seconds.
    open: f64,
    pub(super) measure: PoolMeasure,
}

impl Meter {
    pub(super) fn new(weights: impl Iterator<Item = u32>) -> Self {
        let team_meter = |weight| TeamMeter {
            weight: f64::from(weight),
            ..TeamMeter::default()
        };
        let team_meters: Vec<_> = weights.map(team_meter).collect();
        let measure = PoolMeasure {
            team_in_flight: vec![0.0; team_meters.len()],
            ..PoolMeasure::default()
        };
        Self {
            ranges: vec![None; team_meters.len() * team_meters.len()],
            team_meters,
            open: 0.0,
            measure,
        }
    }

    pub(super) fn start_waiting(&mut self, at: Duration, team: usize) {
        let wait_start = self.wait_start(at);
        let team_meter = &mut self.team_meters[team];
        team_meter.waiting += 1;
        team_meter.since.get_or_insert(wait_start);
    }

    pub(super) fn stop_waiting(&mut self, at: Duration, team: usize, started: bool) {
        let team_meter = &mut self.team_meters[team];
        team_meter.waiting = team_meter.waiting.saturating_sub(1);
        if started || team_meter.waiting == 0 {
            self.end_wait(at, team);
        }
        let wait_start = self.wait_start(at);
        let team_meter = &mut self.team_meters[team];
        team_meter.since = (team_meter.waiting > 0).then(|| team_meter.since.unwrap_or(wait_start));
    }

    fn wait_start(&self, at: Duration) -> WaitStart {
        let open = self.open;
        WaitStart { at, open }
    }

    /// Ends the wait of a team and records it if it is the longest.
    fn end_wait(&mut self, at: Duration, team: usize) {
        let Some(since) = self.team_meters[team].since.take() else {
            return;
        };
        let open = self.open - since.open;
        let longest = self.measure.starvation.map(|longest| longest.open);
        if longest.is_none_or(|longest| longest < open) {
            let span = Span {
                from: since.at,
                until: at,
            };
            self.measure.starvation = Some(Starvation { span, open, team });
        }
    }

    /// Ends all waits at the end of the run.
    pub(super) fn finish(&mut self, at: Duration) {
        for team in 0..self.team_meters.len() {
            self.end_wait(at, team);
        }
    }

    /// Restarts gap and wait measurements, as a fault begins or ends.
    pub(super) fn restart_measurements(&mut self, at: Duration) {
        self.ranges.fill(None);
        let wait_start = self.wait_start(at);
        for team_meter in &mut self.team_meters {
            team_meter.since = (team_meter.waiting > 0).then_some(wait_start);
        }
    }

    /// Accounts open and busy slots over `step`.
    pub(super) fn idle(&mut self, step: Duration, slots: u32, running: u32) {
        self.open += f64::from(slots) * step.as_secs_f64();
        let waiting: u32 = self
            .team_meters
            .iter()
            .map(|team_meter| team_meter.waiting)
            .sum();
        if waiting > 0 {
            let idle = slots.saturating_sub(running).min(waiting);
            self.measure.idle += f64::from(idle) * step.as_secs_f64();
            self.measure.slots += f64::from(slots) * step.as_secs_f64();
        }
    }

    /// Samples the service of all teams.
    ///
    /// `running` is the service delivered so far by the attempts in flight of each team,
    /// `in_flight` their total cost.
    pub(super) fn sample(&mut self, at: Duration, running: &[f64], in_flight: &[f64]) {
        self.measure.in_flight = self.measure.in_flight.max(in_flight.iter().sum());
        for (greatest, cost) in self.measure.team_in_flight.iter_mut().zip(in_flight) {
            *greatest = greatest.max(*cost);
        }
        let count = self.team_meters.len();
        for one in 0..count {
            for two in one + 1..count {
                let slot = one * count + two;
                let (a, b) = (&self.team_meters[one], &self.team_meters[two]);
                if a.waiting == 0 || b.waiting == 0 {
                    self.ranges[slot] = None;
                    continue;
                }
                let portion = |team_meter: &TeamMeter, more: f64| {
                    (team_meter.service + more) / team_meter.weight
                };
                let difference = portion(a, running[one]) - portion(b, running[two]);
                let new = Range {
                    least: (difference, at),
                    most: (difference, at),
                };
                let range = self.ranges[slot].get_or_insert(new);
                if difference < range.least.0 {
                    range.least = (difference, at);
                }
                if difference > range.most.0 {
                    range.most = (difference, at);
                }
                let gap = gap(range, (one, two));
                if self.measure.gap.is_none_or(|known| known.size < gap.size) {
                    self.measure.gap = Some(gap);
                }
            }
        }
    }
}

fn gap(range: &Range, teams: (usize, usize)) -> Gap {
    let (one, two) = (range.least.1, range.most.1);
    Gap {
        size: range.most.0 - range.least.0,
        span: Span {
            from: one.min(two),
            until: one.max(two),
        },
        teams,
    }
}
