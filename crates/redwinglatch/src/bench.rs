//! `redwinglatch bench`: runs every benchmark, writes the figures and judges them.

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

/// A benchmark that can run alone.
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
                "{text:?} is no benchmark; write placement, decisions, control or stream"
            )),
        }
    }
}

/// What to run and where to write.
#[derive(Debug, Clone, Bpaf)]
pub(crate) struct BenchArgs {
    /// Run a shortened version and judge only counts and ratios
    #[bpaf(long)]
    pub(crate) short: bool,
    /// Run with this seed; the same seed repeats all counts on virtual time
    #[bpaf(long, argument("SEED"), fallback(1), display_fallback)]
    pub(crate) seed: u64,
    /// Write result.json, report.html and the charts into this folder
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

/// Runs the benchmarks, writes and prints their figures in `args.format`, and fails past a bound.
pub(crate) fn run(args: &BenchArgs) -> miette::Result<()> {
    let mut run = Run::new(args.seed, args.short);
    // Checked first, so that a wrong file does not cost a whole run.
    let baseline = args.baseline.as_deref().map(read_report).transpose()?;
    if let Some(baseline) = &baseline {
        compare(baseline, &run.report).map_err(|error| incomparable(&error))?;
    }
    std::fs::create_dir_all(&args.out).map_err(|error| failed(&args.out, "written", &error))?;
    placement::run(args, &mut run);
    if args.includes(Benchmark::Control) {
        let work = args.out.join(format!("work-{}", std::process::id()));
        let measured = control::run(&work, &mut run).and_then(|()| recovery::run(&work, &mut run));
        // The figures are kept in the report; the data folders are not.
        let _ = std::fs::remove_dir_all(&work);
        measured.map_err(|error| stopped("control", &error))?;
    }
    if args.includes(Benchmark::Stream) {
        let work = args.out.join(format!("work-stream-{}", std::process::id()));
        let measured = stream::run(&work, &mut run);
        let _ = std::fs::remove_dir_all(&work);
        measured.map_err(|error| stopped("stream", &error))?;
    }
    let comparison = match &baseline {
        Some(baseline) => {
            Some(compare(baseline, &run.report).map_err(|error| incomparable(&error))?)
        }
        None => None,
    };
    write_all(&args.out, &run, comparison.as_ref())?;
    let text = verdict::summary(&run.report, comparison.as_ref(), &args.out);
    let json = serde_json::to_value(&run.report).map_err(|error| stopped("report", &error))?;
    print(&Output::new(text, json), args.format);
    verdict::judge(&run.report, comparison.as_ref())
        .map_err(|message| CommandError::new(message, "see report.html for all figures").into())
}

fn incomparable(error: &CompareError) -> CommandError {
    CommandError::new(
        format!("the runs can't be compared: {error}"),
        "repeat one of the runs with the seed and length of the other",
    )
}

fn read_report(path: &Path) -> Result<Report, CommandError> {
    let text = std::fs::read_to_string(path).map_err(|error| failed(path, "read", &error))?;
    Report::from_json(&text).map_err(|error| failed(path, "read as a result", &error))
}

fn write_all(out: &Path, run: &Run, comparison: Option<&Comparison>) -> Result<(), CommandError> {
    let write = |name: &str, text: &str| {
        let path = out.join(name);
        std::fs::write(&path, text).map_err(|error| failed(&path, "written", &error))
    };
    let json = run.report.to_json().map_err(|error| stopped("report", &error))?;
    write("result.json", &json)?;
    write("report.html", &render_html(&run.report, &run.sections, comparison))?;
    for chart in run.sections.iter().flat_map(|section| &section.charts) {
        write(&format!("{}.svg", chart.file), &render_svg(chart))?;
    }
    Ok(())
}

fn failed(path: &Path, action: &str, error: &dyn std::fmt::Display) -> CommandError {
    let message = format!("{} can't be {action}: {error}", path.display());
    CommandError::new(message, "check the name and the permissions")
}

fn stopped(benchmark: &str, error: &dyn std::fmt::Display) -> CommandError {
    let message = format!("the {benchmark} benchmark stopped: {error}");
    CommandError::new(message, "run it again with RUST_LOG=info for the log lines")
}
