//! Idempotency keys.
//!
//! A key names who may run its request. A [`Ticket`] is minted by a router and
//! names an agent and its incarnation; a caller's own key is homed by hash.

use core::fmt;
use core::str::FromStr;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};
use uuid::Uuid;

use crate::{Incarnation, Tag};

const TICKET_PREFIX: &str = "kwt1";

/// A key that a router minted.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug, Serialize, Deserialize)]
pub struct Ticket {
    /// The only agent that may start the request.
    pub agent: Tag,
    /// The only life of that agent that may start it.
    pub incarnation: Incarnation,
    /// Milliseconds since the Unix epoch at which the ticket was minted.
    pub issued: u64,
    /// Milliseconds since the Unix epoch after which the ticket is refused.
    pub expires: u64,
    /// Distinguishes tickets of one agent.
    pub serial: u64,
}

/// The key of a request that may run at most once.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug, Serialize, Deserialize)]
pub enum IdempotencyKey {
    /// Minted by a router.
    Ticket(Ticket),
    /// The caller's own key, a UUID of version 7, which carries its issue time.
    Caller(Uuid),
}

impl IdempotencyKey {
    /// The time at which the key was issued.
    pub fn issued(&self) -> SystemTime {
        match self {
            Self::Ticket(ticket) => UNIX_EPOCH + Duration::from_millis(ticket.issued),
            Self::Caller(uuid) => {
                let millis = (uuid.as_u128() >> 80) as u64;
                UNIX_EPOCH + Duration::from_millis(millis)
            }
        }
    }

    /// The time from which the key is refused and its memory may be given up.
    ///
    /// A ticket carries its own; a caller's key lives for `lifetime`.
    pub fn expires(&self, lifetime: Duration) -> SystemTime {
        match self {
            Self::Ticket(ticket) => UNIX_EPOCH + Duration::from_millis(ticket.expires),
            Self::Caller(_) => self.issued() + lifetime,
        }
    }
}

/// Why a text is not an idempotency key.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Display, Error)]
pub enum KeyError {
    /// A ticket with a missing or malformed field.
    #[display("malformed ticket")]
    Ticket,
    /// Neither a ticket nor a UUID.
    #[display("neither a ticket nor a UUID")]
    Syntax,
    /// A UUID that carries no issue time.
    #[display("not a UUID of version 7")]
    Version,
}

impl fmt::Display for Ticket {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            agent,
            incarnation,
            issued,
            expires,
            serial,
        } = self;
        write!(
            f,
            "{TICKET_PREFIX}-{agent}-{:x}-{issued:x}-{expires:x}-{serial:x}",
            incarnation.0
        )
    }
}

impl FromStr for Ticket {
    type Err = KeyError;

    fn from_str(text: &str) -> Result<Self, KeyError> {
        let mut fields = text.split('-');
        if fields.next() != Some(TICKET_PREFIX) {
            return Err(KeyError::Ticket);
        }
        let mut number = || {
            let field = fields.next().ok_or(KeyError::Ticket)?;
            u64::from_str_radix(field, 16).map_err(|_| KeyError::Ticket)
        };
        let ticket = Self {
            agent: Tag(number()?),
            incarnation: Incarnation(number()?),
            issued: number()?,
            expires: number()?,
            serial: number()?,
        };
        match fields.next() {
            None => Ok(ticket),
            Some(_) => Err(KeyError::Ticket),
        }
    }
}

impl fmt::Display for IdempotencyKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Ticket(ticket) => ticket.fmt(f),
            Self::Caller(uuid) => uuid.fmt(f),
        }
    }
}

impl FromStr for IdempotencyKey {
    type Err = KeyError;

    fn from_str(text: &str) -> Result<Self, KeyError> {
        if text.starts_with(TICKET_PREFIX) {
            return text.parse().map(Self::Ticket);
        }
        let uuid: Uuid = text.parse().map_err(|_| KeyError::Syntax)?;
        match uuid.get_version_num() {
            7 => Ok(Self::Caller(uuid)),
            _ => Err(KeyError::Version),
        }
    }
}
