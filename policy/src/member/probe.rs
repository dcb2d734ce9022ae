//! Failure detection by direct and indirect probes, after the SWIM protocol.
//!
//! In each period one member is pinged. If it does not answer, other members are
//! asked to ping it; if none of them reports an answer by the end of the period,
//! the incarnation that was pinged is suspected. The number of messages per
//! process and period does not depend on the size of the fleet.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use entity::ProcessId;
use rand::RngExt as _;
use rand::seq::SliceRandom as _;
use rand_chacha::ChaCha8Rng;

use super::Members;
use crate::fleet::message::Health;
use crate::message::Endpoint;

/// The interval at which a process sends probes.
pub const PROBE_PERIOD: Duration = Duration::from_secs(1);

/// The time without an answer after which other members are asked to probe.
pub const DIRECT_TIMEOUT: Duration = Duration::from_millis(300);

/// The number of members that are asked to probe.
pub const RELAY_COUNT: usize = 3;

/// One in this many probes goes to a dead member, such as one that never answered.
pub const ABSENT_PROBE_EVERY: u32 = 8;

/// The maximum number of pending probes on behalf of other processes.
const MAX_FORWARDS: usize = 64;

/// A probe that has not been answered.
#[derive(Clone, Copy, Debug)]
pub struct Pending {
    /// The sequence number that the answer repeats.
    pub sequence: u64,
    /// The process that was pinged.
    pub subject: Endpoint,
    /// When the ping was sent.
    pub sent: Instant,
    /// Whether other members were asked to probe.
    pub relayed: bool,
}

/// A probe sent on behalf of another process.
#[derive(Clone, Copy, Debug)]
struct ForwardedProbe {
    sequence: u64,
    asker: SocketAddr,
    asker_sequence: u64,
    until: Instant,
}

/// The prober of one process.
#[derive(Clone, Default, Debug)]
pub struct Prober {
    forwards: VecDeque<ForwardedProbe>,
    live_order: Vec<ProcessId>,
    absent_order: Vec<ProcessId>,
    pending: Option<Pending>,
    probes_started: u32,
    sequence: u64,
}

impl Prober {
    /// The pending probe.
    pub fn pending(&self) -> Option<Pending> {
        self.pending
    }

    /// Starts a probe of the next member in the current random order.
    pub fn start(
        &mut self,
        now: Instant,
        members: &Members,
        rng: &mut ChaCha8Rng,
    ) -> Option<Pending> {
        self.probes_started = self.probes_started.wrapping_add(1);
        let retry = self.probes_started.is_multiple_of(ABSENT_PROBE_EVERY);
        let subject = match retry {
            true => self.next_absent(members, rng),
            false => self.next_live(members, rng),
        };
        let subject = subject.or_else(|| self.next_absent(members, rng))?;
        self.sequence += 1;
        let pending = Pending {
            sequence: self.sequence,
            subject,
            sent: now,
            relayed: false,
        };
        self.pending = Some(pending);
        Some(pending)
    }

    /// Records an answer from `id`; returns when the probe was sent, if it is pending.
    ///
    /// The probe ends only if `id` is the process that was pinged.
    pub fn record_answer(&mut self, sequence: u64, id: ProcessId) -> Option<Instant> {
        let pending = self
            .pending
            .filter(|pending| pending.sequence == sequence)?;
        if pending.subject.id == id {
            self.pending = None;
        }
        Some(pending.sent)
    }

    /// The pending probe, if other members must be asked to probe now.
    pub fn take_overdue(&mut self, now: Instant) -> Option<Pending> {
        let pending = self.pending.as_mut()?;
        let late = now.saturating_duration_since(pending.sent) >= DIRECT_TIMEOUT;
        if !late || pending.relayed {
            return None;
        }
        pending.relayed = true;
        Some(*pending)
    }

    /// Takes the pending probe, which was not answered.
    pub fn take_unanswered(&mut self) -> Option<Pending> {
        self.pending.take()
    }

    /// Starts a probe on behalf of `asker`; returns its sequence number.
    pub fn start_forwarded(&mut self, now: Instant, asker: SocketAddr, asker_sequence: u64) -> u64 {
        self.sequence += 1;
        if self.forwards.len() >= MAX_FORWARDS {
            self.forwards.pop_front();
        }
        self.forwards.push_back(ForwardedProbe {
            sequence: self.sequence,
            asker,
            asker_sequence,
            until: now + PROBE_PERIOD,
        });
        self.sequence
    }

    /// The address of the process that asked for the probe `sequence`, and its own sequence number.
    pub fn take_forwarded(&mut self, now: Instant, sequence: u64) -> Option<(SocketAddr, u64)> {
        self.forwards.retain(|forward| now < forward.until);
        let found = |forward: &ForwardedProbe| forward.sequence == sequence;
        let place = self.forwards.iter().position(found)?;
        let forward = self.forwards.remove(place)?;
        Some((forward.asker, forward.asker_sequence))
    }

    fn next_live(&mut self, members: &Members, rng: &mut ChaCha8Rng) -> Option<Endpoint> {
        if self.live_order.is_empty() {
            self.live_order = ids_with_health(members, |health| health < Health::Dead);
            self.live_order.shuffle(rng);
        }
        while let Some(id) = self.live_order.pop() {
            match members.get(id) {
                Some(member) if member.claim.health < Health::Dead => {
                    return Some(member.claim.endpoint);
                }
                _ => {}
            }
        }
        None
    }

    fn next_absent(&mut self, members: &Members, rng: &mut ChaCha8Rng) -> Option<Endpoint> {
        if self.absent_order.is_empty() {
            self.absent_order = ids_with_health(members, |health| health == Health::Dead);
            self.absent_order.shuffle(rng);
        }
        let id = self.absent_order.pop()?;
        members.get(id).map(|member| member.claim.endpoint)
    }
}

/// Chooses up to `count` random members that are not dead, excluding `except`.
pub fn choose_live_peers(
    members: &Members,
    rng: &mut ChaCha8Rng,
    count: usize,
    except: Option<ProcessId>,
) -> Vec<Endpoint> {
    let mut live = ids_with_health(members, |health| health < Health::Dead);
    live.retain(|id| Some(*id) != except);
    let mut chosen = Vec::with_capacity(count);
    while chosen.len() < count && !live.is_empty() {
        let id = live.swap_remove(rng.random_range(0..live.len()));
        chosen.extend(members.get(id).map(|member| member.claim.endpoint));
    }
    chosen
}

fn ids_with_health(members: &Members, wanted: impl Fn(Health) -> bool) -> Vec<ProcessId> {
    members
        .iter()
        .filter(|member| wanted(member.claim.health))
        .map(|member| member.claim.endpoint.id)
        .collect()
}
