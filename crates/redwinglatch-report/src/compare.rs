//! Comparison with an earlier run.

use std::collections::HashMap;
use std::fmt;

use crate::{Better, Figure, Report};

/// How much worse a count or ratio may become. Runs with the same seed repeat their counts, so
/// this covers only deliberate small trades.
const COUNT_TOLERANCE: f64 = 1.1;
/// How much worse a time may become; times on a shared machine vary by tens of percent.
const TIME_TOLERANCE: f64 = 1.5;

/// A figure of both runs.
#[derive(Debug, Clone, PartialEq)]
pub struct Change {
    /// The figure in the later run.
    pub figure: Figure,
    /// The value in the earlier run.
    pub before: f64,
    /// The later value divided by the earlier one; 1 if both are 0.
    pub ratio: f64,
    /// Whether the figure counts in this run and became worse than its regression bound allows.
    pub is_regression: bool,
}

/// All figures that both runs have, and the names of those that only one has.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Comparison {
    /// The figures of both runs, in the order of the later one.
    pub changes: Vec<Change>,
    /// The figures that only the earlier run has.
    pub missing: Vec<String>,
    /// The figures that only the later run has.
    pub added: Vec<String>,
}

impl Comparison {
    /// The figures past their regression bound.
    pub fn regressions(&self) -> impl Iterator<Item = &Change> {
        self.changes.iter().filter(|it| it.is_regression)
    }
}

/// Why two runs can't be compared.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CompareError {
    /// The runs have other seeds.
    Seed,
    /// One run was shortened and the other was not.
    Length,
}

impl fmt::Display for CompareError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            CompareError::Seed => "the earlier run had another seed, so its counts differ",
            CompareError::Length => "only one of the runs was shortened, so their counts differ",
        })
    }
}

impl std::error::Error for CompareError {}

/// Compares a run with an earlier one; a shortened run judges only counts and ratios.
///
/// # Errors
///
/// Fails if the runs had different seeds or lengths.
pub fn compare(before: &Report, after: &Report) -> Result<Comparison, CompareError> {
    if before.seed != after.seed {
        return Err(CompareError::Seed);
    }
    if before.short != after.short {
        return Err(CompareError::Length);
    }
    let mut earlier: HashMap<&str, f64> =
        before.figures.iter().map(|figure| (&*figure.name, figure.value)).collect();
    let mut comparison = Comparison::default();
    for figure in &after.figures {
        match earlier.remove(&*figure.name) {
            Some(value) => comparison.changes.push(change(figure, value, after.short)),
            None => comparison.added.push(figure.name.clone()),
        }
    }
    let is_missing = |figure: &&Figure| earlier.contains_key(&*figure.name);
    comparison.missing =
        before.figures.iter().filter(is_missing).map(|it| it.name.clone()).collect();
    Ok(comparison)
}

fn change(figure: &Figure, before: f64, short: bool) -> Change {
    let ratio = if figure.value == before { 1.0 } else { figure.value / before };
    let worse = match figure.better {
        Better::Lower => ratio,
        Better::Higher => 1.0 / ratio,
    };
    let tolerance = if figure.timed { TIME_TOLERANCE } else { COUNT_TOLERANCE };
    let counts = !(figure.timed && short);
    // A ratio that is no number can't show that the figure kept its bound.
    let is_worse = worse.is_nan() || tolerance < worse;
    Change { figure: figure.clone(), before, ratio, is_regression: counts && is_worse }
}
