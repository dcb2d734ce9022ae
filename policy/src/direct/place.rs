//! Which target a request goes to, or why it is refused.
//!
//! A prompt is read fastest where its shared parts are kept. All routers
//! compute the same home for a shared part, by rendezvous hashing over the open
//! targets, so they meet there without talk. A request leaves its home if the
//! wait there is longer than reading the parts again elsewhere.
//!
//! A request is refused if every target it could go to has more to read before
//! it than its objective leaves time for: engines admit requests in the order of
//! arrival, so the wait could not be shortened by sending it.
//!
//! Invariant: a target that is closed, resting, full or beyond its cold rate is
//! never chosen.

use std::time::{Duration, Instant};

use derive_more::Display;
use entity::Name;
use xxhash_rust::xxh3::xxh3_64;

use super::board::{Board, Place, Prompt, Spot};
use super::cold::{ColdLimit, Members};
use super::config::{Engine, Service};

/// The settings of placing.
#[derive(Clone, Copy, PartialEq, Debug)]
pub struct PlaceSettings {
    /// Tokens that an engine reads per millisecond.
    pub read_rate: f64,
    /// The share of an objective up to which work may wait at a target.
    pub wait_share: f64,
    /// The cost of reading a token again, relative to reading it once.
    pub reread: f64,
    /// The cost of copying shared parts, relative to the time that it takes.
    pub copy: f64,
    /// The cost of a copy that displaces other parts from a target's memory, in
    /// milliseconds.
    pub displaced: f64,
    /// How strongly kinds of requests with a longer objective yield to others.
    pub yielding: f64,
    /// The cost of leaving the data centre, in milliseconds of wait.
    pub away: f64,
    /// The operators' bound on what cold targets get.
    pub cold: ColdLimit,
}

impl Default for PlaceSettings {
    fn default() -> Self {
        Self {
            read_rate: 50.0,
            wait_share: 0.75,
            reread: 4.0,
            copy: 3.0,
            displaced: 60.0,
            yielding: 1.0,
            away: 4.0,
            cold: ColdLimit::default(),
        }
    }
}

/// The least number of tokens that are worth copying from another target.
const LEAST_COPY: u32 = 64;

/// The time to read the shared parts, in milliseconds, above which a request
/// goes only where they are kept, can be copied to, or have their homes.
const WIDE_READ: f64 = 25.0;

/// The share of a target's memory that may be in hand.
const MEMORY_SHARE: f64 = 0.9;

/// The share of the usual limit that holds for a prompt too long to be read
/// within its objective.
const LONG_SHARE: f64 = 0.4;

/// Attempts in hand at a plain target, as a multiple of its slots, above which
/// a request is refused.
const PLAIN_DEPTH: f64 = 2.5;

/// The cost of leaving the data centre for a plain target, as a share of its slots.
const PLAIN_AWAY: f64 = 0.3;

/// The least time that a refused caller is asked to stay away.
const LEAST_WAIT: Duration = Duration::from_millis(40);

/// A request to place.
#[derive(Clone, Copy, Debug)]
pub struct Ask<'a> {
    /// The service.
    pub service: &'a Service,
    /// The prompt of a generation.
    pub prompt: Option<&'a Prompt>,
    /// The least objective of the routes to the service: what a patient kind of
    /// request leaves waiting at a target, an impatient one has to wait for.
    pub least: Duration,
    /// The objective of its own route.
    pub objective: Duration,
    /// The factor of the wait that its team is allowed, 1 for a team within its share.
    pub favour: f64,
    /// The data centre of this router.
    pub centre: &'a Name,
    /// Targets that were tried before.
    pub tried: &'a [Spot],
    /// The routers that limits are divided by.
    pub members: &'a Members,
}

/// Why no target takes a request.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Display)]
pub enum Unplaced {
    /// The service has no open target.
    #[display("no-target")]
    NoTarget,
    /// Every open target has too much to read before.
    #[display("busy")]
    Busy,
    /// The open targets have no slot or memory left.
    #[display("full")]
    Full,
}

/// A target that keeps shared parts of a prompt.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct Keeper {
    /// The target.
    pub spot: Spot,
    /// Tokens that are copied from it.
    pub tokens: u32,
}

/// A choice.
#[derive(Clone, Copy, PartialEq, Debug)]
pub enum Choice {
    /// The request goes to a target.
    Target {
        /// The target.
        spot: Spot,
        /// The predicted wait there, in milliseconds.
        wait: f64,
        /// Whether it is the home of the prompt's shared part.
        home: bool,
        /// Where the target copies shared parts from.
        keeper: Option<Keeper>,
    },
    /// The request is refused.
    Refused {
        /// Why.
        why: Unplaced,
        /// When room is expected.
        after: Duration,
    },
}

