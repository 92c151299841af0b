//! Charts of a page.

/// How a chart shows its values.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ChartKind {
    /// Groups of bars, one bar for each series.
    Bars,
    /// A line for each series over numeric positions.
    Lines,
}

/// The values of one series.
#[derive(Debug, Clone, PartialEq)]
pub struct Series {
    /// The name in the legend.
    pub name: String,
    /// The values at the positions of the chart; `None` where nothing was measured.
    pub values: Vec<Option<f64>>,
}

/// A chart.
#[derive(Debug, Clone, PartialEq)]
pub struct Chart {
    /// The name of the chart's own file, without an ending.
    pub file: String,
    /// The title.
    pub title: String,
    /// The unit of the values.
    pub unit: String,
    /// How the values are shown.
    pub kind: ChartKind,
    /// The labels of the positions; a chart of lines places numbers by their logarithm.
    pub positions: Vec<String>,
    /// The series.
    pub series: Vec<Series>,
    /// A bound that is drawn as a dashed line.
    pub limit: Option<f64>,
}
