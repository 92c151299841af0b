//! Benchmarks of redwinglatch: a simulation that compares placement policies on virtual time, and
//! measurements of the time and memory of placement decisions.
//!
//! ```no_run
//! use redwinglatch_bench::{Options, run};
//!
//! let options = Options { has_decisions: false, ..Options::short() };
//! let report = run(&options, |step| eprintln!("{step}"));
//! println!("{report}");
//! ```

mod bounds;
mod decisions;
mod options;
mod placement;
mod report;

pub use options::{InjectedFault, Options};
pub use report::{BenchReport, BoundRow, DecisionRow, PlacementRow, RefusedRow};

/// Runs the benchmarks and calls `progress` with a description of each step.
#[must_use]
pub fn run(options: &Options, mut progress: impl FnMut(&str)) -> BenchReport {
    let decisions =
        if options.has_decisions { decisions::run(options, &mut progress) } else { Vec::new() };
    let placement = placement::run(options, &mut progress);
    let bounds = bounds::check_bounds(&placement, &decisions);
    BenchReport { seed: options.seed, short: options.is_short, placement, decisions, bounds }
}
