//! The summary and the pass or fail verdict of a benchmark run.

use std::fmt::Write as _;
use std::path::Path;

use redwinglatch_report::{BetterDirection, Comparison, Report, format_number};

/// Returns the bounds, the ratios to the earlier run and the path of the report as text.
pub(crate) fn summary(report: &Report, comparison: Option<&Comparison>, out: &Path) -> String {
    let mut text = String::new();
    // Writing to a string can't fail.
    let _ = write_summary(&mut text, report, comparison, out);
    text
}

fn write_summary(
    text: &mut String,
    report: &Report,
    comparison: Option<&Comparison>,
    out: &Path,
) -> std::fmt::Result {
    for bound in &report.bounds {
        let result = match (bound.held, bound.counts) {
            (true, _) => "held",
            (false, true) => "MISSED",
            (false, false) => "missed, not counted",
        };
        writeln!(
            text,
            "bound {result}: {}: {} {} {}",
            bound.name,
            format_number(bound.measured),
            bound.relation,
            format_number(bound.limit)
        )?;
    }
    if let Some(comparison) = comparison {
        for change in &comparison.changes {
            let mark = if change.is_regression { "  REGRESSION" } else { "" };
            let better = match change.measurement.better {
                BetterDirection::Lower => "lower",
                BetterDirection::Higher => "higher",
            };
            writeln!(
                text,
                "ratio {:.3}: {}: {} -> {} {} ({better} is better){mark}",
                change.ratio,
                change.measurement.name,
                format_number(change.before),
                format_number(change.measurement.value),
                change.measurement.unit
            )?;
        }
        writeln!(
            text,
            "{} measurements compared, {} only in the earlier run, {} only in this run",
            comparison.changes.len(),
            comparison.missing.len(),
            comparison.added.len()
        )?;
    }
    for violation in &report.violations {
        writeln!(text, "VIOLATION: {violation}")?;
    }
    writeln!(text, "report: {}", out.join("report.html").display())
}

/// Returns an error with the number of violations, missed bounds and regressions if there are any.
pub(crate) fn check(report: &Report, comparison: Option<&Comparison>) -> Result<(), String> {
    let missed = report.bounds.iter().filter(|it| it.fails()).count();
    let regressions = comparison.map_or(0, |it| it.regressions().count());
    let violations = report.violations.len();
    if report.passed() && regressions == 0 {
        return Ok(());
    }
    Err(format!("{violations} violations, {missed} missed bounds, {regressions} regressions"))
}
