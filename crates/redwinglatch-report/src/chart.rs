//! Charts of a report.

/// The kind of a chart.
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
    /// The values at the positions of the chart; `None` where no value was measured.
    pub values: Vec<Option<f64>>,
}

/// A chart.
#[derive(Debug, Clone, PartialEq)]
pub struct Chart {
    /// The name of the chart's file, without an extension.
    pub file: String,
    /// The title.
    pub title: String,
    /// The unit of the values.
    pub unit: String,
    /// The kind of the chart.
    pub kind: ChartKind,
    /// The labels on the horizontal axis. A line chart uses a logarithmic scale if all are positive
    /// numbers.
    pub positions: Vec<String>,
    /// The series.
    pub series: Vec<Series>,
    /// A limit that is drawn as a dashed line.
    pub limit: Option<f64>,
}
