//! The scenario parser.
//!
//! The first word selects each alternative, so the parser never backtracks and an
//! error points at the first invalid position.

use std::time::Duration;

use derive_more::{Display, Error};
use entity::{Class, Name};
use rules::PoolKind;
use winnow::ascii::{dec_uint, space0, space1};
use winnow::combinator::{alt, cut_err, eof, fail, opt, preceded, terminated};
use winnow::error::{ContextError, ErrMode, StrContext, StrContextValue};
use winnow::token::{one_of, take_while};
use winnow::{ModalResult, Parser};

use super::{
    Change, CostDistribution, Event, FilePath, KeyChoice, Load, Percent, Place, PlantedBug,
    PolicyName, PoolStatement, Promise, Scenario, ServiceMode, Statement, TeamStatement,
};

/// The longest time accepted in a scenario.
const MAX_TIME: Duration = Duration::from_secs(24 * 3600);

/// A syntax error in a scenario.
#[derive(Clone, PartialEq, Eq, Debug, Display, Error)]
#[display("line {line}, column {column}: expected {expected}")]
pub struct ParseError {
    /// The line, from 1.
    pub line: usize,
    /// The column in characters, from 1.
    pub column: usize,
    /// What the parser accepts at this position.
    pub expected: String,
}

impl Scenario {
    /// Parses a scenario.
    ///
    /// # Errors
    ///
    /// Returns the position of the first syntax error.
    pub fn parse(text: &str) -> Result<Self, ParseError> {
        let mut statements = Vec::new();
        for (line, number) in text.lines().zip(1..) {
            let code = line.split('#').next().unwrap_or_default().trim_end();
            if code.trim_start().is_empty() {
                continue;
            }
            let parsed = preceded(space0, terminated(statement, end)).parse(code);
            let parsed = parsed.map_err(|error| ParseError {
                line: number,
                column: code[..error.offset()].chars().count() + 1,
                expected: expected(error.inner()),
            })?;
            statements.push(parsed);
        }
        Ok(Self { statements })
    }
}

fn expected(error: &ContextError) -> String {
    let values = error.context().filter_map(|context| match context {
        StrContext::Expected(value) => Some(value.to_string()),
        _ => None,
    });
    let values: Vec<_> = values.collect();
    match values.is_empty() {
        true => "something else".to_owned(),
        false => values.join(" or "),
    }
}

fn described(text: &'static str) -> StrContext {
    StrContext::Expected(StrContextValue::Description(text))
}

fn end(input: &mut &str) -> ModalResult<()> {
    let end = (space0, eof).void();
    cut_err(end)
        .context(described("the end of the line"))
        .parse_next(input)
}

/// Parses a mandatory word preceded by spaces.
fn word<'a>(text: &'static str) -> impl Parser<&'a str, (), ErrMode<ContextError>> {
    let literal = StrContext::Expected(StrContextValue::StringLiteral(text));
    cut_err((space1, text).void().context(literal))
}

/// Parses a mandatory value preceded by spaces.
fn value<'a, T>(
    parser: impl Parser<&'a str, T, ErrMode<ContextError>>,
    text: &'static str,
) -> impl Parser<&'a str, T, ErrMode<ContextError>> {
    cut_err(preceded(space1, parser).context(described(text)))
}

fn keyword<'a>(input: &mut &'a str) -> ModalResult<&'a str> {
    take_while(1.., |c: char| c.is_ascii_alphanumeric() || c == '-').parse_next(input)
}

fn raw_name(input: &mut &str) -> ModalResult<Name> {
    let rest = take_while(0.., |c: char| {
        c.is_ascii_alphanumeric() || "._-".contains(c)
    });
    let first = one_of(|c: char| c.is_ascii_alphanumeric());
    (first, rest).take().map(Name::new).parse_next(input)
}

fn name(input: &mut &str) -> ModalResult<Name> {
    value(raw_name, "a name").parse_next(input)
}

