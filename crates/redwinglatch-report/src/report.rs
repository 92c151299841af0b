//! The results of a run.

use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};

use crate::{Bound, Measurement};

/// The results of a run, as stored for later comparisons.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// The seed of all random choices.
    pub seed: u64,
    /// Whether the run was shortened, in which case only counts and ratios are judged.
    pub short: bool,
    /// Descriptions of the violations that checks found.
    pub violations: Vec<String>,
    /// The bounds.
    pub bounds: Vec<Bound>,
    /// The measurements that are compared between runs.
    pub figures: Vec<Measurement>,
    /// All measured rows of each benchmark.
    pub rows: Map<String, Value>,
}

impl Report {
    /// Creates an empty report.
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

    /// Whether there is no violation and no violated bound that fails the run.
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
    /// Fails if the text is not a report.
    pub fn from_json(text: &str) -> serde_json::Result<Report> {
        serde_json::from_str(text)
    }
}
