//! Shared identifiers, contracts and refusal types of redwinglatch.
//!
//! The other packages exchange these types. This crate uses no sockets, no clock and no randomness.

mod adapter;
mod contract;
mod ids;
pub mod prelude;
mod reason;
mod refusal;
mod remedy;

pub use adapter::AdapterVersion;
pub use contract::{AdapterRule, Contract};
pub use ids::{
    CellId, CustomerId, EngineId, Epoch, Incarnation, InstanceId, PinId, ReplicaId, RequestId,
    Revision,
};
pub use reason::{RefusalReason, RetryReason};
pub use refusal::{Refusal, RunStatus};
