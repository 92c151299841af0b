//! Processes of redwinglatch for a platform that tells a process little more than its own
//! addresses and a few seeds.
//!
//! Two roles share one fleet. A *core* process keeps the configuration in the replicated log, polls
//! the platform's list of backend servers and, while it leads, orders the loads of adapters. An
//! *entry* process serves callers: it tells them which addresses to use, forwards their requests
//! and learns everything else from the core processes.
//!
//! What a platform calls its fields, headers and paths is described by a [`Dialect`]; this package
//! knows none of these names.

mod clock;
mod core;
mod dialect;
mod entry;
mod error;
mod http;
mod ids;
mod link;
mod logging;
mod message;
mod metrics;
mod settings;
mod state;

pub use dialect::{
    BackendEntry, BackendPage, ControlCall, Dialect, EngineReport, HeaderNames, LoadedAdapter,
    LoadedModel, Order, OrderKind, ReportedLoad, VersionChange,
};
pub use error::FleetError;
pub use logging::init_logging;
pub use settings::{ProcessSettings, RetryBudgetBounds, Role, SettingsError};

pub(crate) use logging::REQUEST_PLACED;

/// Runs the process until it is told to stop.
///
/// # Errors
///
/// Returns an error when an address can't be bound or the data folder can't be used.
pub async fn run(settings: ProcessSettings, dialect: Dialect) -> Result<(), FleetError> {
    let dialect: &'static Dialect = Box::leak(Box::new(dialect));
    match settings.role {
        Role::Core => core::run(settings, dialect).await,
        Role::Entry => entry::run(settings, dialect).await,
    }
}
