//! `redwinglatch bench`: runs the benchmarks of redwinglatch-bench. Not linked in yet.

use bpaf::Bpaf;

use crate::command_error::CommandError;
use crate::output::{Format, format};

/// What to run.
#[derive(Debug, Clone, Bpaf)]
pub(crate) struct BenchArgs {
    /// Run with this seed; the same seed gives the same figures
    #[bpaf(long, argument("SEED"), fallback(1), display_fallback)]
    pub(crate) seed: u64,
    #[bpaf(external)]
    pub(crate) format: Format,
    /// Run only these workloads
    #[bpaf(positional("WORKLOAD"))]
    pub(crate) workloads: Vec<String>,
}

/// Runs the benchmarks and prints their figures in `args.format`.
pub(crate) fn run(args: &BenchArgs) -> miette::Result<()> {
    log::debug!("bench: workloads {:?} with seed {}", args.workloads, args.seed);
    Err(CommandError::new(
        "the benchmarks are not linked in yet",
        "run `cargo bench` in the repository",
    )
    .into())
}
