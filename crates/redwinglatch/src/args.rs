//! The commands of the command line and their options.

use std::{net::SocketAddr, path::PathBuf};

use bpaf::{Bpaf, Parser, ShellComp};

use crate::bench::{BenchArgs, bench_args};
use crate::connection::{Connection, connection};
use crate::output::{Format, format};
use crate::placement::PromptParts;

const LOG_FILES: ShellComp = ShellComp::File { mask: Some("*.log") };
const INI_FILES: ShellComp = ShellComp::File { mask: Some("*.ini") };

/// Operate a deployment of redwinglatch
#[derive(Debug, Clone, Bpaf)]
#[bpaf(
    options,
    version,
    header(
        "Operators write one contract for each customer. All limits on the customer's traffic \
         come from this contract. A change is applied once and is in force on every instance \
         within seconds."
    ),
    footer(
        "First steps:\n   redwinglatch settings check node.ini\n   redwinglatch status --settings \
         node.ini\n   redwinglatch contract apply contracts/north.ini --settings node.ini\n Each \
         command has its own help, for example `redwinglatch contract apply --help`.\n Exit \
         codes: 0 success, 2 usage error, 1 any other error.\n Completions for bash: source \
         <(redwinglatch --bpaf-complete-style-bash); -zsh, -fish and -elvish likewise."
    )
)]
pub(crate) enum Command {
    #[bpaf(command)]
    /// Write, read and compare contracts
    Contract(#[bpaf(external(contract_command))] ContractCommand),
    #[bpaf(command)]
    /// List instances, or stop one gracefully
    Instance(#[bpaf(external(instance_command))] InstanceCommand),
    #[bpaf(command, footer("Example:\n   redwinglatch status --settings node.ini --format json"))]
    /// Show the status of an instance: leases, leader, coordinators, engines, queues and shares
    Status {
        #[bpaf(external)]
        connection: Connection,
        #[bpaf(external)]
        format: Format,
    },
    #[bpaf(command)]
    /// Check settings files
    Settings(#[bpaf(external(settings_command))] SettingsCommand),
    #[bpaf(
        command,
        footer(
            "The log lines of the request are ordered across the processes, and the line that \
             decided its outcome is marked.\n A log is the standard output of a process.\n \
             Example:\n   redwinglatch explain 92512416d1712ccf entry-*.log core-*.log"
        )
    )]
    /// Explain what happened to a request from the logs of several processes
    Explain {
        #[bpaf(external)]
        format: Format,
        /// The id of the request, as its caller sent it
        #[bpaf(positional("REQUEST-ID"))]
        request_id: String,
        /// Logs of processes
        #[bpaf(positional("LOG"), complete_shell(LOG_FILES), some("name at least one LOG"))]
        logs: Vec<PathBuf>,
    },
    #[bpaf(
        command,
        footer("Example:\n   redwinglatch customers 192.0.2.1:9465 192.0.2.2:9465 192.0.2.3:9465")
    )]
    /// Show the caps of customers, which core processes grant them, and what is left
    Customers {
        #[bpaf(external)]
        format: Format,
        /// Metrics addresses of core processes
        #[bpaf(positional("ADDRESS"), some("name at least one ADDRESS"))]
        addresses: Vec<SocketAddr>,
    },
    #[bpaf(
        command("where"),
        footer(
            "The coordinator answers by the functions that place requests. Nothing is sent to an \
             engine, and nothing changes.\n Example:\n   redwinglatch where 10.0.0.7:9465 \
             --service writer --model base/a3 --tokens 900 --parts a1:600,b2:300"
        )
    )]
    /// Explain where a request would go now, without sending it
    Where(#[bpaf(external(placement_args))] PlacementArgs),
    #[bpaf(command)]
    /// Run the benchmarks and compare them with their baselines and bounds
    Bench(#[bpaf(external(bench_args))] BenchArgs),
    #[bpaf(command)]
    /// Run a demonstration: a small deployment with fake backend servers on this machine
    Demo,
}

impl Command {
    /// Returns the format of the command's output and errors.
    pub(crate) fn format(&self) -> Format {
        match self {
            Command::Contract(
                ContractCommand::Apply { format, .. }
                | ContractCommand::Get { format, .. }
                | ContractCommand::List { format, .. }
                | ContractCommand::Diff { format, .. }
                | ContractCommand::History { format, .. }
                | ContractCommand::Remove { format, .. },
            )
            | Command::Instance(
                InstanceCommand::List { format, .. } | InstanceCommand::Stop { format, .. },
            )
            | Command::Status { format, .. }
            | Command::Explain { format, .. }
            | Command::Customers { format, .. }
            | Command::Settings(SettingsCommand::Check { format, .. }) => *format,
            Command::Where(args) => args.format,
            Command::Bench(args) => args.format,
            Command::Demo => Format::Text,
        }
    }
}

/// Commands about contracts.
#[derive(Debug, Clone, Bpaf)]
pub(crate) enum ContractCommand {
    #[bpaf(
        command,
        footer(
            "Without --expected-revision the current contract is read first and replaced.\n If a \
             response is lost, the change is sent again under the same change id; it is applied \
             once.\n If another operator was faster, nothing is changed and the difference is \
             shown.\n Examples:\n   redwinglatch contract apply contracts/north.ini --settings \
             node.ini\n   redwinglatch contract apply north.ini --settings node.ini --expected-revision 12"
        )
    )]
    /// Create or replace a contract with the one in FILE
    Apply {
        #[bpaf(external(change_options))]
        change: ChangeOptions,
        #[bpaf(external)]
        connection: Connection,
        #[bpaf(external)]
        format: Format,
        /// A contract file: one section [contract], one customer
        #[bpaf(positional("FILE"), complete_shell(INI_FILES))]
        file: PathBuf,
    },
    #[bpaf(
        command,
        footer(
            "The text form is a contract file:\n   redwinglatch contract get north --settings \
             node.ini > contracts/north.ini"
        )
    )]
    /// Show the contract of CUSTOMER
    Get {
        #[bpaf(external)]
        connection: Connection,
        #[bpaf(external)]
        format: Format,
        /// The customer's name
        #[bpaf(positional("CUSTOMER"))]
        customer: String,
    },
    #[bpaf(command)]
    /// List all contracts
    List {
        #[bpaf(external)]
        connection: Connection,
        #[bpaf(external)]
        format: Format,
    },
    #[bpaf(command)]
    /// Show how the contract in FILE differs from the current one
    Diff {
        #[bpaf(external)]
        connection: Connection,
        #[bpaf(external)]
        format: Format,
        /// A contract file
        #[bpaf(positional("FILE"), complete_shell(INI_FILES))]
        file: PathBuf,
    },
    #[bpaf(command)]
    /// Show the past changes of CUSTOMER's contract
    History {
        #[bpaf(external)]
        connection: Connection,
        #[bpaf(external)]
        format: Format,
        /// The customer's name
        #[bpaf(positional("CUSTOMER"))]
        customer: String,
    },
    #[bpaf(command)]
    /// Remove the contract of CUSTOMER; all its later requests are refused
    Remove {
        #[bpaf(external(change_options))]
        change: ChangeOptions,
        #[bpaf(external)]
        connection: Connection,
        #[bpaf(external)]
        format: Format,
        /// The customer's name
        #[bpaf(positional("CUSTOMER"))]
        customer: String,
    },
}

