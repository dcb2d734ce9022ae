//! Reads the sections of a settings tree key by key.

use super::tree::{Node, Tree};
use super::{Settings, SettingsError};

/// Describes the accepted values; a value parser returns it to reject a value.
pub(crate) type Expected = String;

/// Reader of one section of a settings file.
pub struct Section<'a> {
    line: u64,
    key_path: String,
    entries: &'a [(String, Tree)],
    known_keys: Vec<&'static str>,
    errors: &'a mut Vec<SettingsError>,
}

impl<'a> Section<'a> {
    /// Creates a reader of `tree`; reports an error if `tree` is not a section.
    pub(crate) fn new(
        tree: &'a Tree,
        key_path: &str,
        errors: &'a mut Vec<SettingsError>,
    ) -> Option<Self> {
        let line = tree.referenced.line();
        let entries = match &tree.value {
            Node::Map(entries) => entries.as_slice(),
            other => {
                errors.push(SettingsError {
                    line,
                    key: if key_path.is_empty() {
                        "file"
                    } else {
                        key_path
                    }
                    .to_owned(),
                    found: other.describe(),
                    expected: "a section of keys and values".to_owned(),
                });
                return None;
            }
        };
        Some(Self {
            line,
            key_path: key_path.to_owned(),
            entries,
            known_keys: Vec::new(),
            errors,
        })
    }

    /// Reads the value of a mandatory key.
    pub(crate) fn require<T>(
        &mut self,
        key: &'static str,
        read: impl FnOnce(&Node) -> Result<T, Expected>,
    ) -> Option<T> {
        if self.find(key).is_none() {
            self.report_error(
                key,
                "no such key".to_owned(),
                "the key and its value".to_owned(),
            );
        }
        self.optional(key, read)
    }

    /// Reads the value of `key` if the key is present.
    pub(crate) fn optional<T>(
        &mut self,
        key: &'static str,
        read: impl FnOnce(&Node) -> Result<T, Expected>,
    ) -> Option<T> {
        self.known_keys.push(key);
        let tree = self.find(key)?;
        match read(&tree.value) {
            Ok(value) => Some(value),
            Err(expected) => {
                self.report_error(key, tree.value.describe(), expected);
                None
            }
        }
    }

    /// Reads the value of `key`, or returns `default` if the key is missing.
    pub(crate) fn value_or<T>(
        &mut self,
        key: &'static str,
        default: T,
        read: impl FnOnce(&Node) -> Result<T, Expected>,
    ) -> Option<T> {
        match self.find(key) {
            Some(_) => self.optional(key, read),
            None => {
                self.known_keys.push(key);
                Some(default)
            }
        }
    }

    /// Reads the section at `key`; a missing section is read as an empty one.
    pub(crate) fn section<T: Settings>(&mut self, key: &'static str) -> Option<T> {
        self.known_keys.push(key);
        let key_path = self.full_key(key);
        let mut section = match self.find(key) {
            Some(tree) => Section::new(tree, &key_path, self.errors)?,
            None => Section {
                line: self.line,
                key_path,
                entries: &[],
                known_keys: Vec::new(),
                errors: self.errors,
            },
        };
        let value = T::read(&mut section);
        section.report_unread_keys();
        value
    }

    /// Reports an error at `key`.
    pub(crate) fn report_error(&mut self, key: &str, found: String, expected: String) {
        let line = self
            .find(key)
            .map_or(self.line, |tree| tree.referenced.line());
        let key = self.full_key(key);
        self.errors.push(SettingsError {
            line,
            key,
            found,
            expected,
        });
    }

    /// Reports unknown and repeated keys.
    pub(crate) fn report_unread_keys(self) {
        for (index, (key, tree)) in self.entries.iter().enumerate() {
            let is_known = self.known_keys.contains(&key.as_str());
            let is_first = self.entries[..index].iter().all(|(other, _)| other != key);
            let (found, expected) = match (is_known, is_first) {
                (true, true) => continue,
                (true, false) => ("the key again", "each key once".to_owned()),
                (false, _) => (
                    "an unknown key",
                    format!("one of {}", self.known_keys.join(", ")),
                ),
            };
            self.errors.push(SettingsError {
                line: tree.referenced.line(),
                key: join(&self.key_path, key),
                found: found.to_owned(),
                expected,
            });
        }
    }

    fn find(&self, key: &str) -> Option<&'a Tree> {
        let mut entries = self.entries.iter();
        entries
            .find(|(other, _)| other == key)
            .map(|(_, tree)| tree)
    }

    fn full_key(&self, key: &str) -> String {
        join(&self.key_path, key)
    }
}

fn join(parent: &str, key: &str) -> String {
    match parent {
        "" => key.to_owned(),
        _ => format!("{parent}.{key}"),
    }
}
