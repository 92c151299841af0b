//! The results of a benchmark run that is in progress.

use redwinglatch_report::{Report, ReportSection};
use serde::Serialize;

/// The measurements of a run and the sections of its report.
pub(crate) struct Run {
    pub(crate) report: Report,
    pub(crate) sections: Vec<ReportSection>,
}

impl Run {
    pub(crate) fn new(seed: u64, short: bool) -> Run {
        Run { report: Report::new(seed, short), sections: Vec::new() }
    }

    /// Prints the step that starts.
    pub(crate) fn progress(&self, step: &str) {
        eprintln!("{step}");
    }

    /// Adds the measured rows of a benchmark to the report.
    pub(crate) fn add_rows<T: Serialize>(&mut self, name: &str, rows: &T) {
        let rows = serde_json::to_value(rows).expect("rows have plain fields");
        self.report.rows.insert(name.to_owned(), rows);
    }
}
