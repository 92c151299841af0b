//! Bounds from the stated targets.

use serde::{Deserialize, Serialize};

/// A bound from the stated targets and the measured figure.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Bound {
    /// What is bounded.
    pub name: String,
    /// The measured figure.
    pub measured: f64,
    /// `at most`, `below`, `at least` or `above`.
    pub relation: String,
    /// The bound.
    pub limit: f64,
    /// Whether the bound holds.
    pub held: bool,
    /// Whether a miss fails this run.
    pub counts: bool,
}

impl Bound {
    /// A bound that `measured` must not exceed.
    #[must_use]
    pub fn at_most(name: impl Into<String>, measured: f64, limit: f64, counts: bool) -> Bound {
        Bound {
            name: name.into(),
            measured,
            relation: "at most".to_owned(),
            limit,
            held: measured <= limit,
            counts,
        }
    }

    /// Whether the bound was missed and the miss fails the run.
    #[must_use]
    pub fn fails(&self) -> bool {
        self.counts && !self.held
    }
}
