//! Limits that targets name on the requests that they take from all routers together.
//!
//! Load that it answers: a target in need states in its responses how many requests a
//! second it takes. Every router hears that by itself or from its peers, and sends its part.
//! The parts follow need: routers tell each other how many requests a second they would
//! send to the target. A router counts its own need as late as the others hear of it, so that
//! all compute the parts from the same needs. A small fraction is divided evenly, so that a
//! router whose need is not known yet can begin.
//!
//! A limit holds until a response without one arrives to a request that was sent after the
//! limit was last named: responses overtake each other, and one that was long on its way
//! says what was. Silence does not end a limit, the end of the incarnation does.
//!
//! Invariants:
//! - The parts of routers that know the same members and needs add up to at most the limit,
//!   and a router that is silent keeps its part while it is a member.
//! - In any [`LIMIT_WINDOW`], these routers send no more than [`WINDOW_MULTIPLE`] times the
//!   limit and [`WINDOW_EXTRA`] requests, with the request that each may have saved up.

use std::cell::Cell;
use std::collections::VecDeque;
use std::time::{Duration, Instant};

use super::cold::Members;

/// The window in which the requests to a target are counted.
pub const LIMIT_WINDOW: Duration = Duration::from_secs(4);

/// The multiple of the limit that a target may get in a window.
pub const WINDOW_MULTIPLE: f64 = 1.5;

/// The number of requests allowed in addition in a window.
pub const WINDOW_EXTRA: f64 = 5.0;

/// The fraction of a window's requests that is given out; the remainder covers routers
/// whose need or start is not known to the others yet.
const ALLOCATED_FRACTION: f64 = 0.9;

/// The fraction of a limit that is divided evenly, whatever the need.
const EVEN_FRACTION: f64 = 0.2;

/// The least and the highest limit in requests per second. With the least one, a target
/// still gets a request now and then, whose response can end the limit.
pub const RATE_BOUNDS: (f64, f64) = (0.25, 1e6);

/// The half-life of the need for a target.
const NEED_HALF_LIFE: Duration = Duration::from_millis(500);

/// The time in which the others hear of a need.
const NOTICE_TIME: Duration = Duration::from_millis(500);

/// The number of requests that a router can save up.
const MAX_SAVED: f64 = 1.0;

/// How much later than the last naming a peer must have found a limit ended: the network
/// delays what peers say.
const MIN_END_LEAD: Duration = Duration::from_millis(100);

/// How long the end of a limit is told to peers.
const END_TOLD_TIME: Duration = Duration::from_secs(5);

/// The relative change of a limit that is logged.
const LOGGED_CHANGE: f64 = 0.2;

/// What a response says of a limit.
#[derive(Clone, Copy, PartialEq, Debug)]
pub enum StatedLimit {
    /// It names none.
    Absent,
    /// It names one, in requests per second; not negative.
    Named(f64),
    /// It names something that is no number; the limit known before holds on.
    Malformed,
}

/// A change of a limit, to be logged.
#[derive(Clone, Copy, PartialEq, Debug)]
pub enum LimitChange {
    /// The target named a limit for the first time, or one that differs noticeably, in
    /// requests per second.
    Named(f64),
    /// The limit ended.
    Ended,
}

/// A limit, or that there is none any more, and when the target said so.
#[derive(Clone, Copy, PartialEq, Debug)]
pub struct LimitStatement {
    /// The limit in requests per second.
    pub rate: Option<f64>,
    /// When a response that says so was received.
    pub at: Instant,
}

/// What one or several routers know of the limit of a target and need of it.
#[derive(Clone, Copy, PartialEq, Debug)]
pub struct LimitReport {
    /// The tag of the target's incarnation.
    pub target: u64,
    /// What the target said to these routers last.
    pub statement: Option<LimitStatement>,
    /// The requests per second that they would send to it.
    pub needed: f64,
}

