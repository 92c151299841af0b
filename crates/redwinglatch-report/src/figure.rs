//! Single measured values that later runs are compared with.

use serde::{Deserialize, Serialize};

/// Which direction is an improvement.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Better {
    /// A lower value.
    Lower,
    /// A higher value.
    Higher,
}

/// One measured value.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Figure {
    /// Names the figure; a later run has the same name for the same figure.
    pub name: String,
    /// The value.
    pub value: f64,
    /// The unit, or an empty text for shares and ratios.
    pub unit: String,
    /// Which direction is an improvement.
    pub better: Better,
    /// Whether the value depends on the machine's speed.
    pub timed: bool,
}

impl Figure {
    /// A figure whose lower values are better.
    #[must_use]
    pub fn lower(name: impl Into<String>, value: f64, unit: impl Into<String>) -> Figure {
        let (name, unit) = (name.into(), unit.into());
        Figure { name, value, unit, better: Better::Lower, timed: false }
    }

    /// A figure whose higher values are better.
    #[must_use]
    pub fn higher(name: impl Into<String>, value: f64, unit: impl Into<String>) -> Figure {
        Figure { better: Better::Higher, ..Figure::lower(name, value, unit) }
    }

    /// Marks the value as dependent on the machine's speed.
    #[must_use]
    pub fn timed(mut self) -> Figure {
        self.timed = true;
        self
    }
}
