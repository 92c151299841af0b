//! The control state machine.

use redwinglatch_core::prelude::*;
use serde::{Deserialize, Serialize};

use crate::{
    CommandOutcome, ConfigurationCursor, ConfigurationUpdate, ContractError, ContractHistoryEntry,
    ControlCommand, Coordinator, OnceUsage, StateLimits,
    change_ids::{ChangeIds, ChangeResult},
    contracts::Contracts,
    coordinators::Coordinators,
    once_records::{Claim, Claimant, OnceRecords},
    validate_contract,
};

const SNAPSHOT_VERSION: u8 = 1;

/// Reason why a snapshot can't be restored.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub enum RestoreError {
    /// The snapshot has another format version.
    #[error(
        "the snapshot has format {found}, not {SNAPSHOT_VERSION}; start the version that wrote it"
    )]
    Version {
        /// The format version of the snapshot.
        found: u8,
    },
    /// The snapshot is empty or damaged.
    #[error("the snapshot can't be decoded ({0}); fetch it again from another log replica")]
    Damaged(#[from] postcard::Error),
}

/// The deterministic state that the control log produces.
///
/// Replicas that apply the same commands at the same indices hold equal states and produce equal
/// outcomes and snapshots.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ControlState {
    limits: StateLimits,
    body: SnapshotContents,
}

#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
struct SnapshotContents {
    applied: u64,
    contracts: Contracts,
    change_ids: ChangeIds,
    coordinators: Coordinators,
    once: OnceRecords,
}

impl ControlState {
    /// Creates an empty state with the default limits.
    #[must_use]
    pub fn new() -> ControlState {
        ControlState::default()
    }

    /// Creates an empty state with the given limits.
    #[must_use]
    pub fn with_limits(limits: StateLimits) -> ControlState {
        ControlState { limits, body: SnapshotContents::default() }
    }

    /// Applies the committed command at log index `index`.
    pub fn apply(&mut self, index: u64, command: &ControlCommand) -> CommandOutcome {
        if index <= self.body.applied {
            return CommandOutcome::AlreadyApplied;
        }
        self.body.applied = index;
        let limits = &self.limits;
        let body = &mut self.body;
        match command {
            ControlCommand::ApplyContract {
                change_id,
                customer,
                expected_revision,
                contract,
                now_wall_s,
            } => {
                if let Err(error) = validate_contract(customer, contract) {
                    return CommandOutcome::Invalid(error);
                }
                let change = ContractChangeRequest {
                    change_id,
                    customer,
                    expected_revision: *expected_revision,
                    contract: Some(contract),
                    now_wall_s: *now_wall_s,
                };
                body.change_contract(index, &change, limits)
            }
            ControlCommand::RemoveContract {
                change_id,
                customer,
                expected_revision,
                now_wall_s,
            } => {
                let change = ContractChangeRequest {
                    change_id,
                    customer,
                    expected_revision: *expected_revision,
                    contract: None,
                    now_wall_s: *now_wall_s,
                };
                body.change_contract(index, &change, limits)
            }
            ControlCommand::AssignCoordinator { cell, instance, incarnation, expected_epoch } => {
                let next = Coordinator {
                    cell: *cell,
                    epoch: *expected_epoch,
                    instance: *instance,
                    incarnation: *incarnation,
                };
                body.coordinators.assign(index, next, *expected_epoch)
            }
            ControlCommand::ClaimOnce {
                key,
                customer,
                request_digest,
                instance,
                incarnation,
                request,
                at_most_once,
                now_wall_s,
            } => {
                let claim = Claim {
                    key,
                    customer,
                    request_digest: *request_digest,
                    claimant: Claimant {
                        instance: *instance,
                        incarnation: *incarnation,
                        request: *request,
                    },
                    at_most_once: *at_most_once,
                    now_wall_s: *now_wall_s,
                };
                body.once.claim(index, &claim, limits)
            }
            ControlCommand::FinishOnce { key, customer, claim, incarnation, outcome } => {
                body.once.finish((customer, key), (*claim, *incarnation), outcome, limits)
            }
            ControlCommand::EndClaims { instance, incarnation } => {
                body.once.end_claims((*instance, *incarnation))
            }
            ControlCommand::ExpireOnce { now_wall_s } => {
                body.change_ids.expire(*now_wall_s, limits);
                body.once.expire(*now_wall_s)
            }
        }
    }

