//! The example workloads of the two user organisations.

use std::fmt::Write as _;

use derive_more::{Display, FromStr};
use entity::Class;
use serde::{Deserialize, Serialize};
use serde_json::json;

use crate::engine::{ChatRequest, Message, digest};

/// The workload of one user organisation.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Display, FromStr, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Mix {
    /// Halvorsen Tube & Core Co.
    #[display("halvorsen")]
    Halvorsen,
    /// Skogsspårbarhetsverket.
    #[display("skogssparbarhetsverket")]
    Skogssparbarhetsverket,
}

/// The request that a kind of work sends.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Call {
    /// A chat completion.
    Chat {
        /// The size of the prompt, in bytes.
        prompt: usize,
        /// The limit on the answer, in tokens.
        max_tokens: u32,
        /// Whether the answer is streamed.
        stream: bool,
    },
    /// An action with an idempotency key, which must run at most once.
    Action {
        /// The path.
        path: &'static str,
    },
    /// An idempotent lookup.
    Lookup {
        /// The path prefix; the item number is appended.
        path: &'static str,
    },
}

/// A kind of work.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct Work {
    /// Its name.
    pub name: &'static str,
    /// The request that it sends.
    pub call: Call,
}

/// One kind of work of a team and its rate.
#[derive(Clone, Copy, PartialEq, Debug)]
pub struct Share {
    /// The kind of work.
    pub work: Work,
    /// Its arrival rate, relative to the other rates of the mix.
    pub rate: f64,
}

/// A team and its work.
#[derive(Clone, PartialEq, Debug)]
pub struct Team {
    /// The team's name.
    pub name: &'static str,
    /// Its weight.
    pub weight: u32,
    /// The class of its requests.
    pub class: Class,
    /// Its work.
    pub shares: Vec<Share>,
}

impl Team {
    /// The team's API key in the examples.
    pub fn api_key(&self) -> String {
        format!("kw-demo-{}", self.name)
    }
}

const fn chat(name: &'static str, prompt: usize, max_tokens: u32, stream: bool) -> Work {
    let call = Call::Chat {
        prompt,
        max_tokens,
        stream,
    };
    Work { name, call }
}

const REVIEW: Work = chat("review", 6000, 160, true);
const QUOTE: Work = chat("quote", 400, 24, true);
const NIGHT: Work = chat("night", 2000, 64, true);
const SUMMARY: Work = chat("summary", 1500, 48, false);
const DOSSIER: Work = chat("dossier", 12_000, 240, true);
const FIELD: Work = chat("field", 300, 24, true);
const SCREEN: Work = chat("batch-check", 800, 32, true);

const BOOKING: Work = Work {
    name: "booking",
    call: Call::Action {
        path: "/v1/bookings",
    },
};
const STOCK: Work = Work {
    name: "stock",
    call: Call::Lookup { path: "/v1/stock/" },
};
const FINDING: Work = Work {
    name: "finding",
    call: Call::Action {
        path: "/v1/findings",
    },
};
const CERTIFICATE: Work = Work {
    name: "certificate",
    call: Call::Lookup {
        path: "/v1/certificates/",
    },
};

fn team(name: &'static str, weight: u32, shares: &[(Work, f64)]) -> Team {
    let shares: Vec<Share> = shares
        .iter()
        .map(|&(work, rate)| Share { work, rate })
        .collect();
    Team {
        name,
        weight,
        class: class(&shares),
        shares,
    }
}

/// The class of a team: interactive if users wait for any of its work, otherwise batch if any of
/// it runs overnight or screens in bulk, otherwise standard.
fn class(shares: &[Share]) -> Class {
    let any = |works: &[Work]| shares.iter().any(|share| works.contains(&share.work));
    match () {
        () if any(&[QUOTE, FIELD, BOOKING, FINDING]) => Class::Interactive,
        () if any(&[NIGHT, SCREEN]) => Class::Batch,
        () => Class::Standard,
    }
}

impl Mix {
    /// The teams of the mix.
    pub fn teams(self) -> Vec<Team> {
        match self {
            Self::Halvorsen => halvorsen(),
            Self::Skogssparbarhetsverket => skogssparbarhetsverket(),
        }
    }
}

