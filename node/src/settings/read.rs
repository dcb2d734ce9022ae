//! Reads sections of a settings tree key by key.

use super::tree::{Node, Tree};
use super::{Settings, SettingsFault};

/// What a value reader returns if the value is not accepted: what is accepted.
pub(crate) type Expected = String;

/// One section of a settings file, being read.
pub struct Section<'a> {
    line: u64,
    path: String,
    pairs: &'a [(String, Tree)],
    known: Vec<&'static str>,
    faults: &'a mut Vec<SettingsFault>,
}

impl<'a> Section<'a> {
    /// Starts to read `tree`; reports a fault if it is not a section.
    pub(crate) fn new(
        tree: &'a Tree,
        path: &str,
        faults: &'a mut Vec<SettingsFault>,
    ) -> Option<Self> {
        let line = tree.referenced.line();
        let pairs = match &tree.value {
            Node::Map(pairs) => pairs.as_slice(),
            other => {
                faults.push(SettingsFault {
                    line,
                    key: if path.is_empty() { "file" } else { path }.to_owned(),
                    found: other.describe(),
                    expected: "a section of keys and values".to_owned(),
                });
                return None;
            }
        };
        Some(Self {
            line,
            path: path.to_owned(),
            pairs,
            known: Vec::new(),
            faults,
        })
    }

    /// Reads the value of `key`, which must be there.
    pub(crate) fn require<T>(
        &mut self,
        key: &'static str,
        read: impl FnOnce(&Node) -> Result<T, Expected>,
    ) -> Option<T> {
        if self.find(key).is_none() {
            self.fault(
                key,
                "no such key".to_owned(),
                "the key and its value".to_owned(),
            );
        }
        self.option(key, read)
    }

    /// Reads the value of `key` if it is there.
    pub(crate) fn option<T>(
        &mut self,
        key: &'static str,
        read: impl FnOnce(&Node) -> Result<T, Expected>,
    ) -> Option<T> {
        self.known.push(key);
        let tree = self.find(key)?;
        match read(&tree.value) {
            Ok(value) => Some(value),
            Err(expected) => {
                self.fault(key, tree.value.describe(), expected);
                None
            }
        }
    }

    /// Reads the value of `key`, or takes `default` if it is not there.
    pub(crate) fn value<T>(
        &mut self,
        key: &'static str,
        default: T,
        read: impl FnOnce(&Node) -> Result<T, Expected>,
    ) -> Option<T> {
        match self.find(key) {
            Some(_) => self.option(key, read),
            None => {
                self.known.push(key);
                Some(default)
            }
        }
    }

    /// Reads the section at `key`; a section that is not there is read as empty.
    pub(crate) fn section<T: Settings>(&mut self, key: &'static str) -> Option<T> {
        self.known.push(key);
        let path = self.path(key);
        let mut section = match self.find(key) {
            Some(tree) => Section::new(tree, &path, self.faults)?,
            None => Section {
                line: self.line,
                path,
                pairs: &[],
                known: Vec::new(),
                faults: self.faults,
            },
        };
        let value = T::read(&mut section);
        section.finish();
        value
    }

    /// Reports a fault of `key`.
    pub(crate) fn fault(&mut self, key: &str, found: String, expected: String) {
        let line = self
            .find(key)
            .map_or(self.line, |tree| tree.referenced.line());
        let key = self.path(key);
        self.faults.push(SettingsFault {
            line,
            key,
            found,
            expected,
        });
    }

    /// Reports the keys that nobody asked for and those that stand twice.
    pub(crate) fn finish(self) {
        for (index, (key, tree)) in self.pairs.iter().enumerate() {
            let is_known = self.known.contains(&key.as_str());
            let is_first = self.pairs[..index].iter().all(|(other, _)| other != key);
            let (found, expected) = match (is_known, is_first) {
                (true, true) => continue,
                (true, false) => ("the key again", "each key once".to_owned()),
                (false, _) => (
                    "an unknown key",
                    format!("one of {}", self.known.join(", ")),
                ),
            };
            self.faults.push(SettingsFault {
                line: tree.referenced.line(),
                key: join(&self.path, key),
                found: found.to_owned(),
                expected,
            });
        }
    }

    fn find(&self, key: &str) -> Option<&'a Tree> {
        let mut pairs = self.pairs.iter();
        pairs.find(|(other, _)| other == key).map(|(_, tree)| tree)
    }

    fn path(&self, key: &str) -> String {
        join(&self.path, key)
    }
}

fn join(path: &str, key: &str) -> String {
    match path {
        "" => key.to_owned(),
        _ => format!("{path}.{key}"),
    }
}
