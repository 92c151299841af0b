//! The follower's handling of the leader's messages.

use redwinglatch_core::ReplicaId;

use crate::{AppendResult, Entry, Index, LeaderStamp, MessageKind, Replica, ReplicaRole, Term};

/// Maximum index or term that is accepted from a message, so that arithmetic can't overflow.
pub(super) const MAX_INDEX_OR_TERM: u64 = u64::MAX / 4;

impl Replica {
    /// Follows `from`, which sent a message that only the leader of the current term sends.
    ///
    /// Returns whether the message may be handled.
    pub(super) fn accept_leader(&mut self, from: ReplicaId) -> bool {
        if self.role == ReplicaRole::Leader || self.leader.is_some_and(|leader| leader != from) {
            log::error!(
                "log: {from} and {:?} both act as leader of term {}",
                self.leader,
                self.term
            );
            return false;
        }
        self.become_follower(self.term, Some(from));
        self.leader_contact_ms = self.now_ms;
        self.restart = None;
        self.reset_election_timer();
        true
    }

    /// Replies to a request of an earlier term, so that its sender learns the current term.
    ///
    /// The reply contains no stamp: the sender may be the leader of the current term by now, and
    /// the stamp of an earlier term, possibly of an earlier process with another clock, would
    /// extend its lease.
    pub(super) fn reject_old_term(&mut self, from: ReplicaId, kind: &MessageKind) {
        let is_request = matches!(
            kind,
            MessageKind::Vote { .. }
                | MessageKind::VoteAfterRestart { .. }
                | MessageKind::Append { .. }
                | MessageKind::SnapshotChunk { .. }
        );
        if is_request {
            self.send_after_sync(from, MessageKind::OldTerm);
        }
    }

    pub(super) fn handle_append(
        &mut self,
        from: ReplicaId,
        (prev_index, prev_term): (Index, Term),
        entries: Vec<Entry>,
        leader_commit: Index,
        stamp: LeaderStamp,
    ) {
        if !self.is_well_formed(prev_index, prev_term, &entries) {
            log::warn!("log: ignores entries of replica {from} that are out of order");
            return;
        }
        self.leader_commit_index = Some(leader_commit);
        let result = self.append_after(prev_index, prev_term, entries);
        if let AppendResult::Matched { index } = result {
            self.commit_index = self.commit_index.max(leader_commit.min(index));
        }
        self.send_after_sync(from, MessageKind::AppendReply { stamp, result });
    }

    fn is_well_formed(&self, prev_index: Index, prev_term: Term, entries: &[Entry]) -> bool {
        let mut index = prev_index;
        let mut term = prev_term;
        for entry in entries {
            if index >= MAX_INDEX_OR_TERM || entry.index != index + 1 || entry.term < term {
                return false;
            }
            index = entry.index;
            term = entry.term;
        }
        index <= MAX_INDEX_OR_TERM && term <= self.term
    }

    fn append_after(
        &mut self,
        prev_index: Index,
        prev_term: Term,
        entries: Vec<Entry>,
    ) -> AppendResult {
        let last_new = prev_index + entries.len() as u64;
        // Entries up to the base index are committed, so they are equal to the leader's.
        let base_index = self.log.base_index();
        if last_new <= base_index {
            return AppendResult::Matched { index: last_new };
        }
        let own_term = self.log.term_at(prev_index);
        if prev_index >= base_index && own_term != Some(prev_term) {
            let first_index = match own_term {
                Some(_) => self.log.first_index_of_term_run(prev_index, self.commit_index + 1),
                None => self.log.last_index() + 1,
            };
            return AppendResult::Conflict { prev_index, term: own_term, first_index };
        }
        for entry in entries {
            match self.log.term_at(entry.index) {
                _ if entry.index <= base_index => {}
                Some(term) if term == entry.term => {}
                Some(_) if entry.index <= self.commit_index => {
                    log::error!(
                        "log: the leader's entry at committed index {} differs",
                        entry.index
                    );
                    return AppendResult::Matched { index: prev_index };
                }
                Some(_) => {
                    self.log.truncate(entry.index);
                    self.write_queue.truncate(entry.index);
                    self.log.push(entry);
                }
                None => self.log.push(entry),
            }
        }
        AppendResult::Matched { index: last_new }
    }
}