fn halvorsen() -> Vec<Team> {
    vec![
        team("carpet-planning", 4, &[(REVIEW, 8.0), (STOCK, 2.0)]),
        team("textile-planning", 4, &[(REVIEW, 6.0), (STOCK, 2.0)]),
        team("winder-logs", 1, &[(NIGHT, 16.0)]),
        team("order-desk", 2, &[(BOOKING, 8.0), (STOCK, 4.0)]),
        team("dispatch", 2, &[(BOOKING, 4.0), (STOCK, 2.0)]),
        team("quotes-north", 2, &[(QUOTE, 5.0), (STOCK, 1.0)]),
        team("quotes-south", 2, &[(QUOTE, 5.0), (STOCK, 1.0)]),
        team("quotes-export", 2, &[(QUOTE, 3.0)]),
        team("film-planning", 1, &[(REVIEW, 2.0)]),
        team("paper-mill", 1, &[(NIGHT, 3.0)]),
        team("maintenance", 1, &[(NIGHT, 2.0), (QUOTE, 1.0)]),
        team("quality", 1, &[(REVIEW, 1.0), (QUOTE, 1.0)]),
        team("purchasing", 1, &[(QUOTE, 2.0), (STOCK, 2.0)]),
        team("finance", 1, &[(SUMMARY, 1.0), (STOCK, 1.0)]),
        team("head-office", 1, &[(QUOTE, 1.0)]),
    ]
}

fn skogssparbarhetsverket() -> Vec<Team> {
    vec![
        team("audit-north", 1, &[(DOSSIER, 4.0), (CERTIFICATE, 2.0)]),
        team("audit-middle", 1, &[(DOSSIER, 3.0), (CERTIFICATE, 2.0)]),
        team("audit-south", 1, &[(DOSSIER, 2.0), (CERTIFICATE, 1.0)]),
        team("batch-screening", 1, &[(SCREEN, 24.0)]),
        team("findings", 1, &[(FINDING, 8.0), (CERTIFICATE, 2.0)]),
        team("field-norrbotten", 1, &[(FIELD, 3.0), (FINDING, 1.0)]),
        team("field-dalarna", 1, &[(FIELD, 3.0), (FINDING, 1.0)]),
        team("field-smaland", 1, &[(FIELD, 3.0), (FINDING, 1.0)]),
        team("field-skane", 1, &[(FIELD, 2.0)]),
        team("mill-liaison", 1, &[(FIELD, 2.0), (CERTIFICATE, 2.0)]),
        team("import-control", 1, &[(SCREEN, 3.0), (SUMMARY, 1.0)]),
        team("appeals", 1, &[(DOSSIER, 1.0), (FINDING, 1.0)]),
        team("registry", 1, &[(CERTIFICATE, 4.0)]),
        team("training", 1, &[(FIELD, 1.0)]),
        team("directorate", 1, &[(FIELD, 1.0)]),
    ]
}

/// The rules that define the teams of a mix and their API keys.
///
/// # Panics
///
/// Never panics in practice, since writing to a string cannot fail.
pub fn team_rules(mix: Mix) -> String {
    let mut rules = String::new();
    for team in mix.teams() {
        let hash = digest(team.api_key().as_bytes());
        let Team {
            name,
            weight,
            class,
            ..
        } = team;
        writeln!(
            rules,
            "team {name} weight {weight} class {class}  # asked by: {mix}"
        )
        .and_then(|()| writeln!(rules, "key {name} sha256:{hash}  # asked by: {mix}"))
        .expect("writing to a string succeeds");
    }
    rules
}

/// The body of request `number` for a kind of work of a team.
///
/// # Panics
///
/// Panics if the body cannot be serialized as JSON; all bodies can.
pub fn body(team: &Team, work: &Work, number: u64) -> Vec<u8> {
    match work.call {
        Call::Chat {
            prompt,
            max_tokens,
            stream,
        } => {
            let request = ChatRequest {
                model: "demo".to_owned(),
                messages: messages(team, work, number, prompt),
                max_tokens,
                stream,
            };
            serde_json::to_vec(&request).expect("requests encode")
        }
        Call::Action { .. } => {
            let action = json!({ "team": team.name, "work": work.name, "number": number });
            serde_json::to_vec(&action).expect("actions encode")
        }
        Call::Lookup { .. } => Vec::new(),
    }
}

fn messages(team: &Team, work: &Work, number: u64, prompt: usize) -> Vec<Message> {
    let instruction = format!("You write a {} for {}. ", work.name, team.name);
    let system = instruction.repeat((prompt / 2).div_ceil(instruction.len()));
    let item = format!("Item {number} of {}. ", team.name);
    let user = item.repeat((prompt / 2).div_ceil(item.len()));
    let message = |role: &str, content| Message {
        role: role.to_owned(),
        content,
    };
    vec![message("system", system), message("user", user)]
}
