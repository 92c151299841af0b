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
    /// The contract, or `None` when it was removed.
    pub contract: Option<Contract>,
}

/// One entry of a customer's history.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HistoryEntry {
    /// The revision of the change.
    pub revision: Revision,
    /// Wall-clock seconds at the proposer.
    pub at_wall_s: u64,
    /// The change id that the operator chose.
    pub change_id: Box<str>,
    /// The contract as of this revision, or `None` when it was removed.
    pub contract: Option<Contract>,
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct Customer {
    history: VecDeque<HistoryEntry>,
}

impl Customer {
    fn latest(&self) -> Option<&HistoryEntry> {
        self.history.back()
    }
}

/// All contracts. Each customer and each removed customer is listed once by its latest revision,
/// so the changes since any revision are one range of that list.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Contracts {
    customers: BTreeMap<Box<str>, Customer>,
    by_revision: BTreeMap<Revision, Box<str>>,
    removed: VecDeque<Revision>,
    live: usize,
    head: Revision,
    /// Removals up to this revision may be forgotten; older instances need a full copy.
    floor: Revision,
}

impl Contracts {
    pub(crate) fn head(&self) -> Revision {
        self.head
    }

    pub(crate) fn live(&self) -> usize {
        self.live
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

    pub(crate) fn history(&self, customer: &str) -> impl Iterator<Item = &HistoryEntry> {
        self.customers.get(customer).into_iter().flat_map(|customer| customer.history.iter())
    }

    /// The contract of a customer as of `revision`, if the history still holds it.
    pub(crate) fn at(&self, customer: &str, revision: Revision) -> Option<&Contract> {
        let entry = self.history(customer).find(|entry| entry.revision == revision)?;
        entry.contract.as_ref()
    }

    pub(crate) fn change(&mut self, name: &str, entry: HistoryEntry, limits: &StateLimits) {
        let revision = entry.revision;
        let removal = entry.contract.is_none();
        if !self.customers.contains_key(name) {
            self.customers.insert(name.into(), Customer { history: VecDeque::new() });
        }
        let Some(customer) = self.customers.get_mut(name) else { return };
        if let Some(latest) = customer.latest() {
            self.live -= usize::from(latest.contract.is_some());
            self.by_revision.remove(&latest.revision);
            self.removed.retain(|removed| *removed != latest.revision);
        }
        customer.history.push_back(entry);
        let mut bytes: usize = customer.history.iter().map(entry_bytes).sum();
        while customer.history.len() > limits.history_entries.max(1)
            || (customer.history.len() > 1 && bytes > limits.history_bytes)
        {
            bytes -= customer.history.pop_front().as_ref().map_or(0, entry_bytes);
        }
        self.by_revision.insert(revision, name.into());
        self.head = revision;
        if removal {
            self.removed.push_back(revision);
            self.forget_removed(limits.removed_customers);
        } else {
            self.live += 1;
        }
    }

    fn forget_removed(&mut self, limit: usize) {
        while self.removed.len() > limit {
            let Some(oldest) = self.removed.pop_front() else { return };
            if let Some(name) = self.by_revision.remove(&oldest) {
                self.customers.remove(&name);
            }
            self.floor = oldest;
        }
    }

    /// Removals up to this revision may be missing from [`Contracts::changed_since`].
    pub(crate) fn floor(&self) -> Revision {
        self.floor
    }

    /// The customers that changed after `since`, with their current contract.
    pub(crate) fn changed_since(
        &self,
        since: Revision,
    ) -> impl Iterator<Item = (Revision, &str, Option<&Contract>)> {
        self.by_revision.range(Revision(since.0 + 1)..).map(|(revision, name)| {
            let latest = self.customers.get(name).and_then(Customer::latest);
            (*revision, &**name, latest.and_then(|latest| latest.contract.as_ref()))
        })
    }

    /// The next part of the changes after the cursor, or of a full copy if the cursor is too old.
    pub(crate) fn update_since(
        &self,
        cursor: ConfigurationCursor,
        part_bytes: usize,
    ) -> Option<ConfigurationUpdate> {
        if cursor.reached >= self.head {
            return None;
        }
        let full = cursor.base < self.floor || cursor.reached == Revision(0);
        let from = if full { Revision(0) } else { cursor.reached };
        let mut changes = Vec::new();
        let mut bytes = 0;
        let mut to = self.head;
        let mut range = self.by_revision.range(Revision(from.0 + 1)..).peekable();
        while let Some((revision, name)) = range.next() {
            let Some(latest) = self.customers.get(name).and_then(Customer::latest) else {
                continue;
            };
            // A full copy starts from nothing, so it needs no removals.
            if !(full && latest.contract.is_none()) {
                bytes += entry_bytes(latest);
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
        Some(ConfigurationUpdate { from, to, full, changes })
    }
}

/// An estimate of the encoded size, close enough to bound messages and memory.
fn entry_bytes(entry: &HistoryEntry) -> usize {
    let contract = entry.contract.as_ref().map_or(0, |contract| {
        let rules: usize = contract.adapters.iter().map(|rule| rule.adapter.len() + 8).sum();
        let services: usize = contract.services.iter().map(|service| service.len() + 2).sum();
        contract.customer.len() + rules + services + 32
    });
    entry.change_id.len() + contract + 24
}
