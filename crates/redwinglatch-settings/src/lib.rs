//! Parsing and validation of an instance's settings and of operators' contract files, both in INI.
//!
//! [`Settings::from_file`] reads the settings of one instance and [`ContractFile::from_file`] the
//! contract of one customer. Both report all problems of a file at once; each problem names the
//! file, the section, the key, the value and a remedy. Units are part of the key (`lease_ms`),
//! values are plain numbers.

mod callers;
mod cell;
mod checks;
mod contract_file;
mod control;
mod document;
mod error;
mod instance;
mod platform;
mod pool;
mod problem;
mod section;
mod settings;

pub use callers::CallerSettings;
pub use cell::CellSettings;
pub use contract_file::ContractFile;
pub use control::ControlSettings;
pub use error::SettingsError;
pub use instance::{InstanceEntry, InstanceSettings, ReplicaEntry, SecretSettings, StateSettings};
pub use platform::PlatformSettings;
pub use pool::{EnginePool, FencingMode, PoolKind, PoolSettings};
pub use problem::{SettingsErrorKind, SettingsProblem};
pub use settings::Settings;
