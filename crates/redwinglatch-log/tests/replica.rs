//! Tests of single rules of the replica, each with as few replicas as possible.

use redwinglatch_core::ReplicaId;
use redwinglatch_log::{
    AppendResult, ConfigError, DurableState, Effects, Entry, EntryKind, HardState, LeaderStamp,
    LogMessage, Membership, MembershipChange, MembershipError, MessageKind, OutgoingMessage,
    ProposeError, ReadOutcome, Replica, ReplicaConfig, ReplicaRole, TransferError,
};

/// Replicas with a network without delay and disks that sync at once.
struct Group {
    replicas: Vec<Replica>,
    now_ms: u64,
    /// Links (from, to) that drop all messages.
    cut_links: Vec<(u32, u32)>,
    messages: Vec<OutgoingMessage>,
    reads: Vec<ReadOutcome>,
}

fn ids(range: std::ops::RangeInclusive<u32>) -> Membership {
    Membership::new(range.map(ReplicaId))
}

fn replica(id: u32, initial_membership: Membership) -> Replica {
    replica_started_at(0, id, initial_membership)
}

fn replica_started_at(now_ms: u64, id: u32, initial_membership: Membership) -> Replica {
    let config = ReplicaConfig {
        max_batch_entries: 40,
        max_uncommitted_bytes: 1 << 20,
        snapshot_chunk_bytes: 100,
        retained_entries: 0,
        ..ReplicaConfig::new(ReplicaId(id), initial_membership)
    };
    let rng = fastrand::Rng::with_seed(u64::from(id));
    Replica::new(config, DurableState::default(), now_ms, rng).unwrap()
}

fn take_synced(replica: &mut Replica) -> Effects {
    let effects = replica.take_effects();
    if let Some(write) = effects.write {
        replica.persisted(write);
    }
    effects
}

impl Group {
    /// Returns a group whose leader is replica 1.
    fn with_leader_1(size: u32) -> Group {
        let replicas = (1..=size).map(|id| replica(id, ids(1..=size))).collect();
        let (cut_links, messages, reads) = (Vec::new(), Vec::new(), Vec::new());
        let mut group = Group { replicas, now_ms: 1600, cut_links, messages, reads };
        // Only replica 1 reaches its election timeout.
        group.get(1).tick(1600);
        group.run(0);
        assert!(group.get(1).is_leader());
        group
    }

    fn get(&mut self, id: u32) -> &mut Replica {
        &mut self.replicas[id as usize - 1]
    }

    /// Cuts the links between a replica and all others in both directions.
    fn isolate(&mut self, id: u32) {
        let size = u32::try_from(self.replicas.len()).unwrap();
        self.cut_links.extend((1..=size).flat_map(|other| [(id, other), (other, id)]));
    }

    fn run(&mut self, duration_ms: u64) {
        let end_ms = self.now_ms + duration_ms;
        loop {
            while self.exchange() {}
            if self.now_ms >= end_ms {
                return;
            }
            self.now_ms += 10;
            for replica in &mut self.replicas {
                replica.tick(self.now_ms);
            }
        }
    }

    fn exchange(&mut self) -> bool {
        let mut has_effects = false;
        for from in 1..=u32::try_from(self.replicas.len()).unwrap() {
            let effects = take_synced(self.get(from));
            has_effects |= !effects.is_empty();
            self.reads.extend(effects.reads);
            for outgoing in effects.messages {
                self.messages.push(outgoing.clone());
                let now_ms = self.now_ms;
                if !self.cut_links.contains(&(from, outgoing.to.0)) {
                    self.get(outgoing.to.0).step(ReplicaId(from), outgoing.message, now_ms);
                }
            }
        }
        has_effects
    }

    fn propose(&mut self, count: usize) {
        let now_ms = self.now_ms;
        for _ in 0..count {
            self.get(1).propose(&b"data"[..], now_ms).unwrap();
        }
    }

    fn change(&mut self, change: MembershipChange) -> Result<u64, MembershipError> {
        let now_ms = self.now_ms;
        self.get(1).propose_membership(change, now_ms)
    }
}

fn matched(index: u64) -> MessageKind {
    let result = AppendResult::Matched { index };
    MessageKind::AppendReply { stamp: LeaderStamp::default(), result }
}

