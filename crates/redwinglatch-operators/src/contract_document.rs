//! JSON documents for contracts and changes of contracts.

use redwinglatch_core::{Contract, Revision};
use serde::{Deserialize, Serialize};

/// A contract and its revision.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ContractDocument {
    /// The revision of the change that wrote the contract.
    pub revision: Revision,
    /// The contract.
    pub contract: Contract,
}

/// All contracts, sorted by customer.
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
    /// The time of the proposal, in seconds since the Unix epoch.
    pub at_wall_s: u64,
    /// The id of the change, chosen by the operator.
    pub change_id: Box<str>,
    /// The contract after the change; absent if the change removed it.
    pub contract: Option<Contract>,
}

/// The retained changes of one customer's contract, oldest first.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HistoryDocument {
    /// The customer.
    pub customer: Box<str>,
    /// The changes.
    pub entries: Vec<HistoryEntry>,
}

/// The response to an accepted change. Its status is 200 if the change is in force on every
/// instance, 202 if it is committed but not yet in force everywhere.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangeDocument {
    /// The customer.
    pub customer: Box<str>,
    /// The id of the change.
    pub change_id: Box<str>,
    /// The revision of the change.
    pub revision: Revision,
    /// Whether the change is in force on every instance that accepts requests.
    pub is_in_force: bool,
}

/// The response to a change whose expected revision is not the current one (status 409).
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConflictDocument {
    /// The revision of the current contract; 0 if there is none.
    pub current_revision: Revision,
    /// The current contract, if there is one.
    pub current: Option<Contract>,
}
