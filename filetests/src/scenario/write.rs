//! Formatting of scenarios as text.

use core::fmt::{self, Display, Formatter};
use std::time::Duration;

use super::{CostDistribution, Event, KeyChoice, Load, Scenario, Statement};

/// A duration, formatted as in scenarios.
pub(super) struct Time(pub(super) Duration);

impl Display for Time {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let micros = self.0.as_micros();
        match micros % 1_000_000 {
            0 => write!(f, "{}s", micros / 1_000_000),
            _ => write!(f, "{}ms", micros as f64 / 1000.0),
        }
    }
}

impl Display for Scenario {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let mut lines = self.statements.iter();
        lines.try_for_each(|statement| writeln!(f, "{statement}"))
    }
}

impl Display for Statement {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        match self {
            Self::Seed(seed) => write!(f, "seed {seed}"),
            Self::Fleet { routers, centres } => {
                write!(f, "fleet routers {routers} centres {centres}")
            }
            Self::Rules(path) => write!(f, "rules {path}"),
            Self::Pool(pool) => write!(
                f,
                "pool {} kind {} targets {} slots {} cold {}",
                pool.name, pool.kind, pool.targets, pool.slots, pool.cold
            ),
            Self::Team(team) => write!(
                f,
                "team {} weight {} class {}",
                team.name, team.weight, team.class
            ),
            Self::Delay { time, between } => {
                write!(f, "delay {}", Time(*time))?;
                match between {
                    Some((one, two)) => write!(f, " between {one} {two}"),
                    None => Ok(()),
                }
            }
            Self::Loss(part) => write!(f, "loss {part}"),
            Self::Double(part) => write!(f, "double {part}"),
            Self::Gossip(time) => write!(f, "gossip {}", Time(*time)),
            Self::Token(time) => write!(f, "token {}", Time(*time)),
            Self::Policy(policy) => write!(f, "policy {policy}"),
            Self::PlantedBug(plant) => write!(f, "plant {plant}"),
            Self::Arrive { team, every, load } => {
                write!(f, "arrive {team} every {}{load}", Time(*every))
            }
            Self::Backlog { team, open, load } => write!(f, "backlog {team} {open}{load}"),
            Self::At { time, event } => write!(f, "at {} {event}", Time(*time)),
            Self::Run(time) => write!(f, "run {}", Time(*time)),
            Self::Expect(promise) => write!(f, "expect {promise}"),
        }
    }
}

impl Display for Load {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write_option(f, "pool", self.pool.as_ref())?;
        write_option(f, "via router", self.router)?;
        write_option(f, "cost", self.cost)?;
        if let Some(factor) = self.hint {
            write!(f, " hint {factor}x")?;
        }
        write_option(f, "from", self.from.map(Time))?;
        write_option(f, "until", self.until.map(Time))?;
        write_option(f, "key", self.key.as_ref())?;
        write_option(f, "repeat", self.repeat)
    }
}

fn write_option(f: &mut Formatter<'_>, word: &str, value: Option<impl Display>) -> fmt::Result {
    match value {
        Some(value) => write!(f, " {word} {value}"),
        None => Ok(()),
    }
}

impl Display for CostDistribution {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let kind = if self.lognormal { "lognormal " } else { "" };
        write!(f, "{kind}{}", self.median)
    }
}

impl Display for KeyChoice {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        match self {
            Self::Fresh => f.write_str("fresh"),
            Self::Ticket => f.write_str("ticket"),
            Self::Named(name) => name.fmt(f),
        }
    }
}

impl Display for Event {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        match self {
            Self::Cut { place, from } => {
                write!(f, "cut {place}")?;
                write_option(f, "from", from.as_ref())
            }
            Self::Heal => f.write_str("heal"),
            Self::Pause { place, time } => write!(f, "pause {place} for {}", Time(*time)),
            Self::Restart(place) => write!(f, "restart {place}"),
            Self::Stop(place) => write!(f, "stop {place}"),
            Self::Cold(target) => write!(f, "cold target {target}"),
            Self::Crash(team) => write!(f, "crash-request {team}"),
            Self::Flood { team, rate, time } => {
                write!(f, "flood {team} {rate}/s for {}", Time(*time))
            }
            Self::Service(mode) => write!(f, "service {mode}"),
            Self::Publish(change) => write!(f, "publish {change}"),
            Self::Leaves(target) => write!(f, "target {target} leaves"),
            Self::Skew { place, back, by } => {
                let word = if *back { "back" } else { "by" };
                write!(f, "skew {place} {word} {}", Time(*by))
            }
        }
    }
}
