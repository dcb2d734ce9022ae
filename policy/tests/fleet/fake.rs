//! A minimal document grammar and a fake configuration service.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::SystemTime;

use entity::{Directory, DocumentHash, Name, Revision, RuleRef};
use knapweed_policy::reader::{ServiceKey, ServiceResult};
use knapweed_policy::revision::{CompileError, DocumentCompiler};
use rules::{Config, DataCentre, Fencing, Target};
use xxhash_rust::xxh3::xxh3_64;

/// Compiles documents of `revision N`, `target NAME DC ADDRESS`, `drain DC`, `part KEY` and a final
/// `end`.
#[derive(Clone, Debug)]
pub(crate) struct FakeCompiler;

fn error(reason: &str) -> CompileError {
    let reason = reason.to_owned();
    CompileError { reason }
}

impl DocumentCompiler for FakeCompiler {
    fn parts(&self, root: &str) -> Result<Vec<Name>, CompileError> {
        let keys = root.lines().filter_map(|line| line.strip_prefix("part "));
        Ok(keys.map(Name::new).collect())
    }

    fn assemble(&self, root: &str, parts: &[Arc<str>]) -> Result<String, CompileError> {
        Ok(parts.iter().fold(root.to_owned(), |text, part| text + part))
    }

    fn compile(&self, text: &str, names: &Directory) -> Result<Arc<Config>, CompileError> {
        let mut names = names.clone();
        let mut config = Config::default();
        let first = text
            .lines()
            .next()
            .and_then(|line| line.strip_prefix("revision "));
        let number = first.and_then(|number| number.parse().ok());
        config.revision = Revision(number.ok_or_else(|| error("no revision"))?);
        config.hash = DocumentHash(xxh3_64(text.as_bytes()));
        let rule = RuleRef {
            revision: config.revision,
            line: 1,
        };
        for line in text.lines().skip(1) {
            let words: Vec<_> = line.split(' ').collect();
            match *words.as_slice() {
                ["target", name, centre, address] => {
                    let target = names.targets.intern(&Name::new(name));
                    let centre = names.centres.intern(&Name::new(centre));
                    let address = address.parse().map_err(|_| error("address"))?;
                    config.centres[centre] = Some(DataCentre { rule, drain: None });
                    config.targets[target] = Some(Target {
                        rule,
                        pool: names.pools.intern(&Name::new("pool")),
                        centre,
                        data: address,
                        control: address,
                        fencing: Fencing::Checked,
                        drain: None,
                        from: None,
                        until: None,
                    });
                }
                ["drain", centre] => {
                    let centre = names.centres.intern(&Name::new(centre));
                    let drain = Some(rule);
                    config.centres[centre] = Some(DataCentre { rule, drain });
                }
                ["part", _] | ["#", ..] | ["end"] => {}
                _ => return Err(error("syntax")),
            }
        }
        config.names = Arc::new(names);
        match text.lines().last() {
            Some("end") => Ok(Arc::new(config)),
            _ => Err(error("the last line is not `end`")),
        }
    }
}

/// One replica of the configuration service.
#[derive(Clone, Default, Debug)]
pub(crate) struct Replica {
    pub(crate) values: BTreeMap<ServiceKey, (u64, Vec<u8>)>,
    pub(crate) fault: Option<ServiceResult>,
}

impl Replica {
    pub(crate) fn put(&mut self, key: ServiceKey, index: u64, body: &str) {
        self.values.insert(key, (index, body.as_bytes().to_vec()));
    }

    /// The answer to a read; `None` if the service would wait for a newer value.
    pub(crate) fn read(&self, key: &ServiceKey, after: u64) -> Option<ServiceResult> {
        if let Some(fault) = &self.fault {
            return Some(fault.clone());
        }
        match self.values.get(key) {
            None => Some(ServiceResult::Missing),
            Some((index, body)) if *index > after => Some(ServiceResult::Value {
                index: *index,
                body: body.clone(),
            }),
            Some(_) => None,
        }
    }
}

pub(crate) fn document(revision: u64, lines: &str) -> String {
    format!("revision {revision}\n{lines}end\n")
}

pub(crate) fn epoch() -> SystemTime {
    SystemTime::UNIX_EPOCH + std::time::Duration::from_secs(1_800_000_000)
}
