//! The next change of the log's members.

use redwinglatch_core::ReplicaId;
use redwinglatch_log::{Membership, MembershipChange};

/// Returns the next step from the log's current members towards the replicas in the settings.
///
/// Replica ids only increase, so a leader with old settings neither removes a newer replica nor
/// adds a replaced one again while new settings are rolled out. A learner that is lost or far behind keeps no other
/// replica from being added, from voting or from leaving.
pub(super) fn next_change(
    membership: &Membership,
    configured: &[ReplicaId],
    is_caught_up: impl Fn(ReplicaId) -> bool,
) -> Option<MembershipChange> {
    // A learner that was replaced before it caught up would be the next to be promoted forever.
    let is_replaced =
        |id: &&ReplicaId| !configured.contains(id) && configured.iter().any(|newer| *id < newer);
    if let Some(replaced) = membership.learners().iter().find(is_replaced) {
        return Some(MembershipChange::Remove(*replaced));
    }
    let caught_up = membership.learners().iter().find(|learner| is_caught_up(**learner));
    if let Some(learner) = caught_up {
        return Some(MembershipChange::Promote(*learner));
    }
    let newest = membership.members().max()?;
    if configured.len() < membership.voters().len() {
        let replaced = membership.voters().iter().find(|id| !configured.contains(id))?;
        let replacement = configured.iter().any(|id| replaced < id && membership.is_voter(*id));
        return replacement.then_some(MembershipChange::Remove(*replaced));
    }
    let new = configured.iter().filter(|id| newest < **id).min();
    new.copied().map(MembershipChange::AddLearner)
}

#[cfg(test)]
mod tests;
