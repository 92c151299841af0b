//! The command line of redwinglatch: contracts, instances, status, settings, explanations of
//! requests and of placements, benchmarks and a demonstration.
//!
//! Exit codes: 0 success, 2 usage error, 1 any other error.

mod args;
mod bench;
mod change_id;
mod command_error;
mod connection;
mod contract;
mod customers;
mod demo;
mod diff;
mod explain;
mod instance;
mod output;
mod placement;
mod settings;
mod status;

use std::process::ExitCode;

use args::{Command, ContractCommand, InstanceCommand, SettingsCommand, command};
use output::Output;

/// Width in columns to which help is wrapped.
const HELP_WIDTH: usize = 100;

fn main() -> ExitCode {
    let command = match command().run_inner(bpaf::Args::current_args()) {
        Ok(command) => command,
        Err(failure) => {
            // Help, version and completions go to standard output, usage errors to standard error.
            failure.print_message(HELP_WIDTH);
            let is_usage_error = failure.exit_code() != 0;
            return ExitCode::from(if is_usage_error { 2 } else { 0 });
        }
    };
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("warn")).init();
    let format = command.format();
    match run(command) {
        Ok(output) => output::print(&output, format),
        Err(report) => {
            output::print_error(&report, format);
            ExitCode::FAILURE
        }
    }
}

fn run(command: Command) -> miette::Result<Output> {
    match command {
        Command::Contract(command) => block_on(run_contract(command)),
        Command::Instance(command) => block_on(run_instance(command)),
        Command::Status { connection, .. } => {
            block_on(async { status::status(&connection.client()?).await })
        }
        Command::Settings(SettingsCommand::Check { print, file, .. }) => {
            settings::check(&file, print)
        }
        Command::Explain { request_id, logs, .. } => explain::explain(&request_id, &logs),
        Command::Customers { addresses, .. } => block_on(customers::customers(&addresses)),
        Command::Where(args) => block_on(async { placement::explain(&args).await }),
        Command::Bench(args) => bench::run(&args).map(|()| Output::none()),
        Command::Demo => demo::run().map(|()| Output::none()),
    }
}

async fn run_contract(command: ContractCommand) -> miette::Result<Output> {
    match command {
        ContractCommand::Apply { change, connection, file, .. } => {
            contract::apply(&connection.client()?, &file, &change).await
        }
        ContractCommand::Get { connection, customer, .. } => {
            contract::get(&connection.client()?, &customer).await
        }
        ContractCommand::List { connection, .. } => contract::list(&connection.client()?).await,
        ContractCommand::Diff { connection, file, .. } => {
            contract::diff(&connection.client()?, &file).await
        }
        ContractCommand::History { connection, customer, .. } => {
            contract::history(&connection.client()?, &customer).await
        }
        ContractCommand::Remove { change, connection, customer, .. } => {
            contract::remove(&connection.client()?, &customer, &change).await
        }
    }
}

async fn run_instance(command: InstanceCommand) -> miette::Result<Output> {
    match command {
        InstanceCommand::List { connection, .. } => instance::list(&connection.client()?).await,
        InstanceCommand::Stop { connection, id, .. } => {
            instance::stop(&connection.client()?, id).await
        }
    }
}

fn block_on(future: impl Future<Output = miette::Result<Output>>) -> miette::Result<Output> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|error| {
        command_error::CommandError::new(
            format!("can't start the async runtime: {error}"),
            "check the limits on open files and threads of this process",
        )
    })?;
    runtime.block_on(future)
}
