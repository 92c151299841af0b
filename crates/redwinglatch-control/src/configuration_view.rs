//! The configuration that an instance has in force.

use std::collections::{BTreeMap, HashMap};

use redwinglatch_core::prelude::*;

use crate::{ConfigurationCursor, ConfigurationUpdate, ContractChange};

/// Reason why a configuration update was rejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[non_exhaustive]
pub enum ConfigurationError {
    /// The update starts after the end of the configuration received so far.
    #[error(
        "the update starts at revision {from}, but the configuration ends at {current}; request the changes since {current}"
    )]
    Gap {
        /// Revision at which the update starts.
        from: Revision,
        /// Revision up to which the configuration has been received.
        current: Revision,
    },
    /// The update or its sender is older than the configuration received so far.
    #[error("the update ends at revision {to}, but {current} is in force; ignore it")]
    Older {
        /// Revision at which the update ends.
        to: Revision,
        /// Revision up to which the configuration has been received.
        current: Revision,
    },
}

/// A contract in force.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ContractInForce {
    /// The revision of the contract.
    pub revision: Revision,
    /// The contract.
    pub contract: Contract,
}

/// A customer whose contract an update changed or removed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReplacedContract {
    /// The customer.
    pub customer: Box<str>,
    /// The contract before the update, or `None` if there was none.
    pub before: Option<Contract>,
}

#[derive(Debug, Clone)]
struct StagedUpdate {
    is_full: bool,
    cursor: ConfigurationCursor,
    changes: BTreeMap<Box<str>, ContractChange>,
}

/// The contracts that an instance has in force. The revision never decreases.
///
/// An update in several parts takes effect as a whole when its last part arrives, so the revision
/// in force never covers a change that has not been received.
#[derive(Debug, Clone, Default)]
pub struct ConfigurationView {
    revision: Revision,
    contracts: HashMap<Box<str>, ContractInForce>,
    staged: Option<StagedUpdate>,
}

impl ConfigurationView {
    /// Creates an empty view at revision 0.
    #[must_use]
    pub fn new() -> ConfigurationView {
        ConfigurationView::default()
    }

    /// Returns the revision in force.
    #[must_use]
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Returns the progress of a multi-part update, or `None` if none is in progress.
    #[must_use]
    pub fn staged(&self) -> Option<ConfigurationCursor> {
        self.staged.as_ref().map(|staged| staged.cursor)
    }

    /// Returns the contract of a customer.
    #[must_use]
    pub fn contract(&self, customer: &str) -> Option<&ContractInForce> {
        self.contracts.get(customer)
    }

    /// Returns all contracts, in no particular order.
    pub fn contracts(&self) -> impl Iterator<Item = &ContractInForce> {
        self.contracts.values()
    }

    /// Applies an update from a leader whose configuration is at `latest_revision`. Returns the
    /// customers whose contract changed.
    ///
    /// # Errors
    ///
    /// Returns an error, and changes nothing, if the update leaves a gap or is older than the
    /// configuration received so far.
    pub fn apply(
        &mut self,
        latest_revision: Revision,
        update: Option<&ConfigurationUpdate>,
    ) -> Result<Vec<ReplacedContract>, ConfigurationError> {
        if latest_revision < self.revision {
            return Err(ConfigurationError::Older { to: latest_revision, current: self.revision });
        }
        let Some(update) = update else { return Ok(Vec::new()) };
        if !update.is_full {
            let current = self.staged().map_or(self.revision, |cursor| cursor.reached);
            if update.from > current {
                return Err(ConfigurationError::Gap { from: update.from, current });
            }
            if update.to < current {
                return Err(ConfigurationError::Older { to: update.to, current });
            }
        }
        if update.to > latest_revision {
            return Err(ConfigurationError::Older { to: latest_revision, current: update.to });
        }
        let mut staged = match self.staged.take() {
            Some(staged) if !update.is_full => staged,
            _ => {
                let base = if update.is_full { latest_revision } else { self.revision };
                let cursor = ConfigurationCursor { reached: base, base };
                StagedUpdate { is_full: update.is_full, cursor, changes: BTreeMap::new() }
            }
        };
        staged.cursor.reached = update.to;
        for change in &update.changes {
            staged.changes.insert(change.customer.clone(), change.clone());
        }
        if staged.cursor.reached < latest_revision {
            self.staged = Some(staged);
            return Ok(Vec::new());
        }
        Ok(self.put_in_force(staged))
    }

    fn put_in_force(&mut self, staged: StagedUpdate) -> Vec<ReplacedContract> {
        let mut changed = Vec::new();
        if staged.is_full {
            let is_removed = |customer: &str| {
                staged.changes.get(customer).is_none_or(|change| change.contract.is_none())
            };
            let removed: Vec<Box<str>> =
                self.contracts.keys().filter(|customer| is_removed(customer)).cloned().collect();
            for customer in removed {
                let before = self.contracts.remove(&customer).map(|before| before.contract);
                changed.push(ReplacedContract { customer, before });
            }
        }
        for (customer, change) in staged.changes {
            let current = self.contracts.get(&customer).map(|current| current.revision);
            if current.is_some_and(|current| current >= change.revision) {
                continue;
            }
            let before = match change.contract {
                Some(contract) => self.contracts.insert(
                    customer.clone(),
                    ContractInForce { revision: change.revision, contract },
                ),
                None => self.contracts.remove(&customer),
            };
            let before = before.map(|before| before.contract);
            changed.push(ReplacedContract { customer, before });
        }
        self.revision = staged.cursor.reached;
        changed
    }
}
