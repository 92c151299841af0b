//! Membership changes under joins, losses and replacements.

mod series;

use super::*;

/// The leader; it never loses its own state.
const LEADER: ReplicaId = ReplicaId(1);

fn replicas(ids: std::ops::RangeInclusive<u32>) -> Vec<ReplicaId> {
    ids.map(ReplicaId).collect()
}

/// The members of a log that carries out the chosen changes.
struct Members {
    membership: Membership,
    tolerance: LossTolerance,
}

/// The tolerance for the loss of some processes.
fn losses(processes: usize) -> LossTolerance {
    LossTolerance { processes, ..LossTolerance::default() }
}

impl Members {
    fn new(voters: Vec<ReplicaId>, learners: Vec<ReplicaId>) -> Members {
        let mut membership = Membership::new(voters);
        for learner in learners {
            membership =
                membership.with_change(MembershipChange::AddLearner(learner)).expect("new");
        }
        Members { membership, tolerance: losses(1) }
    }

    /// Carries out changes until none is due; `state_of` tells about the members.
    fn settle(&mut self, state_of: impl Fn(ReplicaId) -> MemberState) {
        let is_alive = |member: &&ReplicaId| state_of(**member) == MemberState::Responsive;
        for _ in 0..40 {
            let change = next_change(&self.membership, LEADER, self.tolerance, &state_of);
            let Some(change) = change else { return };
            if let MembershipChange::Promote(learner) = change {
                assert!(is_alive(&&learner), "{learner} never catches up: {:?}", self.membership);
            }
            let changed = self.membership.with_change(change).expect("a valid change");
            let alive = changed.voters().iter().filter(is_alive).count();
            assert!(alive >= changed.majority(), "{change:?} can't be committed: {changed:?}");
            self.membership = changed;
        }
        panic!("the members change without end: {:?}", self.membership);
    }

    fn alive_voters(&self, state_of: impl Fn(ReplicaId) -> MemberState) -> usize {
        let voters = self.membership.voters().iter();
        voters.filter(|voter| state_of(**voter) == MemberState::Responsive).count()
    }
}

fn no_losses(_: ReplicaId) -> MemberState {
    MemberState::Responsive
}

/// A tolerance with which the number of voters never falls.
const MANY_DATA_CENTRES: LossTolerance =
    LossTolerance { processes: 1, data_centres: 1, regions: 0 };

/// Returns a state in which the members of `ids` are in `state`, and all others are responsive.
fn members_in(state: MemberState, ids: &[ReplicaId]) -> impl Fn(ReplicaId) -> MemberState + '_ {
    move |member| if ids.contains(&member) { state } else { MemberState::Responsive }
}

/// Calls `check` for each log with up to seven voters and three learners and each set of lost members with which the
/// log still has a majority.
fn for_each_loss(learners_are_lost: bool, check: impl Fn(Members, &[ReplicaId])) {
    for (voters, learners) in (3..=7).flat_map(|voters| (0..=3).map(move |l| (voters, l))) {
        for set in 0..1u32 << (voters + learners) {
            let is_lost = |id: &ReplicaId| set & (1 << (id.0 - 1)) != 0;
            let lost: Vec<_> =
                replicas(1..=voters + learners).into_iter().filter(is_lost).collect();
            let lost_voters = lost.iter().filter(|id| id.0 <= voters).count() as u32;
            let has_majority = 2 * (voters - lost_voters) > voters;
            if !has_majority
                || lost.contains(&LEADER)
                || (!learners_are_lost && lost.len() as u32 > lost_voters)
            {
                continue;
            }
            let spare = replicas(voters + 1..=voters + learners);
            for tolerance in [losses(1), losses(2), losses(3), MANY_DATA_CENTRES] {
                let members = Members::new(replicas(1..=voters), spare.clone());
                check(Members { tolerance, ..members }, &lost);
            }
        }
    }
}