/// The limit of one target, as known to one router.
#[derive(Clone, Default, Debug)]
pub struct TargetLimit {
    /// The latest statement, to this router or to a peer.
    latest: Option<LimitStatement>,
    /// The latest statement to this router.
    own: Option<LimitStatement>,
    /// The limit that was logged last.
    logged: Option<f64>,
    need: Option<DecayingCount>,
    /// What was reported of the need in the last [`NOTICE_TIME`], and one value before.
    told: VecDeque<(Instant, f64)>,
    peer_need: f64,
    saved: Option<Saved>,
    /// Whether this router is a sender, for the members and the number of senders for which
    /// that was found out: ranking hundreds of routers for each request takes too long.
    sender: Cell<Option<(u64, usize, bool)>>,
}

#[derive(Clone, Copy, Debug)]
struct DecayingCount {
    count: f64,
    updated_at: Instant,
}

impl DecayingCount {
    fn at(self, now: Instant) -> f64 {
        let elapsed = now.saturating_duration_since(self.updated_at);
        self.count * 0.5_f64.powf(elapsed.as_secs_f64() / NEED_HALF_LIFE.as_secs_f64())
    }
}

/// The requests that a router has saved up.
#[derive(Clone, Copy, Debug)]
struct Saved {
    requests: f64,
    updated_at: Instant,
}

impl TargetLimit {
    /// The limit in requests per second, if there is one.
    pub fn rate(&self) -> Option<f64> {
        self.latest?.rate
    }

    /// Records what a response says; `sent_at` is when its request was sent, if the response
    /// is known to be to that request.
    pub fn record(
        &mut self,
        stated: StatedLimit,
        sent_at: Option<Instant>,
        now: Instant,
    ) -> Option<LimitChange> {
        let rate = match stated {
            StatedLimit::Named(rate) => Some(rate.clamp(RATE_BOUNDS.0, RATE_BOUNDS.1)),
            StatedLimit::Absent => None,
            StatedLimit::Malformed => return None,
        };
        let named = self.latest.filter(|it| it.rate.is_some());
        let is_later = |named: LimitStatement| sent_at.is_some_and(|sent| sent > named.at);
        if rate.is_none() && !named.is_some_and(is_later) {
            return None;
        }
        let statement = LimitStatement { rate, at: now };
        self.own = Some(statement);
        self.adopt(statement, now)
    }

    /// Replaces what peers say of the target.
    pub fn set_peers(&mut self, report: Option<&LimitReport>, now: Instant) -> Option<LimitChange> {
        self.peer_need = report.map_or(0.0, |it| it.needed.max(0.0));
        let statement = report?.statement?;
        let known_at = self.latest.map(|it| it.at);
        let is_news = match statement.rate {
            Some(_) => known_at.is_none_or(|known| statement.at > known),
            None => known_at.is_some_and(|known| statement.at > known + MIN_END_LEAD),
        };
        is_news.then(|| self.adopt(statement, now)).flatten()
    }

    fn adopt(&mut self, statement: LimitStatement, now: Instant) -> Option<LimitChange> {
        if self.rate().is_none() && statement.rate.is_some() {
            self.saved = Some(Saved {
                requests: 0.0,
                updated_at: now,
            });
        }
        self.latest = Some(statement);
        match (self.logged, statement.rate) {
            (Some(logged), Some(rate)) if (rate / logged - 1.0).abs() < LOGGED_CHANGE => None,
            (_, Some(rate)) => {
                self.logged = Some(rate);
                Some(LimitChange::Named(rate))
            }
            (logged, None) => {
                self.logged = None;
                logged.map(|_| LimitChange::Ended)
            }
        }
    }

    /// What this router heard from the target itself, and what it needs of it; `None` if that
    /// is of no use to peers.
    pub fn report(&mut self, target: u64, now: Instant) -> Option<LimitReport> {
        if self.rate().is_none() && self.own.is_none() {
            return None;
        }
        let is_told = |it: &LimitStatement| {
            it.rate.is_some() || now.saturating_duration_since(it.at) < END_TOLD_TIME
        };
        let needed = self.rate().map_or(0.0, |_| self.need(now));
        self.told.push_back((now, needed));
        let is_noticed = |at: Instant| now.saturating_duration_since(at) >= NOTICE_TIME;
        while self.told.get(1).is_some_and(|(at, _)| is_noticed(*at)) {
            self.told.pop_front();
        }
        let report = LimitReport {
            target,
            statement: self.own.filter(is_told),
            needed,
        };
        (report.statement.is_some() || report.needed > 0.0).then_some(report)
    }

