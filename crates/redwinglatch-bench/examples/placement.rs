//! Prints the results of the benchmarks: `placement [--short] [--no-decisions] [--seed N] [--workload NAME]`.

use std::process::ExitCode;

use redwinglatch_bench::{Options, run};

fn main() -> ExitCode {
    let mut options = Options::full();
    let mut arguments = std::env::args().skip(1);
    while let Some(argument) = arguments.next() {
        match &*argument {
            "--short" => options.is_short = true,
            "--no-decisions" => options.has_decisions = false,
            "--seed" => match arguments.next().and_then(|it| it.parse().ok()) {
                Some(seed) => options.seed = seed,
                None => return usage(),
            },
            "--workload" => options.workload = arguments.next(),
            _ => return usage(),
        }
    }
    let report = run(&options, |step| eprintln!("{step}"));
    println!("{report}");
    if report.passed() { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}

fn usage() -> ExitCode {
    eprintln!("usage: placement [--short] [--no-decisions] [--seed N] [--workload NAME]");
    ExitCode::from(2)
}
