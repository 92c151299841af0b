//! Membership changes and leadership transfer.

use redwinglatch_core::ReplicaId;

use crate::{
    EntryKind, Index, Membership, MembershipChange, MembershipError, MessageKind, Replica,
    TransferError, progress::Progress,
};

/// A leadership transfer under way.
#[derive(Debug)]
pub(super) struct Transfer {
    pub(super) to: ReplicaId,
    deadline_ms: u64,
    /// Whether the other replica was told to stand for election. A lease can't be taken back
    /// then, because that message may arrive late.
    pub(super) lease_given_up: bool,
}

impl Replica {
    /// Appends a membership change, which counts from its entry on.
    ///
    /// A promotion is refused until the learner has synced the log up to the commit index of the
    /// moment when this leader was first asked; ask again until it is accepted.
    ///
    /// # Errors
    ///
    /// Returns why the change is refused. Nothing was appended then.
    pub fn propose_membership(
        &mut self,
        change: MembershipChange,
        now_ms: u64,
    ) -> Result<Index, MembershipError> {
        self.advance_clock(now_ms);
        let Some(leading) = &self.leading else { return Err(self.not_leader().into()) };
        if leading.transfer.is_some() {
            return Err(self.not_leader().into());
        }
        // Two leaders could otherwise change the same membership in different ways and both find
        // a majority that the other doesn't know.
        if self.commit < leading.first_index {
            return Err(MembershipError::NotReady);
        }
        let index = self.log.membership_index();
        if index > self.commit {
            return Err(MembershipError::InProgress { index });
        }
        let next = self.log.membership().after(change)?;
        if let MembershipChange::Promote(replica) = change {
            self.check_caught_up(replica)?;
        }
        self.check_quorum_in_contact(&next)?;
        let index = self.append_entry(EntryKind::Membership(next.clone()));
        self.track(&next);
        Ok(index)
    }

    fn check_caught_up(&mut self, replica: ReplicaId) -> Result<(), MembershipError> {
        let commit = self.commit;
        let Some(progress) = self.leading.as_mut().and_then(|l| l.progress_mut(replica)) else {
            return Err(MembershipError::NotMember(replica));
        };
        let required_index = *progress.promotion_index.get_or_insert(commit);
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

    /// Refuses a membership that the replicas in contact could not commit.
    fn check_quorum_in_contact(&self, next: &Membership) -> Result<(), MembershipError> {
        let Some(leading) = &self.leading else { return Err(self.not_leader().into()) };
        let in_contact = next.voters().iter().filter(|&&voter| {
            voter == self.config.id
                || leading.progress(voter).is_some_and(|progress| self.is_in_contact(progress))
        });
        if in_contact.count() < next.majority() {
            return Err(MembershipError::QuorumAtRisk);
        }
        Ok(())
    }

    /// Starts to send to new members and stops sending to removed ones.
    fn track(&mut self, membership: &Membership) {
        let next_index = self.log.last_index();
        let id = self.config.id;
        let Some(leading) = &mut self.leading else { return };
        leading.progress.retain(|(other, _)| membership.members().any(|member| member == *other));
        for member in membership.members() {
            if member != id && leading.progress(member).is_none() {
                leading.progress.push((member, Progress::new(next_index)));
            }
        }
    }

    /// Lets a leader step down that its committed membership no longer contains.
    ///
    /// It hands over at once, so that the others need not wait for an election timeout.
    pub(super) fn membership_committed(&mut self) {
        let membership = self.log.membership();
        let is_over = self.log.membership_index() <= self.commit;
        let Some(leading) = &self.leading else { return };
        if membership.is_voter(self.config.id) || !is_over {
            return;
        }
        log::info!("log: replica {} is no voter any more", self.config.id);
        let last_index = self.log.last_index();
        let successor = leading.progress.iter().find(|(other, progress)| {
            membership.is_voter(*other) && progress.match_index == last_index
        });
        let successor = successor.map(|(other, _)| *other);
        self.become_follower(self.term, None);
        if let Some(to) = successor {
            self.send_now(to, MessageKind::TimeoutNow);
        }
    }

    /// Hands leadership to `to`, or to the voter in contact with the longest log.
    ///
    /// Proposals are refused from now on. The lease ends when the other replica is told to stand
    /// for election; until then the transfer is given up after an election timeout.
    ///
    /// # Errors
    ///
    /// Returns an error if the replica doesn't lead, a transfer is under way, or no voter that
    /// could take over is in contact.
    pub fn transfer_leadership(
        &mut self,
        to: Option<ReplicaId>,
        now_ms: u64,
    ) -> Result<ReplicaId, TransferError> {
        self.advance_clock(now_ms);
        let Some(leading) = &self.leading else { return Err(self.not_leader().into()) };
        if let Some(transfer) = &leading.transfer {
            return Err(TransferError::InProgress(transfer.to));
        }
        let membership = self.log.membership();
        let target = leading
            .progress
            .iter()
            .filter(|(other, _)| to.is_none_or(|to| to == *other) && membership.is_voter(*other))
            .filter(|(_, progress)| self.is_in_contact(progress))
            .max_by_key(|(_, progress)| progress.match_index);
        let Some(&(to, _)) = target else { return Err(TransferError::NoTarget) };
        let deadline_ms = self.now_ms + self.config.election_timeout_ms;
        if let Some(leading) = &mut self.leading {
            leading.transfer = Some(Transfer { to, deadline_ms, lease_given_up: false });
        }
        self.finish_transfer();
        Ok(to)
    }

    /// Tells the other replica to stand for election once its log is complete.
    pub(super) fn finish_transfer(&mut self) {
        let last_index = self.log.last_index();
        let Some(leading) = &mut self.leading else { return };
        let Some(Transfer { to, lease_given_up: false, .. }) = leading.transfer else { return };
        let match_index = leading.progress(to).map_or(0, |progress| progress.match_index);
        if match_index < last_index {
            return;
        }
        if let Some(transfer) = &mut leading.transfer {
            transfer.lease_given_up = true;
        }
        self.send_now(to, MessageKind::TimeoutNow);
    }

    pub(super) fn tick_transfer(&mut self) {
        let Some(leading) = &mut self.leading else { return };
        let Some(transfer) = &leading.transfer else { return };
        if self.now_ms < transfer.deadline_ms {
            return;
        }
        log::warn!("log: replica {} did not take over in time", transfer.to);
        if transfer.lease_given_up {
            self.become_follower(self.term, None);
        } else {
            leading.transfer = None;
        }
    }
}
