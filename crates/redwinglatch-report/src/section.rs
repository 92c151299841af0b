//! Sections of a page.

use crate::{Chart, Table};

/// A part of the page with its charts and a table.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Section {
    /// The heading.
    pub title: String,
    /// What was measured and what the figures include.
    pub note: String,
    /// The charts.
    pub charts: Vec<Chart>,
    /// The figures as text.
    pub table: Table,
}
