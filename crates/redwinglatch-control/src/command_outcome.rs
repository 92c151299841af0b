//! The results of commands.

use redwinglatch_core::prelude::*;
use serde::{Deserialize, Serialize};

use crate::ContractError;

/// The result of one command; equal on every replica of the log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum CommandOutcome {
    /// The contract change was made. Report it only when
    /// [`PendingChanges`](crate::PendingChanges) releases the revision.
    Accepted {
        /// The revision of the change.
        revision: Revision,
    },
    /// The contract has another revision than the operator saw.
    Conflict {
        /// The current revision; 0 when the customer has no contract.
        current_revision: Revision,
        /// The current contract. A resent change gets the contract of its first result while
        /// the customer's history still holds it.
        current: Option<Contract>,
    },
    /// The contract is not valid.
    Invalid(ContractError),
    /// The change id was used before for another change.
    ChangeIdReused,
    /// The coordinator was named.
    Assigned {
        /// The new epoch, which is the fencing token of its orders.
        epoch: Epoch,
    },
    /// The cell has another epoch than expected.
    Stale {
        /// The current epoch.
        epoch: Epoch,
    },
    /// The key is claimed; the request may be sent.
    Granted {
        /// The number of the claim, to be named in `FinishOnce`.
        claim: u64,
    },
    /// The key is claimed by a request that is still running.
    Running {
        /// The instance that runs it.
        instance: InstanceId,
    },
    /// The request was answered before.
    Answered {
        /// The HTTP status.
        status: u16,
        /// The stored answer.
        body: Box<[u8]>,
    },
    /// The request may have run and must not be repeated.
    Unknown,
    /// The key was used before with another request.
    KeyReused,
    /// The records are full, or the key is longer than allowed.
    Full,
    /// The claim was ended and the outcome stored.
    Finished,
    /// The claim was ended, but its answer was too large to keep; a retry gets `Unknown`.
    FinishedWithoutBody,
    /// The claim is no longer the current one of its key; nothing was changed.
    Superseded,
    /// The claims of a lost process were ended.
    ClaimsEnded {
        /// How many became unknown.
        unknown: u32,
        /// How many may run again.
        released: u32,
    },
    /// Old records were removed.
    Expired {
        /// How many.
        records: u32,
    },
    /// The entry was applied before.
    AlreadyApplied,
}