    /// Returns the index of the last applied log entry.
    #[must_use]
    pub fn applied(&self) -> u64 {
        self.body.applied
    }

    /// Returns the revision of the latest accepted contract change.
    #[must_use]
    pub fn revision(&self) -> Revision {
        self.body.contracts.latest_revision()
    }

    /// Returns the contract of a customer with its revision.
    #[must_use]
    pub fn contract(&self, customer: &str) -> Option<(Revision, &Contract)> {
        self.body.contracts.current(customer)
    }

    /// Returns all contracts with their revisions, in the order of customers.
    pub fn contracts(&self) -> impl Iterator<Item = (Revision, &Contract)> {
        self.body.contracts.iter()
    }

    /// Returns the stored history of a customer, oldest first.
    pub fn contract_history(&self, customer: &str) -> impl Iterator<Item = &ContractHistoryEntry> {
        self.body.contracts.history(customer)
    }

    /// Returns the configuration that an instance lacks: the changes after its cursor, or a full
    /// copy if the cursor is too old. Large updates are split into parts;
    /// [`ConfigurationView`](crate::ConfigurationView) keeps the cursor for the next one.
    #[must_use]
    pub fn update_since(&self, cursor: ConfigurationCursor) -> Option<ConfigurationUpdate> {
        self.body.contracts.update_since(cursor, self.limits.update_bytes)
    }

    pub(crate) fn forgotten_up_to(&self) -> Revision {
        self.body.contracts.forgotten_up_to()
    }

    pub(crate) fn changed_since(
        &self,
        since: Revision,
    ) -> impl Iterator<Item = (Revision, &str, Option<&Contract>)> {
        self.body.contracts.changed_since(since)
    }

    /// Returns the coordinator of a cell.
    #[must_use]
    pub fn coordinator(&self, cell: CellId) -> Option<&Coordinator> {
        self.body.coordinators.get(cell)
    }

    /// Returns all coordinators, in the order of cells.
    pub fn coordinators(&self) -> impl Iterator<Item = &Coordinator> {
        self.body.coordinators.iter()
    }

    /// Returns the index of the latest coordinator assignment.
    #[must_use]
    pub fn coordinators_version(&self) -> u64 {
        self.body.coordinators.version()
    }

    /// Returns the processes with running claims. The leader proposes `EndClaims` for each one
    /// whose lease has expired according to [`Leases::has_expired`](crate::Leases::has_expired),
    /// even if it already did so before, because a claim may be committed late.
    pub fn claimants(&self) -> impl Iterator<Item = (InstanceId, Incarnation)> {
        self.body.once.claimants()
    }

    /// Returns whether there is a record of an idempotency key. Without one, no request with the
    /// key has been sent to a backend server so far.
    #[must_use]
    pub fn has_once_record(&self, customer: &str, key: &str) -> bool {
        self.body.once.has_record(customer, key)
    }

    /// Returns the number and size of the idempotency records.
    #[must_use]
    pub fn once_usage(&self) -> OnceUsage {
        self.body.once.usage()
    }

    /// Encodes the state as a snapshot.
    ///
    /// # Panics
    ///
    /// Doesn't panic in practice, because encoding these types into memory can't fail.
    #[must_use]
    pub fn snapshot(&self) -> Vec<u8> {
        let buffer = vec![SNAPSHOT_VERSION];
        postcard::to_extend(&self.body, buffer).expect("encoding into memory does not fail")
    }

