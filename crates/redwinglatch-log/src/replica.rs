//! The replica: state, clock, disk and access; the sub-modules hold elections and replication.

mod election;
mod follower;
mod leader;
mod membership;
mod read;
mod snapshot;

use std::sync::Arc;

use redwinglatch_core::ReplicaId;
use smallvec::SmallVec;

use crate::{
    ConfigError, DurableState, Effects, EntryKind, HardState, Index, LogMessage, Membership,
    MessageKind, NotLeader, Outgoing, ReadOutcome, ReplicaConfig, Snapshot, Term, WriteId,
    memory_log::MemoryLog, write_queue::WriteQueue,
};

use self::{leader::Leading, snapshot::IncomingSnapshot};

/// What a replica does at present.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Role {
    /// Follows a leader or waits for one.
    Follower,
    /// Asks whether it would win an election.
    PreCandidate,
    /// Asks for votes.
    Candidate,
    /// Leads.
    Leader,
    /// Takes no part any more because its disk failed.
    Halted,
}

/// One replica of the log: a state machine without sockets, files or a clock of its own.
///
/// Inputs change its state; [`Replica::take_effects`] returns what the driver has to do. The crate
/// documentation shows the loop.
#[derive(Debug)]
pub struct Replica {
    config: ReplicaConfig,
    rng: fastrand::Rng,
    now_ms: u64,
    term: Term,
    voted_for: Option<ReplicaId>,
    role: Role,
    leader: Option<ReplicaId>,
    /// When a leader last made contact. Votes are refused for an election timeout after it.
    leader_contact_ms: u64,
    election_deadline_ms: u64,
    votes: SmallVec<[(ReplicaId, bool); 8]>,
    /// The write after which a candidate's own vote counts.
    own_vote_write: Option<WriteId>,
    log: MemoryLog,
    commit: Index,
    applied: Index,
    applied_bytes_since_snapshot: u64,
    /// The newest snapshot that is synced.
    snapshot: Option<Arc<Snapshot>>,
    queue: WriteQueue,
    restore: Option<Arc<Snapshot>>,
    leading: Option<Leading>,
    incoming: Option<IncomingSnapshot>,
    next_read: u64,
    finished_reads: Vec<ReadOutcome>,
}

