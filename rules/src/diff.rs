//! The differences between two configurations and whom they affect.
//!
//! Values are compared after defaults are applied, so making a default explicit is
//! not a change.

use core::fmt;
use std::collections::BTreeMap;

use derive_more::Display;
use entity::{Name, PoolId, Revision, TeamId};
use serde::Serialize;

use crate::config::Config;
use crate::document::RuleSource;
use crate::statement::{
    DrainStatement, ModelStatement, PoolStatement, RouteStatement, Statement, TargetStatement,
    TeamStatement,
};
use crate::value;

/// All changes between two configurations.
#[derive(Clone, PartialEq, Debug, Serialize)]
pub struct Diff {
    /// The older revision.
    pub old: Revision,
    /// The newer revision.
    pub new: Revision,
    /// Changes of rules, by kind and name.
    pub changes: Vec<Change>,
    /// Teams whose share changes, by name.
    pub teams: Vec<TeamEffect>,
    /// Pools whose number of targets in service changes, by name.
    pub pools: Vec<PoolEffect>,
}

/// A change of one rule.
#[derive(Clone, PartialEq, Debug, Serialize)]
pub struct Change {
    /// The subject of the rule.
    pub subject: Subject,
    /// The kind of change.
    pub kind: ChangeKind,
    /// Who is affected.
    pub whom: Whom,
    /// The text of the newer rule, or of the older one if it is removed.
    pub text: Name,
    /// Who requested the newer rule, or the older one if it is removed.
    pub asker: Name,
}

/// The subject of a rule.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Debug, Display, Serialize)]
#[serde(rename_all = "kebab-case", tag = "kind", content = "name")]
pub enum Subject {
    /// A data centre.
    #[display("data-centre {_0}")]
    DataCentre(Name),
    /// A pool.
    #[display("pool {_0}")]
    Pool(Name),
    /// A target.
    #[display("target {_0}")]
    Target(Name),
    /// A team.
    #[display("team {_0}")]
    Team(Name),
    /// An API key, by its hash.
    #[display("key {_0}")]
    Key(Name),
    /// A route.
    #[display("route {_0}")]
    Route(Name),
    /// A model.
    #[display("model {_0}")]
    Model(Name),
    /// A drain of a data centre.
    #[display("drain data-centre {_0}")]
    DataCentreDrain(Name),
    /// A drain of a target.
    #[display("drain target {_0}")]
    TargetDrain(Name),
}

/// The kind of change to a rule.
#[derive(Clone, PartialEq, Eq, Debug, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum ChangeKind {
    /// The rule was added.
    Added,
    /// The rule was removed.
    Removed,
    /// Some values of the rule changed.
    Changed(Vec<FieldChange>),
}

/// A changed value.
#[derive(Clone, PartialEq, Eq, Debug, Display, Serialize)]
#[display("{field} {old} -> {new}")]
pub struct FieldChange {
    /// The key of the value.
    pub field: &'static str,
    /// The older value.
    pub old: String,
    /// The newer value.
    pub new: String,
}

/// Who is affected by a change.
#[derive(Clone, PartialEq, Eq, Debug, Display, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Whom {
    /// One team.
    #[display("team {_0}")]
    Team(Name),
    /// Callers of a route.
    #[display("callers of {method} {path}")]
    Callers {
        /// The method.
        method: Name,
        /// The path pattern.
        path: Name,
    },
    /// Users of one pool.
    #[display("users of pool {_0}")]
    Pool(Name),
    /// Users of all pools with targets in one data centre.
    #[display("users of data centre {_0}")]
    DataCentre(Name),
}

/// The share of one team while all teams are backlogged.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Default, Serialize)]
pub struct Portion {
    /// The weight of the team.
    pub weight: u64,
    /// The sum of all weights.
    pub total: u64,
}

/// A team whose share changes.
#[derive(Clone, PartialEq, Eq, Debug, Display, Serialize)]
#[display("team {team}: portion {old} -> {new}")]
pub struct TeamEffect {
    /// The team.
    pub team: Name,
    /// The older share.
    pub old: Portion,
    /// The newer share.
    pub new: Portion,
}

/// A pool whose number of targets in service changes.
#[derive(Clone, PartialEq, Eq, Debug, Display, Serialize)]
#[display("pool {pool}: {old} -> {new} targets in service")]
pub struct PoolEffect {
    /// The pool.
    pub pool: Name,
    /// The older number of targets that are not drained.
    pub old: usize,
    /// The newer number of targets that are not drained.
    pub new: usize,
}

/// The comparable form of one rule.
struct Entry<'a> {
    fields: Vec<(&'static str, String)>,
    whom: Whom,
    source: &'a RuleSource,
}

