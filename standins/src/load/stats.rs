//! Statistics of request outcomes, by team.

use std::collections::BTreeMap;
use std::time::Duration;

use hdrhistogram::Histogram;

use super::check::AnswerDefect;
use super::client::AttemptOutcome;

/// The maximum recorded latency, in microseconds.
const MAX_LATENCY_MICROS: u64 = 120_000_000;

/// The final outcome of a request, after its retries.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum RequestOutcome {
    /// Answered completely.
    Answered,
    /// Refused without having run.
    NotRun,
    /// Ended without a known outcome; the request may have run.
    Unknown,
    /// The target responded with an error status.
    Failed,
    /// The connection was lost or the caller timed out.
    Lost,
    /// An incorrect answer whose transfer ended without an error.
    Wrong,
}

impl From<&AttemptOutcome> for RequestOutcome {
    fn from(outcome: &AttemptOutcome) -> Self {
        match outcome {
            // The answer itself is complete; the second run is recorded for its key.
            AttemptOutcome::Answered | AttemptOutcome::Wrong(AnswerDefect::Doubled) => {
                Self::Answered
            }
            AttemptOutcome::NotRun(_) => Self::NotRun,
            AttemptOutcome::Unknown(_) => Self::Unknown,
            AttemptOutcome::Failed(_) => Self::Failed,
            AttemptOutcome::Lost | AttemptOutcome::Unreachable => Self::Lost,
            AttemptOutcome::Wrong(_) => Self::Wrong,
        }
    }
}

/// The statistics of one team.
#[derive(Clone, Debug)]
pub struct TeamStats {
    /// Requests sent.
    pub asked: u64,
    /// Requests that were answered completely.
    pub answered: u64,
    /// Refused without having run.
    pub not_run: u64,
    /// Requests that may have run.
    pub unknown: u64,
    /// Requests that ended with an error status of a target.
    pub failed: u64,
    /// Requests that ended with a lost connection or a timeout.
    pub lost: u64,
    /// Requests with an incorrect answer.
    pub wrong: u64,
    /// Attempts after the first.
    pub repeats: u64,
    /// Tokens received.
    pub tokens: u64,
    /// Requests in progress that have not received a token yet.
    pub waiting: u64,
    /// Streamed requests in progress that have not received a token yet. An unstreamed answer does
    /// not show when the engine started it.
    pub waiting_streams: u64,
    /// From the scheduled time to the end of the answer, in microseconds.
    pub latency: Histogram<u64>,
    /// From the scheduled time to the first token, in microseconds.
    pub first_token_latency: Histogram<u64>,
}

impl TeamStats {
    fn new() -> Self {
        let histogram =
            || Histogram::new_with_max(MAX_LATENCY_MICROS, 3).expect("the bounds are valid");
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
            latency: histogram(),
            first_token_latency: histogram(),
        }
    }

    /// Counts a final outcome.
    pub fn record_outcome(&mut self, outcome: RequestOutcome) {
        let count = match outcome {
            RequestOutcome::Answered => &mut self.answered,
            RequestOutcome::NotRun => &mut self.not_run,
            RequestOutcome::Unknown => &mut self.unknown,
            RequestOutcome::Failed => &mut self.failed,
            RequestOutcome::Lost => &mut self.lost,
            RequestOutcome::Wrong => &mut self.wrong,
        };
        *count += 1;
    }
}

/// Records a latency; values above the histogram's range are clamped to its maximum.
pub fn record_latency(histogram: &mut Histogram<u64>, latency: Duration) {
    let micros = u64::try_from(latency.as_micros()).unwrap_or(u64::MAX);
    histogram.saturating_record(micros.max(1));
}

/// The outcomes that the system reported for an idempotency key.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct KeyOutcomes {
    /// The index of the team in the mix.
    pub team: usize,
    /// Whether all attempts ended as not run.
    pub not_run: bool,
    /// Whether an answer reported a second run.
    pub doubled: bool,
}

/// The outcomes that the system reported for request ids and idempotency keys.
#[derive(Clone, Default, Debug)]
pub struct ReportedOutcomes {
    /// Request ids that were reported as not run.
    pub not_run: Vec<String>,
    /// The reported outcomes by idempotency key.
    pub keys: BTreeMap<String, KeyOutcomes>,
    /// The number of attempts that ended without a correct answer, by reason.
    pub reasons: BTreeMap<String, u64>,
}

/// The statistics of a run.
#[derive(Clone, Debug)]
pub struct LoadStats {
    /// The statistics by the team's index in the mix.
    pub teams: Vec<TeamStats>,
    /// The outcomes that the system reported.
    pub reported: ReportedOutcomes,
}

impl LoadStats {
    /// Creates empty statistics.
    pub fn new(teams: usize) -> Self {
        Self {
            teams: vec![TeamStats::new(); teams],
            reported: ReportedOutcomes::default(),
        }
    }

    /// Records the outcome that the system reported for one attempt.
    pub fn record_attempt(
        &mut self,
        team: usize,
        key: Option<&str>,
        request: Option<&str>,
        outcome: &AttemptOutcome,
    ) {
        let reason = match outcome {
            AttemptOutcome::NotRun(refusal) => Some(format!("not run: {}", refusal.reason)),
            AttemptOutcome::Unknown(refusal) => Some(format!("unknown: {}", refusal.reason)),
            AttemptOutcome::Failed(status) => Some(format!("status {status}")),
            AttemptOutcome::Lost => Some("connection lost".to_owned()),
            AttemptOutcome::Unreachable => Some("router unreachable".to_owned()),
            AttemptOutcome::Wrong(defect) => Some(format!("wrong: {defect}")),
            AttemptOutcome::Answered => None,
        };
        if let Some(reason) = reason {
            *self.reported.reasons.entry(reason).or_default() += 1;
        }
        let not_run = matches!(outcome, AttemptOutcome::NotRun(_));
        if let Some(request) = request
            && not_run
        {
            self.reported.not_run.push(request.to_owned());
        }
        if let Some(key) = key {
            let key_outcomes = self
                .reported
                .keys
                .entry(key.to_owned())
                .or_insert(KeyOutcomes {
                    team,
                    not_run: true,
                    doubled: false,
                });
            key_outcomes.not_run &= not_run || *outcome == AttemptOutcome::Unreachable;
            key_outcomes.doubled |= *outcome == AttemptOutcome::Wrong(AnswerDefect::Doubled);
        }
    }

    /// The number of requests that have ended.
    pub fn ended(&self) -> u64 {
        self.teams
            .iter()
            .map(|t| t.answered + t.not_run + t.unknown + t.failed + t.lost + t.wrong)
            .sum()
    }
}
