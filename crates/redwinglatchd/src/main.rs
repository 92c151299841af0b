//! The redwinglatch daemon: reads its settings and runs `redwinglatch-server`.
//!
//! Exit codes: 0 success, 2 usage error, 1 everything else.

use std::path::PathBuf;
use std::process::ExitCode;

use bpaf::{Bpaf, ShellComp};
use log::info;
use miette::IntoDiagnostic;
use redwinglatch_server::DataFolder;
use redwinglatch_settings::Settings;

/// Column at which help is wrapped; a common terminal width.
const HELP_WIDTH: usize = 100;

/// Serve callers in front of model engines and plain services
#[derive(Debug, Clone, Bpaf)]
#[bpaf(
    options,
    version,
    header(
        "The daemon reads its settings, joins the other instances and accepts requests as soon as \
         it holds a serving lease. Stop it with `redwinglatch instance stop ID` or SIGTERM; it \
         exits after its last request."
    ),
    footer(
        "Examples:\n   redwinglatchd --config node.ini --check\n   RUST_LOG=info redwinglatchd \
         --config node.ini\n Exit codes: 0 success, 2 usage error, 1 everything else."
    )
)]
struct DaemonArgs {
    /// Read the settings in FILE
    #[bpaf(long, argument("FILE"), complete_shell(ShellComp::File { mask: Some("*.ini") }))]
    config: PathBuf,
    /// Check the settings and exit
    #[bpaf(long)]
    check: bool,
    /// Create the log replica if the data folder contains none; only for a replica id that was
    /// never used
    #[bpaf(long)]
    init: bool,
}

fn main() -> ExitCode {
    let args = match daemon_args().run_inner(bpaf::Args::current_args()) {
        Ok(args) => args,
        Err(failure) => {
            // Help, version and completions go to standard output, usage errors to standard error.
            failure.print_message(HELP_WIDTH);
            let is_usage_error = failure.exit_code() != 0;
            return ExitCode::from(if is_usage_error { 2 } else { 0 });
        }
    };
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("info")).init();
    match run(&args) {
        Ok(()) => ExitCode::SUCCESS,
        Err(report) => {
            eprintln!("{report:?}");
            ExitCode::FAILURE
        }
    }
}

fn run(args: &DaemonArgs) -> miette::Result<()> {
    let settings = Settings::from_file(&args.config)?;
    let file = args.config.display();
    if args.check {
        println!("{file}: the settings of instance {} are valid", settings.instance.id);
        return Ok(());
    }
    info!("daemon: starting instance {} with the settings in {file}", settings.instance.id);
    let folder = if args.init { DataFolder::MayBeNew } else { DataFolder::Existing };
    run_server(settings, folder)
}

fn run_server(settings: Settings, folder: DataFolder) -> miette::Result<()> {
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build();
    let runtime = runtime.into_diagnostic()?;
    runtime.block_on(redwinglatch_server::run(settings, folder)).into_diagnostic()
}