/// Compares two configurations.
pub fn diff(old: &Config, new: &Config) -> Diff {
    let (before, after) = (entries(old), entries(new));
    let mut subjects: Vec<_> = before.keys().chain(after.keys()).collect();
    subjects.sort();
    subjects.dedup();
    let changes = subjects
        .into_iter()
        .filter_map(|subject| change(subject, before.get(subject), after.get(subject)))
        .collect();
    Diff {
        old: old.revision,
        new: new.revision,
        changes,
        teams: team_effects(old, new),
        pools: pool_effects(old, new),
    }
}

fn change(subject: &Subject, old: Option<&Entry<'_>>, new: Option<&Entry<'_>>) -> Option<Change> {
    let latest = new.or(old)?;
    let kind = match (old, new) {
        (None, _) => ChangeKind::Added,
        (_, None) => ChangeKind::Removed,
        (Some(old), Some(new)) => {
            let fields = changed_fields(old, new);
            (!fields.is_empty()).then_some(ChangeKind::Changed(fields))?
        }
    };
    Some(Change {
        subject: subject.clone(),
        kind,
        whom: latest.whom.clone(),
        text: latest.source.text.clone(),
        asker: latest.source.asker.clone(),
    })
}

/// Compares two entries of the same kind, which have the same fields.
fn changed_fields(old: &Entry<'_>, new: &Entry<'_>) -> Vec<FieldChange> {
    let pairs = old.fields.iter().zip(&new.fields);
    let differing = pairs.filter(|(old, new)| old != new);
    differing
        .map(|((field, old), (_, new))| FieldChange {
            field,
            old: old.clone(),
            new: new.clone(),
        })
        .collect()
}

fn entries(config: &Config) -> BTreeMap<Subject, Entry<'_>> {
    let rules = config.document.rules();
    let entries = rules.filter_map(|(_, rule)| {
        let (subject, whom, fields) = describe(config, &rule.statement)?;
        let source = &rule.source;
        Some((
            subject,
            Entry {
                fields,
                whom,
                source,
            },
        ))
    });
    entries.collect()
}

