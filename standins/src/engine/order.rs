//! Control orders to an engine, with optional fencing.

use std::collections::BTreeSet;

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

/// Whether an engine checks fencing numbers.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Fencing {
    /// Rejects an order whose number is lower than the greatest one seen.
    Checked,
    /// Accepts every order.
    Ignored,
}

/// A control order.
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

/// Why an order was rejected.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Display, Error)]
pub enum OrderError {
    /// A greater fencing number has been seen.
    #[display("fencing number {got} is older than {greatest}")]
    Stale {
        /// The order's number.
        got: u64,
        /// The greatest number seen.
        greatest: u64,
    },
    /// The engine checks fencing numbers and the order has none.
    #[display("a fencing number is needed")]
    Missing,
}

/// The orders that an engine has accepted.
#[derive(Clone, Debug)]
pub struct Orders {
    fencing: Fencing,
    greatest: u64,
    accepted: Vec<(Option<u64>, Order)>,
    models: BTreeSet<String>,
}

impl Orders {
    /// Creates the state of an engine that has not received any order.
    pub fn new(fencing: Fencing) -> Self {
        Self {
            fencing,
            greatest: 0,
            accepted: Vec::new(),
            models: BTreeSet::new(),
        }
    }

    /// Accepts or rejects an order.
    ///
    /// # Errors
    ///
    /// Returns an error if the engine checks fencing numbers and the order's is stale or missing.
    pub fn apply(&mut self, number: Option<u64>, order: Order) -> Result<(), OrderError> {
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
        self.accepted.push((number, order));
        Ok(())
    }

    /// The loaded models.
    pub fn models(&self) -> &BTreeSet<String> {
        &self.models
    }

    /// Unloads all models, as a restart of the engine does.
    pub fn clear(&mut self) {
        self.models.clear();
    }

    /// The accepted orders with their fencing numbers, oldest first.
    pub fn accepted(&self) -> &[(Option<u64>, Order)] {
        &self.accepted
    }
}