fn append_after(prev: (u64, u64), entries: Vec<Entry>, commit_index: u64, term: u64) -> LogMessage {
    let ((prev_index, prev_term), stamp) = (prev, LeaderStamp::default());
    let kind = MessageKind::Append { prev_index, prev_term, entries, commit_index, stamp };
    LogMessage { term, kind }
}

/// Guards against a lease that is extended by a stamp of an earlier term: the reply to an old
/// message can reach its sender when the sender is the leader of a later term.
#[test]
fn the_reply_to_an_old_term_contains_no_stamp() {
    let mut replica = replica(1, ids(1..=3));
    replica.step(ReplicaId(2), append_after((0, 0), Vec::new(), 0, 5), 10);
    let _ = take_synced(&mut replica);
    let _ = take_synced(&mut replica);
    replica.step(ReplicaId(3), append_after((0, 0), Vec::new(), 0, 4), 11);
    let messages = take_synced(&mut replica).messages;
    assert_eq!(messages.len(), 1);
    assert_eq!(messages[0].message, LogMessage { term: 5, kind: MessageKind::OldTerm });
}

/// Guards against acknowledgements, votes and commits that depend on unsynced state, which a crash
/// would lose.
#[test]
fn votes_and_commits_wait_for_the_sync() {
    let mut voter = replica(1, ids(1..=3));
    let kind = MessageKind::Vote { last_index: 0, last_term: 0, is_transfer: false };
    voter.step(ReplicaId(2), LogMessage { term: 1, kind }, 2000);
    let effects = voter.take_effects();
    assert!(effects.hard_state.is_some() && effects.messages.is_empty());
    assert!(voter.take_effects().is_empty());
    voter.persisted(effects.write.unwrap());
    let message = voter.take_effects().messages.pop().unwrap().message;
    assert_eq!(message.kind, MessageKind::VoteReply { granted: true });

    // The sync of an earlier write doesn't cover the candidate's vote for itself.
    let mut single = replica(1, ids(1..=1));
    single.step(ReplicaId(2), LogMessage { term: 5, kind: MessageKind::OldTerm }, 0);
    let earlier = single.take_effects().write.unwrap();
    single.tick(2000);
    single.persisted(earlier);
    let effects = single.take_effects();
    assert_eq!(single.role(), ReplicaRole::Candidate);
    single.persisted(effects.write.unwrap());
    assert!(single.is_leader());
    let effects = single.take_effects();
    assert_eq!((effects.append.len(), single.commit_index()), (1, 0));
    single.persisted(effects.write.unwrap());
    assert_eq!(single.take_effects().committed.len(), 1);
}

/// Guards against a vote for another candidate while a leader has a lease that the voter has just
/// extended, possibly before it restarted.
#[test]
fn votes_are_denied_for_an_election_timeout_after_a_start_and_after_contact() {
    let mut voter = replica_started_at(5000, 1, ids(1..=3));
    let request_votes = |voter: &mut Replica, term, now_ms| {
        let pre_vote = MessageKind::PreVote { last_index: 0, last_term: 0 };
        let vote = MessageKind::Vote { last_index: 0, last_term: 0, is_transfer: false };
        for kind in [pre_vote, vote] {
            voter.step(ReplicaId(2), LogMessage { term, kind }, now_ms);
        }
        let mut messages = take_synced(voter).messages;
        messages.extend(take_synced(voter).messages);
        messages.into_iter().map(|outgoing| outgoing.message.kind).collect::<Vec<_>>()
    };
    assert_eq!(request_votes(&mut voter, 1, 5799), [MessageKind::PreVoteReply { granted: false }]);
    let granted =
        [MessageKind::PreVoteReply { granted: true }, MessageKind::VoteReply { granted: true }];
    assert_eq!(request_votes(&mut voter, 1, 5800), granted);
    voter.step(ReplicaId(2), append_after((0, 0), Vec::new(), 0, 1), 9000);
    let _ = take_synced(&mut voter);
    assert_eq!(request_votes(&mut voter, 2, 9799), [MessageKind::PreVoteReply { granted: false }]);
    assert_eq!(request_votes(&mut voter, 2, 9800), granted);
}

