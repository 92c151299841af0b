//! Errors that end a process.

use std::net::SocketAddr;

use redwinglatch_log::{ConfigError, StorageError};
use thiserror::Error;

use crate::SettingsError;

/// Why a process can't run.
#[derive(Debug, Error)]
#[non_exhaustive]
pub enum FleetError {
    /// An address can't be bound.
    #[error("cannot listen on {address}: {source}; check that no other process uses it")]
    Bind {
        /// The address.
        address: SocketAddr,
        /// What the system answered.
        source: std::io::Error,
    },
    /// The settings lack what the role needs.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// The data folder can't be used.
    #[error("the data folder can't be used: {0}; check its space and permissions")]
    DataFolder(#[from] std::io::Error),
    /// The log in the data folder can't be used.
    #[error(transparent)]
    Storage(#[from] StorageError),
    /// The settings of the log are wrong.
    #[error(transparent)]
    Log(#[from] ConfigError),
}
