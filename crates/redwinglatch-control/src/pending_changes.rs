//! Accepted changes that are not yet in force everywhere.

use std::collections::VecDeque;

use redwinglatch_core::Revision;

/// Holds back the report of accepted changes until every possible lease holder applies them.
///
/// A new leader starts with none: the operator resends the change under the same change id, gets
/// the first result, and it is added again.
#[derive(Debug, Default)]
pub struct PendingChanges {
    changes: VecDeque<(Revision, u64)>,
}

impl PendingChanges {
    /// Holds back the change of `revision`; `ticket` identifies who waits for it.
    pub fn add(&mut self, revision: Revision, ticket: u64) {
        let position = self.changes.partition_point(|(other, _)| *other <= revision);
        self.changes.insert(position, (revision, ticket));
    }

    /// Forgets a ticket, such as that of an operator who closed the connection.
    pub fn cancel(&mut self, ticket: u64) {
        self.changes.retain(|(_, other)| *other != ticket);
    }

    /// Takes the changes up to `in_force_everywhere`, which is [`Leases::settled`](crate::Leases::settled).
    pub fn take_reportable(
        &mut self,
        in_force_everywhere: Option<Revision>,
    ) -> Vec<(Revision, u64)> {
        let Some(in_force_everywhere) = in_force_everywhere else { return Vec::new() };
        let count = self.changes.partition_point(|(revision, _)| *revision <= in_force_everywhere);
        self.changes.drain(..count).collect()
    }

    /// How many changes wait.
    #[must_use]
    pub fn len(&self) -> usize {
        self.changes.len()
    }

    /// Whether none waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.changes.is_empty()
    }
}
