//! The types that nearly every package needs.

pub use crate::{
    AdapterVersion, CellId, Contract, CustomerId, EngineId, Epoch, Incarnation, InstanceId, PinId,
    Refusal, RefusalReason, ReplicaId, RequestId, RetryReason, Revision, RunStatus,
};
