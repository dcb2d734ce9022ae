//! The rule sources of recent revisions.

use std::collections::VecDeque;
use std::sync::Arc;

use entity::{Revision, RuleRef};

use crate::config::Config;
use crate::document::{Document, RuleSource};

/// The number of revisions that are retained.
pub const MAX_REVISIONS: usize = 4;

/// The documents of the most recently active revisions.
///
/// Decision records outlive the revision under which they were made, so
/// explanations need the text of older rules for some time.
#[derive(Clone, Default, Debug)]
pub struct History {
    documents: VecDeque<(Revision, Arc<Document>)>,
}

impl History {
    /// Adds the document of `config` and evicts the oldest beyond [`MAX_REVISIONS`].
    pub fn push(&mut self, config: &Config) {
        let document = Arc::clone(&config.document);
        self.documents.push_back((config.revision, document));
        if self.documents.len() > MAX_REVISIONS {
            self.documents.pop_front();
        }
    }

    /// Returns the source of `rule`, if its revision is retained.
    pub fn source(&self, rule: RuleRef) -> Option<&RuleSource> {
        let mut documents = self.documents.iter().rev();
        let (_, document) = documents.find(|(revision, _)| *revision == rule.revision)?;
        document.rule(rule.line).map(|found| &found.source)
    }
}
