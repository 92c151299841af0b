//! Linearizable reads: confirmation that the leader has not been replaced.

use std::collections::VecDeque;

use crate::{Index, NotLeader, ReadId, ReadOutcome, Replica};

/// A read that waits until a majority has confirmed the leader.
#[derive(Debug)]
pub(super) struct PendingRead {
    id: ReadId,
    read_round: u64,
    index: Index,
}

impl Replica {
    /// Returns the index that the state machine must have applied to serve a read under the lease,
    /// without messages to other replicas.
    ///
    /// Returns `None` without a valid lease or before the leader has committed an entry of its
    /// own term; [`Replica::request_read`] works without a lease.
    #[must_use]
    pub fn lease_read_index(&self, now_ms: u64) -> Option<Index> {
        let leader_state = self.leader_state.as_ref()?;
        let current =
            self.commit_index >= leader_state.first_index && self.leader_lease_valid(now_ms);
        current.then_some(self.commit_index)
    }

    /// Starts a read confirmation by a round of messages to the other replicas.
    ///
    /// The result appears in [`Effects::reads`](crate::Effects::reads).
    ///
    /// # Errors
    ///
    /// Returns an error if the replica is not the leader.
    pub fn request_read(&mut self, now_ms: u64) -> Result<ReadId, NotLeader> {
        self.advance_clock(now_ms);
        let not_leader = self.not_leader();
        let Some(leader_state) = &mut self.leader_state else { return Err(not_leader) };
        let id = ReadId(self.next_read);
        self.next_read += 1;
        leader_state.read_round += 1;
        // A new leader may not know its predecessor's commit index yet; the leader's first entry
        // comes after it.
        let index = self.commit_index.max(leader_state.first_index);
        leader_state.reads.push_back(PendingRead {
            id,
            read_round: leader_state.read_round,
            index,
        });
        leader_state.schedule_heartbeats();
        self.confirm_reads();
        Ok(id)
    }

    /// Finishes the reads whose round a majority has acknowledged.
    pub(super) fn confirm_reads(&mut self) {
        let Some(round) = self.quorum_value(u64::MAX, |peer| peer.acked_read_round) else { return };
        let Some(leader_state) = &mut self.leader_state else { return };
        if self.commit_index < leader_state.first_index {
            return;
        }
        while leader_state.reads.front().is_some_and(|read| read.read_round <= round) {
            let Some(read) = leader_state.reads.pop_front() else { break };
            self.finished_reads.push(ReadOutcome { id: read.id, index: Some(read.index) });
        }
    }

    pub(super) fn fail_reads(&mut self, reads: VecDeque<PendingRead>) {
        let failed = reads.into_iter().map(|read| ReadOutcome { id: read.id, index: None });
        self.finished_reads.extend(failed);
    }
}
