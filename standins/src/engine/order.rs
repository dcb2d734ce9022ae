//! Orders to an engine, with or without fencing.

use std::collections::BTreeSet;

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

/// Whether an engine compares fencing numbers.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Fencing {
    /// Refuses an order with a number lower than the greatest seen.
    Checked,
    /// Takes each order.
    Ignored,
}

/// An order.
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "kind")]
pub enum Order {
    /// Load a model, an adapter or a version.
    Load {
        /// What to load.
        model: String,
    },
    /// Unload a model, an adapter or a version.
    Unload {
        /// What to unload.
        model: String,
    },
    /// Change role.
    Role {
        /// The new role.
        role: String,
    },
}

/// Why an order is refused.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Display, Error)]
pub enum OrderError {
    /// A greater fencing number was seen.
    #[display("fencing number {got} is older than {greatest}")]
    Stale {
        /// The order's number.
        got: u64,
        /// The greatest number seen.
        greatest: u64,
    },
    /// The engine checks numbers and the order has none.
    #[display("a fencing number is needed")]
    Missing,
}

/// The orders that an engine took.
#[derive(Clone, Debug)]
pub struct Orders {
    fencing: Fencing,
    greatest: u64,
    taken: Vec<(Option<u64>, Order)>,
    models: BTreeSet<String>,
}

impl Orders {
    /// Creates the state of an engine that has had no order.
    pub fn new(fencing: Fencing) -> Self {
        Self {
            fencing,
            greatest: 0,
            taken: Vec::new(),
            models: BTreeSet::new(),
        }
    }

    /// Takes or refuses an order.
    ///
    /// # Errors
    ///
    /// Returns an error if the engine checks numbers and the order's is old or missing.
    pub fn give(&mut self, number: Option<u64>, order: Order) -> Result<(), OrderError> {
        match (self.fencing, number) {
            (Fencing::Checked, None) => return Err(OrderError::Missing),
            (Fencing::Checked, Some(got)) if got < self.greatest => {
                let greatest = self.greatest;
                return Err(OrderError::Stale { got, greatest });
            }
            _ => {}
        }
        self.greatest = self.greatest.max(number.unwrap_or(0));
        match &order {
            Order::Load { model } => {
                self.models.insert(model.clone());
            }
            Order::Unload { model } => {
                self.models.remove(model);
            }
            Order::Role { .. } => {}
        }
        self.taken.push((number, order));
        Ok(())
    }

    /// The models that are loaded.
    pub fn models(&self) -> &BTreeSet<String> {
        &self.models
    }

    /// Drops all models, as a restart of the engine does.
    pub fn clear(&mut self) {
        self.models.clear();
    }

    /// The orders taken, oldest first.
    pub fn taken(&self) -> &[(Option<u64>, Order)] {
        &self.taken
    }
}