/// Parses a whole number above 0.
fn count(input: &mut &str) -> ModalResult<u32> {
    let positive = dec_uint.verify(|&count: &u32| count > 0);
    value(positive, "a whole number above 0").parse_next(input)
}

fn decimal(input: &mut &str) -> ModalResult<f64> {
    let digits = take_while(1..=15, |c: char| c.is_ascii_digit() || c == '.');
    digits.parse_to().parse_next(input)
}

fn raw_time(input: &mut &str) -> ModalResult<Duration> {
    let unit = alt(("ms".value(1e-3), "s".value(1.0)));
    let time = (decimal, unit).map(|(count, unit)| count * unit);
    let time = time.verify(|&seconds| seconds <= MAX_TIME.as_secs_f64());
    let micros = time.map(|seconds| (seconds * 1e6).round() as u64);
    micros.map(Duration::from_micros).parse_next(input)
}

fn time(input: &mut &str) -> ModalResult<Duration> {
    value(raw_time, "a time such as `0.5ms` or `10s`").parse_next(input)
}

fn percent(input: &mut &str) -> ModalResult<Percent> {
    let part = decimal.verify(|&part| part <= 100.0);
    let part = terminated(part, "%").map(Percent);
    value(part, "a part such as `1%`").parse_next(input)
}

/// Parses the choice whose text form comes next.
fn one<T: Clone + core::fmt::Display>(
    input: &mut &str,
    choices: &[T],
    text: &'static str,
) -> ModalResult<T> {
    space1
        .context(described(text))
        .parse_next(input)
        .map_err(ErrMode::cut)?;
    let found = choices.iter().find(|choice| {
        let rest = input.strip_prefix(&choice.to_string());
        rest.is_some_and(|rest| rest.is_empty() || rest.starts_with(' '))
    });
    match found {
        Some(choice) => {
            *input = &input[choice.to_string().len()..];
            Ok(choice.clone())
        }
        None => cut_err(fail.context(described(text))).parse_next(input),
    }
}

/// Fails at `start`, the beginning of an unexpected word.
fn unknown<'a, T>(input: &mut &'a str, start: &'a str, text: &'static str) -> ModalResult<T> {
    *input = start.trim_start();
    cut_err(fail.context(described(text))).parse_next(input)
}

fn statement(input: &mut &str) -> ModalResult<Statement> {
    let start = *input;
    let first = cut_err(keyword.context(described("a statement"))).parse_next(input)?;
    match first {
        "seed" => value(dec_uint, "a whole number")
            .map(Statement::Seed)
            .parse_next(input),
        "fleet" => {
            let fields = (word("routers"), count, word("centres"), count);
            let mut fleet =
                fields.map(|((), routers, (), centres)| Statement::Fleet { routers, centres });
            fleet.parse_next(input)
        }
        "rules" => path.map(Statement::Rules).parse_next(input),
        "pool" => pool.map(Statement::Pool).parse_next(input),
        "team" => team.map(Statement::Team).parse_next(input),
        "delay" => {
            let between = opt(preceded((space1, "between"), (name, name)));
            let mut delay =
                (time, between).map(|(time, between)| Statement::Delay { time, between });
            delay.parse_next(input)
        }
        "loss" => percent.map(Statement::Loss).parse_next(input),
        "double" => percent.map(Statement::Double).parse_next(input),
        "gossip" => time.map(Statement::Gossip).parse_next(input),
        "token" => time.map(Statement::Token).parse_next(input),
        "policy" => policy.map(Statement::Policy).parse_next(input),
        "plant" => plant.map(Statement::PlantedBug).parse_next(input),
        "arrive" => {
            let every = time.verify(|time| !time.is_zero());
            let fields = (name, word("every"), cut_err(every), load);
            let mut arrive =
                fields.map(|(team, (), every, load)| Statement::Arrive { team, every, load });
            arrive.parse_next(input)
        }
        "backlog" => {
            let fields = (name, count, load);
            let mut backlog =
                fields.map(|(team, open, load)| Statement::Backlog { team, open, load });
            backlog.parse_next(input)
        }
        "at" => {
            let mut at = (time, event).map(|(time, event)| Statement::At { time, event });
            at.parse_next(input)
        }
        "run" => time.map(Statement::Run).parse_next(input),
        "expect" => one(input, &Promise::ALL, "a promise").map(Statement::Expect),
        _ => unknown(input, start, "a statement"),
    }
}