/// Guards against the election of a leader that lacks committed entries.
#[test]
fn a_candidate_with_a_shorter_or_older_log_gets_no_vote() {
    let mut voter = replica(1, ids(1..=3));
    let entry = |index, term| Entry { index, term, kind: EntryKind::Empty };
    voter.step(ReplicaId(2), append_after((0, 0), vec![entry(1, 1), entry(2, 2)], 0, 2), 10);
    let _ = take_synced(&mut voter);
    for (term, (last_index, last_term), granted) in
        [(3, (1, 2), false), (4, (9, 1), false), (5, (2, 2), true)]
    {
        let vote = MessageKind::Vote { last_index, last_term, is_transfer: false };
        voter.step(ReplicaId(3), LogMessage { term, kind: vote }, 2000);
        let _ = take_synced(&mut voter);
        let reply = take_synced(&mut voter).messages.pop().unwrap();
        assert_eq!(reply.message.kind, MessageKind::VoteReply { granted });
    }
}

/// Guards against a committed entry that a later leader replaces: a majority that has an entry of
/// an earlier term may still elect a leader without it.
#[test]
fn an_entry_of_an_earlier_term_is_not_committed_by_itself() {
    let entries = vec![Entry { index: 1, term: 1, kind: EntryKind::Empty }];
    let hard_state = HardState { term: 2, voted_for: None };
    let durable = DurableState { hard_state, snapshot: None, entries };
    let config = ReplicaConfig::new(ReplicaId(1), ids(1..=3));
    let mut replica = Replica::new(config, durable, 0, fastrand::Rng::with_seed(1)).unwrap();
    replica.tick(1600);
    let replies = [
        MessageKind::PreVoteReply { granted: true },
        MessageKind::VoteReply { granted: true },
        matched(1),
    ];
    for kind in replies {
        replica.step(ReplicaId(2), LogMessage { term: 3, kind }, 1600);
        let _ = take_synced(&mut replica);
    }
    assert_eq!((replica.role(), replica.last_index()), (ReplicaRole::Leader, 2));
    assert_eq!(replica.commit_index(), 0);
    // Another leader may have changed the same membership in another way.
    let change = MembershipChange::AddLearner(ReplicaId(4));
    assert_eq!(replica.propose_membership(change, 1600), Err(MembershipError::NotReady));
    replica.step(ReplicaId(2), LogMessage { term: 3, kind: matched(2) }, 1600);
    assert_eq!(replica.commit_index(), 2);
}

/// Guards against unbounded proposals while a majority is unreachable.
#[test]
fn uncommitted_proposals_are_limited() {
    let mut group = Group::with_leader_1(3);
    group.run(100);
    group.isolate(1);
    let now_ms = group.now_ms;
    let mut accepted = |data: &[u8]| {
        let mut propose = || group.get(1).propose(data.to_vec(), now_ms);
        let count = (0..100_000).take_while(|_| propose().is_ok()).count();
        assert_eq!(propose(), Err(ProposeError::TooManyUncommitted));
        count
    };
    assert_eq!(accepted(&[0; 64 << 10]), 15);
    // Entries without data take memory as well.
    assert!(accepted(&[]) < 1 << 15);
    group.cut_links.clear();
    group.run(300);
    group.propose(1);
}

/// Guards against entries of an earlier leader that are acknowledged or committed as the current
/// leader's, and against entries that are applied before they are synced.
#[test]
fn a_follower_acknowledges_only_entries_that_the_message_covers() {
    let mut follower = replica(1, ids(1..=3));
    let entries = [1, 1, 2].into_iter().zip(1..);
    let entries: Vec<_> =
        entries.map(|(term, index)| Entry { index, term, kind: EntryKind::Empty }).collect();
    follower.step(ReplicaId(2), append_after((0, 0), entries, 0, 2), 10);
    let _ = take_synced(&mut follower);
    let _ = take_synced(&mut follower);
    // The leader of term 3 has other entries after index 2 and has committed them.
    follower.step(ReplicaId(3), append_after((2, 1), Vec::new(), 3, 3), 20);
    let _ = take_synced(&mut follower);
    let effects = take_synced(&mut follower);
    assert_eq!(effects.messages[0].message.kind, matched(2));
    assert_eq!((follower.commit_index(), follower.applied_index()), (2, 2));
    let replaced = vec![Entry { index: 3, term: 3, kind: EntryKind::Empty }];
    follower.step(ReplicaId(3), append_after((2, 1), replaced, 3, 3), 30);
    let effects = follower.take_effects();
    assert_eq!((effects.truncate_from, effects.append.len()), (Some(3), 1));
    assert_eq!((follower.commit_index(), effects.committed.len()), (3, 0));
    follower.persisted(effects.write.unwrap());
    assert_eq!(follower.take_effects().committed.len(), 1);
}