/// Checks that the log tolerates as many further losses as the responsive members allow, and has no fewer voters than it
/// may have.
fn check_margin(mut members: Members, lost: &[ReplicaId], lost_as: MemberState) {
    let alive = members.membership.members().filter(|member| !lost.contains(member)).count();
    let voters = members.membership.voters().len();
    let best_margin = alive.min(voters).saturating_sub(members.membership.majority());
    let tolerance = members.tolerance;
    let before = format!("{:?} without {lost:?}, {tolerance:?}", members.membership);
    let state_of = members_in(lost_as, lost);
    members.settle(&state_of);
    let voters_after = members.membership.voters().len();
    assert!(voters_after >= voters.min(tolerance.min_voters()) - 1, "{voters_after}: {before}");
    assert_eq!(members.membership.voters().len() % 2, 1, "even number of voters: {before}");
    let margin = members.alive_voters(&state_of) - members.membership.majority();
    assert!(margin >= best_margin, "one more loss is not tolerated: {before}");
    let sound = replicas(1..=10).into_iter().filter(|id| id.0 as usize <= alive + lost.len());
    for member in sound.filter(|member| !lost.contains(member)) {
        assert!(membership_has(&members.membership, member), "{member} was removed: {before}");
    }
}

/// Guards against a log that tolerates no further loss although the successor of a lost voter has joined.
#[test]
fn responsive_learners_take_the_place_of_unresponsive_voters() {
    for_each_loss(false, |members, lost| {
        check_margin(members, lost, MemberState::Unresponsive);
    });
}

/// Guards against a lost learner that is always the next to be promoted, so that no lost voter is replaced any more.
#[test]
fn a_lost_learner_blocks_no_other() {
    for lost_as in [MemberState::Unresponsive, MemberState::Lost, MemberState::Superseded] {
        for_each_loss(true, |members, lost| check_margin(members, lost, lost_as));
    }
}

/// Guards against a log that can take no more learners, because those that were lost fill its membership.
#[test]
fn learners_that_are_lost_for_good_are_removed_beyond_a_few() {
    let learners = replicas(4..=30);
    let mut members = Members::new(replicas(1..=3), learners.clone());
    members.settle(members_in(MemberState::Lost, &learners));
    assert_eq!(members.membership.learners().len(), MAX_LOST_LEARNERS);
    assert_eq!(members.membership.voters().len(), 3);
}

/// Guards against a sound voter that is removed for good because it was slow or cut off for a while.
#[test]
fn an_unresponsive_voter_stays_a_member() {
    for_each_loss(false, |mut members, lost| {
        members.settle(members_in(MemberState::Unresponsive, lost));
        for member in lost {
            assert!(membership_has(&members.membership, *member), "{member} was removed");
        }
    });
}

/// Guards against a log without a margin for good: its voters are gone, and their successors have been voters before.
#[test]
fn voters_that_none_can_replace_leave_a_margin() {
    for lost_as in [MemberState::Unresponsive, MemberState::Lost, MemberState::Superseded] {
        for (voters, lost, left) in [(5, 2..=3, 3), (7, 2..=4, 5), (7, 2..=3, 7), (9, 2..=5, 7)] {
            let lost = replicas(lost);
            let mut members = Members::new(replicas(1..=voters), vec![]);
            let state_of = members_in(lost_as, &lost);
            members.settle(&state_of);
            assert_eq!(members.membership.voters().len(), left, "{voters} without {lost:?}");
            assert!(tolerated_losses(&members.membership, &state_of) >= 1);
        }
    }
}

/// Guards against acknowledged entries on no more disks than may be lost.
#[test]
fn voters_fall_to_a_majority_that_outlasts_the_tolerated_losses() {
    for (tolerance, voters, left) in [
        (losses(1), 3_u32, 3),
        (losses(1), 5, 3),
        (losses(2), 5, 5),
        (losses(2), 7, 5),
        (losses(3), 7, 7),
        (MANY_DATA_CENTRES, 5, 5),
    ] {
        let lost = replicas(2..=voters.div_ceil(2));
        let mut members = Members::new(replicas(1..=voters), vec![]);
        members.tolerance = tolerance;
        members.settle(members_in(MemberState::Unresponsive, &lost));
        assert_eq!(members.membership.voters().len(), left, "{tolerance:?}, {voters} voters");
    }
}

