//! The entries of the control log.

use redwinglatch_core::prelude::*;
use serde::{Deserialize, Serialize};

/// One entry of the control log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ControlCommand {
    /// Writes a contract if the current one has the expected revision.
    ApplyContract {
        /// Identifies the change, so that a resent change gets its first result again.
        change_id: Box<str>,
        /// The customer; equal to the contract's own field.
        customer: Box<str>,
        /// The revision that the operator saw; 0 when the customer has no contract.
        expected_revision: Revision,
        /// The new contract.
        contract: Contract,
        /// Wall-clock seconds at the proposer, for the history.
        now_wall_s: u64,
    },
    /// Removes a contract if it has the expected revision.
    RemoveContract {
        /// Identifies the change, so that a resent change gets its first result again.
        change_id: Box<str>,
        /// The customer.
        customer: Box<str>,
        /// The revision that the operator saw.
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
        /// The current epoch; 0 when the cell never had a coordinator.
        expected_epoch: Epoch,
    },
    /// Claims an idempotency key before the request is sent to a backend server.
    ClaimOnce {
        /// The caller's idempotency key; each customer has its own keys.
        key: Box<str>,
        /// The customer.
        customer: Box<str>,
        /// A digest of the request, which shows a key that is reused for another request.
        request_digest: u64,
        /// The claiming instance.
        instance: InstanceId,
        /// The claiming process.
        incarnation: Incarnation,
        /// The request within the process. A claim that is proposed twice is granted once.
        request: RequestId,
        /// Whether the request must not be repeated after an unknown outcome.
        at_most_once: bool,
        /// Wall-clock seconds at the proposer, for the expiry of the record.
        now_wall_s: u64,
    },
    /// Ends a claim.
    FinishOnce {
        /// The caller's idempotency key.
        key: Box<str>,
        /// The customer.
        customer: Box<str>,
        /// The number that [`Outcome::Granted`](crate::Outcome::Granted) gave to the claim.
        claim: u64,
        /// The claiming process.
        incarnation: Incarnation,
        /// What became of the request.
        outcome: OnceOutcome,
    },
    /// Ends the claims of a process whose serving lease has surely ended.
    EndClaims {
        /// The instance.
        instance: InstanceId,
        /// The process.
        incarnation: Incarnation,
    },
    /// Removes records and change ids that are too old.
    ExpireOnce {
        /// Wall-clock seconds at the leader.
        now_wall_s: u64,
    },
}

/// What became of a claimed request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum OnceOutcome {
    /// The request was answered; a retry gets the same answer.
    Answered {
        /// The HTTP status.
        status: u16,
        /// The answer; at most [`StateLimits::body_bytes`](crate::StateLimits::body_bytes).
        body: Box<[u8]>,
    },
    /// The request surely did not run; a retry may run.
    NotRun,
    /// The request may have run.
    Unknown,
}
