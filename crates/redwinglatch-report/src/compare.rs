//! Comparison with an earlier run.

use std::collections::HashMap;
use std::fmt;

use crate::{BetterDirection, Measurement, Report};

/// Factor by which a count or ratio may become worse. Runs with the same seed repeat their counts,
/// so this allows only for small deliberate trade-offs.
const MAX_COUNT_RATIO: f64 = 1.1;
/// Factor by which a time may become worse; times on a shared machine vary by tens of percent.
const MAX_TIME_RATIO: f64 = 1.5;

/// A measurement that both runs contain.
#[derive(Debug, Clone, PartialEq)]
pub struct MeasurementChange {
    /// The measurement in the later run.
    pub measurement: Measurement,
    /// The value in the earlier run.
    pub before: f64,
    /// The later value divided by the earlier one; 1 if both are 0.
    pub ratio: f64,
    /// Whether the measurement is judged in this run and became worse than allowed.
    pub is_regression: bool,
}

/// All measurements that both runs contain, and the names of those that only one contains.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Comparison {
    /// The measurements of both runs, in the order of the later run.
    pub changes: Vec<MeasurementChange>,
    /// The names of measurements that only the earlier run contains.
    pub missing: Vec<String>,
    /// The names of measurements that only the later run contains.
    pub added: Vec<String>,
}

impl Comparison {
    /// Returns the measurements that became worse than allowed.
    pub fn regressions(&self) -> impl Iterator<Item = &MeasurementChange> {
        self.changes.iter().filter(|it| it.is_regression)
    }
}

/// The reason for which two runs can't be compared.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CompareError {
    /// The runs have different seeds.
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

/// Compares a run with an earlier one. In shortened runs, only counts and ratios are judged.
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
    let mut earlier_values: HashMap<&str, f64> =
        before.figures.iter().map(|measurement| (&*measurement.name, measurement.value)).collect();
    let mut comparison = Comparison::default();
    for measurement in &after.figures {
        match earlier_values.remove(&*measurement.name) {
            Some(value) => comparison.changes.push(change(measurement, value, after.short)),
            None => comparison.added.push(measurement.name.clone()),
        }
    }
    let is_missing = |measurement: &&Measurement| earlier_values.contains_key(&*measurement.name);
    comparison.missing =
        before.figures.iter().filter(is_missing).map(|it| it.name.clone()).collect();
    Ok(comparison)
}

fn change(measurement: &Measurement, before: f64, short: bool) -> MeasurementChange {
    let ratio = if measurement.value == before { 1.0 } else { measurement.value / before };
    let worsening_ratio = match measurement.better {
        BetterDirection::Lower => ratio,
        BetterDirection::Higher => 1.0 / ratio,
    };
    let max_ratio = if measurement.timed { MAX_TIME_RATIO } else { MAX_COUNT_RATIO };
    let is_judged = !(measurement.timed && short);
    // A ratio that is not a number can't show that the measurement is within the allowed ratio.
    let exceeds_max_ratio = worsening_ratio.is_nan() || max_ratio < worsening_ratio;
    MeasurementChange {
        measurement: measurement.clone(),
        before,
        ratio,
        is_regression: is_judged && exceeds_max_ratio,
    }
}
