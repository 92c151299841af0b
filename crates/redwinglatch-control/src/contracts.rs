//! Contracts by customer, with compare-and-set revisions and deltas.

use std::collections::{BTreeMap, VecDeque};

use redwinglatch_core::prelude::*;
use serde::{Deserialize, Serialize};

use crate::{ConfigurationCursor, ConfigurationUpdate, StateLimits};

/// The latest state of one customer's contract.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ContractChange {
    /// The revision of the latest change.
    pub revision: Revision,
    /// The customer.
    pub customer: Box<str>,
    /// The contract, or `None` if it was removed.
    pub contract: Option<Contract>,
}

/// One revision in the history of a customer's contract.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ContractHistoryEntry {
    /// The revision of the change.
    pub revision: Revision,
    /// Wall-clock time of the change in seconds, from the clock of the proposer.
    pub at_wall_s: u64,
    /// The change id that the operator chose.
    pub change_id: Box<str>,
    /// The contract as of this revision, or `None` if the change removed it.
    pub contract: Option<Contract>,
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct CustomerHistory {
    history: VecDeque<ContractHistoryEntry>,
}

impl CustomerHistory {
    fn latest(&self) -> Option<&ContractHistoryEntry> {
        self.history.back()
    }
}

/// All contracts. `by_revision` lists each customer, also removed ones, once by its latest
/// revision, so the changes since any revision are one range of it.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Contracts {
    customers: BTreeMap<Box<str>, CustomerHistory>,
    by_revision: BTreeMap<Revision, Box<str>>,
    removed_revisions: VecDeque<Revision>,
    live_count: usize,
    latest_revision: Revision,
    /// Removals up to this revision may be forgotten. Instances at an older revision need a full
    /// copy.
    forgotten_up_to: Revision,
}

impl Contracts {
    pub(crate) fn latest_revision(&self) -> Revision {
        self.latest_revision
    }

    pub(crate) fn live_count(&self) -> usize {
        self.live_count
    }

    pub(crate) fn current(&self, customer: &str) -> Option<(Revision, &Contract)> {
        let latest = self.customers.get(customer)?.latest()?;
        Some((latest.revision, latest.contract.as_ref()?))
    }

    pub(crate) fn current_revision(&self, customer: &str) -> Revision {
        self.current(customer).map_or(Revision(0), |(revision, _)| revision)
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = (Revision, &Contract)> {
        self.customers.values().filter_map(|customer| {
            let latest = customer.latest()?;
            Some((latest.revision, latest.contract.as_ref()?))
        })
    }

    pub(crate) fn history(&self, customer: &str) -> impl Iterator<Item = &ContractHistoryEntry> {
        self.customers.get(customer).into_iter().flat_map(|customer| customer.history.iter())
    }

    /// Returns the contract of a customer as of `revision`, if it is still in the history.
    pub(crate) fn at_revision(&self, customer: &str, revision: Revision) -> Option<&Contract> {
        let entry = self.history(customer).find(|entry| entry.revision == revision)?;
        entry.contract.as_ref()
    }

    pub(crate) fn record_change(
        &mut self,
        name: &str,
        entry: ContractHistoryEntry,
        limits: &StateLimits,
    ) {
        let revision = entry.revision;
        let is_removal = entry.contract.is_none();
        if !self.customers.contains_key(name) {
            self.customers.insert(name.into(), CustomerHistory { history: VecDeque::new() });
        }
        let Some(customer) = self.customers.get_mut(name) else { return };
        if let Some(latest) = customer.latest() {
            self.live_count -= usize::from(latest.contract.is_some());
            self.by_revision.remove(&latest.revision);
            self.removed_revisions.retain(|revision| *revision != latest.revision);
        }
        customer.history.push_back(entry);
        let mut bytes: usize = customer.history.iter().map(estimated_bytes).sum();
        while customer.history.len() > limits.history_entries.max(1)
            || (customer.history.len() > 1 && bytes > limits.history_bytes)
        {
            bytes -= customer.history.pop_front().as_ref().map_or(0, estimated_bytes);
        }
        self.by_revision.insert(revision, name.into());
        self.latest_revision = revision;
        if is_removal {
            self.removed_revisions.push_back(revision);
            self.forget_removed(limits.removed_customers);
        } else {
            self.live_count += 1;
        }
    }

    fn forget_removed(&mut self, limit: usize) {
        while self.removed_revisions.len() > limit {
            let Some(oldest) = self.removed_revisions.pop_front() else { return };
            if let Some(name) = self.by_revision.remove(&oldest) {
                self.customers.remove(&name);
            }
            self.forgotten_up_to = oldest;
        }
    }

    /// Returns the revision up to which removals may be missing from [`Contracts::changed_since`].
    pub(crate) fn forgotten_up_to(&self) -> Revision {
        self.forgotten_up_to
    }

    /// Returns the customers that changed after `since`, with their current contract.
    pub(crate) fn changed_since(
        &self,
        since: Revision,
    ) -> impl Iterator<Item = (Revision, &str, Option<&Contract>)> {
        self.by_revision.range(Revision(since.0 + 1)..).map(|(revision, name)| {
            let latest = self.customers.get(name).and_then(CustomerHistory::latest);
            (*revision, &**name, latest.and_then(|latest| latest.contract.as_ref()))
        })
    }

    /// Returns the next part of the changes after the cursor, or of a full copy if the cursor is
    /// too old.
    pub(crate) fn update_since(
        &self,
        cursor: ConfigurationCursor,
        part_bytes: usize,
    ) -> Option<ConfigurationUpdate> {
        if cursor.reached >= self.latest_revision {
            return None;
        }
        let is_full = cursor.base < self.forgotten_up_to || cursor.reached == Revision(0);
        let from = if is_full { Revision(0) } else { cursor.reached };
        let mut changes = Vec::new();
        let mut bytes = 0;
        let mut to = self.latest_revision;
        let mut range = self.by_revision.range(Revision(from.0 + 1)..).peekable();
        while let Some((revision, name)) = range.next() {
            let Some(latest) = self.customers.get(name).and_then(CustomerHistory::latest) else {
                continue;
            };
            // A full copy starts from an empty configuration, so it needs no removals.
            if !(is_full && latest.contract.is_none()) {
                bytes += estimated_bytes(latest);
                changes.push(ContractChange {
                    revision: *revision,
                    customer: name.clone(),
                    contract: latest.contract.clone(),
                });
            }
            if bytes >= part_bytes && range.peek().is_some() {
                to = *revision;
                break;
            }
        }
        Some(ConfigurationUpdate { from, to, is_full, changes })
    }
}

/// Estimates the encoded size, closely enough to bound messages and memory.
fn estimated_bytes(entry: &ContractHistoryEntry) -> usize {
    let contract = entry.contract.as_ref().map_or(0, |contract| {
        let rules: usize = contract.adapters.iter().map(|rule| rule.adapter.len() + 8).sum();
        let services: usize = contract.services.iter().map(|service| service.len() + 2).sum();
        contract.customer.len() + rules + services + 32
    });
    entry.change_id.len() + contract + 24
}
