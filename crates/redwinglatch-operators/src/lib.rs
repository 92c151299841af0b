//! The operators' HTTP API and its client.
//!
//! [`OperatorServer`] handles the transport only. It authenticates requests, checks their size and
//! format, passes each as an [`OperatorCall`] to the daemon over a channel and writes the
//! [`OperatorReply`] as JSON. [`OperatorClient`] sends requests to one of several operator
//! addresses; a change whose response is lost is sent again under the same change id, which makes
//! it idempotent.
//!
//! | path | response |
//! | --- | --- |
//! | `GET /v1/contracts` | [`ContractListDocument`] |
//! | `GET /v1/contracts/{customer}` | [`ContractDocument`] |
//! | `PUT /v1/contracts/{customer}` | [`ChangeDocument`] or [`ConflictDocument`] |
//! | `DELETE /v1/contracts/{customer}` | [`ChangeDocument`] or [`ConflictDocument`] |
//! | `GET /v1/contracts/{customer}/history` | [`HistoryDocument`] |
//! | `GET /v1/status` | [`StatusDocument`] |
//! | `GET /v1/instances` | [`InstanceListDocument`] |
//! | `POST /v1/instances/{id}/stop` | [`StopDocument`] |
//! | `GET /metrics` | Prometheus text |
//!
//! Every other response is an [`ErrorDocument`].

mod call;
mod client;
mod client_error;
mod contract_document;
mod error_document;
mod path;
mod routes;
mod secret;
mod server;
mod status_document;

pub use call::{OperatorCall, OperatorReply, OperatorRequest};
pub use client::OperatorClient;
pub use client_error::{ClientError, ClientErrorKind, FailedAttempt};
pub use contract_document::{
    ChangeDocument, ConflictDocument, ContractDocument, ContractListDocument, HistoryDocument,
    HistoryEntry,
};
pub use error_document::{ErrorBody, ErrorDocument};
pub use secret::{SecretError, SecretFile};
pub use server::{OperatorLimits, OperatorServer};
pub use status_document::{
    CoordinatorStatus, EngineStatus, InstanceListDocument, InstanceState, InstanceStatus,
    LeaderStatus, LeaseStatus, PendingChangeStatus, ReplicaRole, ReplicaStatus, ShareStatus,
    SlotStatus, StatusDocument, StopDocument, StoreStatus,
};

/// Header with the change id; a change that is sent again carries the same id.
pub const CHANGE_ID_HEADER: &str = "x-redwinglatch-change-id";
/// Header with the revision that a change replaces; 0 if the customer has no contract yet.
pub const EXPECTED_REVISION_HEADER: &str = "x-redwinglatch-expected-revision";
