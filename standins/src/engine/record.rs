//! The requests whose streams can be resumed.
//!
//! Invariant: each request has at most one running sequence, and each running
//! sequence belongs to at most one request.

use std::collections::{BTreeMap, VecDeque};

use super::batch::SequenceId;
use super::text::AnswerText;

/// The maximum number of requests that are kept for resuming.
const MAX_RESUMABLE: usize = 4096;

/// A request whose stream can be resumed.
#[derive(Clone, Copy, Debug)]
pub(super) struct ResumableRequest {
    /// The text of the answer.
    pub(super) answer_text: AnswerText,
    /// The number of prompt tokens that were not cached.
    pub(super) prefill: u32,
    /// The sequence that runs the request, if any.
    pub(super) sequence: Option<SequenceId>,
    /// The number of tokens generated so far.
    pub(super) tokens_generated: u32,
}

/// The most recent requests, by request id.
#[derive(Clone, Default, Debug)]
pub(super) struct ResumableRequests {
    by_id: BTreeMap<String, ResumableRequest>,
    order: VecDeque<String>,
    request_by_sequence: BTreeMap<SequenceId, String>,
}

impl ResumableRequests {
    /// Looks up a request.
    pub(super) fn get(&self, request_id: &str) -> Option<ResumableRequest> {
        self.by_id.get(request_id).copied()
    }

    /// Records that `sequence` runs a request.
    pub(super) fn start(
        &mut self,
        request_id: &str,
        answer_text: AnswerText,
        prefill: u32,
        sequence: SequenceId,
    ) {
        let record = ResumableRequest {
            answer_text,
            prefill,
            sequence: Some(sequence),
            tokens_generated: 0,
        };
        self.request_by_sequence
            .insert(sequence, request_id.to_owned());
        if self.by_id.insert(request_id.to_owned(), record).is_none() {
            self.order.push_back(request_id.to_owned());
        }
        if self.order.len() > MAX_RESUMABLE {
            let oldest = self.order.pop_front().expect("the queue is over its limit");
            self.by_id.remove(&oldest);
        }
    }

    /// Records how many tokens a sequence has generated.
    pub(super) fn set_tokens_generated(&mut self, sequence: SequenceId, tokens_generated: u32) {
        let record = self
            .request_by_sequence
            .get(&sequence)
            .and_then(|request_id| self.by_id.get_mut(request_id));
        if let Some(record) = record {
            record.tokens_generated = tokens_generated;
        }
    }

    /// Records that a sequence no longer runs.
    pub(super) fn release(&mut self, sequence: SequenceId) {
        let Some(request_id) = self.request_by_sequence.remove(&sequence) else {
            return;
        };
        match self.by_id.get_mut(&request_id) {
            Some(record) if record.sequence == Some(sequence) => record.sequence = None,
            _ => {}
        }
    }
}
