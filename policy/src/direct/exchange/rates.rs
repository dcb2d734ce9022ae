//! The exchange of the rates of targets.
//!
//! Load that it answers: many routers, each of which sends few long prompts to one target,
//! so that it would learn the rates of targets late, and a router that starts not at all.
//!
//! A router sends what it observed itself to the partners of its heartbeats. A relay merges
//! the rows of its group for other relays, and all rows for its group, as it does with
//! loads. Each partner gets at most one datagram every [`RATE_PERIODS`], with successive
//! rows if they do not fit. A router that starts gets all rows in reply to its first
//! heartbeat, and as soon as it is a partner.
//!
//! Invariants:
//! - A router sends nothing until it observed or heard a rate.
//! - What others report is never sent as this router's own observation, so that rows do
//!   not gain weight on the way.
//! - Rows only age on the way, and are forgotten at [`RATE_TTL`].
//! - The number of rows of one sender is bounded.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use super::message::{Message, RateRow, RateUpdate, Source};
use super::{Exchange, Outgoing, Received, RejectReason};
use crate::direct::target_rate::{MAX_OBSERVATIONS, RATE_TTL, merge_rows};

/// The number of periods between two datagrams with rates to one partner.
pub const RATE_PERIODS: u32 = 30;

/// The maximum number of rows in a datagram; a row has at most 30 bytes.
pub const MAX_RATE_ROWS: usize = 250;

/// The maximum number of targets in the rows of one sender.
pub const MAX_RATED_TARGETS: usize = 2_048;

/// The maximum weight of a merged row.
const MAX_MERGED_WEIGHT: u16 = 512;

/// The time after which rows of another source replace those of a sender.
const SOURCE_TTL: Duration = Duration::from_secs(10);

/// The rows of one sender, by target, and when they were received.
#[derive(Clone, Debug)]
struct HeardRates {
    source: Source,
    heard_at: Instant,
    rows: BTreeMap<u64, (RateRow, Instant)>,
}

/// The rates that this router observed and those it heard.
#[derive(Clone, Default, Debug)]
pub(super) struct RateBook {
    own: Vec<RateRow>,
    heard: BTreeMap<SocketAddr, HeardRates>,
    /// The incarnation of each partner that was sent all rows.
    told: BTreeMap<SocketAddr, u64>,
}

impl RateBook {
    fn expire(&mut self, partners: &[SocketAddr], now: Instant) {
        for heard in self.heard.values_mut() {
            heard
                .rows
                .retain(|_, (row, at)| aged(row, *at, now).is_some());
        }
        self.heard.retain(|_, heard| !heard.rows.is_empty());
        self.told.retain(|to, _| partners.contains(to));
    }

    /// Merges the rows of the senders for which `is_used` holds, and this router's own.
    fn merged(
        &self,
        own: &[RateRow],
        is_used: impl Fn(SocketAddr, Source) -> bool,
        now: Instant,
    ) -> Vec<RateRow> {
        let mut by_target: BTreeMap<u64, Vec<RateRow>> = BTreeMap::new();
        for row in own {
            by_target.entry(row.target).or_default().push(*row);
        }
        let heard = self.heard.iter();
        let used = heard.filter(|(from, heard)| is_used(**from, heard.source));
        for (row, at) in used.flat_map(|(_, heard)| heard.rows.values()) {
            if let Some(row) = aged(row, *at, now) {
                by_target.entry(row.target).or_default().push(row);
            }
        }
        let merged = by_target.values_mut().filter_map(|rows| merge_rows(rows));
        merged.collect()
    }
}

impl Exchange {
    /// Replaces what this router observed itself.
    pub fn set_own_rates(&mut self, rows: Vec<RateRow>) {
        self.rates.own = rows;
    }

    /// What other routers observed, merged by target.
    pub fn peer_rates(&self, now: Instant) -> Vec<RateRow> {
        self.rates.merged(&[], |_, _| true, now)
    }

