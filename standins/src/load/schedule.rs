//! Generation of request schedules with Poisson arrivals.

use std::time::Duration;

use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;

use super::mix::{Team, Work};

/// The rate and the limits of a run.
#[derive(Clone, Copy, PartialEq, Debug)]
pub struct Bounds {
    /// The mean rate, in requests per second.
    pub rate: f64,
    /// The length of the schedule.
    pub time: Duration,
    /// The maximum number of requests.
    pub requests: usize,
}

/// A scheduled request.
#[derive(Clone, Copy, PartialEq, Debug)]
pub struct ScheduledRequest {
    /// When it is due, from the start of the run.
    pub due: Duration,
    /// Its sequence number in the run.
    pub number: u64,
    /// The index of the team in the mix.
    pub team: usize,
    /// The kind of work.
    pub work: Work,
    /// The index of the first router to try, to be taken modulo the number of routers.
    pub router: usize,
}

/// Generates the schedule of a run; deterministic for equal arguments.
///
/// Seven of ten requests of a team go to a fixed router, so that the load of a team is spread
/// unevenly over the routers.
pub fn plan(teams: &[Team], bounds: Bounds, seed: u64) -> Vec<ScheduledRequest> {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let shares: Vec<(usize, Work, f64)> = teams
        .iter()
        .enumerate()
        .flat_map(|(team, t)| t.shares.iter().map(move |s| (team, s.work, s.rate)))
        .collect();
    let total: f64 = shares.iter().map(|(_, _, rate)| rate).sum();
    let mut due = 0.0;
    let mut planned = Vec::new();
    while planned.len() < bounds.requests {
        let uniform: f64 = random.random();
        due -= (1.0 - uniform).ln() / bounds.rate;
        if due >= bounds.time.as_secs_f64() {
            break;
        }
        let (team, work) = pick_work(&shares, random.random::<f64>() * total);
        let preferred = random.random::<f64>() < 0.7;
        let any = usize::from(random.random::<u16>());
        planned.push(ScheduledRequest {
            due: Duration::from_secs_f64(due),
            number: planned.len() as u64,
            team,
            work,
            router: if preferred { team } else { any },
        });
    }
    planned
}

fn pick_work(shares: &[(usize, Work, f64)], position: f64) -> (usize, Work) {
    let mut remaining = position;
    for (team, work, rate) in shares {
        remaining -= rate;
        if remaining < 0.0 {
            return (*team, *work);
        }
    }
    let (team, work, _) = shares.last().expect("a mix has work");
    (*team, *work)
}