/// Guards against a learner that votes before it has the entries that were committed when its
/// promotion was requested.
#[test]
fn a_learner_is_promoted_once_it_has_caught_up() {
    let mut group = Group::with_leader_1(3);
    group.replicas.push(replica(4, Membership::default()));
    let four = ReplicaId(4);
    let promote = MembershipChange::Promote(four);
    assert_eq!(group.change(promote), Err(MembershipError::NotMember(four)));
    group.isolate(4);
    group.propose(10);
    let index = group.change(MembershipChange::AddLearner(four)).unwrap();
    let overlapping = group.change(MembershipChange::AddLearner(ReplicaId(5)));
    assert_eq!(overlapping, Err(MembershipError::InProgress { index }));
    group.run(50);
    let required_index = group.get(1).commit_index();
    let refused =
        Err(MembershipError::NotCaughtUp { replica: four, match_index: 0, required_index });
    assert_eq!(group.change(promote), refused);
    // Entries committed after the first request don't raise the required index.
    group.propose(10);
    group.run(50);
    assert_eq!(group.change(promote), refused);
    group.cut_links.clear();
    group.run(200);
    group.change(promote).unwrap();
    group.run(200);
    assert!(group.get(4).membership().is_voter(four));
    group.change(MembershipChange::Remove(ReplicaId(3))).unwrap();
    group.run(200);
    let again = group.change(MembershipChange::AddLearner(ReplicaId(3)));
    assert_eq!(again, Err(MembershipError::RemovedId(ReplicaId(3))));
}

/// Guards against a learner that is far behind, or unknown to a new leader, and passes for one that can vote.
#[test]
fn only_members_with_recent_entries_are_caught_up() {
    let mut group = Group::with_leader_1(3);
    let three = ReplicaId(3);
    group.run(300);
    assert!(group.get(1).is_caught_up(three));
    assert!(!group.get(2).is_caught_up(three), "it doesn't lead");
    group.isolate(3);
    group.propose(10);
    group.run(2_000);
    assert!(!group.get(1).is_caught_up(three));
    group.cut_links.clear();
    group.run(300);
    assert!(group.get(1).is_caught_up(three));
}

/// Guards against a demoted voter that still counts for majorities, or can't come back.
#[test]
fn a_demoted_voter_is_promoted_once_it_has_caught_up_again() {
    let mut group = Group::with_leader_1(3);
    let three = ReplicaId(3);
    group.run(100);
    assert_eq!(
        group.change(MembershipChange::Demote(ReplicaId(4))),
        Err(MembershipError::NotMember(ReplicaId(4)))
    );
    group.isolate(3);
    group.run(1000);
    group.change(MembershipChange::Demote(three)).unwrap();
    group.run(50);
    let members = group.get(1).membership().clone();
    assert!(members.is_learner(three) && members.majority() == 2 && members.voters().len() == 2);
    group.propose(10);
    group.run(50);
    let promote = MembershipChange::Promote(three);
    assert!(matches!(group.change(promote), Err(MembershipError::NotCaughtUp { .. })));
    group.cut_links.clear();
    group.run(200);
    group.change(promote).unwrap();
    group.run(200);
    assert!(group.get(3).membership().is_voter(three));
}

/// Guards against a membership that can't commit anything any more, and a removed leader that stays
/// the leader.
#[test]
fn removals_keep_a_majority_and_end_leadership() {
    let mut group = Group::with_leader_1(3);
    group.run(100);
    group.isolate(3);
    group.run(1000);
    let remove = group.change(MembershipChange::Remove(ReplicaId(2)));
    assert_eq!(remove, Err(MembershipError::QuorumAtRisk));
    group.change(MembershipChange::Remove(ReplicaId(3))).unwrap();
    group.run(100);
    group.change(MembershipChange::Remove(ReplicaId(1))).unwrap();
    // Well below an election timeout.
    group.run(50);
    assert!(group.get(2).is_leader() && !group.get(1).is_leader());
}