    pub(super) fn receive_rates(&mut self, update: RateUpdate, now: Instant) -> Received {
        let RateUpdate { from, source, rows } = update;
        if from == self.own.address {
            return Received::rejected(RejectReason::Own);
        }
        if !self.peers.contains_key(&from) {
            return Received::rejected(RejectReason::UnknownSender);
        }
        if rows.len() > MAX_RATE_ROWS {
            return Received::rejected(RejectReason::Malformed);
        }
        let max_weight = match source {
            Source::Router => MAX_OBSERVATIONS as u16,
            Source::Group | Source::Fleet => MAX_MERGED_WEIGHT,
        };
        let heard = self.rates.heard.entry(from).or_insert(HeardRates {
            source,
            heard_at: now,
            rows: BTreeMap::new(),
        });
        let is_stale = now.saturating_duration_since(heard.heard_at) >= SOURCE_TTL;
        if heard.source != source || is_stale {
            heard.rows.clear();
        }
        (heard.source, heard.heard_at) = (source, now);
        for mut row in rows {
            row.weight = row.weight.min(max_weight);
            if heard.rows.len() < MAX_RATED_TARGETS || heard.rows.contains_key(&row.target) {
                heard.rows.insert(row.target, (row, now));
            }
        }
        Received::default()
    }

    /// The rates for the partners that are due in this period.
    pub(super) fn rates_to(&mut self, partners: &[SocketAddr], now: Instant) -> Vec<Outgoing> {
        if self.rates.own.is_empty() && self.rates.heard.is_empty() {
            return Vec::new();
        }
        if self.ticks.is_multiple_of(RATE_PERIODS) {
            self.rates.expire(partners, now);
        }
        let round = (self.ticks / RATE_PERIODS) as usize;
        let mut sent = Vec::new();
        for (index, &to) in partners.iter().enumerate() {
            let turn = self.ticks.wrapping_add(index as u32);
            let life = self.peers.get(&to).map(|peer| peer.beat.life);
            let is_new = life.is_some() && self.rates.told.get(&to) != life.as_ref();
            if !is_new && !turn.is_multiple_of(RATE_PERIODS) {
                continue;
            }
            let (source, rows) = self.rates_for(to, now);
            let parts: Vec<&[RateRow]> = rows.chunks(MAX_RATE_ROWS).collect();
            let due = match life.filter(|_| is_new && !parts.is_empty()) {
                Some(life) => {
                    self.rates.told.insert(to, life);
                    &parts[..]
                }
                None if parts.is_empty() => continue,
                None => &parts[round % parts.len()..][..1],
            };
            sent.extend(due.iter().map(|part| self.rate_message(to, source, part)));
        }
        sent
    }

    /// All rates known to this router, for one that starts.
    pub(super) fn all_rates_to(&self, to: SocketAddr, now: Instant) -> Vec<Outgoing> {
        let is_used = |from, _| from != to;
        let rows = self.rates.merged(&self.rates.own, is_used, now);
        let parts = rows.chunks(MAX_RATE_ROWS);
        let sent = parts.map(|part| self.rate_message(to, Source::Fleet, part));
        sent.collect()
    }

    /// Whose rows this router sends to a partner.
    pub(super) fn source_for(&self, to: SocketAddr, now: Instant) -> Source {
        let own = Some(self.own.address);
        let reports_here = self.peers.get(&to).is_some_and(|peer| peer.relay() == own);
        match self.relay.is_none() && self.has_group(now) {
            false => Source::Router,
            true if reports_here => Source::Fleet,
            true => Source::Group,
        }
    }

    fn rates_for(&self, to: SocketAddr, now: Instant) -> (Source, Vec<RateRow>) {
        let source = self.source_for(to, now);
        let own = &self.rates.own;
        let rows = match source {
            Source::Router => own.clone(),
            Source::Group => {
                let is_used = |_, source| source == Source::Router;
                self.rates.merged(own, is_used, now)
            }
            Source::Fleet => self.rates.merged(own, |from, _| from != to, now),
        };
        (source, rows)
    }

    fn rate_message(&self, to: SocketAddr, source: Source, rows: &[RateRow]) -> Outgoing {
        let from = self.own.address;
        let rows = rows.to_vec();
        let message = Message::Rates(RateUpdate { from, source, rows });
        Outgoing { to, message }
    }
}

/// A row with the time added since it was received, unless it is too old.
fn aged(row: &RateRow, received: Instant, now: Instant) -> Option<RateRow> {
    let since = now.saturating_duration_since(received).as_millis() as u32;
    let age = row.age.saturating_add(since);
    let is_current = u128::from(age) < RATE_TTL.as_millis();
    is_current.then_some(RateRow { age, ..*row })
}
