//! JSON documents about contracts.

use redwinglatch_core::{Contract, Revision};
use serde::{Deserialize, Serialize};

/// A contract and the revision that it came with.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ContractDocument {
    /// The revision of the change that wrote the contract.
    pub revision: Revision,
    /// The contract.
    pub contract: Contract,
}

/// All contracts, by customer.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct ContractListDocument {
    /// The contracts.
    pub contracts: Vec<ContractDocument>,
}

/// One past change of a contract.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HistoryEntry {
    /// The revision of the change.
    pub revision: Revision,
    /// When the change was proposed, in seconds since 1970.
    pub at_wall_s: u64,
    /// The id under which the operator sent the change.
    pub change_id: Box<str>,
    /// The contract after the change; absent if the change removed it.
    pub contract: Option<Contract>,
}

/// The changes of one customer's contract that are still known, oldest first.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HistoryDocument {
    /// The customer.
    pub customer: Box<str>,
    /// The changes.
    pub entries: Vec<HistoryEntry>,
}

/// The answer to an accepted change. Its status is 200 if the change is in force on every
/// instance, 202 if it is committed and not yet in force everywhere.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangeDocument {
    /// The customer.
    pub customer: Box<str>,
    /// The id under which the change was sent.
    pub change_id: Box<str>,
    /// The revision of the change.
    pub revision: Revision,
    /// Whether every instance that accepts requests applies the change.
    pub is_in_force: bool,
}

/// The answer to a change that expected another revision than the current one (status 409).
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConflictDocument {
    /// The revision of the current contract; 0 if there is none.
    pub current_revision: Revision,
    /// The current contract, if there is one.
    pub current: Option<Contract>,
}
