//! The summaries of relays: their sums, their parts and their pace.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use rustc_hash::{FxHashMap, FxHashSet};

use super::message::{
    LoadRow, MemberRow, Message, ProblemRow, ReadinessRow, Scope, Summary, TeamRow,
};
use super::{Exchange, LocalState, Outgoing, Peer, Received, RejectReason};
use super::{add_teams, own_report};
use crate::direct::fair_share::TeamRate;
use crate::direct::target_table::{LoadReport, PeerLoadReport, TargetLoad, sum_loads};

/// The maximum size of a part in bytes, by the largest encoding of its rows.
const MAX_PART_BYTES: usize = 7_600;

/// The largest encoding of a row of each kind, in bytes.
const LOAD_ROW_BYTES: usize = 25;
const TEAM_ROW_BYTES: usize = 20;
const MEMBER_ROW_BYTES: usize = 27;
const PROBLEM_ROW_BYTES: usize = 15;
const READINESS_ROW_BYTES: usize = 29;

/// The number of requests in progress up to which the readiness of a router that is not
/// strained is not listed.
const MAX_UNLISTED_REQUESTS: u16 = 32;

/// The maximum number of teams in a summary, those that request most.
const MAX_TEAM_ROWS: usize = 256;

/// The maximum number of rows that a relay sends in one period; with more rows to send,
/// each receiver gets a summary every few periods.
const MAX_ROWS_PER_PERIOD: usize = 8_000;

/// The time after which an unchanged list of members is repeated.
const MEMBER_LIST_INTERVAL: Duration = Duration::from_millis(500);

/// The latest complete summary of a relay.
#[derive(Clone, Debug)]
pub(super) struct ReceivedSummary {
    pub(super) scope: Scope,
    pub(super) loads: PeerLoadReport,
    pub(super) teams: Vec<TeamRow>,
    pub(super) problems: Vec<ProblemRow>,
    pub(super) readiness: Vec<ReadinessRow>,
}

/// A summary of which parts are missing.
#[derive(Clone, Debug)]
pub(super) struct PartialSummary {
    number: u32,
    parts: Vec<Option<Rows>>,
}

/// The rows of a summary, or of a part of one.
#[derive(Clone, Default, Debug)]
struct Rows {
    members: Vec<MemberRow>,
    loads: Vec<LoadRow>,
    teams: Vec<TeamRow>,
    problems: Vec<ProblemRow>,
    readiness: Vec<ReadinessRow>,
}

impl Rows {
    /// Splits the rows into parts that fit a datagram; there is at least one.
    fn into_parts(self) -> Vec<Self> {
        let mut parts = vec![Self::default()];
        let mut size = 0;
        let mut part_for = |parts: &mut Vec<Self>, bytes: usize| {
            size += bytes;
            if size > MAX_PART_BYTES {
                size = bytes;
                parts.push(Self::default());
            }
            parts.len() - 1
        };
        for row in self.members {
            let part = part_for(&mut parts, MEMBER_ROW_BYTES);
            parts[part].members.push(row);
        }
        for row in self.loads {
            let part = part_for(&mut parts, LOAD_ROW_BYTES);
            parts[part].loads.push(row);
        }
        for row in self.teams {
            let part = part_for(&mut parts, TEAM_ROW_BYTES);
            parts[part].teams.push(row);
        }
        for row in self.problems {
            let part = part_for(&mut parts, PROBLEM_ROW_BYTES);
            parts[part].problems.push(row);
        }
        for row in self.readiness {
            let part = part_for(&mut parts, READINESS_ROW_BYTES);
            parts[part].readiness.push(row);
        }
        parts
    }
}

/// What a summary of one scope contains, before the receiver's own part is taken out.
struct Sums {
    loads: Vec<(u64, TargetLoad)>,
    teams: FxHashMap<u64, TeamRate>,
    problems: FxHashMap<u64, u32>,
}