/// Guards against a partitioned leader that still considers itself the leader.
#[test]
fn a_leader_without_contact_loses_its_lease_and_steps_down() {
    let mut group = Group::with_leader_1(3);
    group.run(300);
    let now_ms = group.now_ms;
    assert!(group.get(1).leader_lease_valid(now_ms));
    // The leader still sends messages, but receives none.
    group.cut_links = vec![(2, 1), (3, 1)];
    group.run(600);
    let now_ms = group.now_ms;
    assert!(group.get(1).is_leader() && !group.get(1).leader_lease_valid(now_ms));
    assert_eq!(group.get(1).lease_read_index(now_ms), None);
    let read = group.get(1).request_read(now_ms).unwrap();
    group.run(400);
    assert!(!group.get(1).is_leader());
    let refused = group.get(1).propose(&b"data"[..], now_ms);
    assert!(matches!(refused, Err(ProposeError::NotLeader(_))));
    assert_eq!(group.reads, [ReadOutcome { id: read, index: None }]);
    group.run(4000);
    assert_eq!(group.replicas.iter().filter(|replica| replica.is_leader()).count(), 1);
}

/// Guards against a planned stop that loses proposals, and a lease that stays valid once another
/// replica was told to start an election.
#[test]
fn a_transfer_ends_the_lease_and_makes_the_target_lead() {
    let mut group = Group::with_leader_1(3);
    group.run(100);
    group.propose(5);
    group.run(50);
    let now_ms = group.now_ms;
    let nobody = group.get(1).transfer_leadership(Some(ReplicaId(9)), now_ms);
    assert_eq!(nobody, Err(TransferError::NoTarget));
    assert_eq!(group.get(1).transfer_leadership(Some(ReplicaId(2)), now_ms), Ok(ReplicaId(2)));
    assert!(!group.get(1).leader_lease_valid(now_ms));
    let refused = group.get(1).propose(&b"late"[..], now_ms);
    assert!(refused.is_err());
    group.run(100);
    assert!(group.get(2).is_leader() && !group.get(1).is_leader());

    // The target never replies: the lease must not become valid again in this term.
    let mut group = Group::with_leader_1(3);
    group.run(100);
    let now_ms = group.now_ms;
    group.get(1).transfer_leadership(Some(ReplicaId(2)), now_ms).unwrap();
    group.isolate(2);
    for _ in 0..90 {
        group.run(10);
        let now_ms = group.now_ms;
        let term = group.get(1).term();
        assert!(term > 1 || !group.get(1).leader_lease_valid(now_ms));
    }
    group.run(4000);
    assert!(group.replicas.iter().any(|replica| replica.is_leader() && replica.term() > 1));
}

/// Guards against a replica that was partitioned and deposes the leader when it reconnects.
#[test]
fn a_reconnected_replica_does_not_depose_the_leader() {
    let mut group = Group::with_leader_1(3);
    group.isolate(3);
    group.run(10_000);
    group.cut_links.clear();
    group.run(3000);
    assert!(group.get(1).is_leader());
    assert_eq!(group.get(1).term(), 1);
}

/// Guards against a replica that sends messages after its disk failed.
#[test]
fn a_halted_replica_sends_nothing() {
    let mut group = Group::with_leader_1(3);
    group.run(100);
    let now_ms = group.now_ms;
    group.get(1).request_read(now_ms).unwrap();
    group.get(1).halt();
    let effects = group.get(1).take_effects();
    assert_eq!(effects.reads.iter().map(|read| read.index).collect::<Vec<_>>(), [None]);
    assert!(effects.messages.is_empty() && !group.get(1).leader_lease_valid(now_ms));
    group.get(1).step(ReplicaId(2), append_after((0, 0), Vec::new(), 0, 9), now_ms + 1);
    group.get(1).tick(now_ms + 9000);
    assert!(group.get(1).take_effects().is_empty());
    assert_eq!(group.get(1).role(), ReplicaRole::Halted);
}

