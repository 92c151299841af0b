//! Shared identifiers, contracts and refusal types of redwinglatch.
//!
//! This crate holds the vocabulary that the other packages exchange. It has no sockets, no clock
//! and no randomness.

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