/// Chooses a target and takes a cold target's arrival if it has to.
pub fn choose(board: &mut Board, settings: &PlaceSettings, ask: &Ask<'_>, now: Instant) -> Choice {
    let choice = match (ask.service.engine, ask.prompt) {
        (Some(engine), Some(prompt)) => engine_target(board, settings, ask, engine, prompt, now),
        _ => plain_target(board, settings, ask, now),
    };
    if let Choice::Target { spot, .. } = choice
        && let Some(part) = cold_part(board.place(spot), settings, ask, now)
    {
        board.take_cold(spot, part, now);
    }
    choice
}

/// This router's part of the rate of a cold target, in arrivals per second; none
/// where arrivals are not limited.
fn cold_part(place: &Place, settings: &PlaceSettings, ask: &Ask<'_>, now: Instant) -> Option<f64> {
    let rate = ask.service.cold_rate;
    let is_limited = rate > 0.0 && place.is_cold(now);
    is_limited.then(|| {
        let part = ask.members.cold_rate_share(place.tag, rate, settings.cold);
        part.unwrap_or(0.0)
    })
}

/// Whether a target is beyond what this router may send it while it is cold.
fn is_spent(place: &Place, settings: &PlaceSettings, ask: &Ask<'_>, now: Instant) -> bool {
    let part = cold_part(place, settings, ask, now);
    part.is_some_and(|part| part == 0.0 || !place.has_cold(part, now))
}

struct Candidate {
    spot: Spot,
    wait: f64,
    score: f64,
    home: bool,
    keeper: Option<Keeper>,
}

impl Candidate {
    fn chosen(self) -> Choice {
        Choice::Target {
            spot: self.spot,
            wait: self.wait,
            home: self.home,
            keeper: self.keeper,
        }
    }
}

fn engine_target(
    board: &Board,
    settings: &PlaceSettings,
    ask: &Ask<'_>,
    engine: Engine,
    prompt: &Prompt,
    now: Instant,
) -> Choice {
    let open = usable(board, settings, ask, now);
    if open.is_empty() {
        return no_target();
    }
    let (home, second) = homes(board, prompt, &open);
    let size = f64::from(prompt.input + prompt.output);
    let own = prompt.parts.last().map_or(prompt.input, |part| part.tokens);
    let keeper = home.filter(|&home| board.place(home).fresh(prompt, now) <= own);
    let usual = limit(settings, ask);
    let objective = ask.objective.as_secs_f64() * 1e3;
    let waits = open
        .iter()
        .map(|&spot| board.place(spot).waiting(settings.read_rate, now));
    let mean_wait = waits.sum::<f64>() / open.len() as f64 / settings.read_rate;
    let mut best: Option<Candidate> = None;
    let mut least: Option<f64> = None;
    for &spot in &open {
        let place = board.place(spot);
        if is_spent(place, settings, ask, now) {
            continue;
        }
        let in_hand = place.in_hand();
        let is_home = home == Some(spot);
        let missing = place.fresh(prompt, now).saturating_sub(own);
        let can_copy = engine.copy_rate > 0.0 && missing >= LEAST_COPY;
        let keeper = keeper.filter(|keeper| can_copy && *keeper != spot);
        let keeper = keeper.map(|spot| Keeper {
            spot,
            tokens: missing,
        });
        let is_read = keeper.is_none() && !is_home;
        let fresh = own + if is_read { missing } else { 0 };
        if is_read && f64::from(missing) / settings.read_rate > WIDE_READ && second != Some(spot) {
            continue;
        }
        let has_room = in_hand.count < place.slots.min(engine.slots)
            && in_hand.memory + size <= engine.memory as f64 * MEMORY_SHARE;
        if !has_room {
            continue;
        }
        let wait = place.waiting(settings.read_rate, now) / settings.read_rate;
        // A long prompt reaches its objective only where little waits before it.
        let read = f64::from(fresh) / settings.read_rate;
        let limit = usual * (1.0 - read / objective).max(LONG_SHARE);
        // Who asks often meets each target at the moment at which nothing waits
        // there, so the wait of the whole pool counts as well.
        let over = wait.max(mean_wait) - limit;
        least = Some(least.map_or(over, |least| least.min(over)));
        if over > 0.0 {
            continue;
        }
        let is_home = home == Some(spot);
        let copy = match keeper {
            Some(_) => settings.displaced + settings.copy * f64::from(missing) / engine.copy_rate,
            None => 0.0,
        };
        let away = match place.centre == *ask.centre {
            true => 0.0,
            false => settings.away,
        };
        let read = settings.reread * f64::from(fresh) / settings.read_rate;
        let score = wait + read + copy + away + in_hand_cost(place);
        if best.as_ref().is_none_or(|best| score < best.score) {
            best = Some(Candidate {
                spot,
                wait,
                score,
                home: is_home,
                keeper,
            });
        }
    }
    match (best, least) {
        (Some(best), _) => best.chosen(),
        (None, Some(over)) => Choice::Refused {
            why: Unplaced::Busy,
            after: Duration::from_secs_f64(over.max(0.0) / 1e3).max(LEAST_WAIT),
        },
        (None, None) => Choice::Refused {
            why: Unplaced::Full,
            after: ask.objective / 4,
        },
    }
}