    /// Decodes a snapshot from [`ControlState::snapshot`], with the default limits.
    ///
    /// # Errors
    ///
    /// Returns an error if the snapshot has another format version or is damaged.
    pub fn restore(snapshot: &[u8]) -> Result<ControlState, RestoreError> {
        ControlState::restore_with_limits(snapshot, StateLimits::default())
    }

    /// Decodes a snapshot, with the given limits.
    ///
    /// # Errors
    ///
    /// Returns an error if the snapshot has another format version or is damaged.
    pub fn restore_with_limits(
        snapshot: &[u8],
        limits: StateLimits,
    ) -> Result<ControlState, RestoreError> {
        match snapshot.split_first() {
            Some((&SNAPSHOT_VERSION, body)) => {
                Ok(ControlState { limits, body: postcard::from_bytes(body)? })
            }
            Some((&found, _)) => Err(RestoreError::Version { found }),
            None => Err(RestoreError::Damaged(postcard::Error::DeserializeUnexpectedEnd)),
        }
    }
}

struct ContractChangeRequest<'a> {
    change_id: &'a str,
    customer: &'a str,
    expected_revision: Revision,
    contract: Option<&'a Contract>,
    now_wall_s: u64,
}

impl ContractChangeRequest<'_> {
    /// Returns a 64-bit FNV-1a hash of the content. The hash must not change between versions,
    /// because it is compared with digests in snapshots.
    fn digest(&self) -> u64 {
        let content = (self.customer, self.expected_revision, self.contract);
        let bytes = postcard::to_allocvec(&content).unwrap_or_default();
        bytes.iter().fold(0xcbf2_9ce4_8422_2325, |hash, byte| {
            (hash ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3)
        })
    }
}

impl SnapshotContents {
    fn change_contract(
        &mut self,
        index: u64,
        change: &ContractChangeRequest<'_>,
        limits: &StateLimits,
    ) -> CommandOutcome {
        if change.change_id.is_empty() || change.change_id.len() > limits.key_bytes {
            let problem = format!("the change id has {} bytes", change.change_id.len());
            let remedy = format!("write 1 to {} bytes", limits.key_bytes);
            return CommandOutcome::Invalid(ContractError::new("change_id", problem, remedy));
        }
        let digest = change.digest();
        if let Some((first_digest, result)) = self.change_ids.get(change.change_id) {
            if first_digest != digest {
                return CommandOutcome::ChangeIdReused;
            }
            return match result {
                ChangeResult::Accepted(revision) => CommandOutcome::Accepted { revision },
                ChangeResult::Conflict(current_revision) => {
                    let current =
                        self.contracts.at_revision(change.customer, current_revision).cloned();
                    CommandOutcome::Conflict { current_revision, current }
                }
            };
        }
        let current_revision = self.contracts.current_revision(change.customer);
        if change.contract.is_some()
            && current_revision == Revision(0)
            && self.contracts.live_count() >= limits.contracts
        {
            let problem = format!("there are {} contracts already", limits.contracts);
            let remedy = "remove a contract that is no longer used";
            return CommandOutcome::Invalid(ContractError::new("customer", problem, remedy));
        }
        let is_absent_removal = change.contract.is_none() && current_revision == Revision(0);
        let (result, outcome) = if current_revision != change.expected_revision || is_absent_removal
        {
            let current = self.contracts.current(change.customer).map(|(_, found)| found.clone());
            let outcome = CommandOutcome::Conflict { current_revision, current };
            (ChangeResult::Conflict(current_revision), outcome)
        } else {
            let revision = Revision(index);
            let entry = ContractHistoryEntry {
                revision,
                at_wall_s: change.now_wall_s,
                change_id: change.change_id.into(),
                contract: change.contract.cloned(),
            };
            self.contracts.record_change(change.customer, entry, limits);
            (ChangeResult::Accepted(revision), CommandOutcome::Accepted { revision })
        };
        self.change_ids.insert(change.change_id, digest, change.now_wall_s, result, limits);
        outcome
    }
}
