//! Benchmark reports: JSON for later comparisons, an HTML page and SVG charts.
//!
//! All functions are pure. A [`Report`] contains the results of a run; [`Report::to_json`] and
//! [`Report::from_json`] encode and decode it, [`render_html`] and [`render_svg`] render it, and
//! [`compare`] compares it with an earlier one.
//!
//! ```
//! use redwinglatch_report::{Measurement, Report, compare};
//!
//! let measurement = |value| Measurement::lower("control/3x3/idle sent", value, "B/s");
//! let before = Report { figures: vec![measurement(100.0)], ..Report::new(1, true) };
//! let after = Report { figures: vec![measurement(150.0)], ..Report::new(1, true) };
//! let comparison = compare(&before, &after)?;
//! assert_eq!(comparison.regressions().count(), 1);
//! # Ok::<(), redwinglatch_report::CompareError>(())
//! ```

mod bound;
mod chart;
mod compare;
mod escape;
mod html;
mod measurement;
mod number;
mod report;
mod report_section;
mod svg;
mod table;

pub use bound::Bound;
pub use chart::{Chart, ChartKind, Series};
pub use compare::{CompareError, Comparison, MeasurementChange, compare};
pub use html::render_html;
pub use measurement::{BetterDirection, Measurement};
pub use number::format_number;
pub use report::Report;
pub use report_section::ReportSection;
pub use svg::render_svg;
pub use table::Table;