type Description = (Subject, Whom, Vec<(&'static str, String)>);

fn describe(config: &Config, statement: &Statement) -> Option<Description> {
    let described = match statement {
        Statement::Revision(_) | Statement::Part(_) | Statement::End => return None,
        Statement::DataCentre(name) => {
            let whom = Whom::DataCentre(name.clone());
            (Subject::DataCentre(name.clone()), whom, Vec::new())
        }
        Statement::Pool(pool) => describe_pool(pool),
        Statement::Target(target) => describe_target(target),
        Statement::Team(team) => describe_team(team),
        Statement::Key(key) => {
            let subject = Subject::Key(Name::new(&key.hash.to_string()));
            let team = vec![("team", key.team.to_string())];
            (subject, Whom::Team(key.team.clone()), team)
        }
        Statement::Route(route) => describe_route(route),
        Statement::Model(model) => describe_model(model),
        Statement::Drain(drain) => describe_drain(config, drain),
    };
    Some(described)
}

fn describe_pool(pool: &PoolStatement) -> Description {
    let window = pool.window();
    let fields = vec![
        ("kind", pool.kind.to_string()),
        ("cold", window.cold.to_string()),
        ("max", window.max.to_string()),
    ];
    let whom = Whom::Pool(pool.name.clone());
    (Subject::Pool(pool.name.clone()), whom, fields)
}

fn describe_target(target: &TargetStatement) -> Description {
    let time = |time: Option<_>| time.map_or_else(|| "none".to_owned(), value::format_time);
    let fields = vec![
        ("pool", target.pool.to_string()),
        ("data-centre", target.centre.to_string()),
        ("data", target.data.to_string()),
        ("control", target.control.to_string()),
        ("fencing", target.fencing().to_string()),
        ("from", time(target.from)),
        ("until", time(target.until)),
    ];
    let whom = Whom::Pool(target.pool.clone());
    (Subject::Target(target.name.clone()), whom, fields)
}

fn describe_team(team: &TeamStatement) -> Description {
    let limits = team.limits();
    let none = || "none".to_owned();
    let rate = limits.rate;
    let fields = vec![
        ("weight", team.weight().to_string()),
        ("class", team.class.unwrap_or_default().to_string()),
        ("in-flight", limits.in_flight.to_string()),
        (
            "rate",
            rate.map_or_else(none, |limit| format!("{}/s", limit.rate)),
        ),
        (
            "burst",
            rate.map_or_else(none, |limit| limit.burst.to_string()),
        ),
        ("queue", limits.queue.to_string()),
    ];
    let whom = Whom::Team(team.name.clone());
    (Subject::Team(team.name.clone()), whom, fields)
}

fn describe_route(route: &RouteStatement) -> Description {
    let class = route.class.map(|class| class.to_string());
    let fields = vec![
        ("method", route.method.to_string()),
        ("path", route.path.to_string()),
        ("pool", route.pool.to_string()),
        ("repeat", route.repeat.to_string()),
        ("class", class.unwrap_or_else(|| "of the team".to_owned())),
        ("cost", route.hint().to_string()),
        ("timeout", value::format_timeout(route.timeout())),
    ];
    let whom = Whom::Callers {
        method: route.method.clone(),
        path: route.path.clone(),
    };
    (Subject::Route(route.name.clone()), whom, fields)
}

fn describe_model(model: &ModelStatement) -> Description {
    let fields = vec![
        ("pool", model.pool.to_string()),
        ("version", model.version.to_string()),
        ("replicas", model.replicas.to_string()),
    ];
    let whom = Whom::Pool(model.pool.clone());
    (Subject::Model(model.name.clone()), whom, fields)
}

fn describe_drain(config: &Config, drain: &DrainStatement) -> Description {
    match drain {
        DrainStatement::DataCentre(name) => {
            let whom = Whom::DataCentre(name.clone());
            (Subject::DataCentreDrain(name.clone()), whom, Vec::new())
        }
        DrainStatement::Target(name) => {
            let target = config.names.targets.by_name(name.as_str());
            let target = target.and_then(|target| config.targets[target].as_ref());
            let pool = target.map(|target| config.names.pools.name(target.pool).clone());
            let whom = Whom::Pool(pool.unwrap_or_else(|| name.clone()));
            (Subject::TargetDrain(name.clone()), whom, Vec::new())
        }
    }
}

fn team_effects(old: &Config, new: &Config) -> Vec<TeamEffect> {
    let (before, after) = (portions(old), portions(new));
    let mut teams: Vec<_> = before.keys().chain(after.keys()).collect();
    teams.sort();
    teams.dedup();
    let portion = |portions: &BTreeMap<_, Portion>, team| portions.get(team).copied();
    let effects = teams.into_iter().map(|team| TeamEffect {
        team: team.clone(),
        old: portion(&before, team).unwrap_or_default(),
        new: portion(&after, team).unwrap_or_default(),
    });
    effects
        .filter(|effect| !effect.old.is_equal(effect.new))
        .collect()
}

fn portions(config: &Config) -> BTreeMap<Name, Portion> {
    let weight = |team: TeamId| config.teams[team].as_ref().map(|team| team.weight.get());
    let total = config.teams.keys().filter_map(weight).map(u64::from).sum();
    let teams = config.teams.keys().filter_map(|team| {
        let weight = u64::from(weight(team)?);
        let name = config.names.teams.name(team).clone();
        Some((name, Portion { weight, total }))
    });
    teams.collect()
}

fn pool_effects(old: &Config, new: &Config) -> Vec<PoolEffect> {
    let (before, after) = (serving_targets(old), serving_targets(new));
    let mut pools: Vec<_> = before.keys().chain(after.keys()).collect();
    pools.sort();
    pools.dedup();
    let count = |pools: &BTreeMap<_, usize>, pool| pools.get(pool).copied().unwrap_or(0);
    let effects = pools.into_iter().map(|pool| PoolEffect {
        pool: pool.clone(),
        old: count(&before, pool),
        new: count(&after, pool),
    });
    effects.filter(|effect| effect.old != effect.new).collect()
}

fn serving_targets(config: &Config) -> BTreeMap<Name, usize> {
    let count = |pool: PoolId| {
        let targets = &config.pools[pool].as_ref()?.targets;
        let drained = |&&target: &&_| config.drain_rule(target).is_none();
        Some(targets.iter().filter(drained).count())
    };
    let pools = config
        .pools
        .keys()
        .filter_map(|pool| Some((config.names.pools.name(pool).clone(), count(pool)?)));
    pools.collect()
}

impl Portion {
    fn is_equal(self, other: Self) -> bool {
        self.weight * other.total.max(1) == other.weight * self.total.max(1)
    }
}

impl fmt::Display for Portion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { weight, total } = self;
        let percent = 100.0 * *weight as f64 / (*total).max(1) as f64;
        write!(f, "{percent:.1} %")
    }
}

impl fmt::Display for Change {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            subject,
            whom,
            text,
            asker,
            ..
        } = self;
        match &self.kind {
            ChangeKind::Added => write!(f, "+ {text}")?,
            ChangeKind::Removed => write!(f, "- {text}")?,
            ChangeKind::Changed(fields) => {
                let fields: Vec<_> = fields.iter().map(ToString::to_string).collect();
                write!(f, "~ {subject}: {}", fields.join(", "))?;
            }
        }
        write!(f, "  (concerns {whom}; asked by: {asker})")
    }
}

impl fmt::Display for Diff {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "revision {} -> {}", self.old, self.new)?;
        self.changes
            .iter()
            .try_for_each(|change| write!(f, "\n{change}"))?;
        self.teams
            .iter()
            .try_for_each(|effect| write!(f, "\n= {effect}"))?;
        self.pools
            .iter()
            .try_for_each(|effect| write!(f, "\n= {effect}"))
    }
}
