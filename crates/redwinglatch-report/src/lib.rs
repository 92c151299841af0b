//! Rendering of benchmark reports: JSON for later comparisons, an HTML page and its charts as SVG.
//!
//! All functions are pure. A [`Report`] holds what a run measured; [`Report::to_json`] and
//! [`Report::from_json`] keep it, [`render_html`] and [`render_svg`] show it, and [`compare`] sets
//! it beside an earlier one.
//!
//! ```
//! use redwinglatch_report::{Figure, Report, compare};
//!
//! let figure = |value| Figure::lower("control/3x3/idle sent", value, "B/s");
//! let before = Report { figures: vec![figure(100.0)], ..Report::new(1, true) };
//! let after = Report { figures: vec![figure(150.0)], ..Report::new(1, true) };
//! let comparison = compare(&before, &after)?;
//! assert_eq!(comparison.regressions().count(), 1);
//! # Ok::<(), redwinglatch_report::CompareError>(())
//! ```

mod bound;
mod chart;
mod compare;
mod escape;
mod figure;
mod html;
mod number;
mod report;
mod section;
mod svg;
mod table;

pub use bound::Bound;
pub use chart::{Chart, ChartKind, Series};
pub use compare::{Change, CompareError, Comparison, compare};
pub use figure::{Better, Figure};
pub use html::render_html;
pub use number::format_number;
pub use report::Report;
pub use section::Section;
pub use svg::render_svg;
pub use table::Table;
