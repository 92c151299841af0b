//! A complete deployment on loopback: instances in this process, and fakes of all external systems.
//!
//! The demonstration and the end-to-end tests start one with [`Deployment::start`]. [`Layout`]
//! provides only the addresses and settings, for instances that run in processes of their own.

mod deployment;
mod fakes;
mod layout;

pub use deployment::Deployment;
pub use fakes::{Fakes, FakesOptions};
pub use layout::{InstanceAddresses, Layout, Timing};

/// The secret that callers send to a local deployment.
pub const CALLERS_SECRET: &str = "local-callers-secret";
/// The secret that operators send to a local deployment.
pub const OPERATORS_SECRET: &str = "local-operators-secret";
/// The secret that the instances of a local deployment share.
pub const INSTANCES_SECRET: &str = "local-instances-secret";
