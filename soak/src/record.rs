//! What callers and targets saw, and which faults there were.

use std::time::{Duration, Instant};

use rustc_hash::FxHashMap;

use crate::schedule::{Kind, Step, Subject};

/// How the route of a request lets it be repeated.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug)]
pub enum Repeat {
    /// As often as needed.
    Safe,
    /// Once at most.
    Once,
    /// A stream that runs once at most.
    Stream,
    /// A stream that another run may go on with.
    Resumable,
}

impl Repeat {
    /// Whether it runs once at most.
    pub fn is_once(self) -> bool {
        matches!(self, Self::Once | Self::Stream)
    }

    /// Whether its answer is a stream.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream | Self::Resumable)
    }
}

/// What a caller got.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum Outcome {
    /// An answer, perhaps without its end.
    Answer(Answer),
    /// The connection ended before an answer began.
    Closed,
    /// No connection could be opened.
    Unconnected,
    /// Nothing came for as long as the caller waited.
    Silence,
    /// The caller left.
    Left,
}

/// An answer.
#[derive(Clone, PartialEq, Eq, Debug, Default)]
pub struct Answer {
    /// The status.
    pub status: u16,
    /// The id that it states.
    pub id: String,
    /// Whether it bears a target's signature.
    pub signed: bool,
    /// Whether it states when to come back.
    pub retry: bool,
    /// The body, as far as it came.
    pub body: String,
    /// Whether the body came to its end.
    pub whole: bool,
}

impl Answer {
    /// Whether its status promises that the request did not run.
    pub fn promises_not_run(&self) -> bool {
        matches!(self.status, 408 | 421 | 429 | 503)
    }
}

/// One request of a caller.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct Call {
    /// Its id.
    pub id: String,
    /// How it may be repeated.
    pub repeat: Repeat,
    /// What the target is asked to do.
    pub script: &'static str,
    /// Whether it bears the key that is withdrawn at times.
    pub loose: bool,
    /// The router that it was sent to.
    pub router: usize,
    /// When its first byte was sent.
    pub sent: Instant,
    /// When the caller had all that it got.
    pub ended: Instant,
    /// What it got.
    pub outcome: Outcome,
}

/// One request at a target.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct Run {
    /// The request's id.
    pub id: String,
    /// The target's number.
    pub target: usize,
    /// When it was read.
    pub at: Instant,
    /// Whether the target worked on it.
    pub ran: bool,
    /// Headers, names in lower case.
    pub headers: Vec<(String, String)>,
}

impl Run {
    /// The value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        headers
            .find(|(other, _)| other == name)
            .map(|(_, value)| value.as_str())
    }
}

/// A fault as it was carried out.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct Harm {
    /// What was planned.
    pub step: Step,
    /// When it was in effect: for what is written to the store, when the store had it.
    pub began: Instant,
    /// When all was as before.
    pub ended: Instant,
}

/// The bounds that operators set in a play.
#[derive(Clone, Copy, PartialEq, Debug)]
pub struct Bounds {
    /// The limit of all routes.
    pub timeout: Duration,
    /// The time in which a withdrawn key stops working.
    pub revoke: Duration,
    /// The time after which a target that leaves gets nothing more.
    pub drain: Duration,
    /// The time that a planned stop may take.
    pub stop: Duration,
    /// How long routers may need to trust what they see after a fault.
    pub settle: Duration,
    /// Repeats per request.
    pub retry_ratio: f64,
    /// Repeats beyond that in a window.
    pub retry_slack: f64,
    /// The window in which repeats are counted.
    pub retry_window: Duration,
    /// Arrivals in one second that a cold target takes.
    pub cold_most: f64,
    /// How long a target that comes back is cold.
    pub cold: Duration,
}

/// All that was seen.
#[derive(Clone, Debug)]
pub struct Record {
    /// The bounds.
    pub bounds: Bounds,
    /// What callers sent under faults.
    pub calls: Vec<Call>,
    /// What callers sent when all was well again.
    pub last_calls: Vec<Call>,
    /// What reached targets.
    pub runs: Vec<Run>,
    /// When targets noticed that the caller of a request had left.
    pub left: FxHashMap<String, Instant>,
    /// The faults.
    pub harms: Vec<Harm>,
    /// Routers that ended without being asked to, and when that was seen.
    pub exits: Vec<(usize, Instant)>,
    /// How long each planned stop took.
    pub stops: Vec<(usize, Duration)>,
}

impl Record {
    /// The runs of each request.
    pub fn runs_by_id(&self) -> FxHashMap<&str, Vec<&Run>> {
        let mut by_id: FxHashMap<&str, Vec<&Run>> = FxHashMap::default();
        for run in &self.runs {
            by_id.entry(&run.id).or_default().push(run);
        }
        by_id
    }

    /// Whether nothing unplanned touched the store or this router in the time
    /// between and in the settling time before it.
    pub fn is_calm(&self, router: usize, from: Instant, to: Instant) -> bool {
        let touches = |harm: &&Harm| match harm.step.kind.subject() {
            Subject::Store => true,
            Subject::Router => harm.step.subject == router,
            Subject::Target => false,
        };
        self.is_quiet(from, to, |harm| {
            !harm.step.kind.is_planned() && touches(&harm)
        })
    }

    /// Whether, besides, no target was harmed.
    pub fn is_calm_all(&self, router: usize, from: Instant, to: Instant) -> bool {
        let harms_target = |harm: &Harm| {
            harm.step.kind.subject() == Subject::Target && !harm.step.kind.is_planned()
        };
        self.is_calm(router, from, to) && self.is_quiet(from, to, harms_target)
    }

    /// Whether no router was harmed, besides what [`Record::is_calm`] asks for.
    pub fn is_calm_fleet(&self, from: Instant, to: Instant) -> bool {
        self.is_quiet(from, to, |harm| {
            harm.step.kind.subject() != Subject::Target && !harm.step.kind.is_planned()
        })
    }

    fn is_quiet(&self, from: Instant, to: Instant, touches: impl Fn(&Harm) -> bool) -> bool {
        let settle = self.bounds.settle;
        let overlaps = |harm: &Harm| harm.began <= to && harm.ended + settle >= from;
        !self
            .harms
            .iter()
            .any(|harm| overlaps(harm) && touches(harm))
    }

    /// The faults of one kind.
    pub fn harms_of(&self, kind: Kind) -> impl Iterator<Item = &Harm> {
        self.harms.iter().filter(move |harm| harm.step.kind == kind)
    }
}