impl Replica {
    /// Starts a replica from what [`Storage::open`](crate::Storage::open) found.
    ///
    /// The replica refuses votes for one election timeout, because it may have acknowledged a
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
        // Entries may be synced by themselves just before the hard state of their term.
        let term = hard_state.term.max(log.last_term());
        let voted_for = hard_state.voted_for.filter(|_| term == hard_state.term);
        let mut replica = Replica {
            queue: WriteQueue::new(log.last_index()),
            config,
            rng,
            now_ms,
            term,
            voted_for,
            role: Role::Follower,
            leader: None,
            leader_contact_ms: now_ms,
            election_deadline_ms: 0,
            votes: SmallVec::new(),
            own_vote_write: None,
            log,
            commit: base_index,
            applied: base_index,
            applied_bytes_since_snapshot: 0,
            snapshot,
            restore: None,
            leading: None,
            incoming: None,
            next_read: 0,
            finished_reads: Vec::new(),
        };
        replica.reset_election_timer();
        Ok(replica)
    }

    /// Lets time pass; call it at [`Replica::next_tick_ms`] or at short, regular intervals.
    pub fn tick(&mut self, now_ms: u64) {
        self.advance_clock(now_ms);
        match self.role {
            Role::Halted => {}
            Role::Leader => self.tick_leader(),
            Role::Follower | Role::PreCandidate | Role::Candidate => {
                if self.now_ms >= self.election_deadline_ms {
                    self.start_pre_vote();
                }
            }
        }
    }

    /// When [`Replica::tick`] has something to do if no message arrives before.
    #[must_use]
    pub fn next_tick_ms(&self) -> u64 {
        match (&self.leading, self.role) {
            (_, Role::Halted) => u64::MAX,
            (Some(leading), _) => leading.next_contact_ms,
            (None, _) => self.election_deadline_ms,
        }
    }

    /// Handles `message` from replica `from`.
    pub fn step(&mut self, from: ReplicaId, message: LogMessage, now_ms: u64) {
        self.advance_clock(now_ms);
        if self.role == Role::Halted || from == self.config.id {
            return;
        }
        let LogMessage { term, kind } = message;
        if term > follower::MAX_NUMBER {
            log::warn!("log: replica {from} sent the impossible term {term}; it is ignored");
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
            // A candidate must not make voters leave a term in which they hear from a leader.
            MessageKind::Vote { transfer: false, .. } if self.hears_from_leader() => return,
            _ => {}
        }
        if term > self.term {
            self.become_follower(term, None);
        } else if term < self.term {
            self.answer_old_term(from, &kind);
            return;
        }
        match kind {
            MessageKind::PreVote { .. }
            | MessageKind::PreVoteReply { .. }
            | MessageKind::OldTerm => {}
            MessageKind::Vote { last_index, last_term, .. } => {
                self.handle_vote(from, last_index, last_term);
            }
            MessageKind::VoteReply { granted } => self.handle_vote_reply(from, granted),
            MessageKind::Append { prev_index, prev_term, entries, commit, stamp } => {
                if self.accept_leader(from) {
                    self.handle_append(from, (prev_index, prev_term), entries, commit, stamp);
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
                    let meta = Snapshot { index, term: snapshot_term, membership, data };
                    self.handle_snapshot_chunk(from, meta, total_bytes, offset, stamp);
                }
            }
            MessageKind::SnapshotReply { stamp, index, next_offset } => {
                self.handle_snapshot_reply(from, stamp, index, next_offset);
            }
            MessageKind::TimeoutNow => self.handle_timeout_now(from),
        }
    }

    /// Removes and returns what the driver has to do.
    pub fn take_effects(&mut self) -> Effects {
        if self.role == Role::Halted {
            let reads = std::mem::take(&mut self.finished_reads);
            return Effects { reads, ..Effects::default() };
        }
        self.send_to_replicas();
        let messages = self.queue.take_messages();
        let last_index = self.log.last_index();
        let first_unwritten = self.queue.unwritten_from;
        let hard_state = self
            .queue
            .hard_state
            .then_some(HardState { term: self.term, voted_for: self.voted_for });
        let snapshot = self.queue.snapshot.as_ref().map(|write| Arc::clone(&write.snapshot));
        let truncate = self.queue.truncate;
        let append = self.log.range(first_unwritten, last_index);
        let write = self.queue.start_write(last_index);
        let restore = self.restore.take();
        if let Some(snapshot) = &restore {
            self.applied = snapshot.index;
            self.applied_bytes_since_snapshot = 0;
        }
        // Applied entries must be recoverable, so that the state machine never runs ahead of the
        // replica's own disk.
        let last_applicable = self.commit.min(self.queue.durable_index);
        let committed = self.log.range(self.applied + 1, last_applicable);
        if let Some(last) = committed.last() {
            self.applied = last.index;
            let bytes: usize = committed.iter().map(crate::Entry::size_bytes).sum();
            self.applied_bytes_since_snapshot += bytes as u64;
        }
        Effects {
            write,
            hard_state,
            snapshot,
            truncate,
            append,
            messages,
            restore,
            committed,
            reads: std::mem::take(&mut self.finished_reads),
        }
    }

    /// Records that the write of [`Effects::write`] and all earlier ones are synced.
    pub fn persisted(&mut self, write: WriteId) {
        if self.role == Role::Halted {
            return;
        }
        if let Some(written) = self.queue.synced(write) {
            self.snapshot_synced(written);
        }
        self.count_own_vote();
        self.advance_commit();
    }

    /// Stops taking part for good; the driver calls it when the storage failed.
    ///
    /// Votes and acknowledgements that wait for the disk are dropped.
    pub fn halt(&mut self) {
        if self.role == Role::Halted {
            return;
        }
        log::error!("log: replica {} stops taking part after a storage failure", self.config.id);
        self.stop_leading();
        self.role = Role::Halted;
        self.leader = None;
        self.queue.clear();
        self.incoming = None;
        self.restore = None;
    }

    /// The replica's id.
    #[must_use]
    pub fn id(&self) -> ReplicaId {
        self.config.id
    }

    /// What the replica does at present.
    #[must_use]
    pub fn role(&self) -> Role {
        self.role
    }

    /// Whether the replica leads, as far as it knows.
    #[must_use]
    pub fn is_leader(&self) -> bool {
        self.role == Role::Leader
    }

    /// The leader, as far as the replica knows.
    #[must_use]
    pub fn leader(&self) -> Option<ReplicaId> {
        self.leader
    }

    /// The newest term that the replica has seen.
    #[must_use]
    pub fn term(&self) -> Term {
        self.term
    }

    /// The last index that is known to be committed.
    #[must_use]
    pub fn commit_index(&self) -> Index {
        self.commit
    }

    /// The last index that was handed out to be applied.
    #[must_use]
    pub fn applied_index(&self) -> Index {
        self.applied
    }

    /// The last index of the log.
    #[must_use]
    pub fn last_index(&self) -> Index {
        self.log.last_index()
    }

    /// The newest members in the log, committed or not.
    #[must_use]
    pub fn membership(&self) -> &Membership {
        self.log.membership()
    }

    /// The entry at `index`, if it is in memory.
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

    /// Queues a message that may be sent at once.
    fn send_now(&mut self, to: ReplicaId, kind: MessageKind) {
        self.send(to, self.term, kind, WriteId(0));
    }

    /// Queues a message that is true only once everything known now is synced.
    fn send_after_sync(&mut self, to: ReplicaId, kind: MessageKind) {
        let after = self.queue.covering_write(self.log.last_index());
        self.send(to, self.term, kind, after);
    }

    fn send(&mut self, to: ReplicaId, term: Term, kind: MessageKind, after: WriteId) {
        self.queue.hold(after, Outgoing { to, message: LogMessage { term, kind } });
    }

    fn append_entry(&mut self, kind: EntryKind) -> Index {
        let index = self.log.last_index() + 1;
        self.log.push(crate::Entry { index, term: self.term, kind });
        index
    }
}
