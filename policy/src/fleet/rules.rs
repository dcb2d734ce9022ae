//! The [`DocumentCompiler`] for the grammar of rules documents.

use std::collections::BTreeMap;
use std::sync::Arc;

use entity::{Directory, Name};
use rules::{Config, Document, RuleError, Statement};

use crate::revision::{CompileError, DocumentCompiler};

/// The maximum number of errors that a [`CompileError`] quotes.
const MAX_QUOTED_ERRORS: usize = 4;

/// Compiles rules documents with [`rules::load`].
#[derive(Clone, Copy, Default, Debug)]
pub struct RulesCompiler;

impl DocumentCompiler for RulesCompiler {
    fn parts(&self, root: &str) -> Result<Vec<Name>, CompileError> {
        let document = Document::parse(root).map_err(|errors| compile_error(&errors))?;
        let names = document
            .rules()
            .filter_map(|(_, rule)| match &rule.statement {
                Statement::Part(part) => Some(part.key.clone()),
                _ => None,
            });
        Ok(names.collect())
    }

    fn assemble(&self, root: &str, parts: &[Arc<str>]) -> Result<String, CompileError> {
        let document = Document::parse(root).map_err(|errors| compile_error(&errors))?;
        let names = self.parts(root)?;
        let texts = parts.iter().map(|part| String::from(&**part));
        let values: BTreeMap<_, _> = names.into_iter().zip(texts).collect();
        rules::assemble(&document, &values).map_err(|errors| compile_error(&errors))
    }

    fn compile(&self, text: &str, names: &Directory) -> Result<Arc<Config>, CompileError> {
        let config = rules::load(text, names).map_err(|errors| compile_error(&errors))?;
        Ok(Arc::new(config))
    }
}

fn compile_error(errors: &[RuleError]) -> CompileError {
    let quoted = errors
        .iter()
        .take(MAX_QUOTED_ERRORS)
        .map(RuleError::to_string);
    let quoted: Vec<_> = quoted.collect();
    let rest = errors.len().saturating_sub(MAX_QUOTED_ERRORS);
    let mut reason = quoted.join("; ");
    if rest > 0 {
        reason.push_str(&format!("; and {rest} more"));
    }
    CompileError { reason }
}
