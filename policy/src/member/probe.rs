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

/// One in this many probes goes to a dead member, which may have restarted, or may have been marked
/// dead without ever having answered.
pub const DEAD_PROBE_EVERY: u32 = 8;

/// The maximum number of pending probes on behalf of other processes.
const MAX_RELAYED_PROBES: usize = 64;

/// A probe that has not been answered.
#[derive(Clone, Copy, Debug)]
pub struct PendingProbe {
    /// The sequence number that the answer repeats.
    pub sequence: u64,
    /// The process that was pinged.
    pub subject: Endpoint,
    /// When the ping was sent.
    pub sent: Instant,
    /// Whether other members were asked to probe.
    pub relays_requested: bool,
}

/// A probe sent on behalf of another process.
#[derive(Clone, Copy, Debug)]
struct RelayedProbe {
    sequence: u64,
    requester: SocketAddr,
    requester_sequence: u64,
    expires_at: Instant,
}

/// The prober of one process.
#[derive(Clone, Default, Debug)]
pub struct Prober {
    relayed_probes: VecDeque<RelayedProbe>,
    /// The members left to probe in the current round, except dead ones.
    not_dead_order: Vec<ProcessId>,
    /// The dead members left to probe.
    dead_order: Vec<ProcessId>,
    pending: Option<PendingProbe>,
    probes_started: u32,
    sequence: u64,
}

impl Prober {
    /// The pending probe.
    pub fn pending(&self) -> Option<PendingProbe> {
        self.pending
    }

    /// Starts a probe of the next member in random order; every [`DEAD_PROBE_EVERY`]th goes to a
    /// dead member.
    pub fn start(
        &mut self,
        now: Instant,
        members: &Members,
        rng: &mut ChaCha8Rng,
    ) -> Option<PendingProbe> {
        self.probes_started = self.probes_started.wrapping_add(1);
        let probe_dead = self.probes_started.is_multiple_of(DEAD_PROBE_EVERY);
        let subject = match probe_dead {
            true => self.next_dead(members, rng),
            false => self.next_not_dead(members, rng),
        };
        let subject = subject.or_else(|| self.next_dead(members, rng))?;
        self.sequence += 1;
        let pending = PendingProbe {
            sequence: self.sequence,
            subject,
            sent: now,
            relays_requested: false,
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

    /// The pending probe, if other members must be asked to probe now; returned once per probe.
    pub fn take_overdue(&mut self, now: Instant) -> Option<PendingProbe> {
        let pending = self.pending.as_mut()?;
        let overdue = now.saturating_duration_since(pending.sent) >= DIRECT_TIMEOUT;
        if !overdue || pending.relays_requested {
            return None;
        }
        pending.relays_requested = true;
        Some(*pending)
    }

    /// Takes the pending probe, which was not answered.
    pub fn take_unanswered(&mut self) -> Option<PendingProbe> {
        self.pending.take()
    }

    /// Starts a probe on behalf of `requester`; returns its sequence number.
    pub fn start_relayed(
        &mut self,
        now: Instant,
        requester: SocketAddr,
        requester_sequence: u64,
    ) -> u64 {
        self.sequence += 1;
        if self.relayed_probes.len() >= MAX_RELAYED_PROBES {
            self.relayed_probes.pop_front();
        }
        self.relayed_probes.push_back(RelayedProbe {
            sequence: self.sequence,
            requester,
            requester_sequence,
            expires_at: now + PROBE_PERIOD,
        });
        self.sequence
    }

    /// Ends the probe `sequence` if it was sent on behalf of another process; returns the
    /// address of that process and the sequence number that it chose.
    pub fn take_relayed(&mut self, now: Instant, sequence: u64) -> Option<(SocketAddr, u64)> {
        self.relayed_probes.retain(|probe| now < probe.expires_at);
        let matches = |probe: &RelayedProbe| probe.sequence == sequence;
        let position = self.relayed_probes.iter().position(matches)?;
        let probe = self.relayed_probes.remove(position)?;
        Some((probe.requester, probe.requester_sequence))
    }

    fn next_not_dead(&mut self, members: &Members, rng: &mut ChaCha8Rng) -> Option<Endpoint> {
        if self.not_dead_order.is_empty() {
            self.not_dead_order = ids_with_health(members, |health| health < Health::Dead);
            self.not_dead_order.shuffle(rng);
        }
        while let Some(id) = self.not_dead_order.pop() {
            match members.get(id) {
                Some(member) if member.claim.health < Health::Dead => {
                    return Some(member.claim.endpoint);
                }
                _ => {}
            }
        }
        None
    }

    fn next_dead(&mut self, members: &Members, rng: &mut ChaCha8Rng) -> Option<Endpoint> {
        if self.dead_order.is_empty() {
            self.dead_order = ids_with_health(members, |health| health == Health::Dead);
            self.dead_order.shuffle(rng);
        }
        let id = self.dead_order.pop()?;
        members.get(id).map(|member| member.claim.endpoint)
    }
}

/// Chooses up to `count` random members that are not dead, excluding `except`.
pub fn choose_peers(
    members: &Members,
    rng: &mut ChaCha8Rng,
    count: usize,
    except: Option<ProcessId>,
) -> Vec<Endpoint> {
    let mut candidates = ids_with_health(members, |health| health < Health::Dead);
    candidates.retain(|id| Some(*id) != except);
    let mut chosen = Vec::with_capacity(count);
    while chosen.len() < count && !candidates.is_empty() {
        let id = candidates.swap_remove(rng.random_range(0..candidates.len()));
        chosen.extend(members.get(id).map(|member| member.claim.endpoint));
    }
    chosen
}

fn ids_with_health(members: &Members, matches: impl Fn(Health) -> bool) -> Vec<ProcessId> {
    members
        .iter()
        .filter(|member| matches(member.claim.health))
        .map(|member| member.claim.endpoint.id)
        .collect()
}
