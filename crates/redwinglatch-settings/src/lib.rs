//! Settings of an instance and contract files of operators: INI text to typed, checked values.
//!
//! [`Settings::from_file`] reads the settings of one instance and [`ContractFile::from_file`] the
//! contract of one customer. Both list all faults of a file at once; each fault names the file,
//! the section, the key, the value and a remedy. Units are part of the key (`lease_ms`), values
//! are plain numbers.

mod callers;
mod cell;
mod checks;
mod contract_file;
mod control;
mod document;
mod error;
mod fault;
mod instance;
mod platform;
mod pool;
mod section;
mod settings;

pub use callers::CallerSettings;
pub use cell::CellSettings;
pub use contract_file::ContractFile;
pub use control::ControlSettings;
pub use error::SettingsError;
pub use fault::{ErrorKind, Fault};
pub use instance::{InstanceEntry, InstanceSettings, ReplicaEntry, SecretSettings, StateSettings};
pub use platform::PlatformSettings;
pub use pool::{EnginePool, Fencing, PoolKind, PoolSettings};
pub use settings::Settings;