/// The request whose placement is asked for.
#[derive(Debug, Clone, Bpaf)]
pub(crate) struct PlacementArgs {
    /// The service of the request
    #[bpaf(long, argument("SERVICE"))]
    pub(crate) service: String,
    /// The model or adapter, as MODEL or MODEL/ADAPTER
    #[bpaf(long, argument("MODEL"))]
    pub(crate) model: String,
    /// The prompt tokens; by default those of the parts
    #[bpaf(long, argument("N"))]
    pub(crate) tokens: Option<u32>,
    /// The output tokens; 200 by default
    #[bpaf(long, argument("N"))]
    pub(crate) output: Option<u32>,
    /// The prompt parts in order, all but the last of which other requests may share
    #[bpaf(long, argument("ID:TOKENS,..."))]
    pub(crate) parts: Option<PromptParts>,
    /// The priority, where 0 is the most urgent; that of the route by default
    #[bpaf(long, argument("N"))]
    pub(crate) priority: Option<u8>,
    #[bpaf(external(json_or_format))]
    pub(crate) format: Format,
    /// The metrics address of a core process
    #[bpaf(positional("ADDRESS"))]
    pub(crate) address: SocketAddr,
}

fn json_or_format() -> impl Parser<Format> {
    let json = bpaf::long("json").help("Print JSON, like --format json").req_flag(Format::Json);
    let format = format();
    bpaf::construct!([json, format])
}

/// The id of a change and the revision that it replaces.
#[derive(Debug, Clone, Bpaf)]
pub(crate) struct ChangeOptions {
    /// Set the id of the change; by default it follows from the content and the expected revision
    #[bpaf(long, argument("ID"))]
    pub(crate) change_id: Option<String>,
    /// Make the change only if this is the current revision; 0 means that there is no contract yet
    #[bpaf(long, argument("REVISION"))]
    pub(crate) expected_revision: Option<u64>,
}

/// Commands about instances.
#[derive(Debug, Clone, Bpaf)]
pub(crate) enum InstanceCommand {
    #[bpaf(command)]
    /// List all instances with their state
    List {
        #[bpaf(external)]
        connection: Connection,
        #[bpaf(external)]
        format: Format,
    },
    #[bpaf(
        command,
        footer(
            "The instance takes no new work, except from callers that still have an old list of \
             entry instances, and stops after its last request. No request is \
             interrupted.\n Example:\n   redwinglatch \
             instance stop 3 --settings node.ini"
        )
    )]
    /// Stop instance ID after its last request
    Stop {
        #[bpaf(external)]
        connection: Connection,
        #[bpaf(external)]
        format: Format,
        /// The id of the instance, as `redwinglatch instance list` shows it
        #[bpaf(positional("ID"))]
        id: u32,
    },
}

/// Commands about settings.
#[derive(Debug, Clone, Bpaf)]
pub(crate) enum SettingsCommand {
    #[bpaf(
        command,
        footer(
            "All problems are reported at once, each with a remedy. No instance is contacted and \
             no secret is read.\n Example:\n   redwinglatch settings check --print node.ini"
        )
    )]
    /// Check the settings in FILE
    Check {
        /// Print the settings with every default written out
        #[bpaf(long)]
        print: bool,
        #[bpaf(external)]
        format: Format,
        /// A settings file of an instance
        #[bpaf(positional("FILE"), complete_shell(INI_FILES))]
        file: PathBuf,
    },
}
