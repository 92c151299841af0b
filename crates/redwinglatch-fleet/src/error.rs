//! Errors that terminate a process.

use std::net::SocketAddr;

use redwinglatch_log::{ConfigError, StorageError};
use thiserror::Error;

use crate::SettingsError;

/// An error that prevents a process from running.
#[derive(Debug, Error)]
#[non_exhaustive]
pub enum FleetError {
    /// A listening socket cannot be bound.
    #[error("cannot listen on {address}: {source}; check that no other process uses it")]
    Bind {
        /// The address.
        address: SocketAddr,
        /// The error of the operating system.
        source: std::io::Error,
    },
    /// A setting that the role requires is missing or malformed.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// The data folder cannot be used.
    #[error("cannot use the data folder: {0}; check its free space and permissions")]
    DataFolder(#[from] std::io::Error),
    /// The replicated log in the data folder cannot be opened.
    #[error(transparent)]
    Storage(#[from] StorageError),
    /// The configuration of the replicated log is invalid.
    #[error(transparent)]
    Log(#[from] ConfigError),
    /// A task without which the process doesn't do its work has panicked; the log has the place.
    #[error("the task {task:?} has panicked; restart the process, and report the panic in its log")]
    TaskPanicked {
        /// The task.
        task: &'static str,
    },
}
