//! Request costs and the team weights that divide capacity.

use core::fmt;

use derive_more::{Add, AddAssign, Display, From, Into, Sub, SubAssign, Sum};
use serde::{Deserialize, Serialize};

/// An amount of work in cost units; one unit is one generated token or its equivalent.
///
/// Costs are signed because the correction at the end of a request may be negative.
#[derive(
    Clone,
    Copy,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Debug,
    Display,
    From,
    Into,
    Add,
    AddAssign,
    Sub,
    SubAssign,
    Sum,
    Serialize,
    Deserialize,
)]
#[serde(transparent)]
pub struct Cost(pub i64);

impl Cost {
    /// Zero cost.
    pub const ZERO: Self = Self(0);

    /// Normalizes the cost to weight 1 by dividing it by `weight`, rounding to nearest.
    pub fn per_weight(self, weight: Weight) -> Self {
        let weight = i64::from(weight.get());
        Self((self.0 + self.0.signum() * weight / 2) / weight)
    }
}

/// The weight of a team: its share relative to the other backlogged teams.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Weight(u32);

impl Weight {
    /// The default weight of a team.
    pub const ONE: Self = Self(1);

    /// Creates a weight; `None` if `value` is 0.
    pub fn new(value: u32) -> Option<Self> {
        (value > 0).then_some(Self(value))
    }

    /// Returns the weight, which is greater than 0.
    pub fn get(self) -> u32 {
        self.0
    }
}

impl Default for Weight {
    fn default() -> Self {
        Self::ONE
    }
}

impl fmt::Display for Weight {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}
