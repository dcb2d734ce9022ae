//! The requests whose streams can be resumed.
//!
//! Invariant: at most one sequence runs for a record, and each running sequence
//! has at most one record.

use std::collections::{BTreeMap, VecDeque};

use super::batch::SequenceId;
use super::text::Script;

/// The number of requests whose streams can be resumed.
const RECORDS_HELD: usize = 4096;

/// One request.
#[derive(Clone, Copy, Debug)]
pub(super) struct Record {
    /// Its answer.
    pub(super) script: Script,
    /// The prompt tokens that had to be read.
    pub(super) prefill: u32,
    /// The sequence that runs it, if one does.
    pub(super) sequence: Option<SequenceId>,
    /// The tokens made so far.
    pub(super) made: u32,
}

/// The newest requests.
#[derive(Clone, Default, Debug)]
pub(super) struct Records {
    by_request: BTreeMap<String, Record>,
    order: VecDeque<String>,
    owners: BTreeMap<SequenceId, String>,
}

impl Records {
    /// The record of a request.
    pub(super) fn get(&self, request: &str) -> Option<Record> {
        self.by_request.get(request).copied()
    }

    /// Notes that `sequence` runs a request.
    pub(super) fn start(
        &mut self,
        request: &str,
        script: Script,
        prefill: u32,
        sequence: SequenceId,
    ) {
        let record = Record {
            script,
            prefill,
            sequence: Some(sequence),
            made: 0,
        };
        self.owners.insert(sequence, request.to_owned());
        if self.by_request.insert(request.to_owned(), record).is_none() {
            self.order.push_back(request.to_owned());
        }
        if self.order.len() > RECORDS_HELD {
            let oldest = self.order.pop_front().expect("records are held");
            self.by_request.remove(&oldest);
        }
    }

    /// Notes how many tokens a sequence has made.
    pub(super) fn made(&mut self, sequence: SequenceId, made: u32) {
        let record = self
            .owners
            .get(&sequence)
            .and_then(|request| self.by_request.get_mut(request));
        if let Some(record) = record {
            record.made = made;
        }
    }

    /// Notes that a sequence no longer runs.
    pub(super) fn release(&mut self, sequence: SequenceId) {
        let Some(request) = self.owners.remove(&sequence) else {
            return;
        };
        match self.by_request.get_mut(&request) {
            Some(record) if record.sequence == Some(sequence) => record.sequence = None,
            _ => {}
        }
    }
}
