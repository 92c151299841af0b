//! Commands of the replicated control log.

use redwinglatch_core::prelude::*;
use serde::{Deserialize, Serialize};

/// One command of the control log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ControlCommand {
    /// Writes a contract if the current revision is the expected one.
    ApplyContract {
        /// Identifies the change, so that a resent change gets its first result again.
        change_id: Box<str>,
        /// The customer; equal to the contract's own field.
        customer: Box<str>,
        /// The revision that the operator read; 0 if the customer had no contract.
        expected_revision: Revision,
        /// The new contract.
        contract: Contract,
        /// Wall-clock seconds at the proposer, for the history.
        now_wall_s: u64,
    },
    /// Removes a contract if its revision is the expected one.
    RemoveContract {
        /// Identifies the change, so that a resent change gets its first result again.
        change_id: Box<str>,
        /// The customer.
        customer: Box<str>,
        /// The revision that the operator read.
        expected_revision: Revision,
        /// Wall-clock seconds at the proposer, for the history.
        now_wall_s: u64,
    },
    /// Names the coordinator of a cell if the current epoch is the expected one.
    AssignCoordinator {
        /// The cell.
        cell: CellId,
        /// The new coordinator.
        instance: InstanceId,
        /// The process of the new coordinator.
        incarnation: Incarnation,
        /// The epoch that the cell must have; 0 if it never had a coordinator.
        expected_epoch: Epoch,
    },
    /// Claims an idempotency key before the request is sent to a backend server.
    ClaimOnce {
        /// The caller's idempotency key; each customer has its own keys.
        key: Box<str>,
        /// The customer.
        customer: Box<str>,
        /// Digest of the request, to detect a key that is reused for another request.
        request_digest: u64,
        /// The claiming instance.
        instance: InstanceId,
        /// The claiming process.
        incarnation: Incarnation,
        /// Id of the request within the process. A claim that is proposed twice is granted once.
        request: RequestId,
        /// Whether the request must not be repeated after an unknown outcome.
        at_most_once: bool,
        /// Wall-clock seconds at the proposer, for the expiry of the record.
        now_wall_s: u64,
    },
    /// Ends a claim and stores the outcome of its request.
    FinishOnce {
        /// The caller's idempotency key.
        key: Box<str>,
        /// The customer.
        customer: Box<str>,
        /// The claim number from [`CommandOutcome::Granted`](crate::CommandOutcome::Granted).
        claim: u64,
        /// The claiming process.
        incarnation: Incarnation,
        /// The outcome of the request.
        outcome: OnceOutcome,
    },
    /// Ends the claims of a process whose serving lease is known to have expired.
    EndClaims {
        /// The instance.
        instance: InstanceId,
        /// The process.
        incarnation: Incarnation,
    },
    /// Removes expired idempotency records and change ids.
    ExpireOnce {
        /// Wall-clock seconds at the leader.
        now_wall_s: u64,
    },
}

/// Outcome of a claimed request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum OnceOutcome {
    /// The request got a response; a retry gets the same response.
    Answered {
        /// The HTTP status.
        status: u16,
        /// The response body; at most [`StateLimits::body_bytes`](crate::StateLimits::body_bytes).
        body: Box<[u8]>,
    },
    /// The request is known not to have run; a retry may run.
    NotRun,
    /// The request may have run.
    Unknown,
}
