//! When each request is due: Poisson arrivals from a seed.

use std::time::Duration;

use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;

use super::mix::{Team, Work};

/// The bounds of a run.
#[derive(Clone, Copy, PartialEq, Debug)]
pub struct Bounds {
    /// The mean rate, in requests per second.
    pub rate: f64,
    /// The time in which requests are due.
    pub time: Duration,
    /// The greatest number of requests.
    pub requests: usize,
}

/// One request of a schedule.
#[derive(Clone, Copy, PartialEq, Debug)]
pub struct Planned {
    /// When it is due, from the start of the run.
    pub due: Duration,
    /// Its number in the run.
    pub number: u64,
    /// The team's place in the mix.
    pub team: usize,
    /// The kind of work.
    pub work: Work,
    /// The first router to ask, before it is reduced to the number of routers.
    pub router: usize,
}

/// The schedule of a run; equal arguments give equal schedules.
///
/// Seven of ten requests of a team go to one router, so that teams spread unevenly.
pub fn plan(teams: &[Team], bounds: Bounds, seed: u64) -> Vec<Planned> {
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
        let (team, work) = pick(&shares, random.random::<f64>() * total);
        let preferred = random.random::<f64>() < 0.7;
        let any = usize::from(random.random::<u16>());
        planned.push(Planned {
            due: Duration::from_secs_f64(due),
            number: planned.len() as u64,
            team,
            work,
            router: if preferred { team } else { any },
        });
    }
    planned
}

fn pick(shares: &[(usize, Work, f64)], at: f64) -> (usize, Work) {
    let mut left = at;
    for (team, work, rate) in shares {
        left -= rate;
        if left < 0.0 {
            return (*team, *work);
        }
    }
    let (team, work, _) = shares.last().expect("a mix has work");
    (*team, *work)
}
