//! Benchmarks of redwinglatch: placement policies side by side on virtual time, and the time and
//! memory of decisions.
//!
//! ```no_run
//! use redwinglatch_bench::{Options, run};
//!
//! let options = Options { decisions: false, ..Options::short() };
//! let report = run(&options, |step| eprintln!("{step}"));
//! println!("{report}");
//! ```

mod bounds;
mod decisions;
mod options;
mod placement;
mod report;

pub use options::{Fault, Options};
pub use report::{BoundRow, DecisionRow, PlacementRow, RefusedRow, Report};

/// Runs the benches; `progress` is told each step.
#[must_use]
pub fn run(options: &Options, mut progress: impl FnMut(&str)) -> Report {
    let decisions =
        if options.decisions { decisions::run(options, &mut progress) } else { Vec::new() };
    let placement = placement::run(options, &mut progress);
    let bounds = bounds::bounds(&placement, &decisions);
    Report { seed: options.seed, short: options.short, placement, decisions, bounds }
}
