//! Membership changes and leadership transfers, on the leader.

use redwinglatch_core::ReplicaId;

use crate::{
    EntryKind, Index, Membership, MembershipChange, MembershipError, MessageKind, Replica,
    TransferError, progress::Progress,
};

/// A leadership transfer in progress.
#[derive(Debug)]
pub(super) struct Transfer {
    pub(super) to: ReplicaId,
    deadline_ms: u64,
    /// Whether the other replica was told to start an election. The lease stays ended for the rest
    /// of the term then, because that message may arrive late.
    pub(super) lease_ended: bool,
}

impl Replica {
    /// Appends a membership change, which is in effect from its entry on.
    ///
    /// A promotion is rejected until the learner has synced the log up to the commit index at the
    /// time of the first request to this leader; retry until it is accepted.
    ///
    /// # Errors
    ///
    /// Returns the reason why the change is rejected. Nothing is appended then.
    pub fn propose_membership(
        &mut self,
        change: MembershipChange,
        now_ms: u64,
    ) -> Result<Index, MembershipError> {
        self.advance_clock(now_ms);
        let Some(leader_state) = &self.leader_state else { return Err(self.not_leader().into()) };
        if leader_state.transfer.is_some() {
            return Err(self.not_leader().into());
        }
        // Otherwise two leaders could change the same membership in different ways and each get a
        // majority of its own membership.
        if self.commit_index < leader_state.first_index {
            return Err(MembershipError::NotReady);
        }
        let index = self.log.membership_index();
        if index > self.commit_index {
            return Err(MembershipError::InProgress { index });
        }
        let new_membership = self.log.membership().with_change(change)?;
        if let MembershipChange::Promote(replica) = change {
            self.check_caught_up(replica)?;
        }
        self.check_quorum_in_contact(&new_membership)?;
        let index = self.append_entry(EntryKind::Membership(new_membership.clone()));
        self.update_tracked_replicas(&new_membership);
        if let MembershipChange::Demote(replica) = change
            && let Some(progress) = self.leader_state.as_mut().and_then(|l| l.progress_mut(replica))
        {
            // A later promotion waits until the replica has caught up again.
            progress.promotion_index = None;
        }
        Ok(index)
    }

    fn check_caught_up(&mut self, replica: ReplicaId) -> Result<(), MembershipError> {
        let commit_index = self.commit_index;
        let Some(progress) = self.leader_state.as_mut().and_then(|l| l.progress_mut(replica))
        else {
            return Err(MembershipError::NotMember(replica));
        };
        let required_index = *progress.promotion_index.get_or_insert(commit_index);
        let match_index = progress.match_index;
        if match_index < required_index {
            return Err(MembershipError::NotCaughtUp { replica, match_index, required_index });
        }
        Ok(())
    }

    pub(super) fn is_in_contact(&self, progress: &Progress) -> bool {
        let timeout_ms = self.config.election_timeout_ms;
        progress.acked_sent_ms.is_some_and(|sent_ms| self.now_ms < sent_ms + timeout_ms)
    }

    /// Rejects a membership whose change the replicas in contact could not commit.
    fn check_quorum_in_contact(&self, new_membership: &Membership) -> Result<(), MembershipError> {
        let Some(leader_state) = &self.leader_state else { return Err(self.not_leader().into()) };
        let in_contact = new_membership.voters().iter().filter(|&&voter| {
            voter == self.config.id
                || leader_state.progress(voter).is_some_and(|progress| self.is_in_contact(progress))
        });
        if in_contact.count() < new_membership.majority() {
            return Err(MembershipError::QuorumAtRisk);
        }
        Ok(())
    }

    /// Starts replication to new members and stops it to removed ones.
    fn update_tracked_replicas(&mut self, membership: &Membership) {
        let next_index = self.log.last_index();
        let id = self.config.id;
        let Some(leader_state) = &mut self.leader_state else { return };
        leader_state
            .progress
            .retain(|(other, _)| membership.members().any(|member| member == *other));
        for member in membership.members() {
            if member != id && leader_state.progress(member).is_none() {
                leader_state.progress.push((member, Progress::new(next_index)));
            }
        }
    }

    /// Steps down if the committed membership doesn't contain the leader as a voter.
    ///
    /// The leader transfers leadership at once, so that the others don't have to wait for an
    /// election timeout.
    pub(super) fn step_down_if_removed(&mut self) {
        let membership = self.log.membership();
        let is_committed = self.log.membership_index() <= self.commit_index;
        let Some(leader_state) = &self.leader_state else { return };
        if membership.is_voter(self.config.id) || !is_committed {
            return;
        }
        log::info!("log: leader {} is not a voter any more and steps down", self.config.id);
        let last_index = self.log.last_index();
        let successor = leader_state.progress.iter().find(|(other, progress)| {
            membership.is_voter(*other) && progress.match_index == last_index
        });
        let successor = successor.map(|(other, _)| *other);
        self.become_follower(self.term, None);
        if let Some(to) = successor {
            self.send_now(to, MessageKind::TimeoutNow);
        }
    }

    /// Transfers leadership to `to`, or to the voter in contact with the longest known log.
    ///
    /// Proposals are rejected from now on. Once the target's log is complete, the target is told to
    /// start an election and the lease ends. If that doesn't happen within an election timeout, the
    /// transfer is cancelled.
    ///
    /// # Errors
    ///
    /// Returns an error if the replica is not the leader, a transfer is in progress, or no voter
    /// that could become the leader is in contact.
    pub fn transfer_leadership(
        &mut self,
        to: Option<ReplicaId>,
        now_ms: u64,
    ) -> Result<ReplicaId, TransferError> {
        self.advance_clock(now_ms);
        let Some(leader_state) = &self.leader_state else { return Err(self.not_leader().into()) };
        if let Some(transfer) = &leader_state.transfer {
            return Err(TransferError::InProgress(transfer.to));
        }
        let membership = self.log.membership();
        let target = leader_state
            .progress
            .iter()
            .filter(|(other, _)| to.is_none_or(|to| to == *other) && membership.is_voter(*other))
            .filter(|(_, progress)| self.is_in_contact(progress))
            .max_by_key(|(_, progress)| progress.match_index);
        let Some(&(to, _)) = target else { return Err(TransferError::NoTarget) };
        let deadline_ms = self.now_ms + self.config.election_timeout_ms;
        if let Some(leader_state) = &mut self.leader_state {
            leader_state.transfer = Some(Transfer { to, deadline_ms, lease_ended: false });
        }
        self.complete_transfer_if_caught_up();
        Ok(to)
    }

    /// Tells the target of a transfer to start an election once its log is complete.
    pub(super) fn complete_transfer_if_caught_up(&mut self) {
        let last_index = self.log.last_index();
        let Some(leader_state) = &mut self.leader_state else { return };
        let Some(Transfer { to, lease_ended: false, .. }) = leader_state.transfer else { return };
        let match_index = leader_state.progress(to).map_or(0, |progress| progress.match_index);
        if match_index < last_index {
            return;
        }
        if let Some(transfer) = &mut leader_state.transfer {
            transfer.lease_ended = true;
        }
        self.send_now(to, MessageKind::TimeoutNow);
    }

    pub(super) fn tick_transfer(&mut self) {
        let Some(leader_state) = &mut self.leader_state else { return };
        let Some(transfer) = &leader_state.transfer else { return };
        if self.now_ms < transfer.deadline_ms {
            return;
        }
        log::warn!("log: the leadership transfer to replica {} timed out", transfer.to);
        if transfer.lease_ended {
            self.become_follower(self.term, None);
        } else {
            leader_state.transfer = None;
        }
    }
}
