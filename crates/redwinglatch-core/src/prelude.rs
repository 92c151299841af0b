//! The types that nearly every package uses.

pub use crate::{
    AdapterVersion, CellId, Contract, CustomerId, EngineId, Epoch, Incarnation, InstanceId, PinId,
    Refusal, RefusalReason, ReplicaId, RequestId, RetryReason, Revision, RunStatus,
};
