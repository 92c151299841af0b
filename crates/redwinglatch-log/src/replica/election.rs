//! Elections, with a pre-vote before each.

use redwinglatch_core::ReplicaId;
use smallvec::SmallVec;

use crate::{EntryKind, Index, MessageKind, Replica, ReplicaRole, Term};

use super::{LeaderState, restart::ElectionKind};

impl Replica {
    pub(super) fn reset_election_timer(&mut self) {
        let timeout_ms = self.config.election_timeout_ms;
        self.election_deadline_ms = self.now_ms + timeout_ms + self.rng.u64(0..timeout_ms);
    }

    /// Returns whether a vote must be denied because a leader may have a lease that depends on this
    /// replica.
    pub(super) fn has_leader_contact(&self) -> bool {
        self.role == ReplicaRole::Leader
            || self.now_ms < self.leader_contact_ms + self.config.election_timeout_ms
    }

    pub(super) fn other_voters(&self) -> SmallVec<[ReplicaId; 8]> {
        let id = self.config.id;
        self.log.membership().voters().iter().copied().filter(|&voter| voter != id).collect()
    }

    /// Asks the voters whether they would vote for this replica, before the term is raised.
    ///
    /// Otherwise a replica that was partitioned would return with a higher term and depose the
    /// leader.
    pub(super) fn start_pre_vote(&mut self) {
        self.reset_election_timer();
        if !self.log.membership().is_voter(self.config.id) {
            return;
        }
        self.role = ReplicaRole::PreCandidate;
        self.leader = None;
        self.own_vote_write = None;
        self.votes.clear();
        self.votes.push((self.config.id, true));
        self.needs_all_votes = false;
        if self.has_won() {
            self.start_election(ElectionKind::Timeout);
            return;
        }
        let last_index = self.log.last_index();
        let last_term = self.log.last_term();
        for voter in self.other_voters() {
            let kind = MessageKind::PreVote { last_index, last_term };
            let after_write = self.write_queue.covering_write(last_index);
            self.send(voter, self.term + 1, kind, after_write);
        }
    }

    pub(super) fn start_election(&mut self, kind: ElectionKind) {
        self.reset_election_timer();
        self.role = ReplicaRole::Candidate;
        self.leader = None;
        self.incoming_snapshot = None;
        self.term += 1;
        self.voted_for = Some(self.config.id);
        self.write_queue.is_hard_state_dirty = true;
        self.votes.clear();
        let last_index = self.log.last_index();
        let last_term = self.log.last_term();
        self.own_vote_write = Some(self.write_queue.covering_write(last_index));
        self.needs_all_votes = kind == ElectionKind::AfterRestart;
        let is_transfer = kind == ElectionKind::Transfer;
        let request = match kind {
            ElectionKind::AfterRestart => MessageKind::VoteAfterRestart { last_index, last_term },
            ElectionKind::Timeout | ElectionKind::Transfer => {
                MessageKind::Vote { last_index, last_term, is_transfer }
            }
        };
        for voter in self.other_voters() {
            self.send_after_sync(voter, request.clone());
        }
    }

    /// Counts a candidate's vote for itself once it is synced.
    pub(super) fn count_own_vote(&mut self) {
        let Some(write) = self.own_vote_write else { return };
        if self.role == ReplicaRole::Candidate && self.write_queue.is_synced(write) {
            self.own_vote_write = None;
            self.count_vote(self.config.id, true);
        }
    }

    fn count_vote(&mut self, from: ReplicaId, granted: bool) {
        if !self.votes.iter().any(|&(voter, _)| voter == from) {
            self.votes.push((from, granted));
        }
        if !self.has_won() {
            return;
        }
        match self.role {
            ReplicaRole::PreCandidate => self.start_election(ElectionKind::Timeout),
            ReplicaRole::Candidate => self.become_leader(),
            ReplicaRole::Follower | ReplicaRole::Leader | ReplicaRole::Halted => {}
        }
    }

    fn has_won(&self) -> bool {
        let membership = self.log.membership();
        let granted =
            self.votes.iter().filter(|(voter, granted)| *granted && membership.is_voter(*voter));
        let needed =
            if self.needs_all_votes { membership.voters().len() } else { membership.majority() };
        granted.count() >= needed
    }

    fn is_up_to_date(&self, last_index: Index, last_term: Term) -> bool {
        (last_term, last_index) >= (self.log.last_term(), self.log.last_index())
    }

    pub(super) fn handle_pre_vote(
        &mut self,
        from: ReplicaId,
        term: Term,
        last_index: Index,
        last_term: Term,
    ) {
        let granted = term > self.term
            && !self.has_leader_contact()
            && self.is_up_to_date(last_index, last_term);
        let reply_term = if granted { term } else { self.term };
        let after_write = self.write_queue.covering_write(self.log.last_index());
        self.send(from, reply_term, MessageKind::PreVoteReply { granted }, after_write);
    }

    pub(super) fn handle_pre_vote_granted(&mut self, from: ReplicaId, term: Term) {
        if self.role == ReplicaRole::PreCandidate && term == self.term + 1 {
            self.count_vote(from, true);
        }
    }

    pub(super) fn handle_vote(&mut self, from: ReplicaId, last_index: Index, last_term: Term) {
        let granted = self.voted_for.is_none_or(|candidate| candidate == from)
            && self.leader.is_none()
            && self.is_up_to_date(last_index, last_term);
        if granted {
            if self.voted_for.is_none() {
                self.voted_for = Some(from);
                self.write_queue.is_hard_state_dirty = true;
            }
            self.reset_election_timer();
        }
        self.send_after_sync(from, MessageKind::VoteReply { granted });
    }

    pub(super) fn handle_vote_reply(&mut self, from: ReplicaId, granted: bool) {
        if self.role == ReplicaRole::Candidate {
            self.count_vote(from, granted);
        }
    }

    /// Starts an election at once because the leader ended its lease to transfer leadership.
    pub(super) fn handle_timeout_now(&mut self, from: ReplicaId) {
        let is_voter = self.log.membership().is_voter(self.config.id);
        if self.role == ReplicaRole::Follower && self.leader == Some(from) && is_voter {
            log::info!(
                "log: replica {} starts an election on request of leader {from}",
                self.config.id
            );
            self.start_election(ElectionKind::Transfer);
        }
    }

    fn become_leader(&mut self) {
        let id = self.config.id;
        log::info!("log: replica {id} becomes the leader of term {}", self.term);
        self.role = ReplicaRole::Leader;
        self.restart = None;
        self.leader = Some(id);
        self.votes.clear();
        self.own_vote_write = None;
        let next_index = self.log.last_index() + 1;
        let others = self.log.membership().members().filter(|&member| member != id);
        self.leader_state = Some(LeaderState::new(others, next_index, self.now_ms));
        // The initial membership is appended to a new log, so that later edits of the settings
        // can't change it on some of the replicas.
        let kind = match self.log.membership_index() {
            0 => EntryKind::Membership(self.log.membership().clone()),
            _ => EntryKind::Empty,
        };
        self.append_entry(kind);
    }

    pub(super) fn become_follower(&mut self, term: Term, leader: Option<ReplicaId>) {
        if term > self.term {
            self.term = term;
            self.voted_for = None;
            self.write_queue.is_hard_state_dirty = true;
            self.incoming_snapshot = None;
        }
        if self.role != ReplicaRole::Follower {
            self.stop_leading();
            self.role = ReplicaRole::Follower;
            self.reset_election_timer();
        }
        self.votes.clear();
        self.own_vote_write = None;
        self.leader = leader;
    }
}
