//! The next change of the log's members.

use redwinglatch_core::ReplicaId;
use redwinglatch_log::{Membership, MembershipChange};

use crate::settings::LossTolerance;

/// Learners that are kept although they are lost, in case their machines return.
const MAX_LOST_LEARNERS: usize = 8;

/// Learners that are kept although they are silent, so that the log has room for new processes.
const MAX_SILENT_LEARNERS: usize = 20;

/// What the leader knows of a member besides its role.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum MemberState {
    /// The member acknowledges messages, or did so a moment ago.
    Responsive,
    /// The member is a learner that acknowledges messages and lacks a part of the log.
    Lagging,
    /// The member has acknowledged nothing for some time, or has announced that it stops.
    Unresponsive,
    /// The member has been unresponsive for so long that it is not expected to return.
    Lost,
    /// Another member has taken its address, because its process was started anew without its disk.
    Superseded,
}

impl MemberState {
    fn is_silent(self) -> bool {
        matches!(self, MemberState::Unresponsive | MemberState::Lost)
    }
}

/// Returns the next change towards a log that tolerates the losses of `tolerance`, with an odd number of voters that all
/// respond.
///
/// Answers the loss of a voter: the log tolerates a further one only after a learner has taken its place. An
/// unresponsive voter becomes a learner and is not removed, so one that is slow or cut off loses nothing: it keeps
/// receiving the log and takes the place of the next voter that fails. The learner is promoted first. A learner that is
/// unresponsive or lacks a part of the log takes no place and blocks no other.
///
/// Answers also the loss of voters that none is there to replace, because their successors vote already: while too few
/// further losses are tolerated, the number of voters falls, but not below the one with which an acknowledged entry is on
/// more disks than may be lost.
///
/// Answers also a partition that splits the core processes into two halves: of an even number of voters neither half
/// has a majority, and nothing is coordinated until the partition ends. With one voter fewer, the losses that
/// are tolerated are the same and one half has a majority. The last core process stays a learner.
pub(super) fn next_change(
    membership: &Membership,
    leader: ReplicaId,
    tolerance: LossTolerance,
    state_of: impl Fn(ReplicaId) -> MemberState,
) -> Option<MembershipChange> {
    let (voters, learners) = (membership.voters(), membership.learners());
    let find = |members: &[ReplicaId], state| {
        members.iter().copied().find(|member| state_of(*member) == state)
    };
    if let Some(old) = find(learners, MemberState::Superseded) {
        return Some(MembershipChange::Remove(old));
    }
    if let Some(learner) = learner_to_remove(learners, &state_of) {
        return Some(MembershipChange::Remove(learner));
    }
    let is_even = voters.len().is_multiple_of(2);
    let superseded = find(voters, MemberState::Superseded).map(MembershipChange::Remove);
    let unresponsive = voters.iter().find(|voter| state_of(**voter).is_silent());
    let outdated = superseded.or(unresponsive.copied().map(MembershipChange::Demote));
    let may_fall = if is_even {
        voters.len() > LossTolerance::MIN_VOTERS
    } else {
        voters.len() > tolerance.min_voters()
            && tolerated_losses(membership, &state_of) < tolerance.processes
    };
    // Before a promotion: it would raise the majority, and the loss of the promoted learner could take it.
    if may_fall && outdated.is_some() {
        return outdated;
    }
    let mut candidates =
        learners.iter().filter(|learner| state_of(**learner) == MemberState::Responsive);
    let Some(candidate) = candidates.next() else {
        let spare = voters.iter().rev().find(|voter| **voter != leader).copied();
        let is_spare = is_even && voters.len() > LossTolerance::MIN_VOTERS;
        return spare.filter(|_| is_spare).map(MembershipChange::Demote);
    };
    let is_needed = is_even
        || outdated.is_some()
        || candidates.next().is_some()
        || voters.len() < LossTolerance::MIN_VOTERS;
    is_needed.then_some(MembershipChange::Promote(*candidate))
}

/// Returns how many voters may still be lost while a majority responds.
pub(super) fn tolerated_losses(
    membership: &Membership,
    state_of: impl Fn(ReplicaId) -> MemberState,
) -> usize {
    let voters = membership.voters().iter();
    let responsive = voters.filter(|voter| state_of(**voter) == MemberState::Responsive).count();
    responsive.saturating_sub(membership.majority())
}

/// Returns the oldest learner that is not kept: of many that are lost, or of so many silent ones that new processes might
/// find no room in the log.
fn learner_to_remove(
    learners: &[ReplicaId],
    state_of: impl Fn(ReplicaId) -> MemberState,
) -> Option<ReplicaId> {
    let oldest_beyond = |limit: usize, is_counted: fn(MemberState) -> bool| {
        let mut counted = learners.iter().filter(|member| is_counted(state_of(**member)));
        let oldest = counted.next().copied();
        oldest.filter(|_| counted.count() >= limit)
    };
    oldest_beyond(MAX_LOST_LEARNERS, |state| state == MemberState::Lost)
        .or_else(|| oldest_beyond(MAX_SILENT_LEARNERS, MemberState::is_silent))
}

#[cfg(test)]
mod tests;
