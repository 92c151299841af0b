//! The replica state machine; the sub-modules implement elections, replication, membership
//! changes, reads and snapshots.

mod election;
mod follower;
mod leader;
mod membership;
mod read;
mod restart;
mod snapshot;

use std::sync::Arc;

use redwinglatch_core::ReplicaId;
use smallvec::SmallVec;

use crate::{
    ConfigError, DurableState, Effects, EntryKind, HardState, Index, LogMessage, Membership,
    MessageKind, NotLeader, OutgoingMessage, ReadOutcome, ReplicaConfig, Snapshot, Term, WriteId,
    memory_log::MemoryLog, write_queue::WriteQueue,
};

use self::{leader::LeaderState, restart::RestartPhase, snapshot::IncomingSnapshot};

/// The Raft role of a replica.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum ReplicaRole {
    /// Follows a leader or waits for one to be elected.
    Follower,
    /// Runs a pre-vote, which finds out whether the replica would win an election.
    PreCandidate,
    /// Requests votes in an election.
    Candidate,
    /// Is the leader of its term.
    Leader,
    /// Stopped for good because its disk failed; ignores and sends nothing.
    Halted,
}

/// One replica of the log: a state machine that does no I/O and reads no clock.
///
/// Inputs change its state; [`Replica::take_effects`] returns the actions that the driver has to
/// perform. The crate documentation shows the driver's loop.
#[derive(Debug)]
pub struct Replica {
    config: ReplicaConfig,
    rng: fastrand::Rng,
    now_ms: u64,
    term: Term,
    voted_for: Option<ReplicaId>,
    role: ReplicaRole,
    leader: Option<ReplicaId>,
    /// The time of the last message from a leader. The replica grants no vote for an election
    /// timeout after it, except in a leadership transfer.
    leader_contact_ms: u64,
    election_deadline_ms: u64,
    /// What is known of other restarted voters, until the first contact with a leader.
    restart: Option<RestartPhase>,
    /// The election is won by the votes of all voters only.
    needs_all_votes: bool,
    votes: SmallVec<[(ReplicaId, bool); 8]>,
    /// The write that makes a candidate's vote for itself durable; the vote counts once that write
    /// is synced.
    own_vote_write: Option<WriteId>,
    log: MemoryLog,
    commit_index: Index,
    /// The commit index that a leader has named last, whatever this replica has of the log.
    leader_commit_index: Option<Index>,
    applied_index: Index,
    applied_bytes_since_snapshot: u64,
    /// The latest synced snapshot.
    snapshot: Option<Arc<Snapshot>>,
    write_queue: WriteQueue,
    restore: Option<Arc<Snapshot>>,
    leader_state: Option<LeaderState>,
    incoming_snapshot: Option<IncomingSnapshot>,
    next_read: u64,
    finished_reads: Vec<ReadOutcome>,
}

impl Replica {
    /// Creates a replica from the state that [`Storage::open`](crate::Storage::open) returned.
    ///
    /// The replica grants no vote for one election timeout, because it may have acknowledged a
    /// leader's lease just before it restarted.
    ///
    /// # Errors
    ///
    /// Returns an error if the settings are not valid.
    pub fn new(
        config: ReplicaConfig,
        durable_state: DurableState,
        now_ms: u64,
        rng: fastrand::Rng,
    ) -> Result<Replica, ConfigError> {
        config.check()?;
        let DurableState { hard_state, snapshot, entries } = durable_state;
        let mut log = match &snapshot {
            Some(snapshot) => {
                MemoryLog::new(snapshot.index, snapshot.term, snapshot.membership.clone())
            }
            None => MemoryLog::new(0, 0, config.initial_membership.clone()),
        };
        for entry in entries {
            log.push(entry);
        }
        let base_index = log.base_index();
        // The entries of a term can be on the disk without the hard state of that term.
        let term = hard_state.term.max(log.last_term());
        let voted_for = hard_state.voted_for.filter(|_| term == hard_state.term);
        let restart = Some(RestartPhase::new(now_ms, config.election_timeout_ms));
        let mut replica = Replica {
            write_queue: WriteQueue::new(log.last_index()),
            config,
            rng,
            now_ms,
            term,
            voted_for,
            role: ReplicaRole::Follower,
            leader: None,
            leader_contact_ms: now_ms,
            election_deadline_ms: 0,
            restart,
            needs_all_votes: false,
            votes: SmallVec::new(),
            own_vote_write: None,
            log,
            commit_index: base_index,
            leader_commit_index: None,
            applied_index: base_index,
            applied_bytes_since_snapshot: 0,
            snapshot,
            restore: None,
            leader_state: None,
            incoming_snapshot: None,
            next_read: 0,
            finished_reads: Vec::new(),
        };
        replica.reset_election_timer();
        Ok(replica)
    }

