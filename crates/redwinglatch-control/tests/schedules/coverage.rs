//! Counts of the cases that the random schedules reach.

/// Counts of the cases that the schedules must reach, to detect a generator that no longer produces
/// some of them.
#[derive(Debug, Default)]
pub(crate) struct Coverage {
    pub(crate) granted: u64,
    pub(crate) stored_answers: u64,
    pub(crate) unknown_answers: u64,
    pub(crate) leaders: u64,
    pub(crate) reported: u64,
    pub(crate) conflicts: u64,
    pub(crate) superseded: u64,
    pub(crate) full_copies: u64,
    pub(crate) staged: u64,
    pub(crate) coordinators: u64,
    pub(crate) shares_in_use: u64,
    pub(crate) ended_leases: u64,
}

impl Coverage {
    pub(crate) fn add(&mut self, other: &Coverage) {
        for (total, part) in self.fields().into_iter().zip(other.values()) {
            *total += part;
        }
    }

    pub(crate) fn check(&self) {
        assert!(self.values().iter().all(|count| *count > 0), "a case never occurred: {self:?}");
    }

    fn fields(&mut self) -> [&mut u64; 12] {
        [
            &mut self.granted,
            &mut self.stored_answers,
            &mut self.unknown_answers,
            &mut self.leaders,
            &mut self.reported,
            &mut self.conflicts,
            &mut self.superseded,
            &mut self.full_copies,
            &mut self.staged,
            &mut self.coordinators,
            &mut self.shares_in_use,
            &mut self.ended_leases,
        ]
    }

    fn values(&self) -> [u64; 12] {
        [
            self.granted,
            self.stored_answers,
            self.unknown_answers,
            self.leaders,
            self.reported,
            self.conflicts,
            self.superseded,
            self.full_copies,
            self.staged,
            self.coordinators,
            self.shares_in_use,
            self.ended_leases,
        ]
    }
}