fn entry_count(sent: &OutgoingMessage) -> usize {
    if let MessageKind::Append { entries, .. } = &sent.message.kind { entries.len() } else { 0 }
}

fn chunk_sizes(messages: &[OutgoingMessage]) -> Vec<usize> {
    let size = |sent: &OutgoingMessage| match &sent.message.kind {
        MessageKind::SnapshotChunk { data, .. } => Some(data.len()),
        _ => None,
    };
    messages.iter().filter_map(size).collect()
}

/// Guards against a leader that sends the same entries or chunks again and again to a replica that
/// is down.
#[test]
fn a_replica_that_is_down_gets_data_only_once() {
    let mut group = Group::with_leader_1(3);
    group.run(100);
    group.isolate(3);
    group.propose(100);
    group.run(100);
    // Replica 2 becomes the leader and has to find out which entries replica 3 has.
    let now_ms = group.now_ms;
    group.get(1).transfer_leadership(Some(ReplicaId(2)), now_ms).unwrap();
    group.run(100);
    group.messages.clear();
    group.run(5000);
    let to_3 = group.messages.iter().filter(|sent| sent.to == ReplicaId(3));
    assert_eq!(to_3.map(entry_count).sum::<usize>(), 0);
    group.cut_links.clear();
    group.run(500);
    assert_eq!(group.get(3).applied_index(), group.get(2).applied_index());

    // Replica 3 needs entries that only the snapshot contains, and is down again.
    group.isolate(3);
    let now_ms = group.now_ms;
    let prev_index = group.get(2).propose(&b"data"[..], now_ms).unwrap();
    group.run(50);
    assert!(group.get(2).compact(prev_index, vec![5; 1000]));
    group.run(2000);
    let term = group.get(2).term();
    let result = AppendResult::Conflict { prev_index, term: None, first_index: 1 };
    let kind = MessageKind::AppendReply { stamp: LeaderStamp::default(), result };
    let now_ms = group.now_ms;
    group.get(2).step(ReplicaId(3), LogMessage { term, kind }, now_ms);
    group.messages.clear();
    group.run(5000);
    let sizes = chunk_sizes(&group.messages);
    assert!(sizes.len() > 20, "heartbeats must continue");
    assert_eq!(sizes.iter().sum::<usize>(), 100);
    group.cut_links.clear();
    group.run(500);
    assert_eq!(group.get(3).applied_index(), prev_index);
}

/// Guards against different memberships on the replicas after an edit of the settings.
#[test]
fn the_log_keeps_the_initial_members() {
    let mut group = Group::with_leader_1(3);
    group.run(100);
    let entries: Vec<_> =
        (1..=group.get(2).last_index()).map(|i| group.get(2).entry(i).unwrap().clone()).collect();
    let durable = DurableState { entries, ..DurableState::default() };
    let config = ReplicaConfig::new(ReplicaId(2), ids(1..=7));
    let restarted = Replica::new(config, durable, 0, fastrand::Rng::with_seed(1)).unwrap();
    assert_eq!(restarted.membership(), &ids(1..=3));
}

/// Guards against messages that grow with the snapshot, and a message per proposal.
#[test]
fn snapshots_and_entries_are_sent_in_bounded_messages() {
    let mut group = Group::with_leader_1(3);
    group.isolate(3);
    group.run(10);
    group.messages.clear();
    group.propose(100);
    group.run(0);
    let batches: Vec<_> = group.messages.iter().map(entry_count).filter(|&n| n > 0).collect();
    // The leader hasn't noticed yet that replica 3 is isolated, so both get the entries.
    assert_eq!(batches, [[40, 40, 20]; 2].concat());
    let index = group.get(1).applied_index();
    assert!(group.get(1).compact(index, vec![5; 1234]));
    group.run(50);
    group.cut_links.clear();
    group.messages.clear();
    group.run(500);
    let sizes = chunk_sizes(&group.messages);
    assert!(sizes.len() >= 13 && sizes.iter().all(|&size| size <= 100));
    assert_eq!(group.get(3).applied_index(), index);
}

