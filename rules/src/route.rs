//! Route lookup by method and path.
//!
//! The most specific match wins: an exact path first, then the pattern with
//! the longest prefix before its `*`. The order of the rules does not matter.

use std::cmp::Reverse;
use std::sync::Arc;

use entity::RouteId;
use rustc_hash::FxHashMap;

/// Routes by method and path.
#[derive(Clone, Default, Debug)]
pub struct RouteTable {
    methods: FxHashMap<Arc<str>, MethodRoutes>,
}

#[derive(Clone, Default, Debug)]
struct MethodRoutes {
    exact: FxHashMap<Arc<str>, RouteId>,
    /// In order of decreasing length.
    prefixes: Vec<(Arc<str>, RouteId)>,
}

impl RouteTable {
    /// Adds a route; `path` may end in `*`.
    pub(crate) fn insert(&mut self, method: &str, path: &str, route: RouteId) {
        let routes = self.methods.entry(method.into()).or_default();
        match path.strip_suffix('*') {
            None => {
                routes.exact.insert(path.into(), route);
            }
            Some(prefix) => {
                routes.prefixes.push((prefix.into(), route));
                routes
                    .prefixes
                    .sort_by_key(|(prefix, _)| Reverse(prefix.len()));
            }
        }
    }

    /// Finds the route of a request, by its path without the query.
    ///
    /// Paths with empty or dot segments match no route, because a target might
    /// resolve them to the path of another route.
    pub fn find(&self, method: &str, path: &str) -> Option<RouteId> {
        let routes = self.methods.get(method).filter(|_| is_canonical(path))?;
        let exact = routes.exact.get(path).copied();
        exact.or_else(|| {
            let mut prefixes = routes.prefixes.iter();
            let found = prefixes.find(|(prefix, _)| path.starts_with(&**prefix));
            found.map(|&(_, route)| route)
        })
    }
}

/// Returns whether the path has no empty segments, dot segments or escaped separators,
/// including percent-encoded ones.
pub(crate) fn is_canonical(path: &str) -> bool {
    let mut segments = path.strip_prefix('/').unwrap_or(path).split('/').peekable();
    while let Some(segment) = segments.next() {
        let is_last = segments.peek().is_none();
        if segment.is_empty() && !is_last
            || is_dot_segment(segment)
            || has_escaped_separator(segment)
        {
            return false;
        }
    }
    true
}

fn is_dot_segment(segment: &str) -> bool {
    let mut rest = segment;
    let mut dots = 0;
    while let Some(after) = strip_dot(rest) {
        rest = after;
        dots += 1;
    }
    rest.is_empty() && (1..=2).contains(&dots)
}

fn strip_dot(text: &str) -> Option<&str> {
    let encoded = || {
        text.strip_prefix("%2e")
            .or_else(|| text.strip_prefix("%2E"))
    };
    text.strip_prefix('.').or_else(encoded)
}

fn has_escaped_separator(segment: &str) -> bool {
    let escapes = segment.split('%').skip(1);
    let mut codes = escapes.filter_map(|rest| rest.get(..2));
    segment.contains('\\')
        || codes.any(|code| code.eq_ignore_ascii_case("2f") || code.eq_ignore_ascii_case("5c"))
}
