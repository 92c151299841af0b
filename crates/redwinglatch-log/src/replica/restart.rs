//! Elections after a restart of all voters.
//!
//! A replica that has restarted may have acknowledged a leader's lease just before, so it grants no vote
//! for an election timeout. If every voter says that it has restarted and knows no leader, the leader is
//! among them and its lease has ended with its process. The voter with the longest log then starts an
//! election that only the votes of all voters win: each of them confirms by its vote that it isn't, and
//! will not be, the leader of an earlier term.

use redwinglatch_core::ReplicaId;
use smallvec::SmallVec;

use crate::{Index, MessageKind, Replica, ReplicaRole, Term};

/// Interval between a restarted replica's notices.
const NOTICE_INTERVAL_MS: u64 = 50;
/// Election timeouts after a restart for which notices are sent.
const NOTICE_ELECTION_TIMEOUTS: u64 = 2;

/// What a replica knows of the others since its start, while it has had no contact with a leader.
#[derive(Debug)]
pub(super) struct RestartPhase {
    until_ms: u64,
    next_notice_ms: u64,
    /// The ends of the logs of other voters that have restarted: term and index of the last entry.
    log_ends: SmallVec<[(ReplicaId, (Term, Index)); 8]>,
    /// The highest term of these voters.
    highest_term: Term,
}

impl RestartPhase {
    pub(super) fn new(now_ms: u64, election_timeout_ms: u64) -> RestartPhase {
        RestartPhase {
            until_ms: now_ms + NOTICE_ELECTION_TIMEOUTS * election_timeout_ms,
            next_notice_ms: now_ms,
            log_ends: SmallVec::new(),
            highest_term: 0,
        }
    }

    pub(super) fn next_notice_ms(&self) -> u64 {
        self.next_notice_ms
    }
}

impl Replica {
    /// Tells the other voters that this replica has restarted, and starts an election if all of them
    /// have. Notices and requests for votes are repeated, because links are still being established.
    pub(super) fn tick_restart(&mut self) {
        let Some(phase) = &mut self.restart else { return };
        if phase.until_ms <= self.now_ms {
            self.restart = None;
            return;
        }
        if self.now_ms < phase.next_notice_ms {
            return;
        }
        phase.next_notice_ms = self.now_ms + NOTICE_INTERVAL_MS;
        let (last_index, last_term) = (self.log.last_index(), self.log.last_term());
        match self.role {
            ReplicaRole::Follower if self.log.membership().is_voter(self.config.id) => {
                for voter in self.other_voters() {
                    self.send_now(voter, MessageKind::Restarted { last_index, last_term });
                }
                self.start_election_after_restart();
            }
            ReplicaRole::Candidate if self.needs_all_votes => {
                for voter in self.other_voters() {
                    if !self.votes.iter().any(|(voted, _)| *voted == voter) {
                        let request = MessageKind::VoteAfterRestart { last_index, last_term };
                        self.send_after_sync(voter, request);
                    }
                }
            }
            _ => {}
        }
    }

    pub(super) fn handle_restarted(
        &mut self,
        from: ReplicaId,
        term: Term,
        last_index: Index,
        last_term: Term,
    ) {
        let Some(phase) = &mut self.restart else { return };
        phase.log_ends.retain(|(voter, _)| *voter != from);
        phase.log_ends.push((from, (last_term, last_index)));
        phase.highest_term = phase.highest_term.max(term);
        self.start_election_after_restart();
    }

    /// Starts an election if all other voters have restarted and this replica's log is the longest; of
    /// equal ones, that of the lowest id.
    fn start_election_after_restart(&mut self) {
        let Some(phase) = &self.restart else { return };
        let own = ((self.log.last_term(), self.log.last_index()), self.config.id);
        let is_next = |voter: &ReplicaId| {
            let end = phase.log_ends.iter().find(|(other, _)| other == voter);
            end.is_some_and(|(_, end)| *end < own.0 || (*end == own.0 && own.1 < *voter))
        };
        let is_candidate = self.role == ReplicaRole::Follower
            && self.log.membership().is_voter(self.config.id)
            && self.other_voters().iter().all(is_next);
        if !is_candidate {
            return;
        }
        self.term = self.term.max(phase.highest_term);
        log::info!("log: all voters have restarted; replica {} starts an election", own.1);
        self.start_election(ElectionKind::AfterRestart);
    }

    /// Returns whether the replica may vote in an election after a restart of all voters.
    pub(super) fn may_vote_after_restart(&self) -> bool {
        self.restart.is_some() && self.role == ReplicaRole::Follower && self.leader.is_none()
    }
}

/// Why an election is held.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ElectionKind {
    /// There has been no contact with a leader for some time.
    Timeout,
    /// The leader has ended its lease to transfer leadership.
    Transfer,
    /// All voters have restarted.
    AfterRestart,
}
