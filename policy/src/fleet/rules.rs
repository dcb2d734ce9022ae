//! The compiler of the rules' own grammar.

use std::collections::BTreeMap;
use std::sync::Arc;

use entity::{Directory, Name};
use rules::{Config, Document, RuleError, Statement};

use crate::revision::{CompileError, DocumentCompiler};

/// The greatest number of faults that a complaint quotes.
const MAX_QUOTED: usize = 4;

/// Compiles rules documents with [`rules::load`].
#[derive(Clone, Copy, Default, Debug)]
pub struct RulesCompiler;

impl DocumentCompiler for RulesCompiler {
    fn parts(&self, root: &str) -> Result<Vec<Name>, CompileError> {
        let document = Document::parse(root).map_err(|faults| complaint(&faults))?;
        let names = document
            .rules()
            .filter_map(|(_, rule)| match &rule.statement {
                Statement::Part(part) => Some(part.key.clone()),
                _ => None,
            });
        Ok(names.collect())
    }

    fn assemble(&self, root: &str, parts: &[Arc<str>]) -> Result<String, CompileError> {
        let document = Document::parse(root).map_err(|faults| complaint(&faults))?;
        let names = self.parts(root)?;
        let texts = parts.iter().map(|part| String::from(&**part));
        let values: BTreeMap<_, _> = names.into_iter().zip(texts).collect();
        rules::assemble(&document, &values).map_err(|faults| complaint(&faults))
    }

    fn compile(&self, text: &str, names: &Directory) -> Result<Arc<Config>, CompileError> {
        let config = rules::load(text, names).map_err(|faults| complaint(&faults))?;
        Ok(Arc::new(config))
    }
}

fn complaint(faults: &[RuleError]) -> CompileError {
    let quoted = faults.iter().take(MAX_QUOTED).map(RuleError::to_string);
    let quoted: Vec<_> = quoted.collect();
    let rest = faults.len().saturating_sub(MAX_QUOTED);
    let mut reason = quoted.join("; ");
    if rest > 0 {
        reason.push_str(&format!("; and {rest} more"));
    }
    CompileError { reason }
}