fn path(input: &mut &str) -> ModalResult<FilePath> {
    let path = take_while(1.., |c: char| !c.is_whitespace());
    let path = path.map(|path: &str| FilePath(path.to_owned()));
    value(path, "a path").parse_next(input)
}

fn pool(input: &mut &str) -> ModalResult<PoolStatement> {
    let (name, ()) = (name, word("kind")).parse_next(input)?;
    let kind = one(input, &[PoolKind::Model, PoolKind::Service], "a kind")?;
    let numbers = (
        word("targets"),
        count,
        word("slots"),
        count,
        word("cold"),
        count,
    );
    let mut pool = numbers.map(|((), targets, (), slots, (), cold)| PoolStatement {
        name: name.clone(),
        kind,
        targets,
        slots,
        cold,
    });
    pool.parse_next(input)
}

fn team(input: &mut &str) -> ModalResult<TeamStatement> {
    let (name, (), weight, ()) = (name, word("weight"), count, word("class")).parse_next(input)?;
    let class = one(
        input,
        &[Class::Interactive, Class::Standard, Class::Batch],
        "a class",
    )?;
    Ok(TeamStatement {
        name,
        weight,
        class,
    })
}

fn policy(input: &mut &str) -> ModalResult<PolicyName> {
    let all = [
        PolicyName::Fair,
        PolicyName::PushFifo,
        PolicyName::Quota,
        PolicyName::OwnCounter,
    ];
    one(input, &all, "a policy")
}

fn plant(input: &mut &str) -> ModalResult<PlantedBug> {
    if let Some(team) = opt(preceded((space1, "favour"), name)).parse_next(input)? {
        return Ok(PlantedBug::Favour(team));
    }
    let all = [
        PlantedBug::Overrun,
        PlantedBug::IgnoreDrain,
        PlantedBug::IgnoreList,
        PlantedBug::FalseRefusal,
        PlantedBug::DropKeys,
        PlantedBug::CutOnStop,
        PlantedBug::StaleRules,
        PlantedBug::RevertRules,
        PlantedBug::LosePulls,
        PlantedBug::CrossAnswers,
        PlantedBug::CutAnswers,
        PlantedBug::DropFingerprints,
        PlantedBug::BlameAll,
        PlantedBug::ForgetRequests,
    ];
    one(input, &all, "a broken part")
}

fn load(input: &mut &str) -> ModalResult<Load> {
    let mut load = Load::default();
    loop {
        let start = *input;
        match opt(preceded(space1, keyword)).parse_next(input)? {
            Some(word) => option(start, word, &mut load, input)?,
            None => return Ok(load),
        }
    }
}

/// Parses one load option; each may occur once.
fn option<'a>(start: &'a str, word: &str, load: &mut Load, input: &mut &'a str) -> ModalResult<()> {
    match word {
        "pool" if load.pool.is_none() => load.pool = Some(name(input)?),
        "via" if load.router.is_none() => {
            load.router = preceded(self::word("router"), count)
                .map(Some)
                .parse_next(input)?;
        }
        "cost" if load.cost.is_none() => load.cost = Some(cost(input)?),
        "hint" if load.hint.is_none() => {
            load.hint = terminated(count, cut_err("x".context(described("`x`"))))
                .map(Some)
                .parse_next(input)?;
        }
        "from" if load.from.is_none() => load.from = Some(time(input)?),
        "until" if load.until.is_none() => load.until = Some(time(input)?),
        "key" if load.key.is_none() => {
            load.key = Some(match name(input)? {
                name if name.as_str() == "fresh" => KeyChoice::Fresh,
                name if name.as_str() == "ticket" => KeyChoice::Ticket,
                name => KeyChoice::Named(name),
            });
        }
        "repeat" if load.repeat.is_none() => load.repeat = Some(count(input)?),
        _ => {
            let text =
                "one of `pool`, `via`, `cost`, `hint`, `from`, `until`, `key`, `repeat`, each once";
            return unknown(input, start, text);
        }
    }
    Ok(())
}

