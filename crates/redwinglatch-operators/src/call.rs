//! Requests and replies that the HTTP server exchanges with the daemon's tasks.

use redwinglatch_core::{Contract, InstanceId, Refusal, Revision};
use tokio::sync::oneshot;

use crate::{
    ChangeDocument, ConflictDocument, ContractDocument, ContractListDocument, HistoryDocument,
    InstanceListDocument, StatusDocument, StopDocument,
};

/// A request from an operator.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OperatorRequest {
    /// Return the contract of a customer.
    GetContract {
        /// The customer.
        customer: Box<str>,
    },
    /// List all contracts.
    ListContracts,
    /// List the past changes of a customer's contract.
    ContractHistory {
        /// The customer.
        customer: Box<str>,
    },
    /// Create or replace a contract.
    ApplyContract {
        /// The id of the change; a change that is sent again under the same id is applied once.
        change_id: Box<str>,
        /// The revision that the change replaces; 0 if the customer has no contract yet.
        expected_revision: Revision,
        /// The contract.
        contract: Contract,
    },
    /// Remove a contract.
    RemoveContract {
        /// The id of the change; a change that is sent again under the same id is applied once.
        change_id: Box<str>,
        /// The revision that the change removes.
        expected_revision: Revision,
        /// The customer.
        customer: Box<str>,
    },
    /// Return the state of the instance and its view of the deployment.
    Status,
    /// List the instances.
    ListInstances,
    /// Drain an instance and stop it when its last request has ended.
    StopInstance {
        /// The instance.
        instance: InstanceId,
    },
}

/// The reply to an [`OperatorRequest`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OperatorReply {
    /// The contract of a customer.
    Contract(ContractDocument),
    /// All contracts.
    Contracts(ContractListDocument),
    /// The past changes of a contract.
    History(HistoryDocument),
    /// The change was committed.
    Change(ChangeDocument),
    /// The change named another revision than the current one as the expected one.
    Conflict(ConflictDocument),
    /// The state of the instance.
    Status(Box<StatusDocument>),
    /// The instances.
    Instances(InstanceListDocument),
    /// The instance has begun to stop.
    Stopping(StopDocument),
    /// The request was refused.
    Refused(Refusal),
}

/// A request and the channel for its reply.
#[derive(Debug)]
pub struct OperatorCall {
    /// The request.
    pub request: OperatorRequest,
    /// Receives the reply. If it is dropped, the operator gets the error `control_unavailable`.
    pub reply: oneshot::Sender<OperatorReply>,
}
