//! Accepted changes that are not yet in force everywhere.

use std::collections::VecDeque;

use redwinglatch_core::Revision;

/// Delays the report of accepted changes until every possible lease holder has them in force.
///
/// A new leader starts without pending changes. The operator resends the change under the same
/// change id, which returns the first result and adds the change again.
#[derive(Debug, Default)]
pub struct PendingChanges {
    changes: VecDeque<(Revision, u64)>,
}

impl PendingChanges {
    /// Adds the change of `revision`; `ticket` identifies the operator request that waits for it.
    pub fn add(&mut self, revision: Revision, ticket: u64) {
        let position = self.changes.partition_point(|(other, _)| *other <= revision);
        self.changes.insert(position, (revision, ticket));
    }

    /// Removes a ticket, for example that of an operator who closed the connection.
    pub fn cancel(&mut self, ticket: u64) {
        self.changes.retain(|(_, other)| *other != ticket);
    }

    /// Removes and returns the changes up to `in_force_everywhere`, which is
    /// [`Leases::revision_in_force_everywhere`](crate::Leases::revision_in_force_everywhere).
    pub fn take_reportable(
        &mut self,
        in_force_everywhere: Option<Revision>,
    ) -> Vec<(Revision, u64)> {
        let Some(in_force_everywhere) = in_force_everywhere else { return Vec::new() };
        let count = self.changes.partition_point(|(revision, _)| *revision <= in_force_everywhere);
        self.changes.drain(..count).collect()
    }

    /// Returns the number of pending changes.
    #[must_use]
    pub fn len(&self) -> usize {
        self.changes.len()
    }

    /// Returns whether there are no pending changes.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.changes.is_empty()
    }
}
