//! What a run has collected so far.

use redwinglatch_report::{Report, ReportSection};
use serde::Serialize;

/// The figures of a run and the sections of its page.
pub(crate) struct Run {
    pub(crate) report: Report,
    pub(crate) sections: Vec<ReportSection>,
}

impl Run {
    pub(crate) fn new(seed: u64, short: bool) -> Run {
        Run { report: Report::new(seed, short), sections: Vec::new() }
    }

    /// Shows that a step starts.
    pub(crate) fn progress(&self, step: &str) {
        eprintln!("{step}");
    }

    /// Keeps the measured rows of a benchmark.
    pub(crate) fn keep<T: Serialize>(&mut self, name: &str, rows: &T) {
        let rows = serde_json::to_value(rows).expect("rows have plain fields");
        self.report.rows.insert(name.to_owned(), rows);
    }
}