impl Exchange {
    /// Returns summaries for as many receivers as a period allows, for those first that
    /// have waited longest.
    pub(super) fn paced_summaries(
        &mut self,
        receivers: &[(SocketAddr, Scope)],
        local: &LocalState<'_>,
        now: Instant,
    ) -> Vec<Outgoing> {
        let [group_rows, fleet_rows] = [Scope::Group, Scope::Fleet].map(|scope| {
            let is_used = receivers.iter().any(|(_, it)| *it == scope);
            let loads = is_used.then(|| self.summed_loads(scope, local, now).len());
            let teams = is_used.then(|| self.summed_teams(scope, local, now).len());
            loads.unwrap_or(0) + teams.unwrap_or(0).min(MAX_TEAM_ROWS)
        });
        let mut waiting = receivers.to_vec();
        waiting.sort_by_key(|(address, _)| self.peers.get(address)?.summarized_at);
        let mut rows = 0;
        waiting.retain(|(_, scope)| {
            let is_due = rows < MAX_ROWS_PER_PERIOD;
            rows += match scope {
                Scope::Group => group_rows,
                Scope::Fleet => fleet_rows,
            };
            is_due
        });
        for (address, _) in &waiting {
            if let Some(peer) = self.peers.get_mut(address) {
                peer.summarized_at = Some(self.ticks);
            }
        }
        self.summaries(&waiting, local, now)
    }

    /// Returns a summary for each of these receivers.
    pub(super) fn summaries(
        &mut self,
        receivers: &[(SocketAddr, Scope)],
        local: &LocalState<'_>,
        now: Instant,
    ) -> Vec<Outgoing> {
        let mut sent = Vec::new();
        for scope in [Scope::Group, Scope::Fleet] {
            let mut receivers = receivers.iter().filter(|(_, it)| *it == scope).peekable();
            if receivers.peek().is_none() {
                continue;
            }
            let sums = Sums {
                loads: self.summed_loads(scope, local, now),
                teams: self.summed_teams(scope, local, now),
                problems: self.counted_problems(scope, now),
            };
            for &(to, _) in receivers {
                let rows = self.rows_for(to, scope, &sums, now);
                sent.extend(self.parts_of(to, scope, rows));
            }
        }
        sent
    }

    fn parts_of(&self, to: SocketAddr, scope: Scope, rows: Rows) -> Vec<Outgoing> {
        let parts = rows.into_parts();
        let count = parts.len().min(u8::MAX.into()) as u8;
        let parts = parts.into_iter().take(count.into()).enumerate();
        let messages = parts.map(|(part, rows)| {
            let summary = Summary {
                from: self.own.address,
                life: self.own.incarnation,
                number: self.sequence,
                part: part as u8,
                parts: count,
                scope,
                members: rows.members,
                loads: rows.loads,
                teams: rows.teams,
                problems: rows.problems,
                readiness: rows.readiness,
            };
            Outgoing {
                to,
                message: Message::Summary(Box::new(summary)),
            }
        });
        messages.collect()
    }

    /// The routers, other than this one, that a summary of this scope covers.
    fn covered(&self, scope: Scope, now: Instant) -> impl Iterator<Item = &Peer> {
        let own = Some(self.own.address);
        // Routers without relays send their heartbeats to all.
        let used = self.used_peers(now).filter(|peer| peer.relay().is_some());
        used.filter(move |peer| scope == Scope::Fleet || peer.relay() == own)
    }

    fn summed_loads(
        &self,
        scope: Scope,
        local: &LocalState<'_>,
        now: Instant,
    ) -> Vec<(u64, TargetLoad)> {
        let own = own_report(local.loads, now);
        let covered = self.covered(scope, now).map(|peer| &peer.loads);
        let summaries = self.used_summaries(now).map(|summary| &summary.loads);
        let summaries = summaries.filter(|_| scope == Scope::Fleet);
        let reports = std::iter::once(&own).chain(covered).chain(summaries);
        let mut sums: Vec<(u64, TargetLoad)> = sum_loads(reports, now).into_iter().collect();
        sums.sort_unstable_by_key(|(target, _)| *target);
        sums
    }

    fn summed_teams(
        &self,
        scope: Scope,
        local: &LocalState<'_>,
        now: Instant,
    ) -> FxHashMap<u64, TeamRate> {
        let mut sums: FxHashMap<u64, TeamRate> = local.teams.iter().copied().collect();
        for peer in self.covered(scope, now) {
            add_teams(&mut sums, &peer.beat.teams);
        }
        if scope == Scope::Fleet {
            for summary in self.used_summaries(now) {
                add_teams(&mut sums, &summary.teams);
            }
        }
        sums
    }