/// Guards against settings with which two leaders could have a valid lease at once.
#[test]
fn a_lease_that_could_outlast_the_election_timeout_is_rejected() {
    let check = |leader_lease_ms| {
        let config = ReplicaConfig::new(ReplicaId(1), ids(1..=3));
        ReplicaConfig { leader_lease_ms, election_timeout_ms: 400, ..config }.check()
    };
    assert_eq!(check(390), Ok(()));
    assert!(matches!(check(391), Err(ConfigError::LeaseTooLong { .. })));
}

/// Returns a replica of three that restarts with a log of `entries` entries of term 1.
fn restarted(now_ms: u64, id: u32, entries: u64) -> Replica {
    let entries = (1..=entries).map(|index| Entry { index, term: 1, kind: EntryKind::Empty });
    let durable = DurableState {
        hard_state: HardState { term: 1, voted_for: None },
        entries: entries.collect(),
        ..DurableState::default()
    };
    let config = ReplicaConfig::new(ReplicaId(id), ids(1..=3));
    Replica::new(config, durable, now_ms, fastrand::Rng::with_seed(u64::from(id))).unwrap()
}

fn group_of(replicas: Vec<Replica>, now_ms: u64) -> Group {
    let (cut_links, messages, reads) = (Vec::new(), Vec::new(), Vec::new());
    Group { replicas, now_ms, cut_links, messages, reads }
}

/// All machines lose power: no leader can have a lease, so nobody has to wait for its end.
#[test]
fn voters_that_have_all_restarted_elect_the_longest_log_at_once() {
    let replicas = vec![restarted(5000, 1, 3), restarted(5000, 2, 4), restarted(5000, 3, 4)];
    let mut group = group_of(replicas, 5000);
    group.run(60);
    assert!(group.get(2).is_leader(), "of equal logs, the one of the lowest id");
    assert_eq!(group.get(2).term(), 2);
}

/// Guards against an election that fails because a link to a voter isn't established yet.
#[test]
fn requests_for_votes_after_a_restart_are_repeated() {
    let mut group = group_of((1..=3).map(|id| restarted(5000, id, 3)).collect(), 5000);
    group.cut_links = vec![(1, 3)];
    group.run(200);
    assert!((1..=3).all(|id| !group.get(id).is_leader()));
    group.cut_links.clear();
    group.run(60);
    assert!(group.get(1).is_leader());
}

/// Guards against an election beside a leader that is cut off from the voters that have restarted.
#[test]
fn voters_wait_if_one_of_them_has_not_restarted_or_is_not_heard() {
    let mut group = group_of((1..=3).map(|id| restarted(5000, id, 3)).collect(), 5000);
    group.isolate(3);
    group.run(790);
    assert!((1..=2).all(|id| !group.get(id).is_leader()));
    group.run(1000);
    assert!((1..=2).any(|id| group.get(id).is_leader()), "after the election timeout");

    let mut group = Group::with_leader_1(3);
    let now_ms = group.now_ms;
    group.cut_links = vec![(1, 2), (1, 3)];
    for id in [2, 3] {
        *group.get(id) = restarted(now_ms, id, 1);
    }
    group.run(790);
    assert!((2..=3).all(|id| !group.get(id).is_leader()));
}

/// Guards against a vote of a replica that has had contact with a new leader since its restart.
#[test]
fn contact_with_a_leader_ends_the_votes_after_a_restart() {
    let request = |term| {
        let kind = MessageKind::VoteAfterRestart { last_index: 3, last_term: 1 };
        LogMessage { term, kind }
    };
    let votes = |voter: &mut Replica| {
        let mut messages = take_synced(voter).messages;
        messages.extend(take_synced(voter).messages);
        let is_vote = |outgoing: &OutgoingMessage| {
            outgoing.message.kind == MessageKind::VoteReply { granted: true }
        };
        messages.iter().filter(|outgoing| is_vote(outgoing)).count()
    };
    let mut voter = restarted(5000, 1, 3);
    voter.step(ReplicaId(2), request(2), 5010);
    assert_eq!(votes(&mut voter), 1);
    let mut voter = restarted(5000, 1, 3);
    voter.step(ReplicaId(3), append_after((3, 1), Vec::new(), 0, 2), 5010);
    voter.step(ReplicaId(2), request(3), 5020);
    assert_eq!(votes(&mut voter), 0);
}
