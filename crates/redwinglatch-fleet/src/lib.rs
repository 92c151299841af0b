//! Core and entry processes of redwinglatch for a platform that configures a process with little
//! more than its own addresses and a few seed addresses.
//!
//! A fleet consists of processes in two roles. A *core* process stores the configuration in the
//! replicated log, polls the platform's list of backend servers and, while it is the coordinator,
//! orders engines to load and unload adapters. An *entry* process serves callers: it resolves the
//! addresses that they should use, forwards their requests and receives its state from the core
//! processes.
//!
//! A [`Dialect`] describes the platform's names of fields, headers and paths. This package contains
//! none of these names.

mod brittle_services;
mod clock;
mod core;
mod customer_caps;
mod dialect;
mod entry;
mod error;
mod expiring_map;
mod http;
mod ids;
mod limited_servers;
mod link;
mod logging;
mod memory;
mod message;
mod metrics;
mod quarantine;
mod request_digests;
mod request_rate;
mod seeds;
mod server_paths;
mod settings;
mod state;
mod suspects;
mod tasks;

pub use core::PlacementAnswer;
pub use dialect::{
    BackendEntry, BackendPage, ControlCall, Dialect, EngineReport, HeaderNames, LoadedAdapter,
    LoadedModel, Order, OrderKind, ReportedLoad, VersionChange,
};
pub use error::FleetError;
pub use logging::init_logging;
pub use settings::{
    LossTolerance, ProcessLimits, ProcessRole, ProcessSettings, RetryBudgetBounds, SettingsError,
};

pub(crate) use logging::REQUEST_PLACED_TARGET;

/// Runs the process until it receives SIGTERM.
///
/// # Errors
///
/// Returns an error if an address cannot be bound, the data folder cannot be used, or a task has panicked without which
/// the process doesn't do its work.
pub async fn run(settings: ProcessSettings, dialect: Dialect) -> Result<(), FleetError> {
    let dialect: &'static Dialect = Box::leak(Box::new(dialect));
    tasks::log_panics();
    let run = async {
        match settings.role {
            ProcessRole::Core => core::run(settings, dialect).await,
            ProcessRole::Entry => entry::run(settings, dialect).await,
        }
    };
    tokio::select! {
        result = run => result,
        failure = tasks::failure() => Err(failure),
    }
}