    /// Advances the replica's clock and handles timeouts; call it at [`Replica::next_tick_ms`] or
    /// at short, regular intervals.
    pub fn tick(&mut self, now_ms: u64) {
        self.advance_clock(now_ms);
        match self.role {
            ReplicaRole::Halted => {}
            ReplicaRole::Leader => self.tick_leader(),
            ReplicaRole::Follower | ReplicaRole::PreCandidate | ReplicaRole::Candidate => {
                self.tick_restart();
                if self.now_ms >= self.election_deadline_ms {
                    self.start_pre_vote();
                }
            }
        }
    }

    /// Returns the time of the next timeout, at which [`Replica::tick`] must be called unless a
    /// message arrives before.
    #[must_use]
    pub fn next_tick_ms(&self) -> u64 {
        match (&self.leader_state, self.role) {
            (_, ReplicaRole::Halted) => u64::MAX,
            (Some(leader_state), _) => leader_state.next_heartbeat_ms,
            (None, _) => match &self.restart {
                Some(phase) => phase.next_notice_ms().min(self.election_deadline_ms),
                None => self.election_deadline_ms,
            },
        }
    }

    /// Handles `message` from replica `from`.
    pub fn step(&mut self, from: ReplicaId, message: LogMessage, now_ms: u64) {
        self.advance_clock(now_ms);
        if self.role == ReplicaRole::Halted || from == self.config.id {
            return;
        }
        let LogMessage { term, kind } = message;
        if term > follower::MAX_INDEX_OR_TERM {
            log::warn!("log: ignores a message of replica {from} with the invalid term {term}");
            return;
        }
        match kind {
            MessageKind::PreVote { last_index, last_term } => {
                self.handle_pre_vote(from, term, last_index, last_term);
                return;
            }
            MessageKind::PreVoteReply { granted: true } => {
                self.handle_pre_vote_granted(from, term);
                return;
            }
            MessageKind::Restarted { last_index, last_term } => {
                self.handle_restarted(from, term, last_index, last_term);
                return;
            }
            MessageKind::VoteAfterRestart { .. } if !self.may_vote_after_restart() => return,
            // A candidate must not make voters leave a term in which they have contact with a
            // leader.
            MessageKind::Vote { is_transfer: false, .. } if self.has_leader_contact() => return,
            _ => {}
        }
        if term > self.term {
            self.become_follower(term, None);
        } else if term < self.term {
            self.reject_old_term(from, &kind);
            return;
        }
        match kind {
            MessageKind::PreVote { .. }
            | MessageKind::PreVoteReply { .. }
            | MessageKind::Restarted { .. }
            | MessageKind::OldTerm => {}
            MessageKind::Vote { last_index, last_term, .. }
            | MessageKind::VoteAfterRestart { last_index, last_term } => {
                self.handle_vote(from, last_index, last_term);
            }
            MessageKind::VoteReply { granted } => self.handle_vote_reply(from, granted),
            MessageKind::Append { prev_index, prev_term, entries, commit_index, stamp } => {
                if self.accept_leader(from) {
                    self.handle_append(from, (prev_index, prev_term), entries, commit_index, stamp);
                }
            }
            MessageKind::AppendReply { stamp, result } => {
                self.handle_append_reply(from, stamp, result);
            }
            MessageKind::SnapshotChunk {
                index,
                snapshot_term,
                membership,
                total_bytes,
                offset,
                data,
                stamp,
            } => {
                if self.accept_leader(from) {
                    let chunk = Snapshot { index, term: snapshot_term, membership, data };
                    self.handle_snapshot_chunk(from, chunk, total_bytes, offset, stamp);
                }
            }
            MessageKind::SnapshotReply { stamp, index, next_offset } => {
                self.handle_snapshot_reply(from, stamp, index, next_offset);
            }
            MessageKind::TimeoutNow => self.handle_timeout_now(from),
        }
    }

