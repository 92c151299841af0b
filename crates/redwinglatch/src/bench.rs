//! `redwinglatch bench`: runs the benchmarks, writes their measurements and checks their bounds.

mod control;
mod control_rows;
mod durations;
mod placement;
mod process;
mod recovery;
mod run;
mod stream;
mod verdict;

use std::path::{Path, PathBuf};
use std::str::FromStr;

use bpaf::{Bpaf, ShellComp};
use redwinglatch_report::{CompareError, Comparison, Report, compare, render_html, render_svg};

use crate::command_error::CommandError;
use crate::output::{Format, Output, format, print};

use run::Run;

/// A benchmark that can be selected with `--only`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Benchmark {
    Placement,
    Decisions,
    Control,
    Stream,
}

impl FromStr for Benchmark {
    type Err = String;

    fn from_str(text: &str) -> Result<Benchmark, String> {
        match text {
            "placement" => Ok(Benchmark::Placement),
            "decisions" => Ok(Benchmark::Decisions),
            "control" => Ok(Benchmark::Control),
            "stream" => Ok(Benchmark::Stream),
            _ => Err(format!(
                "{text:?} is not a benchmark; write placement, decisions, control or stream"
            )),
        }
    }
}

/// Options of `redwinglatch bench`.
#[derive(Debug, Clone, Bpaf)]
pub(crate) struct BenchArgs {
    /// Run a shortened version and check only counts and ratios against the bounds
    #[bpaf(long)]
    pub(crate) short: bool,
    /// Run with this seed; the same seed gives the same counts in virtual time
    #[bpaf(long, argument("SEED"), fallback(1), display_fallback)]
    pub(crate) seed: u64,
    /// Write result.json, report.html and the charts to this directory
    #[bpaf(long, argument("DIR"), fallback("target/bench".into()), complete_shell(ShellComp::Dir { mask: None }))]
    pub(crate) out: PathBuf,
    /// Compare with the result.json of an earlier run
    #[bpaf(long, argument("FILE"), complete_shell(ShellComp::File { mask: Some("*.json") }))]
    pub(crate) baseline: Option<PathBuf>,
    /// Run only this benchmark: placement, decisions, control or stream
    #[bpaf(long, argument("NAME"))]
    pub(crate) only: Option<Benchmark>,
    #[bpaf(external)]
    pub(crate) format: Format,
}

impl BenchArgs {
    fn includes(&self, benchmark: Benchmark) -> bool {
        self.only.is_none_or(|only| only == benchmark)
    }
}

/// Runs the benchmarks, writes the result files and prints a summary in `args.format`. Fails if a
/// bound is missed.
pub(crate) fn run(args: &BenchArgs) -> miette::Result<()> {
    let mut run = Run::new(args.seed, args.short);
    // Checked first, so that a wrong baseline file does not waste a whole run.
    let baseline = args.baseline.as_deref().map(read_report).transpose()?;
    if let Some(baseline) = &baseline {
        compare(baseline, &run.report).map_err(|error| comparison_error(&error))?;
    }
    std::fs::create_dir_all(&args.out).map_err(|error| file_error(&args.out, "written", &error))?;
    placement::run(args, &mut run);
    if args.includes(Benchmark::Control) {
        let work_dir = args.out.join(format!("work-{}", std::process::id()));
        let result =
            control::run(&work_dir, &mut run).and_then(|()| recovery::run(&work_dir, &mut run));
        // The measurements are in the report; the data directories are no longer needed.
        let _ = std::fs::remove_dir_all(&work_dir);
        result.map_err(|error| benchmark_error("control", &error))?;
    }
    if args.includes(Benchmark::Stream) {
        let work_dir = args.out.join(format!("work-stream-{}", std::process::id()));
        let result = stream::run(&work_dir, &mut run);
        let _ = std::fs::remove_dir_all(&work_dir);
        result.map_err(|error| benchmark_error("stream", &error))?;
    }
    let comparison = match &baseline {
        Some(baseline) => {
            Some(compare(baseline, &run.report).map_err(|error| comparison_error(&error))?)
        }
        None => None,
    };
    write_result_files(&args.out, &run, comparison.as_ref())?;
    let text = verdict::summary(&run.report, comparison.as_ref(), &args.out);
    let json =
        serde_json::to_value(&run.report).map_err(|error| benchmark_error("report", &error))?;
    print(&Output::new(text, json), args.format);
    verdict::check(&run.report, comparison.as_ref()).map_err(|message| {
        CommandError::new(message, "see report.html for all measurements").into()
    })
}

fn comparison_error(error: &CompareError) -> CommandError {
    CommandError::new(
        format!("the runs can't be compared: {error}"),
        "repeat one of the runs with the seed and the --short option of the other",
    )
}

fn read_report(path: &Path) -> Result<Report, CommandError> {
    let text = std::fs::read_to_string(path).map_err(|error| file_error(path, "read", &error))?;
    Report::from_json(&text).map_err(|error| file_error(path, "read as a result", &error))
}

fn write_result_files(
    out: &Path,
    run: &Run,
    comparison: Option<&Comparison>,
) -> Result<(), CommandError> {
    let write = |name: &str, text: &str| {
        let path = out.join(name);
        std::fs::write(&path, text).map_err(|error| file_error(&path, "written", &error))
    };
    let json = run.report.to_json().map_err(|error| benchmark_error("report", &error))?;
    write("result.json", &json)?;
    write("report.html", &render_html(&run.report, &run.sections, comparison))?;
    for chart in run.sections.iter().flat_map(|section| &section.charts) {
        write(&format!("{}.svg", chart.file), &render_svg(chart))?;
    }
    Ok(())
}

fn file_error(path: &Path, action: &str, error: &dyn std::fmt::Display) -> CommandError {
    let message = format!("{} can't be {action}: {error}", path.display());
    CommandError::new(message, "check the path and the permissions")
}

fn benchmark_error(benchmark: &str, error: &dyn std::fmt::Display) -> CommandError {
    let message = format!("the {benchmark} benchmark failed: {error}");
    CommandError::new(message, "run it again with RUST_LOG=info for the log lines")
}
