//! Bounds on measured values.

use serde::{Deserialize, Serialize};

/// A bound from the stated targets, with the measured value.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Bound {
    /// The name of the bounded value.
    pub name: String,
    /// The measured value.
    pub measured: f64,
    /// The relation of the value to the limit: `at most`, `below`, `at least` or `above`.
    pub relation: String,
    /// The limit.
    pub limit: f64,
    /// Whether the value is within the bound.
    pub held: bool,
    /// Whether a violation of the bound fails this run.
    pub counts: bool,
}

impl Bound {
    /// Creates a bound that `measured` must not exceed.
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

    /// Whether the bound is violated and the violation fails the run.
    #[must_use]
    pub fn fails(&self) -> bool {
        self.counts && !self.held
    }
}