    /// Removes and returns the actions that the driver has to perform.
    pub fn take_effects(&mut self) -> Effects {
        if self.role == ReplicaRole::Halted {
            let reads = std::mem::take(&mut self.finished_reads);
            return Effects { reads, ..Effects::default() };
        }
        self.send_to_replicas();
        let messages = self.write_queue.take_messages();
        let last_index = self.log.last_index();
        let first_unwritten = self.write_queue.first_unwritten_index;
        let hard_state = self
            .write_queue
            .is_hard_state_dirty
            .then_some(HardState { term: self.term, voted_for: self.voted_for });
        let snapshot = self.write_queue.snapshot.as_ref().map(|write| Arc::clone(&write.snapshot));
        let truncate_from = self.write_queue.truncate_from;
        let append = self.log.range(first_unwritten, last_index);
        let write = self.write_queue.start_write(last_index);
        let restore = self.restore.take();
        if let Some(snapshot) = &restore {
            self.applied_index = snapshot.index;
            self.applied_bytes_since_snapshot = 0;
        }
        // Only entries that are synced on the replica's own disk are applied, so that a restart
        // never finds a log that ends before the state machine's state.
        let last_applicable = self.commit_index.min(self.write_queue.durable_index);
        let committed = self.log.range(self.applied_index + 1, last_applicable);
        if let Some(last) = committed.last() {
            self.applied_index = last.index;
            let bytes: usize = committed.iter().map(crate::Entry::size_bytes).sum();
            self.applied_bytes_since_snapshot += bytes as u64;
        }
        Effects {
            write,
            hard_state,
            snapshot,
            truncate_from,
            append,
            messages,
            restore,
            committed,
            reads: std::mem::take(&mut self.finished_reads),
        }
    }

    /// Records that the write with the id [`Effects::write`] and all earlier ones are synced.
    pub fn persisted(&mut self, write: WriteId) {
        if self.role == ReplicaRole::Halted {
            return;
        }
        if let Some(snapshot_write) = self.write_queue.mark_synced(write) {
            self.snapshot_synced(snapshot_write);
        }
        self.count_own_vote();
        self.advance_commit();
    }

    /// Stops the replica for good; the driver calls it when the storage has failed.
    ///
    /// Votes and acknowledgements that depend on a pending write are dropped.
    pub fn halt(&mut self) {
        if self.role == ReplicaRole::Halted {
            return;
        }
        log::error!("log: replica {} halts after a storage failure", self.config.id);
        self.stop_leading();
        self.role = ReplicaRole::Halted;
        self.leader = None;
        self.write_queue.clear();
        self.incoming_snapshot = None;
        self.restore = None;
    }

    /// Returns the replica's id.
    #[must_use]
    pub fn id(&self) -> ReplicaId {
        self.config.id
    }

    /// Returns the replica's current role.
    #[must_use]
    pub fn role(&self) -> ReplicaRole {
        self.role
    }

    /// Returns whether the replica is the leader, as far as it knows.
    #[must_use]
    pub fn is_leader(&self) -> bool {
        self.role == ReplicaRole::Leader
    }

    /// Returns the leader of the replica's term, if known.
    #[must_use]
    pub fn leader(&self) -> Option<ReplicaId> {
        self.leader
    }

    /// Returns the highest term that the replica has seen.
    #[must_use]
    pub fn term(&self) -> Term {
        self.term
    }

    /// Returns the last index that is known to be committed.
    #[must_use]
    pub fn commit_index(&self) -> Index {
        self.commit_index
    }

    /// Returns the commit index that a leader has named last since the start; this replica may lack a part of the log.
    #[must_use]
    pub fn leader_commit_index(&self) -> Option<Index> {
        self.leader_commit_index
    }

    /// Returns the last index that [`Replica::take_effects`] returned to be applied.
    #[must_use]
    pub fn applied_index(&self) -> Index {
        self.applied_index
    }

    /// Returns the last index of the log.
    #[must_use]
    pub fn last_index(&self) -> Index {
        self.log.last_index()
    }

    /// Returns the latest membership in the log, committed or not.
    #[must_use]
    pub fn membership(&self) -> &Membership {
        self.log.membership()
    }

    /// Returns the entry at `index`, if it is in memory.
    #[must_use]
    pub fn entry(&self, index: Index) -> Option<&crate::Entry> {
        self.log.get(index)
    }

    fn advance_clock(&mut self, now_ms: u64) {
        self.now_ms = self.now_ms.max(now_ms);
    }

    fn not_leader(&self) -> NotLeader {
        NotLeader { leader: self.leader.filter(|&leader| leader != self.config.id) }
    }

    /// Queues a message that depends on no write.
    fn send_now(&mut self, to: ReplicaId, kind: MessageKind) {
        self.send(to, self.term, kind, WriteId(0));
    }

    /// Queues a message that may be sent only once all current state is synced.
    fn send_after_sync(&mut self, to: ReplicaId, kind: MessageKind) {
        let after_write = self.write_queue.covering_write(self.log.last_index());
        self.send(to, self.term, kind, after_write);
    }

    fn send(&mut self, to: ReplicaId, term: Term, kind: MessageKind, after_write: WriteId) {
        self.write_queue
            .delay_message(after_write, OutgoingMessage { to, message: LogMessage { term, kind } });
    }

    fn append_entry(&mut self, kind: EntryKind) -> Index {
        let index = self.log.last_index() + 1;
        self.log.push(crate::Entry { index, term: self.term, kind });
        index
    }
}
