//! Members that follow the settings.

use redwinglatch_core::ReplicaId;
use redwinglatch_log::{Membership, MembershipChange};

use super::next_change;

fn ids<const N: usize>(ids: [u32; N]) -> [ReplicaId; N] {
    ids.map(ReplicaId)
}

/// Carries out changes towards the settings; replicas of `lost` are never promoted.
fn settle(mut membership: Membership, configured: &[ReplicaId], lost: &[ReplicaId]) -> Membership {
    for _ in 0..20 {
        let Some(change) = next_change(&membership, configured) else { break };
        if matches!(change, MembershipChange::Promote(learner) if lost.contains(&learner)) {
            break;
        }
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

/// Guards against a leader with old settings that removes a replica which it doesn't know yet.
#[test]
fn old_settings_remove_no_newer_learner() {
    let members = Membership::new(ids([1, 2, 3]));
    let members = members.with_change(MembershipChange::AddLearner(ReplicaId(4))).expect("new");
    assert_eq!(
        next_change(&members, &ids([1, 2, 3])),
        Some(MembershipChange::Promote(ReplicaId(4)))
    );
}
