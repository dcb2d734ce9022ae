//! Formatting of a report as a text table.

use std::fmt::{self, Display, Formatter};

use super::report::{Report, TeamReport};

/// Displays a report as text.
#[derive(Clone, Copy, Debug)]
pub struct Table<'a>(pub &'a Report);

impl Display for Table<'_> {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let report = self.0;
        write_header(report, f)?;
        writeln!(
            f,
            "{:<18}{:>3}{:>7}{:>9}{:>8}{:>8}{:>7}{:>6}{:>6}{:>8}{:>9}{:>9}{:>8}{:>9}{:>9}",
            "team",
            "w",
            "asked",
            "answered",
            "refused",
            "unknown",
            "failed",
            "lost",
            "wrong",
            "doubled",
            "tokens",
            "portion",
            "gap",
            "p50 ms",
            "p99 ms"
        )?;
        for team in &report.teams {
            write_team_row(team, f)?;
        }
        write_metrics(report, f)?;
        write_promises(report, f)
    }
}

fn write_header(report: &Report, f: &mut Formatter<'_>) -> fmt::Result {
    let path = match report.direct {
        true => "direct to the targets",
        false => "through routers and agents",
    };
    writeln!(
        f,
        "{} · seed {} · {path} · {:.1} s",
        report.mix, report.seed, report.seconds
    )
}

fn write_team_row(team: &TeamReport, f: &mut Formatter<'_>) -> fmt::Result {
    writeln!(
        f,
        "{:<18}{:>3}{:>7}{:>9}{:>8}{:>8}{:>7}{:>6}{:>6}{:>8}{:>9}{:>8.1}%{:>8.0}{:>9.1}{:>9.1}",
        team.name,
        team.weight,
        team.asked,
        team.answered,
        team.refused,
        team.unknown,
        team.failed,
        team.lost,
        team.wrong,
        team.doubled,
        team.tokens,
        team.portion * 100.0,
        team.gap,
        team.whole.p50,
        team.whole.p99
    )
}

fn write_metrics(report: &Report, f: &mut Formatter<'_>) -> fmt::Result {
    let percent = |part: Option<f64>| match part {
        Some(part) => format!("{:.1}%", part * 100.0),
        None => "not measured".to_owned(),
    };
    let control = match report.control_bytes {
        Some(bytes) => format!("{bytes:.0} bytes, {:.0} per second", bytes / report.seconds),
        None => "not measured".to_owned(),
    };
    let asked = report.sum(|team| team.asked);
    let answered = report.sum(|team| team.answered);
    let (p50, p99) = (report.whole.p50, report.whole.p99);
    writeln!(
        f,
        "answered         {answered} of {asked}, p50 {p50:.1} ms, p99 {p99:.1} ms"
    )?;
    writeln!(f, "fairness gap     {:.0} tokens per weight", report.gap)?;
    writeln!(f, "utilisation      {}", percent(report.utilisation))?;
    writeln!(f, "  while waiting  {}", percent(report.busy_utilisation))?;
    writeln!(f, "control traffic  {control}")?;
    writeln!(f, "doubled          {}", report.doubled)?;
    for event in &report.events {
        writeln!(f, "event            {:.1} s: {}", event.at, event.note)?;
    }
    for (reason, count) in &report.reasons {
        writeln!(f, "attempts ended   {count} with {reason}")?;
    }
    Ok(())
}

fn write_promises(report: &Report, f: &mut Formatter<'_>) -> fmt::Result {
    for checked in &report.promises {
        let verdict = match checked.broken {
            0 => "kept".to_owned(),
            times => format!("BROKEN {times} times: {}", checked.examples.join(", ")),
        };
        writeln!(
            f,
            "{:<42} {:>6} cases  {verdict}",
            checked.promise.to_string(),
            checked.cases
        )?;
    }
    Ok(())
}
