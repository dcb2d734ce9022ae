//! A baseline without gossip: every process only polls the configuration service.

use std::collections::BTreeMap;
use std::time::Duration;

use knapweed_policy::reader::{ServiceKey, ServiceResult};
use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;

use crate::SECOND;
use crate::fake::{Replica, document};
use crate::net::LATENCY;

/// The calls per second that the service answers for all processes together.
const CALLS_LIMIT: usize = 2000;

/// The number of keys that each process polls: the rules and the VM list.
const KEYS: usize = 2;

/// How long the processes are observed after a publication.
pub(crate) const OBSERVATION_TIME: Duration = Duration::from_secs(60);

/// The result of a simulated publication with polling.
pub(crate) struct Polled {
    /// The polling interval of each process.
    pub(crate) interval: Duration,
    /// The sorted times from publication to adoption, of the processes that adopted it.
    pub(crate) times: Vec<Duration>,
    /// The maximum number of calls within one second.
    pub(crate) calls: usize,
}

/// The polling interval with which `n` processes stay within [`CALLS_LIMIT`], at least one second.
fn interval(n: usize) -> Duration {
    SECOND.max(SECOND.mul_f64((n * KEYS) as f64 / CALLS_LIMIT as f64))
}

/// Publishes revision 2 at time 0 while `n` processes poll.
///
/// The first `up_to_date` processes poll a replica that has the revision. The others poll a stale
/// replica, or get no answer if the service is down.
pub(crate) fn simulate_publication(
    n: usize,
    seed: u64,
    up_to_date: usize,
    is_down: bool,
) -> Polled {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let interval = interval(n);
    let mut fresh = Replica::default();
    fresh.put(ServiceKey::Rules, 1, &document(1, ""));
    let stale = fresh.clone();
    fresh.put(ServiceKey::Rules, 2, &document(2, "drain dc1\n"));
    let mut times = Vec::new();
    let mut calls: BTreeMap<u64, usize> = BTreeMap::new();
    for process in 0..n {
        let replica = match process {
            process if process < up_to_date => Some(&fresh),
            _ if is_down => None,
            _ => Some(&stale),
        };
        // The first poll falls at a random time within one interval.
        let mut at = interval.mul_f64(rng.random());
        let mut adopted = None;
        while at < OBSERVATION_TIME {
            *calls.entry(at.as_secs()).or_default() += KEYS;
            let answer = replica.and_then(|replica| replica.read(&ServiceKey::Rules, 1));
            if let Some(ServiceResult::Value { index: 2, .. }) = answer {
                adopted.get_or_insert(at + LATENCY * 3);
            }
            at += interval;
        }
        times.extend(adopted);
    }
    times.sort();
    Polled {
        interval,
        times,
        calls: calls.into_values().max().unwrap_or(0),
    }
}
