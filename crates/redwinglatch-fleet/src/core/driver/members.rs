//! Who takes part in the log.

use std::net::SocketAddr;

use redwinglatch_core::ReplicaId;
use redwinglatch_log::MembershipChange;

use crate::state::Command;

use super::{
    Driver, LONG_LOST_VOTER_MS, LOST_VOTER_MS, MIN_VOTERS, SLOW_WRITE_MS, TRANSFER_INTERVAL_MS,
};

impl Driver {
    pub(super) fn join_asked(&mut self, replica: ReplicaId, link: SocketAddr) {
        self.core_addresses.insert(replica.0, link);
        self.dial(link);
        if !self.is_current_leader() {
            return;
        }
        let now_ms = self.now_ms();
        self.heard_ms.insert(replica.0, now_ms);
        self.joined_ms.entry(replica.0).or_insert(now_ms);
        if self.state.cores.get(&replica.0).is_none_or(|(known, _)| *known != link) {
            self.propose(&Command::LocateCore { replica, link }, None);
        }
        let change = MembershipChange::AddLearner(replica);
        match self.replica.propose_membership(change, now_ms) {
            Ok(_) => log::info!("core: replica {replica} at {link} joins the log"),
            Err(error) => log::debug!("core: replica {replica} can't join yet: {error}"),
        }
    }

    /// Moves the members of the log towards the core processes that exist.
    pub(super) fn lead_membership(&mut self, now_ms: u64) {
        if !self.is_current_leader() {
            return;
        }
        let own = self.replica.id();
        if !self.state.cores.contains_key(&own.0) {
            let link = self.own_link;
            if !self.proposals.values().any(|(term, _)| *term == self.replica.term()) {
                self.propose(&Command::LocateCore { replica: own, link }, None);
            }
        }
        let membership = self.replica.membership().clone();
        let change = if let Some(learner) = membership.learners().first() {
            let members: Vec<_> = membership.members().collect();
            match self.state.superseded(&members) {
                Some(old) if membership.is_learner(old) => MembershipChange::Remove(old),
                _ => MembershipChange::Promote(*learner),
            }
        } else if let Some(old) = self.state.superseded(membership.voters()) {
            MembershipChange::Remove(old)
        } else if let Some(lost) = self.lost_voter(now_ms, membership.voters()) {
            MembershipChange::Remove(lost)
        } else {
            return;
        };
        if self.replica.propose_membership(change, now_ms).is_ok() {
            log::info!("core: the members of the log change: {change:?}");
        }
    }

    /// A silent voter whose place a newcomer has taken.
    ///
    /// An even number of voters bears no more losses than one fewer, so only then one is removed:
    /// one that fell silent before a newcomer came, or that has been silent for long.
    fn lost_voter(&self, now_ms: u64, voters: &[ReplicaId]) -> Option<ReplicaId> {
        if voters.len() <= MIN_VOTERS || voters.len() % 2 == 1 {
            return None;
        }
        let newcomer_ms =
            voters.iter().filter_map(|voter| self.joined_ms.get(&voter.0)).max().copied();
        voters.iter().copied().find(|voter| {
            let heard_ms = self.heard_ms.get(&voter.0).copied().unwrap_or(self.leads_since_ms);
            let is_silent = heard_ms + LOST_VOTER_MS < now_ms;
            let was_replaced = newcomer_ms.is_some_and(|newcomer_ms| heard_ms < newcomer_ms);
            let is_long_silent = heard_ms + LONG_LOST_VOTER_MS < now_ms;
            *voter != self.replica.id() && is_silent && (was_replaced || is_long_silent)
        })
    }

    /// Hands the lead over when this machine can't keep up.
    pub(super) fn leave_lead_when_slow(&mut self, now_ms: u64) {
        let stuck = self.storage.is_none() && self.write_started_ms + SLOW_WRITE_MS < now_ms;
        if !(stuck || self.lag.is_overloaded())
            || !self.replica.is_leader()
            || now_ms < self.transfer_due_ms
        {
            return;
        }
        self.transfer_due_ms = now_ms + TRANSFER_INTERVAL_MS;
        let reason = if stuck { "disk" } else { "process" };
        match self.replica.transfer_leadership(None, now_ms) {
            Ok(to) => log::warn!("core: the {reason} is slow; replica {to} takes over the lead"),
            Err(error) => log::warn!("core: the {reason} is slow, and no other leads: {error}"),
        }
    }

    pub(super) fn learn_cores(&mut self) {
        let cores: Vec<_> = self.state.cores.iter().map(|(id, (link, _))| (*id, *link)).collect();
        for (id, link) in cores {
            self.core_addresses.insert(id, link);
            self.dial(link);
        }
        self.send_entries(&self.cores_message());
    }
}
