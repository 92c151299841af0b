//! Sections of a report.

use crate::{Chart, Table};

/// A section of the HTML page, with charts and a table.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct ReportSection {
    /// The heading.
    pub title: String,
    /// A description of the measurements and their scope.
    pub note: String,
    /// The charts.
    pub charts: Vec<Chart>,
    /// The measurements as text.
    pub table: Table,
}