fn cost(input: &mut &str) -> ModalResult<CostDistribution> {
    let lognormal = opt((space1, "lognormal")).map(|found| found.is_some());
    let mut cost =
        (lognormal, count).map(|(lognormal, median)| CostDistribution { median, lognormal });
    cost.parse_next(input)
}

fn place(input: &mut &str) -> ModalResult<Place> {
    let text = "`router N`, `agent NAME`, `data-centre NAME` or `service`";
    let start = *input;
    let kind = value(keyword, text).parse_next(input)?;
    match kind {
        "router" => count.map(Place::Router).parse_next(input),
        "agent" => name.map(Place::Agent).parse_next(input),
        "data-centre" => name.map(Place::Centre).parse_next(input),
        "service" => Ok(Place::Service),
        _ => unknown(input, start, text),
    }
}

fn event(input: &mut &str) -> ModalResult<Event> {
    let text = "an event";
    let start = *input;
    let kind = value(keyword, text).parse_next(input)?;
    match kind {
        "cut" => {
            let from = opt(preceded((space1, "from"), place));
            let mut cut = (place, from).map(|(place, from)| Event::Cut { place, from });
            cut.parse_next(input)
        }
        "heal" => Ok(Event::Heal),
        "pause" => {
            let pause = (place, word("for"), time);
            let mut pause = pause.map(|(place, (), time)| Event::Pause { place, time });
            pause.parse_next(input)
        }
        "restart" => place.map(Event::Restart).parse_next(input),
        "stop" => place.map(Event::Stop).parse_next(input),
        "cold" => preceded(word("target"), name)
            .map(Event::Cold)
            .parse_next(input),
        "crash-request" => name.map(Event::Crash).parse_next(input),
        "flood" => {
            let per = cut_err("/s".context(described("`/s`")));
            let flood = (name, count, per, word("for"), time);
            let mut flood =
                flood.map(|(team, rate, _, (), time)| Event::Flood { team, rate, time });
            flood.parse_next(input)
        }
        "service" => service(input).map(Event::Service),
        "publish" => change.map(Event::Publish).parse_next(input),
        "target" => terminated(name, word("leaves"))
            .map(Event::Leaves)
            .parse_next(input),
        "skew" => {
            let way = value(
                alt(("back".value(true), "by".value(false))),
                "`by` or `back`",
            );
            let mut skew =
                (place, way, time).map(|(place, back, by)| Event::Skew { place, back, by });
            skew.parse_next(input)
        }
        _ => unknown(input, start, text),
    }
}

fn service(input: &mut &str) -> ModalResult<ServiceMode> {
    let all = [
        ServiceMode::Up,
        ServiceMode::Down,
        ServiceMode::Stale,
        ServiceMode::Garbage,
    ];
    one(input, &all, "`up`, `down`, `stale` or `garbage`")
}

fn change(input: &mut &str) -> ModalResult<Change> {
    let text = "`drain`, `undrain` or `invalid`";
    let start = *input;
    let way = value(keyword, text).parse_next(input)?;
    let drain = match way {
        "drain" => true,
        "undrain" => false,
        "invalid" => return Ok(Change::Invalid),
        _ => return unknown(input, start, text),
    };
    let text = "`data-centre` or `target`";
    let start = *input;
    let kind = value(keyword, text).parse_next(input)?;
    let make = match (kind, drain) {
        ("data-centre", true) => Change::DrainCentre,
        ("data-centre", false) => Change::UndrainCentre,
        ("target", true) => Change::DrainTarget,
        ("target", false) => Change::UndrainTarget,
        _ => return unknown(input, start, text),
    };
    name.map(make).parse_next(input)
}
