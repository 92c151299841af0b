//! The next change of the log's members.

use redwinglatch_core::ReplicaId;
use redwinglatch_log::{Membership, MembershipChange};

/// The smallest number of voters that tolerates the loss of one.
const MIN_VOTERS: usize = 3;

/// Learners that are kept although they are lost, in case their machines return.
const MAX_LOST_LEARNERS: usize = 8;

/// What the leader knows of a member besides its role.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum MemberState {
    /// The member acknowledges messages, or did so a moment ago.
    Responsive,
    /// The member has acknowledged nothing for some time, or has announced that it stops.
    Unresponsive,
    /// The member has been unresponsive for so long that it is not expected to return.
    Lost,
    /// Another member has taken its address, because its process was started anew without its disk.
    Superseded,
}

/// Returns the next change towards an odd number of voters that are all responsive.
///
/// Answers the loss of a voter: the log tolerates a further one only after a learner has taken its place. An
/// unresponsive voter becomes a learner and is not removed, so one that is slow or cut off loses nothing: it keeps
/// receiving the log and takes the place of the next voter that fails. The learner is promoted first, so that the
/// number of voters never falls. A learner that is unresponsive itself takes no place and blocks no other.
///
/// Answers also a partition that splits the core processes into two halves: of an even number of voters neither half
/// has a majority, and nothing is coordinated until the partition ends. With one voter fewer, the losses that
/// are tolerated are the same and one half has a majority. The last core process stays a learner.
pub(super) fn next_change(
    membership: &Membership,
    leader: ReplicaId,
    state_of: impl Fn(ReplicaId) -> MemberState,
) -> Option<MembershipChange> {
    let (voters, learners) = (membership.voters(), membership.learners());
    let find = |members: &[ReplicaId], state| {
        members.iter().copied().find(|member| state_of(*member) == state)
    };
    if let Some(old) = find(learners, MemberState::Superseded) {
        return Some(MembershipChange::Remove(old));
    }
    let mut lost = learners.iter().filter(|member| state_of(**member) == MemberState::Lost);
    if let Some(oldest) = lost.next()
        && lost.count() >= MAX_LOST_LEARNERS
    {
        return Some(MembershipChange::Remove(*oldest));
    }
    let is_even = voters.len().is_multiple_of(2);
    let superseded = find(voters, MemberState::Superseded).map(MembershipChange::Remove);
    let is_unresponsive = |member: &&ReplicaId| {
        matches!(state_of(**member), MemberState::Unresponsive | MemberState::Lost)
    };
    let unresponsive = voters.iter().find(is_unresponsive).copied().map(MembershipChange::Demote);
    let outdated = superseded.or(unresponsive);
    if is_even && voters.len() > MIN_VOTERS && outdated.is_some() {
        return outdated;
    }
    let mut candidates =
        learners.iter().filter(|learner| state_of(**learner) == MemberState::Responsive);
    let Some(candidate) = candidates.next() else {
        let spare = voters.iter().rev().find(|voter| **voter != leader).copied();
        let is_spare = is_even && voters.len() > MIN_VOTERS;
        return spare.filter(|_| is_spare).map(MembershipChange::Demote);
    };
    let is_needed =
        is_even || outdated.is_some() || candidates.next().is_some() || voters.len() < MIN_VOTERS;
    is_needed.then_some(MembershipChange::Promote(*candidate))
}

#[cfg(test)]
mod tests;
