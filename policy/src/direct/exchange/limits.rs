//! The exchange of the limits that targets name, and of how many requests routers need.
//!
//! Load that it answers: some targets of a service name limits, and each of hundreds of
//! routers must know within less than a second how much of a limit the others need.
//!
//! A router sends what it heard itself and what it needs to the partners of its heartbeats.
//! A relay merges the rows of its group for other relays, and all rows but the receiver's
//! for its group, as it does with loads. Without limits nothing is sent.
//!
//! Invariants:
//! - What others report is never sent as this router's own statement or need.
//! - A sender's need counts for [`NEED_TTL`] after it was last heard.
//! - The number of rows of one sender is bounded.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use super::message::{LimitRow, LimitUpdate, Message, Source, StatedRow};
use super::{Exchange, Outgoing, Received, RejectReason};
use crate::direct::target_limit::{LimitReport, LimitStatement, RATE_BOUNDS, merge_reports};

/// The number of periods between two datagrams to one partner.
pub const LIMIT_PERIODS: u32 = 2;

/// The maximum number of rows in a datagram; with more, successive datagrams carry
/// successive rows. A row has at most 25 bytes.
pub const MAX_LIMIT_ROWS: usize = 200;

/// The maximum number of targets in the rows of one sender.
pub const MAX_LIMITED_TARGETS: usize = 2_048;

/// How long a sender's need counts after it was last heard, as its loads do.
pub const NEED_TTL: Duration = super::PEER_TIMEOUT;

/// The number of units of a rate in a message in one request per second.
const MESSAGE_UNITS: f64 = 1e3;

/// What one sender reported of a target, and when that was received.
#[derive(Clone, Copy, Debug)]
struct HeardLimit {
    source: Source,
    report: LimitReport,
    heard_at: Instant,
}

/// What this router and the others report of limits.
#[derive(Clone, Default, Debug)]
pub(super) struct LimitBook {
    own: Vec<LimitReport>,
    heard: BTreeMap<SocketAddr, BTreeMap<u64, HeardLimit>>,
}

impl LimitBook {
    fn is_empty(&self) -> bool {
        self.own.is_empty() && self.heard.is_empty()
    }

    fn expire(&mut self, now: Instant) {
        for rows in self.heard.values_mut() {
            rows.retain(|_, heard| is_current(heard, now));
        }
        self.heard.retain(|_, rows| !rows.is_empty());
    }

    /// Merges the rows of the senders for which `is_used` holds, and those of `own`.
    fn merged(
        &self,
        own: &[LimitReport],
        is_used: impl Fn(SocketAddr, Source) -> bool,
        now: Instant,
    ) -> Vec<LimitReport> {
        let mut by_target: BTreeMap<u64, Vec<LimitReport>> = BTreeMap::new();
        for report in own {
            by_target.entry(report.target).or_default().push(*report);
        }
        for (&from, rows) in &self.heard {
            let used = rows.values().filter(|it| is_used(from, it.source));
            for heard in used.filter(|it| is_current(it, now)) {
                let reports = by_target.entry(heard.report.target).or_default();
                reports.push(heard.report);
            }
        }
        by_target.into_values().filter_map(merge_reports).collect()
    }
}

impl Exchange {
    /// Replaces what this router heard of limits itself and what it needs.
    pub fn set_own_limits(&mut self, reports: Vec<LimitReport>) {
        self.limits.own = reports;
    }

    /// What other routers report of limits, merged by target.
    pub fn peer_limits(&self, now: Instant) -> Vec<LimitReport> {
        self.limits.merged(&[], |_, _| true, now)
    }

    pub(super) fn receive_limits(&mut self, update: LimitUpdate, now: Instant) -> Received {
        let LimitUpdate { from, source, rows } = update;
        if from == self.own.address {
            return Received::rejected(RejectReason::Own);
        }
        if !self.peers.contains_key(&from) {
            return Received::rejected(RejectReason::UnknownSender);
        }
        if rows.len() > MAX_LIMIT_ROWS {
            return Received::rejected(RejectReason::Malformed);
        }
        let heard = self.limits.heard.entry(from).or_default();
        for row in rows {
            if heard.len() < MAX_LIMITED_TARGETS || heard.contains_key(&row.target) {
                let heard_limit = HeardLimit {
                    source,
                    report: row.to_report(now),
                    heard_at: now,
                };
                heard.insert(row.target, heard_limit);
            }
        }
        Received::default()
    }

    /// The rows for the partners that are due in this period.
    pub(super) fn limits_to(&mut self, partners: &[SocketAddr], now: Instant) -> Vec<Outgoing> {
        self.limits.expire(now);
        if self.limits.is_empty() {
            return Vec::new();
        }
        let round = (self.ticks / LIMIT_PERIODS) as usize;
        let mut sent = Vec::new();
        for (index, &to) in partners.iter().enumerate() {
            let turn = self.ticks.wrapping_add(index as u32);
            if !turn.is_multiple_of(LIMIT_PERIODS) {
                continue;
            }
            let (source, reports) = self.limits_for(to, now);
            let parts: Vec<&[LimitReport]> = reports.chunks(MAX_LIMIT_ROWS).collect();
            let Some(part) = parts.get(round % parts.len().max(1)) else {
                continue;
            };
            let rows = part.iter().map(|report| LimitRow::new(report, now));
            let update = LimitUpdate {
                from: self.own.address,
                source,
                rows: rows.collect(),
            };
            let message = Message::Limits(update);
            sent.push(Outgoing { to, message });
        }
        sent
    }

    fn limits_for(&self, to: SocketAddr, now: Instant) -> (Source, Vec<LimitReport>) {
        let source = self.source_for(to, now);
        let own = &self.limits.own;
        let reports = match source {
            Source::Router => own.clone(),
            Source::Group => {
                let is_used = |_, source| source == Source::Router;
                self.limits.merged(own, is_used, now)
            }
            Source::Fleet => self.limits.merged(own, |from, _| from != to, now),
        };
        (source, reports)
    }
}

impl LimitRow {
    fn new(report: &LimitReport, now: Instant) -> Self {
        let stated = report.statement.map(|statement| StatedRow {
            rate: statement.rate.map(to_units),
            // Rounded up, so that the statement never appears more recent than it is.
            age: u32::try_from(now.saturating_duration_since(statement.at).as_millis())
                .unwrap_or(u32::MAX)
                .saturating_add(1),
        });
        Self {
            target: report.target,
            stated,
            needed: to_units(report.needed),
        }
    }

    fn to_report(self, now: Instant) -> LimitReport {
        let statement = self.stated.and_then(|stated| {
            let at = now.checked_sub(Duration::from_millis(stated.age.into()))?;
            let rate = stated.rate.map(from_units);
            let rate = rate.map(|rate| rate.clamp(RATE_BOUNDS.0, RATE_BOUNDS.1));
            Some(LimitStatement { rate, at })
        });
        LimitReport {
            target: self.target,
            statement,
            needed: from_units(self.needed),
        }
    }
}

fn is_current(heard: &HeardLimit, now: Instant) -> bool {
    now.saturating_duration_since(heard.heard_at) < NEED_TTL
}

fn to_units(rate: f64) -> u32 {
    (rate * MESSAGE_UNITS) as u32
}

fn from_units(units: u32) -> f64 {
    f64::from(units) / MESSAGE_UNITS
}
