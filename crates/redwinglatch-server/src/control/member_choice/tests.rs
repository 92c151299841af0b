//! Members that follow the settings.

use redwinglatch_core::ReplicaId;
use redwinglatch_log::{Membership, MembershipChange};

use super::next_change;

fn ids<const N: usize>(ids: [u32; N]) -> [ReplicaId; N] {
    ids.map(ReplicaId)
}

/// Carries out changes towards the settings; replicas of `lost` never catch up.
fn settle(mut membership: Membership, configured: &[ReplicaId], lost: &[ReplicaId]) -> Membership {
    for _ in 0..20 {
        let is_caught_up = |learner| !lost.contains(&learner);
        let Some(change) = next_change(&membership, configured, is_caught_up) else { break };
        membership = membership.with_change(change).expect("a valid change");
    }
    membership
}

/// Guards against a replacement that is lost before it votes, and then keeps the next one from voting.
#[test]
fn a_lost_replacement_keeps_no_other_from_voting() {
    let lost = ids([4]);
    let members = settle(Membership::new(ids([1, 2, 3])), &ids([1, 2, 4]), &lost);
    assert_eq!(members.learners(), lost);
    let members = settle(members, &ids([1, 2, 5]), &lost);
    assert_eq!(members.voters(), ids([1, 2, 5]));
    assert!(members.learners().is_empty());
}

/// Guards against a replacement that is lost while the settings still name it, and keeps the next one from being added: the
/// log then has no margin although a sound replica is there.
#[test]
fn a_lost_learner_of_the_settings_keeps_no_other_from_voting() {
    let lost = ids([4]);
    let members = settle(Membership::new(ids([1, 2, 3])), &ids([1, 4, 5]), &lost);
    assert_eq!(members.voters(), ids([1, 3, 5]));
    assert_eq!(members.learners(), lost);
}

/// Guards against voters that stay beside those that have taken their places: the number of voters falls to that of the
/// settings, whichever of several replacements come first.
#[test]
fn replaced_voters_leave_once_their_replacements_vote() {
    let members = settle(Membership::new(ids([1, 2, 3])), &ids([1, 2, 3, 4, 5]), &[]);
    assert_eq!(members.voters(), ids([1, 2, 3, 4, 5]));
    let members = settle(members, &ids([1, 4, 5]), &[]);
    assert_eq!(members.voters(), ids([1, 4, 5]));
}

/// Guards against a leader with old settings that removes a replica which it doesn't know yet.
#[test]
fn old_settings_remove_no_newer_learner() {
    let members = Membership::new(ids([1, 2, 3]));
    let members = members.with_change(MembershipChange::AddLearner(ReplicaId(4))).expect("new");
    assert_eq!(
        next_change(&members, &ids([1, 2, 3]), |_| true),
        Some(MembershipChange::Promote(ReplicaId(4)))
    );
}
