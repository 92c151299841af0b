//! The leader: replication, commit and the leader lease.

use std::collections::VecDeque;

use bytes::Bytes;
use redwinglatch_core::ReplicaId;
use smallvec::SmallVec;

use crate::{
    AppendResult, Entry, EntryKind, Index, LeaderStamp, MAX_ENTRY_BYTES, MessageKind, ProposeError,
    Replica,
    progress::{Progress, SendState},
};

use super::{membership::Transfer, read::PendingRead};

/// Election timeouts for which a replica counts as caught up after it had synced all that was committed.
const CAUGHT_UP_ELECTION_TIMEOUTS: u64 = 2;

/// The state that a replica has only while it is the leader.
#[derive(Debug)]
pub(super) struct LeaderState {
    pub(super) progress: Vec<(ReplicaId, Progress)>,
    /// The index of the leader's first entry.
    pub(super) first_index: Index,
    pub(super) elected_ms: u64,
    pub(super) next_heartbeat_ms: u64,
    /// The latest round of read confirmations.
    pub(super) read_round: u64,
    pub(super) reads: VecDeque<PendingRead>,
    pub(super) transfer: Option<Transfer>,
    uncommitted_bytes: usize,
}

impl LeaderState {
    pub(super) fn new(
        others: impl Iterator<Item = ReplicaId>,
        first_index: Index,
        now_ms: u64,
    ) -> LeaderState {
        LeaderState {
            progress: others.map(|other| (other, Progress::new(first_index))).collect(),
            first_index,
            elected_ms: now_ms,
            next_heartbeat_ms: now_ms,
            read_round: 0,
            reads: VecDeque::new(),
            transfer: None,
            uncommitted_bytes: 0,
        }
    }

    pub(super) fn progress(&self, replica: ReplicaId) -> Option<&Progress> {
        self.progress.iter().find(|(other, _)| *other == replica).map(|(_, progress)| progress)
    }

    pub(super) fn progress_mut(&mut self, replica: ReplicaId) -> Option<&mut Progress> {
        self.progress.iter_mut().find(|(other, _)| *other == replica).map(|(_, progress)| progress)
    }

    /// Makes the next [`Replica::take_effects`] send a message to every other replica.
    pub(super) fn schedule_heartbeats(&mut self) {
        for (_, progress) in &mut self.progress {
            progress.is_heartbeat_due = true;
        }
    }
}

impl Replica {
    /// Appends `data` to the log if the replica is the leader.
    ///
    /// The entry is committed once it appears in [`Effects::committed`](crate::Effects::committed)
    /// with the same index and term.
    ///
    /// # Errors
    ///
    /// Returns an error if the replica is not the leader or is transferring leadership, if `data`
    /// is too large, or if too many entries are not committed yet. Nothing is appended then.
    pub fn propose(&mut self, data: impl Into<Bytes>, now_ms: u64) -> Result<Index, ProposeError> {
        self.advance_clock(now_ms);
        let data = data.into();
        let not_leader = self.not_leader();
        let Some(leader_state) = &mut self.leader_state else { return Err(not_leader.into()) };
        if let Some(transfer) = &leader_state.transfer {
            return Err(crate::NotLeader { leader: Some(transfer.to) }.into());
        }
        if data.len() > MAX_ENTRY_BYTES {
            return Err(ProposeError::TooLarge { size_bytes: data.len() });
        }
        let kind = EntryKind::Data(data);
        let uncommitted_bytes = leader_state.uncommitted_bytes + kind.size_bytes();
        if leader_state.uncommitted_bytes > 0
            && uncommitted_bytes > self.config.max_uncommitted_bytes
        {
            return Err(ProposeError::TooManyUncommitted);
        }
        leader_state.uncommitted_bytes = uncommitted_bytes;
        Ok(self.append_entry(kind))
    }

    /// Returns whether the leader's lease is valid, so that no other replica can be the leader.
    ///
    /// The lease is valid while a majority of voters, the leader included, have acknowledged
    /// messages sent within the last `leader_lease_ms`; those voters reject other candidates for
    /// longer than that. Read the clock for each call: with an earlier time, an expired lease looks
    /// valid.
    #[must_use]
    pub fn leader_lease_valid(&self, now_ms: u64) -> bool {
        let Some(leader_state) = &self.leader_state else { return false };
        if leader_state.transfer.as_ref().is_some_and(|transfer| transfer.lease_ended) {
            return false;
        }
        let now_ms = now_ms.max(self.now_ms);
        let quorum_acked_ms = self.quorum_value(Some(now_ms), |peer| peer.acked_sent_ms).flatten();
        quorum_acked_ms.is_some_and(|sent_ms| now_ms < sent_ms + self.config.leader_lease_ms)
    }

    /// Returns for each other voter when the latest message that it has acknowledged was sent. Without leadership
    /// there are none.
    pub fn acked_sent_ms(&self) -> impl Iterator<Item = Option<u64>> {
        let membership = self.log.membership();
        let progress = self.leader_state.iter().flat_map(|state| state.progress.iter());
        let others = progress.filter(|(other, _)| membership.is_voter(*other));
        others.map(|(_, progress)| progress.acked_sent_ms)
    }

