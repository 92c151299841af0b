//! Leading: replication, commit and the lease.

use std::collections::VecDeque;

use bytes::Bytes;
use redwinglatch_core::ReplicaId;
use smallvec::SmallVec;

use crate::{
    AppendResult, Entry, EntryKind, Index, MAX_ENTRY_BYTES, MessageKind, ProposeError, Replica,
    Stamp,
    progress::{Progress, SendState},
};

use super::{membership::Transfer, read::PendingRead};

/// The state of a leader.
#[derive(Debug)]
pub(super) struct Leading {
    pub(super) progress: Vec<(ReplicaId, Progress)>,
    /// The index of the leader's first entry.
    pub(super) first_index: Index,
    elected_ms: u64,
    pub(super) next_contact_ms: u64,
    /// The newest read confirmation.
    pub(super) round: u64,
    pub(super) reads: VecDeque<PendingRead>,
    pub(super) transfer: Option<Transfer>,
    uncommitted_bytes: usize,
}

impl Leading {
    pub(super) fn new(
        others: impl Iterator<Item = ReplicaId>,
        first_index: Index,
        now_ms: u64,
    ) -> Leading {
        Leading {
            progress: others.map(|other| (other, Progress::new(first_index))).collect(),
            first_index,
            elected_ms: now_ms,
            next_contact_ms: now_ms,
            round: 0,
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

    /// Makes contact with every replica at the next opportunity.
    pub(super) fn contact_all(&mut self) {
        for (_, progress) in &mut self.progress {
            progress.contact_due = true;
        }
    }
}

impl Replica {
    /// Appends `data` to the log if the replica leads.
    ///
    /// The entry is committed when it appears in [`Effects::committed`](crate::Effects::committed)
    /// with the same index and term.
    ///
    /// # Errors
    ///
    /// Returns an error if the replica doesn't lead or hands over, if `data` is too large, or if
    /// too many entries wait to be committed. Nothing was appended then.
    pub fn propose(&mut self, data: impl Into<Bytes>, now_ms: u64) -> Result<Index, ProposeError> {
        self.advance_clock(now_ms);
        let data = data.into();
        let not_leader = self.not_leader();
        let Some(leading) = &mut self.leading else { return Err(not_leader.into()) };
        if let Some(transfer) = &leading.transfer {
            return Err(crate::NotLeader { leader: Some(transfer.to) }.into());
        }
        if data.len() > MAX_ENTRY_BYTES {
            return Err(ProposeError::TooLarge { size_bytes: data.len() });
        }
        let kind = EntryKind::Data(data);
        let uncommitted_bytes = leading.uncommitted_bytes + kind.size_bytes();
        if leading.uncommitted_bytes > 0 && uncommitted_bytes > self.config.max_uncommitted_bytes {
            return Err(ProposeError::Busy);
        }
        leading.uncommitted_bytes = uncommitted_bytes;
        Ok(self.append_entry(kind))
    }

    /// Whether no other replica can lead at present.
    ///
    /// This holds while a majority of voters, the leader included, acknowledged messages sent
    /// within `leader_lease_ms`; those voters refuse other candidates for longer than that. Read
    /// the clock for each call: with an earlier time, an expired lease looks valid.
    #[must_use]
    pub fn leader_lease_valid(&self, now_ms: u64) -> bool {
        let Some(leading) = &self.leading else { return false };
        if leading.transfer.as_ref().is_some_and(|transfer| transfer.lease_given_up) {
            return false;
        }
        let now_ms = now_ms.max(self.now_ms);
        let acked = self.quorum(Some(now_ms), |progress| progress.acked_sent_ms).flatten();
        acked.is_some_and(|sent_ms| now_ms < sent_ms + self.config.leader_lease_ms)
    }

    /// The greatest value that a majority of voters reaches.
    pub(super) fn quorum<T: Ord>(&self, own: T, of: impl Fn(&Progress) -> T) -> Option<T> {
        let leading = self.leading.as_ref()?;
        let membership = self.log.membership();
        let mut values: SmallVec<[T; 8]> = SmallVec::new();
        if membership.is_voter(self.config.id) {
            values.push(own);
        }
        let others = leading.progress.iter().filter(|(other, _)| membership.is_voter(*other));
        values.extend(others.map(|(_, progress)| of(progress)));
        values.sort_unstable_by(|a, b| b.cmp(a));
        values.into_iter().nth(membership.majority() - 1)
    }

    pub(super) fn tick_leader(&mut self) {
        let now_ms = self.now_ms;
        let timeout_ms = self.config.election_timeout_ms;
        let interval_ms = self.config.heartbeat_interval_ms;
        let contact_ms = self.quorum(Some(now_ms), |progress| progress.acked_sent_ms).flatten();
        let Some(leading) = &mut self.leading else { return };
        let contact_ms = contact_ms.unwrap_or(0).max(leading.elected_ms);
        if now_ms >= contact_ms + timeout_ms {
            log::warn!("log: replica {} lost contact with a majority", self.config.id);
            self.become_follower(self.term, None);
            return;
        }
        if now_ms >= leading.next_contact_ms {
            leading.next_contact_ms = now_ms + interval_ms;
            leading.contact_all();
        }
        self.tick_transfer();
    }

    pub(super) fn stop_leading(&mut self) {
        let Some(leading) = self.leading.take() else { return };
        log::info!("log: replica {} no longer leads term {}", self.config.id, self.term);
        self.fail_reads(leading.reads);
    }

    /// Queues what each replica needs, as far as its window allows.
    pub(super) fn send_to_replicas(&mut self) {
        let Some(mut leading) = self.leading.take() else { return };
        let stamp = Stamp { round: leading.round, sent_ms: self.now_ms };
        for (to, progress) in &mut leading.progress {
            self.send_to_replica(*to, progress, stamp);
        }
        self.leading = Some(leading);
    }

    fn send_to_replica(&mut self, to: ReplicaId, progress: &mut Progress, stamp: Stamp) {
        let contact_due = std::mem::take(&mut progress.contact_due);
        if !matches!(progress.state, SendState::Snapshot { .. })
            && self.log.term_at(progress.next_index - 1).is_none()
        {
            let Some(snapshot) = self.snapshot.clone() else { return };
            log::info!("log: sends the snapshot at {} to replica {to}", snapshot.index);
            progress.state = SendState::Snapshot { snapshot, offset: 0, waiting: false };
        }
        let in_contact = self.is_in_contact(progress);
        let last_index = self.log.last_index();
        let max_bytes = self.config.max_batch_bytes;
        match &mut progress.state {
            SendState::Probe { waiting } => {
                // The entries went out before; a replica that is down gets them only once.
                let max_bytes = if *waiting { 0 } else { max_bytes };
                if contact_due || !*waiting {
                    *waiting = true;
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
                if contact_due && !sent {
                    self.send_append(to, progress.next_index, 0, stamp);
                }
            }
            SendState::Snapshot { snapshot, offset, waiting } => {
                if contact_due || !*waiting {
                    // A replica that is down gets the chunk again once it answers.
                    let repeat = *waiting && !in_contact;
                    let chunk_bytes = if repeat { 0 } else { self.config.snapshot_chunk_bytes };
                    *waiting = true;
                    let kind =
                        super::snapshot::chunk_message(snapshot, *offset, chunk_bytes, stamp);
                    self.send_now(to, kind);
                }
            }
        }
    }

    /// Sends up to `max_bytes` of entries from `next_index` on; returns the index after them.
    fn send_append(
        &mut self,
        to: ReplicaId,
        next_index: Index,
        max_bytes: usize,
        stamp: Stamp,
    ) -> Index {
        let prev_index = next_index - 1;
        let prev_term = self.log.term_at(prev_index).unwrap_or_default();
        let max_entries = if max_bytes == 0 { 0 } else { self.config.max_batch_entries };
        let entries = self.log.batch(next_index, max_entries, max_bytes);
        let next_index = next_index + entries.len() as u64;
        let commit = self.commit;
        self.send_now(to, MessageKind::Append { prev_index, prev_term, entries, commit, stamp });
        next_index
    }

    pub(super) fn handle_append_reply(
        &mut self,
        from: ReplicaId,
        stamp: Stamp,
        result: AppendResult,
    ) {
        let last_index = self.log.last_index();
        let next_index = self.next_after(result);
        let Some(progress) = self.acknowledged_progress(from, stamp) else { return };
        match result {
            AppendResult::Matched { index } if index <= last_index => {
                progress.matched(index);
                self.advance_commit();
                self.finish_transfer();
            }
            AppendResult::Matched { .. } => {
                log::warn!("log: replica {from} acknowledged entries that were never sent");
            }
            AppendResult::Conflict { prev_index, .. } => {
                progress.conflicted(prev_index, next_index);
            }
        }
        self.confirm_reads();
    }

    /// The first index that a replica with this answer may need.
    fn next_after(&self, result: AppendResult) -> Index {
        match result {
            AppendResult::Matched { index } => index.saturating_add(1),
            AppendResult::Conflict { term: None, first_index, .. } => first_index,
            AppendResult::Conflict { prev_index, term: Some(term), first_index } => {
                let last = self.log.last_not_after_term(prev_index, term);
                if self.log.term_at(last) == Some(term) { last + 1 } else { first_index }
            }
        }
    }

    /// Records that `from` answered a message with `stamp`; returns its progress.
    pub(super) fn acknowledged_progress(
        &mut self,
        from: ReplicaId,
        stamp: Stamp,
    ) -> Option<&mut Progress> {
        let leading = self.leading.as_mut()?;
        let newest = Stamp { round: leading.round, sent_ms: self.now_ms };
        let progress = leading.progress_mut(from)?;
        progress.acknowledged(stamp, newest);
        Some(progress)
    }

    /// Commits what a majority has synced, if it is of the current term.
    ///
    /// An entry of an earlier term may be replaced by a later leader even when a majority has it;
    /// it is committed only together with one of the current term.
    pub(super) fn advance_commit(&mut self) {
        let own = self.queue.durable_index;
        let Some(index) = self.quorum(own, |progress| progress.match_index) else { return };
        if index <= self.commit || self.log.term_at(index) != Some(self.term) {
            return;
        }
        let first = self.commit + 1;
        self.commit = index;
        if let Some(leading) = &mut self.leading {
            // Entries of earlier leaders and membership changes were not counted.
            let counted = (first.max(leading.first_index)..=index)
                .filter_map(|index| self.log.get(index))
                .filter(|entry| matches!(entry.kind, EntryKind::Data(_)));
            leading.uncommitted_bytes -= counted.map(Entry::size_bytes).sum::<usize>();
        }
        self.confirm_reads();
        self.membership_committed();
    }
}
