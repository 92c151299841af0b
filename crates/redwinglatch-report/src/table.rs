//! Tables of a report.

/// A table of text cells.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Table {
    /// The names of the columns.
    pub heading: Vec<String>,
    /// The rows, each with one cell for each column.
    pub rows: Vec<Vec<String>>,
}

impl Table {
    /// Creates a table without rows.
    #[must_use]
    pub fn new(heading: &[&str]) -> Table {
        Table { heading: heading.iter().map(|&it| it.to_owned()).collect(), rows: Vec::new() }
    }

    /// Adds a row.
    pub fn push<const N: usize>(&mut self, cells: [String; N]) {
        self.rows.push(cells.into());
    }
}