    /// Returns when the latest message that `replica` has acknowledged was sent, if this replica leads and it has
    /// acknowledged one.
    #[must_use]
    pub fn last_ack_ms(&self, replica: ReplicaId) -> Option<u64> {
        self.leader_state.as_ref()?.progress(replica)?.acked_sent_ms
    }

    /// Returns whether `replica` has synced all that was committed at a time within the last two election
    /// timeouts, as far as this replica knows as the leader.
    #[must_use]
    pub fn is_caught_up(&self, replica: ReplicaId) -> bool {
        let progress = self.leader_state.as_ref().and_then(|state| state.progress(replica));
        let period_ms = CAUGHT_UP_ELECTION_TIMEOUTS * self.config.election_timeout_ms;
        progress.is_some_and(|progress| {
            progress.is_caught_up_since(self.now_ms.saturating_sub(period_ms))
        })
    }

    /// Returns the members that are known to have synced the entry at `index`. Without leadership there are none.
    pub fn holders(&self, index: Index) -> impl Iterator<Item = ReplicaId> {
        let own = (self.write_queue.durable_index >= index).then_some(self.config.id);
        let progress = self.leader_state.iter().flat_map(|state| state.progress.iter());
        let others = progress.filter(move |(_, progress)| progress.match_index >= index);
        let others = others.map(|(other, _)| *other);
        others.chain(own.filter(|_| self.leader_state.is_some()))
    }

    /// Returns when this replica was elected, if it leads.
    #[must_use]
    pub fn elected_ms(&self) -> Option<u64> {
        self.leader_state.as_ref().map(|leader_state| leader_state.elected_ms)
    }

    /// Returns the greatest value that a majority of voters reaches; `own_value` is this replica's.
    pub(super) fn quorum_value<T: Ord>(
        &self,
        own_value: T,
        value_of: impl Fn(&Progress) -> T,
    ) -> Option<T> {
        let leader_state = self.leader_state.as_ref()?;
        let membership = self.log.membership();
        let mut values: SmallVec<[T; 8]> = SmallVec::new();
        if membership.is_voter(self.config.id) {
            values.push(own_value);
        }
        let others = leader_state.progress.iter().filter(|(other, _)| membership.is_voter(*other));
        values.extend(others.map(|(_, progress)| value_of(progress)));
        values.sort_unstable_by(|a, b| b.cmp(a));
        values.into_iter().nth(membership.majority() - 1)
    }

    pub(super) fn tick_leader(&mut self) {
        let now_ms = self.now_ms;
        let timeout_ms = self.config.election_timeout_ms;
        let interval_ms = self.config.heartbeat_interval_ms;
        let last_contact_ms = self.quorum_value(Some(now_ms), |peer| peer.acked_sent_ms).flatten();
        let Some(leader_state) = &mut self.leader_state else { return };
        let last_contact_ms = last_contact_ms.unwrap_or(0).max(leader_state.elected_ms);
        if now_ms >= last_contact_ms + timeout_ms {
            log::warn!("log: leader {} lost contact with a majority of voters", self.config.id);
            self.become_follower(self.term, None);
            return;
        }
        if now_ms >= leader_state.next_heartbeat_ms {
            leader_state.next_heartbeat_ms = now_ms + interval_ms;
            leader_state.schedule_heartbeats();
        }
        self.tick_transfer();
    }

    pub(super) fn stop_leading(&mut self) {
        let Some(leader_state) = self.leader_state.take() else { return };
        log::info!(
            "log: replica {} stops being the leader; its term is {}",
            self.config.id,
            self.term
        );
        self.fail_reads(leader_state.reads);
    }

    /// Queues the entries, chunks and heartbeats for each replica, within its in-flight limit.
    pub(super) fn send_to_replicas(&mut self) {
        let Some(mut leader_state) = self.leader_state.take() else { return };
        let stamp = LeaderStamp { read_round: leader_state.read_round, sent_ms: self.now_ms };
        for (to, progress) in &mut leader_state.progress {
            self.send_to_replica(*to, progress, stamp);
        }
        self.leader_state = Some(leader_state);
    }

