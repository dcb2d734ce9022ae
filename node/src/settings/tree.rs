//! A YAML tree whose values carry their line numbers.

use std::fmt;

use serde::de::{Deserialize, Deserializer, MapAccess, SeqAccess, Visitor};
use serde_saphyr::{DuplicateKeyPolicy, Options, Spanned};

use super::SettingsError;

/// A value with its location in the file.
pub(crate) type Tree = Spanned<Node>;

/// A YAML value.
#[derive(Clone, PartialEq, Debug)]
pub(crate) enum Node {
    /// A null or missing value.
    Null,
    /// `true` or `false`.
    Bool(bool),
    /// An integer.
    Integer(i128),
    /// A floating-point number.
    Float(f64),
    /// A string.
    Text(String),
    /// A list.
    List(Vec<Tree>),
    /// Keys and values in file order; keys may be repeated.
    Map(Vec<(String, Tree)>),
}

impl Node {
    /// Describes the value for error messages.
    pub(crate) fn describe(&self) -> String {
        match self {
            Self::Null => "nothing".to_owned(),
            Self::Bool(value) => format!("`{value}`"),
            Self::Integer(value) => format!("`{value}`"),
            Self::Float(value) => format!("`{value}`"),
            Self::Text(text) => format!("`{}`", text.escape_debug()),
            Self::List(_) => "a list".to_owned(),
            Self::Map(_) => "a section".to_owned(),
        }
    }
}

/// Parses YAML text; stops at the first syntax error.
pub(crate) fn parse(text: &str) -> Result<Tree, SettingsError> {
    let options = Options {
        duplicate_keys: DuplicateKeyPolicy::LastWins,
        strict_booleans: true,
        with_snippet: false,
        ..Options::default()
    };
    serde_saphyr::from_str_with_options(text, options).map_err(|error| SettingsError {
        line: error.location().map_or(1, |location| location.line()),
        key: "syntax".to_owned(),
        found: error.to_string(),
        expected: "YAML".to_owned(),
    })
}

impl<'de> Deserialize<'de> for Node {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_any(NodeVisitor)
    }
}

struct NodeVisitor;

impl<'de> Visitor<'de> for NodeVisitor {
    type Value = Node;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a YAML value")
    }

    fn visit_unit<E>(self) -> Result<Node, E> {
        Ok(Node::Null)
    }

    fn visit_none<E>(self) -> Result<Node, E> {
        Ok(Node::Null)
    }

    fn visit_some<D: Deserializer<'de>>(self, deserializer: D) -> Result<Node, D::Error> {
        Node::deserialize(deserializer)
    }

    fn visit_bool<E>(self, value: bool) -> Result<Node, E> {
        Ok(Node::Bool(value))
    }

    fn visit_i64<E>(self, value: i64) -> Result<Node, E> {
        Ok(Node::Integer(value.into()))
    }

    fn visit_u64<E>(self, value: u64) -> Result<Node, E> {
        Ok(Node::Integer(value.into()))
    }

    fn visit_f64<E>(self, value: f64) -> Result<Node, E> {
        Ok(Node::Float(value))
    }

    fn visit_str<E>(self, text: &str) -> Result<Node, E> {
        Ok(Node::Text(text.to_owned()))
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut access: A) -> Result<Node, A::Error> {
        let mut items = Vec::new();
        while let Some(item) = access.next_element()? {
            items.push(item);
        }
        Ok(Node::List(items))
    }

    fn visit_map<A: MapAccess<'de>>(self, mut access: A) -> Result<Node, A::Error> {
        let mut entries = Vec::new();
        while let Some(entry) = access.next_entry()? {
            entries.push(entry);
        }
        Ok(Node::Map(entries))
    }
}
