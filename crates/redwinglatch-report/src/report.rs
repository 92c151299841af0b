//! What a run measured.

use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};

use crate::{Bound, Figure};

/// What a run measured, as it is kept for later comparisons.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// The seed of all random choices.
    pub seed: u64,
    /// Whether the run was shortened; then only counts and ratios are judged.
    pub short: bool,
    /// Checks that found a violation, in words.
    pub violations: Vec<String>,
    /// The bounds.
    pub bounds: Vec<Bound>,
    /// The figures that are compared.
    pub figures: Vec<Figure>,
    /// All measured rows of each benchmark.
    pub rows: Map<String, Value>,
}

impl Report {
    /// A report without figures.
    #[must_use]
    pub fn new(seed: u64, short: bool) -> Report {
        Report {
            seed,
            short,
            violations: Vec::new(),
            bounds: Vec::new(),
            figures: Vec::new(),
            rows: Map::new(),
        }
    }

    /// Whether no checker found a violation and no bound that counts was missed.
    #[must_use]
    pub fn passed(&self) -> bool {
        self.violations.is_empty() && !self.bounds.iter().any(Bound::fails)
    }

    /// Encodes the report as JSON text.
    ///
    /// # Errors
    ///
    /// Fails if a value can't be encoded.
    pub fn to_json(&self) -> serde_json::Result<String> {
        serde_json::to_string_pretty(self).map(|text| text + "\n")
    }

    /// Decodes a report from JSON text.
    ///
    /// # Errors
    ///
    /// Fails if the text is no report.
    pub fn from_json(text: &str) -> serde_json::Result<Report> {
        serde_json::from_str(text)
    }
}
