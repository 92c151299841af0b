//! Requests of operators as the daemon's tasks see them.

use redwinglatch_core::{Contract, InstanceId, Refusal, Revision};
use tokio::sync::oneshot;

use crate::{
    ChangeDocument, ConflictDocument, ContractDocument, ContractListDocument, HistoryDocument,
    InstanceListDocument, StatusDocument, StopDocument,
};

/// What an operator asks for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OperatorRequest {
    /// The contract of a customer.
    GetContract {
        /// The customer.
        customer: Box<str>,
    },
    /// All contracts.
    ListContracts,
    /// The past changes of a customer's contract.
    ContractHistory {
        /// The customer.
        customer: Box<str>,
    },
    /// Write a contract.
    ApplyContract {
        /// The id of the change; the same id is the same change.
        change_id: Box<str>,
        /// The revision that the change replaces; 0 stands for "no contract yet".
        expected_revision: Revision,
        /// The contract.
        contract: Contract,
    },
    /// Remove a contract.
    RemoveContract {
        /// The id of the change; the same id is the same change.
        change_id: Box<str>,
        /// The revision that the change removes.
        expected_revision: Revision,
        /// The customer.
        customer: Box<str>,
    },
    /// The state of the instance and what it knows of the deployment.
    Status,
    /// The instances.
    ListInstances,
    /// Stop an instance after its last request.
    StopInstance {
        /// The instance.
        instance: InstanceId,
    },
}

/// The answer to an [`OperatorRequest`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OperatorReply {
    /// A contract.
    Contract(ContractDocument),
    /// All contracts.
    Contracts(ContractListDocument),
    /// The past changes of a contract.
    History(HistoryDocument),
    /// The change is committed.
    Change(ChangeDocument),
    /// The change expected another revision.
    Conflict(ConflictDocument),
    /// The state of the instance.
    Status(Box<StatusDocument>),
    /// The instances.
    Instances(InstanceListDocument),
    /// The instance has begun to stop.
    Stopping(StopDocument),
    /// The request is refused.
    Refused(Refusal),
}

/// A request and where its answer goes.
#[derive(Debug)]
pub struct OperatorCall {
    /// The request.
    pub request: OperatorRequest,
    /// Takes the answer. Dropping it is answered with `control_unavailable`.
    pub reply: oneshot::Sender<OperatorReply>,
}