    /// Counts the routers with a problem, without this one: it sends its own targets
    /// before each heartbeat.
    fn counted_problems(&self, scope: Scope, now: Instant) -> FxHashMap<u64, u32> {
        let mut counts: FxHashMap<u64, u32> = FxHashMap::default();
        for peer in self.covered(scope, now) {
            for &target in peer.problem_targets() {
                let count = counts.entry(target).or_default();
                *count = count.saturating_add(1);
            }
        }
        if scope == Scope::Fleet {
            for summary in self.used_summaries(now) {
                for row in &summary.problems {
                    let count = counts.entry(row.target).or_default();
                    *count = count.saturating_add(row.count);
                }
            }
        }
        counts
    }

    /// The rows for one receiver: the sums without what it reported itself.
    fn rows_for(&mut self, to: SocketAddr, scope: Scope, sums: &Sums, now: Instant) -> Rows {
        let members = match self.lists_members(to, now) {
            true => self.member_rows(to, scope, now),
            false => Vec::new(),
        };
        let receiver = self.peers.get(&to).filter(|_| scope == Scope::Fleet);
        let own_loads = receiver.map(|peer| sum_loads(std::iter::once(&peer.loads), now));
        let own_loads = own_loads.unwrap_or_default();
        let loads = sums.loads.iter().filter_map(|(target, sum)| {
            let own = own_loads.get(target).copied().unwrap_or_default();
            let report = LoadReport {
                target: *target,
                load: TargetLoad {
                    waiting_tokens: (sum.waiting_tokens - own.waiting_tokens).max(0.0),
                    attempts: sum.attempts.saturating_sub(own.attempts),
                    memory_tokens: (sum.memory_tokens - own.memory_tokens).max(0.0),
                },
            };
            (report.load.attempts > 0).then(|| LoadRow::from(&report))
        });
        let mut own_teams = FxHashMap::default();
        add_teams(&mut own_teams, receiver.map_or(&[], |it| &it.beat.teams));
        let teams = sums.teams.iter().map(|(&team, sum)| {
            let own = own_teams.get(&team).copied().unwrap_or_default();
            TeamRow {
                team,
                asked: (sum.requested - own.requested).max(0.0) as u32,
                placed: (sum.admitted - own.admitted).max(0.0) as u32,
            }
        });
        let mut teams: Vec<TeamRow> = teams.filter(|row| row.asked > 0).collect();
        teams.sort_unstable_by_key(|row| (std::cmp::Reverse(row.asked), row.team));
        teams.truncate(MAX_TEAM_ROWS);
        let own_problems = receiver.map_or(&[][..], Peer::problem_targets);
        let problems = sums.problems.iter().map(|(&target, &count)| ProblemRow {
            target,
            count: count - u32::from(own_problems.contains(&target)).min(count),
        });
        let mut problems: Vec<ProblemRow> = problems.filter(|row| row.count > 0).collect();
        problems.sort_unstable_by_key(|row| row.target);
        Rows {
            members,
            loads: loads.collect(),
            teams,
            problems,
            readiness: self.readiness_rows(to, scope, now),
        }
    }

    fn readiness_rows(&self, to: SocketAddr, scope: Scope, now: Instant) -> Vec<ReadinessRow> {
        let centre = self.members.get(&to).and_then(|it| it.centre);
        let is_near = |address: &SocketAddr| {
            let member = self.members.get(address);
            *address != to && centre.is_some() && member.and_then(|it| it.centre) == centre
        };
        let covered = self.covered(scope, now);
        let covered = covered.filter_map(|it| Some((it.beat.from, it.beat.readiness?)));
        let summaries = self.used_summaries(now).filter(|_| scope == Scope::Fleet);
        let listed = summaries.flat_map(|it| &it.readiness);
        let listed = listed.map(|row| (row.address, row.readiness));
        let all = listed
            .chain(covered)
            .filter(|(address, _)| is_near(address));
        let notable = all.filter(|(_, it)| {
            it.is_out || it.is_overloaded || it.is_strained || it.requests > MAX_UNLISTED_REQUESTS
        });
        let rows = notable.map(|(address, readiness)| ReadinessRow { address, readiness });
        rows.collect()
    }

