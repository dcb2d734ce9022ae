//! What happened to the requests, by team.

use std::collections::BTreeMap;
use std::time::Duration;

use hdrhistogram::Histogram;

use super::check::Flaw;
use super::client::Ending;

/// The greatest latency that is recorded, in microseconds.
const GREATEST_MICROS: u64 = 120_000_000;

/// The final ending of a request, after its repeats.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Final {
    /// Answered whole.
    Answered,
    /// Refused: nothing ran.
    NotRun,
    /// It may have run.
    Unknown,
    /// The target answered with an error.
    Failed,
    /// The connection broke or the caller gave up.
    Lost,
    /// A wrong answer that ended cleanly.
    Wrong,
}

impl From<&Ending> for Final {
    fn from(ending: &Ending) -> Self {
        match ending {
            // The answer itself is whole; the second run counts against its key.
            Ending::Answered | Ending::Wrong(Flaw::Doubled) => Self::Answered,
            Ending::NotRun(_) => Self::NotRun,
            Ending::Unknown(_) => Self::Unknown,
            Ending::Failed(_) => Self::Failed,
            Ending::Lost | Ending::Unreachable => Self::Lost,
            Ending::Wrong(_) => Self::Wrong,
        }
    }
}

/// One team's results.
#[derive(Clone, Debug)]
pub struct TeamTally {
    /// Requests that were due.
    pub asked: u64,
    /// Requests by final ending.
    pub answered: u64,
    /// Refused: nothing ran.
    pub not_run: u64,
    /// May have run.
    pub unknown: u64,
    /// Error statuses of targets.
    pub failed: u64,
    /// Lost connections and time limits.
    pub lost: u64,
    /// Wrong answers.
    pub wrong: u64,
    /// Attempts after the first.
    pub repeats: u64,
    /// Tokens received.
    pub tokens: u64,
    /// Requests sent that have received nothing yet.
    pub waiting: u64,
    /// Streamed requests that have received nothing yet; whole answers do not show when they start.
    pub waiting_streams: u64,
    /// From the scheduled time to the end of the answer, in microseconds.
    pub whole: Histogram<u64>,
    /// From the scheduled time to the first token, in microseconds.
    pub first: Histogram<u64>,
}

impl TeamTally {
    fn new() -> Self {
        let histogram =
            || Histogram::new_with_max(GREATEST_MICROS, 3).expect("the bounds are valid");
        Self {
            asked: 0,
            answered: 0,
            not_run: 0,
            unknown: 0,
            failed: 0,
            lost: 0,
            wrong: 0,
            repeats: 0,
            tokens: 0,
            waiting: 0,
            waiting_streams: 0,
            whole: histogram(),
            first: histogram(),
        }
    }

    /// Counts a final ending.
    pub fn end(&mut self, ending: Final) {
        let count = match ending {
            Final::Answered => &mut self.answered,
            Final::NotRun => &mut self.not_run,
            Final::Unknown => &mut self.unknown,
            Final::Failed => &mut self.failed,
            Final::Lost => &mut self.lost,
            Final::Wrong => &mut self.wrong,
        };
        *count += 1;
    }
}

/// Records a latency; one over the range counts as the greatest.
pub fn record(histogram: &mut Histogram<u64>, latency: Duration) {
    let micros = u64::try_from(latency.as_micros()).unwrap_or(u64::MAX);
    histogram.saturating_record(micros.max(1));
}

/// What callers were told about a key.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct KeyClaim {
    /// The team's place in the mix.
    pub team: usize,
    /// Whether all attempts ended as not run.
    pub not_run: bool,
    /// Whether an answer told of a second run.
    pub doubled: bool,
}

/// What callers were told about request ids and keys.
#[derive(Clone, Default, Debug)]
pub struct Claims {
    /// Request ids of which the system said that nothing ran.
    pub not_run: Vec<String>,
    /// By idempotency key.
    pub keys: BTreeMap<String, KeyClaim>,
    /// Reasons of refusals and how often each came.
    pub reasons: BTreeMap<String, u64>,
}

/// All results of a run.
#[derive(Clone, Debug)]
pub struct Tally {
    /// By the team's place in the mix.
    pub teams: Vec<TeamTally>,
    /// What the system said.
    pub claims: Claims,
}

impl Tally {
    /// Creates an empty tally.
    pub fn new(teams: usize) -> Self {
        Self {
            teams: vec![TeamTally::new(); teams],
            claims: Claims::default(),
        }
    }

    /// Notes what the system said to a team in one attempt.
    pub fn claim(
        &mut self,
        team: usize,
        key: Option<&str>,
        request: Option<&str>,
        ending: &Ending,
    ) {
        let reason = match ending {
            Ending::NotRun(refusal) => Some(format!("not run: {}", refusal.reason)),
            Ending::Unknown(refusal) => Some(format!("unknown: {}", refusal.reason)),
            Ending::Failed(status) => Some(format!("status {status}")),
            Ending::Lost => Some("connection lost".to_owned()),
            Ending::Unreachable => Some("router unreachable".to_owned()),
            Ending::Wrong(flaw) => Some(format!("wrong: {flaw}")),
            Ending::Answered => None,
        };
        if let Some(reason) = reason {
            *self.claims.reasons.entry(reason).or_default() += 1;
        }
        let not_run = matches!(ending, Ending::NotRun(_));
        if let Some(request) = request
            && not_run
        {
            self.claims.not_run.push(request.to_owned());
        }
        if let Some(key) = key {
            let claim = self.claims.keys.entry(key.to_owned()).or_insert(KeyClaim {
                team,
                not_run: true,
                doubled: false,
            });
            claim.not_run &= not_run || *ending == Ending::Unreachable;
            claim.doubled |= *ending == Ending::Wrong(Flaw::Doubled);
        }
    }

    /// Requests that have ended.
    pub fn ended(&self) -> u64 {
        self.teams
            .iter()
            .map(|t| t.answered + t.not_run + t.unknown + t.failed + t.lost + t.wrong)
            .sum()
    }
}