/// The wait at a target up to which a request is sent there, in milliseconds.
///
/// When the targets are loaded, kinds of requests with a longer objective are
/// refused before those with a shorter one.
fn limit(settings: &PlaceSettings, ask: &Ask<'_>) -> f64 {
    let least = ask.least.as_secs_f64();
    let own = ask.objective.as_secs_f64().max(least);
    let part = if own > 0.0 { least / own } else { 1.0 };
    least * 1e3 * settings.wait_share * part.powf(settings.yielding) * ask.favour
}

/// The cost of the attempts that run beside a new one, in milliseconds: each
/// makes the steps of all others longer.
fn in_hand_cost(place: &Place) -> f64 {
    let used = f64::from(place.in_hand().count) / f64::from(place.slots.max(1));
    20.0 * used
}

/// The targets at which all routers look for a prompt's shared part: the one
/// that keeps it, and the one that takes what is beyond.
fn homes(board: &Board, prompt: &Prompt, open: &[Spot]) -> (Option<Spot>, Option<Spot>) {
    let Some(part) = prompt.shared() else {
        return (None, None);
    };
    let score = |spot: Spot| {
        let mut bytes = [0; 16];
        bytes[..8].copy_from_slice(&part.id.to_le_bytes());
        bytes[8..].copy_from_slice(&board.place(spot).tag.to_le_bytes());
        (xxh3_64(&bytes), spot)
    };
    let (mut first, mut second) = (None, None);
    for &spot in open {
        let scored = Some(score(spot));
        if scored > first {
            second = first;
            first = scored;
        } else if scored > second {
            second = scored;
        }
    }
    (first.map(|(_, spot)| spot), second.map(|(_, spot)| spot))
}

fn plain_target(board: &Board, settings: &PlaceSettings, ask: &Ask<'_>, now: Instant) -> Choice {
    let open = usable(board, settings, ask, now);
    if open.is_empty() {
        return no_target();
    }
    let mut best: Option<Candidate> = None;
    for &spot in &open {
        let place = board.place(spot);
        let used = f64::from(place.in_hand().count) / f64::from(place.slots.max(1));
        if used >= PLAIN_DEPTH || is_spent(place, settings, ask, now) {
            continue;
        }
        let away = if place.centre == *ask.centre {
            0.0
        } else {
            PLAIN_AWAY
        };
        let score = used + away + place.trust.failure_fraction();
        if best.as_ref().is_none_or(|best| score < best.score) {
            best = Some(Candidate {
                spot,
                wait: 0.0,
                score,
                home: false,
                keeper: None,
            });
        }
    }
    match best {
        Some(best) => best.chosen(),
        None => Choice::Refused {
            why: Unplaced::Full,
            after: ask.objective / 2,
        },
    }
}

/// The open targets that were not tried, without those with trouble unless most have.
fn usable(board: &Board, settings: &PlaceSettings, ask: &Ask<'_>, now: Instant) -> Vec<Spot> {
    let spots = board.of_service(&ask.service.name).iter().copied();
    let is_open = |spot: &Spot| board.place(*spot).open && !ask.tried.contains(spot);
    let open: Vec<Spot> = spots.filter(is_open).collect();
    let trusted = open
        .iter()
        .copied()
        .filter(|&spot| board.place(spot).trouble(settings.read_rate, now).is_none());
    let trusted: Vec<Spot> = trusted.collect();
    // With trouble at most targets the cause is not the targets, or there is no better choice.
    match trusted.len() * 2 >= open.len() {
        true => trusted,
        false => open,
    }
}

fn no_target() -> Choice {
    Choice::Refused {
        why: Unplaced::NoTarget,
        after: Duration::from_millis(500),
    }
}