    /// Whether the members are listed in the next summary for a router: they changed, or
    /// were not listed for a while.
    fn lists_members(&mut self, to: SocketAddr, now: Instant) -> bool {
        let roster = self.roster;
        let Some(peer) = self.peers.get_mut(&to) else {
            return true;
        };
        let is_due = peer.listed.is_none_or(|(listed, at)| {
            listed != roster || now.saturating_duration_since(at) >= MEMBER_LIST_INTERVAL
        });
        if is_due {
            peer.listed = Some((roster, now));
        }
        is_due
    }

    fn member_rows(&self, to: SocketAddr, scope: Scope, now: Instant) -> Vec<MemberRow> {
        let own = Some(self.own.address);
        let is_covered = |address: &SocketAddr| {
            let peer = self.peers.get(address);
            scope == Scope::Fleet
                || peer.is_some_and(|peer| peer.is_live(now) && peer.relay() == own)
        };
        let members = self.members.iter();
        let members = members
            .filter(|(address, it)| it.is_reachable && **address != to && is_covered(address));
        let rows = members.filter_map(|(&address, member)| {
            Some(MemberRow {
                address,
                centre: member.centre?,
                steady: member.is_steady,
                reads: member.reads,
            })
        });
        rows.collect()
    }

    /// Applies a part of a summary.
    pub(super) fn receive_summary(&mut self, summary: Summary, now: Instant) -> Received {
        let Summary {
            from, life, number, ..
        } = summary;
        if from == self.own.address {
            return Received::rejected(RejectReason::Own);
        }
        let Some(peer) = self.peers.get_mut(&from).filter(|it| it.beat.life == life) else {
            return Received::rejected(RejectReason::UnknownSender);
        };
        let (part, parts) = (usize::from(summary.part), usize::from(summary.parts));
        let latest = peer.partial.as_ref().map_or(0, |partial| partial.number);
        if number < latest {
            return Received::rejected(RejectReason::Old);
        }
        let partial = peer.partial.take().filter(|it| it.number == number);
        let mut partial = partial.unwrap_or_else(|| PartialSummary {
            number,
            parts: vec![None; parts],
        });
        if part >= parts || partial.parts.len() != parts {
            peer.partial = Some(partial);
            return Received::rejected(RejectReason::Malformed);
        }
        let (scope, members) = (summary.scope, summary.members);
        let mut listed = FxHashSet::default();
        partial.parts[part] = Some(Rows {
            members: members.clone(),
            loads: summary.loads,
            teams: summary.teams,
            problems: summary.problems,
            readiness: summary.readiness,
        });
        if partial.parts.iter().all(Option::is_some) {
            let received = ReceivedSummary::assemble(scope, &partial, now);
            // A summary of the fleet from another router than this one's relay answers
            // its first heartbeat and serves to find the members.
            match scope {
                Scope::Group => peer.summary = Some(received),
                Scope::Fleet if self.relay == Some(from) => {
                    self.fleet = Some(received);
                    listed = partial.listed();
                }
                Scope::Fleet => {}
            }
        }
        peer.partial = Some(partial);
        self.merge_members(from, scope, &members, now);
        if !listed.is_empty() {
            listed.insert(from);
            self.drop_unlisted(&listed, now);
        }
        Received::default()
    }
}

impl PartialSummary {
    /// The routers listed in a complete summary.
    fn listed(&self) -> FxHashSet<SocketAddr> {
        let rows = self.parts.iter().flatten().flat_map(|rows| &rows.members);
        rows.map(|row| row.address).collect()
    }
}

impl ReceivedSummary {
    fn assemble(scope: Scope, partial: &PartialSummary, now: Instant) -> Self {
        let parts = || partial.parts.iter().flatten();
        let loads = parts().flat_map(|rows| &rows.loads).map(LoadReport::from);
        Self {
            scope,
            loads: PeerLoadReport {
                received_at: now,
                reports: loads.collect(),
            },
            teams: parts().flat_map(|rows| &rows.teams).copied().collect(),
            problems: parts().flat_map(|rows| &rows.problems).copied().collect(),
            readiness: parts().flat_map(|rows| &rows.readiness).copied().collect(),
        }
    }
}