/// Guards against a cut or a suspension that is taken for the end of voters although the log bears it.
#[test]
fn a_margin_that_suffices_costs_no_voter() {
    for (voters, silent) in [(5, 2..=2), (7, 2..=3), (9, 2..=4)] {
        let silent = replicas(silent);
        let mut members = Members::new(replicas(1..=voters), vec![]);
        members.settle(members_in(MemberState::Unresponsive, &silent));
        assert_eq!(members.membership.voters().len(), voters as usize);
    }
}

/// Guards against a learner that is far behind, and keeps another one from voting or voters from leaving.
#[test]
fn a_lagging_learner_is_passed_over() {
    let lagging = ReplicaId(6);
    let lost = [2, 3].map(ReplicaId);
    let state_of = |member| match member == lagging {
        true => MemberState::Lagging,
        false => members_in(MemberState::Unresponsive, &lost)(member),
    };
    let mut members = Members::new(replicas(1..=5), vec![lagging]);
    members.settle(state_of);
    assert_eq!(members.membership.voters(), [1, 4, 5].map(ReplicaId));
    let mut members = Members::new([1, 2, 5].map(ReplicaId).into(), vec![lagging, ReplicaId(7)]);
    members.settle(state_of);
    assert_eq!(members.membership.voters(), [1, 5, 7].map(ReplicaId));
}

/// Guards against a log that has no room for a new process, because silent learners fill it.
#[test]
fn silent_learners_leave_room_for_new_ones() {
    let learners = replicas(4..=35);
    let mut members = Members::new(replicas(1..=3), learners.clone());
    members.settle(members_in(MemberState::Unresponsive, &learners));
    assert_eq!(members.membership.learners().len(), MAX_SILENT_LEARNERS);
    assert!(!membership_has(&members.membership, ReplicaId(4)), "the oldest goes first");
}

/// Guards against a partition into halves of which neither has a majority.
#[test]
fn one_half_of_the_core_processes_has_a_majority() {
    for processes in [4, 6, 8, 10] {
        let mut members = Members::new(replicas(1..=3), replicas(4..=processes));
        members.settle(no_losses);
        let voters = members.membership.voters().len();
        assert_eq!(voters, processes as usize - 1, "all but one vote");
        let in_one_half = voters.div_ceil(2);
        assert!(in_one_half >= members.membership.majority());
    }
}

#[test]
fn all_of_an_odd_number_of_core_processes_vote() {
    for processes in [5, 7, 9] {
        let mut members = Members::new(replicas(1..=3), replicas(4..=processes));
        members.settle(no_losses);
        assert_eq!(members.membership.voters().len(), processes as usize);
    }
}

/// The same for voters whose processes were started anew without their disks.
#[test]
fn responsive_learners_take_the_place_of_superseded_voters() {
    for_each_loss(false, |members, lost| check_margin(members, lost, MemberState::Superseded));
}

/// Guards against a voter without a disk that stays a voter beside its successor.
#[test]
fn a_superseded_voter_is_replaced() {
    for (voters, learners) in [(3, 0), (5, 1)] {
        let spare = replicas(voters + 1..=voters + learners);
        let mut members = Members::new(replicas(1..=voters), spare);
        let successor = ReplicaId(50);
        members.membership = members
            .membership
            .with_change(MembershipChange::AddLearner(successor))
            .expect("a new learner");
        let old = ReplicaId(2);
        members.settle(members_in(MemberState::Superseded, &[old]));
        assert!(!membership_has(&members.membership, old));
        assert_eq!(members.membership.voters().len(), voters as usize);
    }
}

#[test]
fn a_lost_voter_is_replaced_by_the_learner() {
    let mut members = Members::new(replicas(1..=5), replicas(6..=6));
    let lost = ReplicaId(2);
    members.settle(members_in(MemberState::Unresponsive, &[lost]));
    assert!(!members.membership.is_voter(lost));
    assert!(members.membership.is_voter(ReplicaId(6)));
    assert_eq!(members.membership.voters().len(), 5);
}

#[test]
fn without_a_successor_three_voters_are_kept() {
    let mut members = Members::new(replicas(1..=3), vec![]);
    members.settle(members_in(MemberState::Unresponsive, &[ReplicaId(2)]));
    assert_eq!(members.membership.voters().len(), 3);
}

fn membership_has(membership: &Membership, replica: ReplicaId) -> bool {
    membership.members().any(|member| member == replica)
}
