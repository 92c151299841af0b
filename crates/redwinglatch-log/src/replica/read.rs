//! Proof that a leader is current.

use std::collections::VecDeque;

use crate::{Index, NotLeader, ReadId, ReadOutcome, Replica};

/// A read confirmation that waits for a majority.
#[derive(Debug)]
pub(super) struct PendingRead {
    id: ReadId,
    round: u64,
    index: Index,
}

impl Replica {
    /// The index after which the state machine may answer a read at once, by the lease.
    ///
    /// Returns `None` without a valid lease or before the leader has committed an entry of its
    /// own term; [`Replica::request_read`] works without a lease.
    #[must_use]
    pub fn lease_read_index(&self, now_ms: u64) -> Option<Index> {
        let leading = self.leading.as_ref()?;
        let current = self.commit >= leading.first_index && self.leader_lease_valid(now_ms);
        current.then_some(self.commit)
    }

    /// Starts a read confirmation by a round of messages to the voters.
    ///
    /// The end appears in [`Effects::reads`](crate::Effects::reads).
    ///
    /// # Errors
    ///
    /// Returns an error if the replica doesn't lead.
    pub fn request_read(&mut self, now_ms: u64) -> Result<ReadId, NotLeader> {
        self.advance_clock(now_ms);
        let not_leader = self.not_leader();
        let Some(leading) = &mut self.leading else { return Err(not_leader) };
        let id = ReadId(self.next_read);
        self.next_read += 1;
        leading.round += 1;
        // A new leader may not know yet how far its predecessor committed.
        let index = self.commit.max(leading.first_index);
        leading.reads.push_back(PendingRead { id, round: leading.round, index });
        leading.contact_all();
        self.confirm_reads();
        Ok(id)
    }

    pub(super) fn confirm_reads(&mut self) {
        let Some(round) = self.quorum(u64::MAX, |progress| progress.acked_round) else { return };
        let Some(leading) = &mut self.leading else { return };
        if self.commit < leading.first_index {
            return;
        }
        while leading.reads.front().is_some_and(|read| read.round <= round) {
            let Some(read) = leading.reads.pop_front() else { break };
            self.finished_reads.push(ReadOutcome { id: read.id, index: Some(read.index) });
        }
    }

    pub(super) fn fail_reads(&mut self, reads: VecDeque<PendingRead>) {
        let failed = reads.into_iter().map(|read| ReadOutcome { id: read.id, index: None });
        self.finished_reads.extend(failed);
    }
}
