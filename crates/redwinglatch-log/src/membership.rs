//! Who takes part in the log.

use redwinglatch_core::ReplicaId;
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::{Index, NotLeader, wire};

/// The most members of each kind; also bounds what a decoder allocates.
const MAX_MEMBERS: usize = 32;

/// The most removed ids that are remembered; the oldest is forgotten first.
const MAX_RETIRED: usize = 256;

/// The voters and learners of a log.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Membership {
    #[serde(deserialize_with = "wire::bounded_list::<_, _, MAX_MEMBERS>")]
    voters: Vec<ReplicaId>,
    #[serde(deserialize_with = "wire::bounded_list::<_, _, MAX_MEMBERS>")]
    learners: Vec<ReplicaId>,
    #[serde(deserialize_with = "wire::bounded_list::<_, _, MAX_RETIRED>")]
    retired: Vec<ReplicaId>,
}

/// A single-step change of the members.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum MembershipChange {
    /// Adds a replica that receives the log but doesn't count for majorities.
    AddLearner(ReplicaId),
    /// Makes a learner that has caught up a voter.
    Promote(ReplicaId),
    /// Removes a voter or learner; its id is never used again.
    Remove(ReplicaId),
}

/// Why a membership change was refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[non_exhaustive]
pub enum MembershipError {
    /// The replica doesn't lead.
    #[error(transparent)]
    NotLeader(#[from] NotLeader),
    /// The leader has not committed an entry of its own term yet; ask again shortly.
    #[error("the leader has not committed an entry of its term yet; ask again")]
    NotReady,
    /// An earlier change is not committed yet.
    #[error("the membership change at index {index} is not committed yet; ask again after it")]
    InProgress {
        /// The index of the earlier change.
        index: Index,
    },
    /// The replica is a member already.
    #[error("replica {0} is already a member in that role")]
    AlreadyMember(ReplicaId),
    /// The replica is no member, or no learner where a learner is needed.
    #[error("replica {0} is not a member that the change applies to; add it as a learner first")]
    NotMember(ReplicaId),
    /// The id belonged to a removed replica, whose votes may still be under way.
    #[error("replica id {0} was removed before; join with a new id")]
    Retired(ReplicaId),
    /// The learner's log is behind the commit index of the moment of the first request.
    #[error("learner {replica} has index {match_index} of {required_index}; ask again")]
    NotCaughtUp {
        /// The learner.
        replica: ReplicaId,
        /// What the learner is known to have synced.
        match_index: Index,
        /// What the learner must have synced.
        required_index: Index,
    },
    /// Too few voters would be in contact with the leader after the change.
    #[error("too few voters are in contact to commit the change; restore contact first")]
    QuorumAtRisk,
    /// The list of members is full.
    #[error("the log has {MAX_MEMBERS} members of that role already; remove one first")]
    Full,
}

impl Membership {
    /// Starts a membership with `voters` and no learners.
    #[must_use]
    pub fn new(voters: impl IntoIterator<Item = ReplicaId>) -> Membership {
        let mut voters: Vec<_> = voters.into_iter().collect();
        voters.sort_unstable();
        voters.dedup();
        Membership { voters, ..Membership::default() }
    }

    /// The replicas that vote and count for majorities.
    #[must_use]
    pub fn voters(&self) -> &[ReplicaId] {
        &self.voters
    }

    /// The replicas that only receive the log.
    #[must_use]
    pub fn learners(&self) -> &[ReplicaId] {
        &self.learners
    }

    /// Voters and learners.
    pub fn members(&self) -> impl Iterator<Item = ReplicaId> {
        self.voters.iter().chain(&self.learners).copied()
    }

    /// Whether `replica` is a voter.
    #[must_use]
    pub fn is_voter(&self, replica: ReplicaId) -> bool {
        self.voters.contains(&replica)
    }

    /// Whether `replica` is a learner.
    #[must_use]
    pub fn is_learner(&self, replica: ReplicaId) -> bool {
        self.learners.contains(&replica)
    }

    /// How many voters are a majority.
    #[must_use]
    pub fn majority(&self) -> usize {
        self.voters.len() / 2 + 1
    }

    pub(crate) fn size_bytes(&self) -> usize {
        (self.voters.len() + self.learners.len() + self.retired.len()) * size_of::<ReplicaId>()
    }

    /// The membership after `change`.
    pub(crate) fn after(&self, change: MembershipChange) -> Result<Membership, MembershipError> {
        let mut next = self.clone();
        match change {
            MembershipChange::AddLearner(replica) => {
                if self.members().any(|member| member == replica) {
                    return Err(MembershipError::AlreadyMember(replica));
                }
                if self.retired.contains(&replica) {
                    return Err(MembershipError::Retired(replica));
                }
                if self.learners.len() == MAX_MEMBERS {
                    return Err(MembershipError::Full);
                }
                next.learners.push(replica);
            }
            MembershipChange::Promote(replica) => {
                if self.is_voter(replica) {
                    return Err(MembershipError::AlreadyMember(replica));
                }
                if !self.is_learner(replica) {
                    return Err(MembershipError::NotMember(replica));
                }
                if self.voters.len() == MAX_MEMBERS {
                    return Err(MembershipError::Full);
                }
                next.learners.retain(|&learner| learner != replica);
                next.voters.push(replica);
                next.voters.sort_unstable();
            }
            MembershipChange::Remove(replica) => {
                if !self.members().any(|member| member == replica) {
                    return Err(MembershipError::NotMember(replica));
                }
                if self.voters == [replica] {
                    return Err(MembershipError::QuorumAtRisk);
                }
                next.voters.retain(|&voter| voter != replica);
                next.learners.retain(|&learner| learner != replica);
                if next.retired.len() == MAX_RETIRED {
                    next.retired.remove(0);
                }
                next.retired.push(replica);
            }
        }
        Ok(next)
    }
}
