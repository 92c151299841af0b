//! Single measured values, which are compared between runs.

use serde::{Deserialize, Serialize};

/// The direction that is an improvement.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum BetterDirection {
    /// A lower value.
    Lower,
    /// A higher value.
    Higher,
}

/// One measured value.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Measurement {
    /// The name, which is the same in all runs.
    pub name: String,
    /// The value.
    pub value: f64,
    /// The unit, or an empty string for shares and ratios.
    pub unit: String,
    /// The direction that is an improvement.
    pub better: BetterDirection,
    /// Whether the value depends on the speed of the machine.
    pub timed: bool,
}

impl Measurement {
    /// Creates a measurement whose lower values are better.
    #[must_use]
    pub fn lower(name: impl Into<String>, value: f64, unit: impl Into<String>) -> Measurement {
        let (name, unit) = (name.into(), unit.into());
        Measurement { name, value, unit, better: BetterDirection::Lower, timed: false }
    }

    /// Creates a measurement whose higher values are better.
    #[must_use]
    pub fn higher(name: impl Into<String>, value: f64, unit: impl Into<String>) -> Measurement {
        Measurement { better: BetterDirection::Higher, ..Measurement::lower(name, value, unit) }
    }

    /// Marks the value as dependent on the speed of the machine.
    #[must_use]
    pub fn timed(mut self) -> Measurement {
        self.timed = true;
        self
    }
}