    fn send_to_replica(&mut self, to: ReplicaId, progress: &mut Progress, stamp: LeaderStamp) {
        let is_heartbeat_due = std::mem::take(&mut progress.is_heartbeat_due);
        if !matches!(progress.state, SendState::Snapshot { .. })
            && self.log.term_at(progress.next_index - 1).is_none()
        {
            let Some(snapshot) = self.snapshot.clone() else { return };
            log::info!("log: sends the snapshot at index {} to replica {to}", snapshot.index);
            progress.state = SendState::Snapshot { snapshot, offset: 0, is_awaiting_reply: false };
        }
        let in_contact = self.is_in_contact(progress);
        let last_index = self.log.last_index();
        let max_bytes = self.config.max_batch_bytes;
        match &mut progress.state {
            SendState::Probe { is_awaiting_reply } => {
                // While a reply is awaited, heartbeats carry no entries, so that a replica that is
                // down gets the same entries only once.
                let max_bytes = if *is_awaiting_reply { 0 } else { max_bytes };
                if is_heartbeat_due || !*is_awaiting_reply {
                    *is_awaiting_reply = true;
                    self.send_append(to, progress.next_index, max_bytes, stamp);
                }
            }
            SendState::Pipeline { in_flight } => {
                let mut sent = false;
                while progress.next_index <= last_index
                    && in_flight.len() < self.config.max_in_flight_messages
                {
                    progress.next_index =
                        self.send_append(to, progress.next_index, max_bytes, stamp);
                    in_flight.push_back(progress.next_index - 1);
                    sent = true;
                }
                if is_heartbeat_due && !sent {
                    self.send_append(to, progress.next_index, 0, stamp);
                }
            }
            SendState::Snapshot { snapshot, offset, is_awaiting_reply } => {
                if is_heartbeat_due || !*is_awaiting_reply {
                    // A replica that is out of contact gets empty chunks until it replies, and the
                    // chunk again after that.
                    let repeat = *is_awaiting_reply && !in_contact;
                    let chunk_bytes = if repeat { 0 } else { self.config.snapshot_chunk_bytes };
                    *is_awaiting_reply = true;
                    let kind =
                        super::snapshot::chunk_message(snapshot, *offset, chunk_bytes, stamp);
                    self.send_now(to, kind);
                }
            }
        }
    }

    /// Queues a message with up to `max_bytes` of entries from `next_index` on; returns the index
    /// after them.
    fn send_append(
        &mut self,
        to: ReplicaId,
        next_index: Index,
        max_bytes: usize,
        stamp: LeaderStamp,
    ) -> Index {
        let prev_index = next_index - 1;
        let prev_term = self.log.term_at(prev_index).unwrap_or_default();
        let max_entries = if max_bytes == 0 { 0 } else { self.config.max_batch_entries };
        let entries = self.log.batch(next_index, max_entries, max_bytes);
        let next_index = next_index + entries.len() as u64;
        let commit_index = self.commit_index;
        self.send_now(
            to,
            MessageKind::Append { prev_index, prev_term, entries, commit_index, stamp },
        );
        next_index
    }

    pub(super) fn handle_append_reply(
        &mut self,
        from: ReplicaId,
        stamp: LeaderStamp,
        result: AppendResult,
    ) {
        let last_index = self.log.last_index();
        let (commit_index, now_ms) = (self.commit_index, self.now_ms);
        let next_index = self.next_index_after(result);
        let Some(progress) = self.acknowledged_progress(from, stamp) else { return };
        match result {
            AppendResult::Matched { index } if index <= last_index => {
                progress.record_match(index);
                progress.record_round(commit_index, now_ms);
                self.advance_commit();
                self.complete_transfer_if_caught_up();
            }
            AppendResult::Matched { .. } => {
                log::warn!("log: replica {from} acknowledged entries that the leader doesn't have");
            }
            AppendResult::Conflict { prev_index, .. } => {
                progress.record_conflict(prev_index, next_index);
            }
        }
        self.confirm_reads();
    }

    /// Returns the first index that a replica that replied with `result` may need.
    fn next_index_after(&self, result: AppendResult) -> Index {
        match result {
            AppendResult::Matched { index } => index.saturating_add(1),
            AppendResult::Conflict { term: None, first_index, .. } => first_index,
            AppendResult::Conflict { prev_index, term: Some(term), first_index } => {
                let last = self.log.last_index_not_after_term(prev_index, term);
                if self.log.term_at(last) == Some(term) { last + 1 } else { first_index }
            }
        }
    }

    /// Records that `from` replied to a message with `stamp`; returns its progress.
    pub(super) fn acknowledged_progress(
        &mut self,
        from: ReplicaId,
        stamp: LeaderStamp,
    ) -> Option<&mut Progress> {
        let leader_state = self.leader_state.as_mut()?;
        let newest = LeaderStamp { read_round: leader_state.read_round, sent_ms: self.now_ms };
        let progress = leader_state.progress_mut(from)?;
        progress.record_ack(stamp, newest);
        Some(progress)
    }

    /// Advances the commit index to the last entry of the current term that a majority has synced.
    ///
    /// An entry of an earlier term may be replaced by a later leader even if a majority has it, so
    /// it is committed only together with an entry of the current term.
    pub(super) fn advance_commit(&mut self) {
        let durable_index = self.write_queue.durable_index;
        let Some(index) = self.quorum_value(durable_index, |peer| peer.match_index) else { return };
        if index <= self.commit_index || self.log.term_at(index) != Some(self.term) {
            return;
        }
        let first = self.commit_index + 1;
        self.commit_index = index;
        if let Some(leader_state) = &mut self.leader_state {
            // Entries of earlier leaders and membership changes are not in `uncommitted_bytes`.
            let committed_proposals = (first.max(leader_state.first_index)..=index)
                .filter_map(|index| self.log.get(index))
                .filter(|entry| matches!(entry.kind, EntryKind::Data(_)));
            leader_state.uncommitted_bytes -=
                committed_proposals.map(Entry::size_bytes).sum::<usize>();
        }
        self.confirm_reads();
        self.step_down_if_removed();
    }
}
