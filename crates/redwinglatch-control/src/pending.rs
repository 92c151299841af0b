//! Accepted changes that are not yet in force everywhere.

use std::collections::VecDeque;

use redwinglatch_core::Revision;

/// Holds back the report of accepted changes until every possible lease holder applies them.
///
/// A new leader starts with none: the operator resends the change under the same change id, gets
/// the first result, and it is added again.
#[derive(Debug, Default)]
pub struct PendingChanges {
    waiting: VecDeque<(Revision, u64)>,
}

impl PendingChanges {
    /// Holds back the change of `revision`; `ticket` identifies who waits for it.
    pub fn add(&mut self, revision: Revision, ticket: u64) {
        let position = self.waiting.partition_point(|(other, _)| *other <= revision);
        self.waiting.insert(position, (revision, ticket));
    }

    /// Forgets a ticket, such as that of an operator who closed the connection.
    pub fn cancel(&mut self, ticket: u64) {
        self.waiting.retain(|(_, other)| *other != ticket);
    }

    /// Takes the changes up to `settled`, which is [`Leases::settled`](crate::Leases::settled).
    pub fn take_reportable(&mut self, settled: Option<Revision>) -> Vec<(Revision, u64)> {
        let Some(settled) = settled else { return Vec::new() };
        let count = self.waiting.partition_point(|(revision, _)| *revision <= settled);
        self.waiting.drain(..count).collect()
    }

    /// How many changes wait.
    #[must_use]
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Whether none waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }
}
