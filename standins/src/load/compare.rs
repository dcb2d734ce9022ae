//! A comparison of two reports.

use std::fmt::{self, Display, Formatter};

use super::report::Report;

/// Displays two reports and their differences as a table.
#[derive(Clone, Copy, Debug)]
pub struct Comparison<'a> {
    /// The first report.
    pub first: &'a Report,
    /// The second report.
    pub second: &'a Report,
}

impl Display for Comparison<'_> {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "{:<34}{:>14}{:>14}{:>14}",
            "", "first", "second", "difference"
        )?;
        for (name, metric) in METRICS {
            write_row(f, name, metric(self.first), metric(self.second))?;
        }
        for team in &self.first.teams {
            let other = self
                .second
                .teams
                .iter()
                .find(|other| other.name == team.name);
            let name = format!("{} portion %", team.name);
            let second = other.map(|other| other.portion * 100.0);
            write_row(f, &name, Some(team.portion * 100.0), second)?;
        }
        Ok(())
    }
}

type Metric = fn(&Report) -> Option<f64>;

const METRICS: [(&str, Metric); 14] = [
    ("asked", |r| Some(r.sum(|team| team.asked) as f64)),
    ("answered", |r| Some(r.sum(|team| team.answered) as f64)),
    ("refused", |r| Some(r.sum(|team| team.refused) as f64)),
    ("unknown", |r| Some(r.sum(|team| team.unknown) as f64)),
    ("lost", |r| Some(r.sum(|team| team.lost) as f64)),
    ("doubled", |r| Some(r.doubled as f64)),
    ("p50 ms", |r| Some(r.whole.p50)),
    ("p99 ms", |r| Some(r.whole.p99)),
    ("first token p50 ms", |r| Some(r.first.p50)),
    ("first token p99 ms", |r| Some(r.first.p99)),
    ("fairness gap, tokens per weight", |r| Some(r.gap)),
    ("utilisation %", |r| r.utilisation.map(|part| part * 100.0)),
    ("utilisation while waiting %", |r| {
        r.busy_utilisation.map(|part| part * 100.0)
    }),
    ("control bytes per second", |r| {
        r.control_bytes.map(|bytes| bytes / r.seconds)
    }),
];

fn write_row(
    f: &mut Formatter<'_>,
    name: &str,
    first: Option<f64>,
    second: Option<f64>,
) -> fmt::Result {
    let format_value = |value: Option<f64>| match value {
        Some(value) => format!("{value:.1}"),
        None => "not measured".to_owned(),
    };
    let difference = first.zip(second).map(|(first, second)| second - first);
    writeln!(
        f,
        "{name:<34}{:>14}{:>14}{:>14}",
        format_value(first),
        format_value(second),
        format_value(difference)
    )
}
