//! The sources of rules of recent revisions.

use std::collections::VecDeque;
use std::sync::Arc;

use entity::{Revision, RuleRef};

use crate::config::Config;
use crate::document::{Document, RuleSource};

/// The number of revisions that are kept.
pub const MAX_REVISIONS: usize = 4;

/// The documents of the revisions that were in force last.
///
/// A decision outlives the revision that made it, so an explanation needs the
/// text of older rules for a while.
#[derive(Clone, Default, Debug)]
pub struct History {
    documents: VecDeque<(Revision, Arc<Document>)>,
}

impl History {
    /// Keeps the document of `config`, and drops the oldest beyond [`MAX_REVISIONS`].
    pub fn push(&mut self, config: &Config) {
        let document = Arc::clone(&config.document);
        self.documents.push_back((config.revision, document));
        if self.documents.len() > MAX_REVISIONS {
            self.documents.pop_front();
        }
    }

    /// What was written for `rule`, if its revision is kept.
    pub fn source(&self, rule: RuleRef) -> Option<&RuleSource> {
        let mut documents = self.documents.iter().rev();
        let (_, document) = documents.find(|(revision, _)| *revision == rule.revision)?;
        document.rule(rule.line).map(|found| &found.source)
    }
}