    /// Records a request that would be sent to the target if it named no limit.
    pub fn record_need(&mut self, now: Instant) {
        let count = self.need.map_or(0.0, |need| need.at(now));
        self.need = Some(DecayingCount {
            count: count + 1.0,
            updated_at: now,
        });
    }

    /// The requests per second that this router would send to the target.
    pub fn need(&self, now: Instant) -> f64 {
        let time_constant = NEED_HALF_LIFE.as_secs_f64() / std::f64::consts::LN_2;
        self.need.map_or(0.0, |need| need.at(now)) / time_constant
    }

    /// The need of this router that the others know.
    fn noticed_need(&self, now: Instant) -> f64 {
        let mut told = self.told.iter().rev();
        let noticed = told.find(|(at, _)| now.saturating_duration_since(*at) >= NOTICE_TIME);
        noticed.map_or(0.0, |(_, need)| *need)
    }

    /// This router's part of the limit in requests per second; `None` if there is no limit,
    /// 0 if other routers use it up.
    pub fn part(&self, target: u64, members: &Members, now: Instant) -> Option<f64> {
        let rate = self.rate()?;
        let max_senders = max_senders(rate);
        if members.count() > max_senders && !self.is_sender(target, max_senders, members) {
            return Some(0.0);
        }
        // A router that started just now may not know all others.
        let senders = match members.is_settled() {
            true => members.count().min(max_senders),
            false => max_senders,
        };
        let even = 1.0 / senders as f64;
        let need = self.noticed_need(now);
        let all_need = need + self.peer_need;
        let by_need = match all_need > 0.0 && members.is_settled() {
            true => need / all_need,
            false => even,
        };
        let part = EVEN_FRACTION * even + (1.0 - EVEN_FRACTION) * by_need;
        Some(rate * part * members.heard_fraction())
    }

    fn is_sender(&self, target: u64, max_senders: usize, members: &Members) -> bool {
        match self.sender.get() {
            Some((stamp, senders, is_sender))
                if (stamp, senders) == (members.stamp(), max_senders) =>
            {
                is_sender
            }
            _ => {
                let is_sender = members.is_sender(target, max_senders);
                self.sender
                    .set(Some((members.stamp(), max_senders, is_sender)));
                is_sender
            }
        }
    }

    /// The time until this router may send a request, given its `part` of the limit.
    pub fn wait(&self, part: f64, now: Instant) -> Duration {
        let missing = 1.0 - self.saved_requests(part, now);
        match missing > 0.0 {
            true => Duration::try_from_secs_f64(missing / part).unwrap_or(Duration::MAX),
            false => Duration::ZERO,
        }
    }

    fn saved_requests(&self, part: f64, now: Instant) -> f64 {
        self.saved.map_or(MAX_SAVED, |saved| {
            let elapsed = now.saturating_duration_since(saved.updated_at);
            (saved.requests + elapsed.as_secs_f64() * part).min(MAX_SAVED)
        })
    }

    /// Uses up one request, given this router's `part` of the limit.
    pub fn spend(&mut self, part: f64, now: Instant) {
        self.saved = Some(Saved {
            requests: self.saved_requests(part, now) - 1.0,
            updated_at: now,
        });
    }
}

/// The number of routers that send to a target, so that the requests that they have saved up
/// fit into a window beside those that the limit allows in it.
fn max_senders(rate: f64) -> usize {
    let in_window = rate * LIMIT_WINDOW.as_secs_f64();
    let allocated = (in_window * WINDOW_MULTIPLE + WINDOW_EXTRA) * ALLOCATED_FRACTION;
    ((allocated - in_window) / MAX_SAVED).floor().max(1.0) as usize
}

/// Merges what several routers report of the same target: the latest statement, and the sum
/// of their needs.
pub fn merge_reports(reports: impl IntoIterator<Item = LimitReport>) -> Option<LimitReport> {
    reports.into_iter().reduce(|merged, next| LimitReport {
        statement: match (merged.statement, next.statement) {
            (Some(first), Some(second)) if second.at > first.at => Some(second),
            (first, second) => first.or(second),
        },
        needed: merged.needed + next.needed,
        ..merged
    })
}
