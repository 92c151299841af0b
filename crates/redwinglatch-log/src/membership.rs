//! The voters and learners of the log, and single-step changes of them.

use redwinglatch_core::ReplicaId;
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::{Index, NotLeader, wire};

/// Maximum number of voters, and of learners; also limits what a decoder allocates.
const MAX_MEMBERS: usize = 32;

/// Maximum number of ids of removed replicas that are kept; the oldest is dropped first.
const MAX_REMOVED_IDS: usize = 256;

/// The voters and learners of a log.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Membership {
    #[serde(deserialize_with = "wire::bounded_list::<_, _, MAX_MEMBERS>")]
    voters: Vec<ReplicaId>,
    #[serde(deserialize_with = "wire::bounded_list::<_, _, MAX_MEMBERS>")]
    learners: Vec<ReplicaId>,
    #[serde(deserialize_with = "wire::bounded_list::<_, _, MAX_REMOVED_IDS>")]
    removed_ids: Vec<ReplicaId>,
}

/// A single-step membership change.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum MembershipChange {
    /// Adds a replica that receives the log but neither votes nor counts for majorities.
    AddLearner(ReplicaId),
    /// Makes a voter of a learner that has caught up.
    Promote(ReplicaId),
    /// Removes a voter or learner; its id is never used again.
    Remove(ReplicaId),
    /// Makes a learner of a voter. It keeps receiving the log and can be promoted again.
    Demote(ReplicaId),
}

/// The reason why a membership change was rejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[non_exhaustive]
pub enum MembershipError {
    /// The replica is not the leader.
    #[error(transparent)]
    NotLeader(#[from] NotLeader),
    /// The leader has not committed an entry of its own term yet; retry shortly.
    #[error("the leader has not committed an entry of its own term yet; retry shortly")]
    NotReady,
    /// An earlier change is not committed yet.
    #[error("the membership change at index {index} is not committed yet; retry after its commit")]
    InProgress {
        /// The index of the earlier change.
        index: Index,
    },
    /// The replica is already a member in that role.
    #[error("replica {0} is already a member in that role")]
    AlreadyMember(ReplicaId),
    /// The replica is not a member, not a learner in case of a promotion, or not a voter in case of a demotion.
    #[error("replica {0} is not a member that the change applies to; add it as a learner first")]
    NotMember(ReplicaId),
    /// The id belongs to a removed replica, whose votes may still be in flight.
    #[error("replica id {0} belongs to a removed replica; join with a new id")]
    RemovedId(ReplicaId),
    /// The learner's log is behind the commit index at the time of the first request.
    #[error(
        "learner {replica} has synced its log up to index {match_index} but needs index \
         {required_index}; retry later"
    )]
    NotCaughtUp {
        /// The learner.
        replica: ReplicaId,
        /// The last index that the learner is known to have synced.
        match_index: Index,
        /// The index that the learner must have synced.
        required_index: Index,
    },
    /// Too few voters would be in contact with the leader after the change.
    #[error("too few voters are reachable to commit the change; restore contact first")]
    QuorumAtRisk,
    /// The log has the maximum number of members in that role.
    #[error("the log already has {MAX_MEMBERS} members in that role; remove one first")]
    TooManyMembers,
}

impl Membership {
    /// Creates a membership with `voters` and no learners.
    #[must_use]
    pub fn new(voters: impl IntoIterator<Item = ReplicaId>) -> Membership {
        let mut voters: Vec<_> = voters.into_iter().collect();
        voters.sort_unstable();
        voters.dedup();
        Membership { voters, ..Membership::default() }
    }

    /// Returns the replicas that vote and count for majorities.
    #[must_use]
    pub fn voters(&self) -> &[ReplicaId] {
        &self.voters
    }

    /// Returns the replicas that only receive the log.
    #[must_use]
    pub fn learners(&self) -> &[ReplicaId] {
        &self.learners
    }

    /// Iterates over the voters, then the learners.
    pub fn members(&self) -> impl Iterator<Item = ReplicaId> {
        self.voters.iter().chain(&self.learners).copied()
    }

    /// Returns whether `replica` is a voter.
    #[must_use]
    pub fn is_voter(&self, replica: ReplicaId) -> bool {
        self.voters.contains(&replica)
    }

    /// Returns whether `replica` is a learner.
    #[must_use]
    pub fn is_learner(&self, replica: ReplicaId) -> bool {
        self.learners.contains(&replica)
    }

    /// Returns the number of voters that form a majority.
    #[must_use]
    pub fn majority(&self) -> usize {
        self.voters.len() / 2 + 1
    }

    pub(crate) fn size_bytes(&self) -> usize {
        (self.voters.len() + self.learners.len() + self.removed_ids.len()) * size_of::<ReplicaId>()
    }

    /// Returns the membership that results from `change`.
    ///
    /// # Errors
    ///
    /// Returns the reason why the change is not possible.
    pub fn with_change(&self, change: MembershipChange) -> Result<Membership, MembershipError> {
        let mut changed = self.clone();
        match change {
            MembershipChange::AddLearner(replica) => {
                if self.members().any(|member| member == replica) {
                    return Err(MembershipError::AlreadyMember(replica));
                }
                if self.removed_ids.contains(&replica) {
                    return Err(MembershipError::RemovedId(replica));
                }
                if self.learners.len() == MAX_MEMBERS {
                    return Err(MembershipError::TooManyMembers);
                }
                changed.learners.push(replica);
            }
            MembershipChange::Promote(replica) => {
                if self.is_voter(replica) {
                    return Err(MembershipError::AlreadyMember(replica));
                }
                if !self.is_learner(replica) {
                    return Err(MembershipError::NotMember(replica));
                }
                if self.voters.len() == MAX_MEMBERS {
                    return Err(MembershipError::TooManyMembers);
                }
                changed.learners.retain(|&learner| learner != replica);
                changed.voters.push(replica);
                changed.voters.sort_unstable();
            }
            MembershipChange::Remove(replica) => {
                if !self.members().any(|member| member == replica) {
                    return Err(MembershipError::NotMember(replica));
                }
                if self.voters == [replica] {
                    return Err(MembershipError::QuorumAtRisk);
                }
                changed.voters.retain(|&voter| voter != replica);
                changed.learners.retain(|&learner| learner != replica);
                if changed.removed_ids.len() == MAX_REMOVED_IDS {
                    changed.removed_ids.remove(0);
                }
                changed.removed_ids.push(replica);
            }
            MembershipChange::Demote(replica) => {
                if !self.is_voter(replica) {
                    return Err(MembershipError::NotMember(replica));
                }
                if self.voters == [replica] {
                    return Err(MembershipError::QuorumAtRisk);
                }
                if self.learners.len() == MAX_MEMBERS {
                    return Err(MembershipError::TooManyMembers);
                }
                changed.voters.retain(|&voter| voter != replica);
                changed.learners.push(replica);
            }
        }
        Ok(changed)
    }
}
