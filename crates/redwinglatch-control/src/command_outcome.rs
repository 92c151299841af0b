//! Results of control commands.

use redwinglatch_core::prelude::*;
use serde::{Deserialize, Serialize};

use crate::ContractError;

/// The result of one command. It is the same on every replica of the log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum CommandOutcome {
    /// The contract change was made. It may be reported to the operator only once
    /// [`PendingChanges`](crate::PendingChanges) returns its revision as reportable.
    Accepted {
        /// The revision of the change.
        revision: Revision,
    },
    /// The contract has another revision than the operator expected.
    Conflict {
        /// The current revision; 0 if the customer has no contract.
        current_revision: Revision,
        /// The current contract. A resent change gets the contract of its first result as long as
        /// that is in the customer's history.
        current: Option<Contract>,
    },
    /// The contract is not valid.
    Invalid(ContractError),
    /// The change id was used before for another change.
    ChangeIdReused,
    /// The coordinator was assigned.
    Assigned {
        /// The new epoch, which is the fencing token of the coordinator's orders.
        epoch: Epoch,
    },
    /// The cell has another epoch than expected.
    Stale {
        /// The current epoch.
        epoch: Epoch,
    },
    /// The claim was granted; the request may be sent to a backend server.
    Granted {
        /// The claim number, which `FinishOnce` must repeat.
        claim: u64,
    },
    /// Another request with this key is still running.
    Running {
        /// The instance that runs the other request.
        instance: InstanceId,
    },
    /// The request already got a response.
    Answered {
        /// The HTTP status.
        status: u16,
        /// The stored response body.
        body: Box<[u8]>,
    },
    /// The request may have run and must not be repeated.
    Unknown,
    /// The key was used before with another request.
    KeyReused,
    /// The idempotency records are full, or the key or customer name is too long.
    Full,
    /// The claim was ended and the outcome stored.
    Finished,
    /// The claim was ended, but its response was too large to store; a retry gets `Unknown`.
    FinishedWithoutBody,
    /// The claim is no longer the current one of its key; nothing changed.
    Superseded,
    /// The claims of a process with an expired lease were ended.
    ClaimsEnded {
        /// The number of claims whose request must not run again, because its outcome is unknown.
        unknown: u32,
        /// The number of claims whose request may run again.
        released: u32,
    },
    /// Expired records were removed.
    Expired {
        /// The number of removed records.
        records: u32,
    },
    /// The log entry was already applied; nothing changed.
    AlreadyApplied,
}
