//! Membership of the replicated log.

use std::net::SocketAddr;

use redwinglatch_core::ReplicaId;
use redwinglatch_log::MembershipChange;
use smallvec::SmallVec;

use crate::{
    clock::CORE_OVERLOAD_LAG_MS,
    core::member_choice::{MemberState, next_change},
    message::FleetMessage,
    state::StateCommand,
};

use super::{
    Driver, JOIN_INTERVAL_MS, LEADERSHIP_TRANSFER_INTERVAL_MS, MIN_LEADERSHIP_MS,
    MISSING_LEADER_MS, SLOW_WRITE_MS,
};

/// A member that acknowledges nothing for this long is unresponsive. It is longer than an election timeout, so that a
/// leader that was suspended has lost its leadership before it takes the others for unresponsive.
const UNRESPONSIVE_MEMBER_TIMEOUT_MS: u64 = 1_000;
/// A member that acknowledges nothing for this long is not expected to return.
const LOST_MEMBER_TIMEOUT_MS: u64 = 600_000;
/// Interval between proposals to record the addresses of members.
const ADDRESSES_INTERVAL_MS: u64 = 1_000;
const STOP_ANNOUNCEMENT_INTERVAL_MS: u64 = 100;
/// Time for which an announced stop counts; a process that stops repeats the announcement. Its silence counts from its
/// last acknowledgement, which may be newer than its last announcement.
const STOP_ANNOUNCEMENT_MS: u64 =
    UNRESPONSIVE_MEMBER_TIMEOUT_MS + 2 * STOP_ANNOUNCEMENT_INTERVAL_MS;

impl Driver {
    /// Asks to join the log while this process isn't a voter that hears a leader.
    ///
    /// Answers the loss of a leader that had sent a new process a part of the log, and whose entry that adds the process
    /// nobody else has: such a process has a log and is no member. A leader ignores what is a member already.
    pub(super) fn ask_to_join(&mut self, now_ms: u64) {
        if now_ms < self.join_due_ms {
            return;
        }
        let replica = self.replica.id();
        let membership = self.replica.membership();
        let is_voter = membership.is_voter(replica);
        if is_voter && self.is_joining {
            log::info!("core: replica {replica} is a voter");
            self.is_joining = false;
        }
        let is_led = self.replica.is_leader()
            || self.leader_heard_ms.is_some_and(|heard_ms| now_ms <= heard_ms + MISSING_LEADER_MS);
        if !self.is_joining && is_led {
            return;
        }
        self.join_due_ms = now_ms + JOIN_INTERVAL_MS;
        if self.is_joining || now_ms >= self.started_ms + MISSING_LEADER_MS {
            self.cores.send_all(&FleetMessage::Join { replica, link: self.own_link });
        }
    }

    pub(super) fn handle_join(&mut self, replica: ReplicaId, link: SocketAddr) {
        self.core_addresses.insert(replica.0, link);
        self.dial(link);
        if !self.is_current_leader() {
            return;
        }
        let now_ms = self.now_ms();
        self.last_message_ms.insert(replica.0, now_ms);
        // The former process at the address is recorded first, and not again, so that the log shows which of the two is
        // newer.
        self.addresses_due_ms = now_ms + ADDRESSES_INTERVAL_MS;
        for (member, address) in self.unrecorded_addresses() {
            if address == link && member != replica {
                self.propose(&StateCommand::SetCoreAddress { replica: member, link }, None);
            }
        }
        if self.state.cores.get(&replica.0).is_none_or(|(address, _)| *address != link) {
            self.propose(&StateCommand::SetCoreAddress { replica, link }, None);
        }
        let change = MembershipChange::AddLearner(replica);
        match self.replica.propose_membership(change, now_ms) {
            Ok(_) => log::info!("core: adding replica {replica} at {link} to the log"),
            Err(error) => log::debug!("core: cannot add replica {replica} yet: {error}"),
        }
    }

    /// Changes the members of the log towards the core processes that exist, one change at a time.
    pub(super) fn update_membership(&mut self, now_ms: u64) {
        if !self.is_current_leader() {
            return;
        }
        let own = self.replica.id();
        self.record_addresses(now_ms);
        let membership = self.replica.membership();
        let tolerance = self.settings.loss_tolerance;
        let state_of = |member| self.member_state(now_ms, member);
        let Some(change) = next_change(membership, own, tolerance, state_of) else { return };
        if self.replica.propose_membership(change, now_ms).is_ok() {
            log::info!("core: changing the members of the log: {change:?}");
        }
    }

    /// Returns the members whose addresses this process knows and the replicated state doesn't.
    fn unrecorded_addresses(&self) -> Vec<(ReplicaId, SocketAddr)> {
        let own = (self.replica.id(), self.own_link);
        let others = self.core_addresses.iter().map(|(id, link)| (ReplicaId(*id), *link));
        let known = others.filter(|(member, _)| *member != own.0).chain([own]);
        let members = self.replica.membership();
        let is_member = |id: ReplicaId| members.is_voter(id) || members.is_learner(id);
        self.state.unrecorded(known.filter(|(id, _)| is_member(*id)))
    }

    /// Records the addresses of the members, the first of which have joined no log.
    ///
    /// Answers the loss of all core processes just after one of them has lost its disk: the next leader tells from the
    /// addresses which member the process without a disk has been.
    fn record_addresses(&mut self, now_ms: u64) {
        if now_ms < self.addresses_due_ms {
            return;
        }
        let unrecorded = self.unrecorded_addresses();
        if !unrecorded.is_empty() {
            self.addresses_due_ms = now_ms + ADDRESSES_INTERVAL_MS;
        }
        for (replica, link) in unrecorded {
            self.propose(&StateCommand::SetCoreAddress { replica, link }, None);
        }
    }

    /// Returns the state of a member, on the leader.
    pub(super) fn member_state(&self, now_ms: u64, member: ReplicaId) -> MemberState {
        if member == self.replica.id() {
            return MemberState::Responsive;
        }
        let members: SmallVec<[ReplicaId; 8]> = self.replica.membership().members().collect();
        if self.state.is_superseded(member, &members) {
            return MemberState::Superseded;
        }
        let is_stopping = self
            .stop_announced_ms
            .get(&member.0)
            .is_some_and(|announced_ms| now_ms < announced_ms + STOP_ANNOUNCEMENT_MS);
        let last_contact_ms = self.replica.last_ack_ms(member).max(self.replica.elected_ms());
        match last_contact_ms.map_or(0, |ms| now_ms.saturating_sub(ms)) {
            LOST_MEMBER_TIMEOUT_MS.. => MemberState::Lost,
            UNRESPONSIVE_MEMBER_TIMEOUT_MS.. => MemberState::Unresponsive,
            _ if is_stopping => MemberState::Unresponsive,
            _ if self.replica.membership().is_learner(member)
                && !self.replica.is_caught_up(member) =>
            {
                MemberState::Lagging
            }
            _ => MemberState::Responsive,
        }
    }

    /// Records that another core process has received SIGTERM.
    pub(super) fn handle_stop_announcement(&mut self, replica: ReplicaId) {
        let now_ms = self.now_ms();
        if self.stop_announced_ms.insert(replica.0, now_ms).is_none() {
            log::info!("core: replica {replica} stops");
        }
        self.stop_announced_ms
            .retain(|_, announced_ms| now_ms < *announced_ms + STOP_ANNOUNCEMENT_MS);
    }

    /// Announces to the other core processes that this one stops, until a learner has taken its place as a voter.
    ///
    /// Answers a planned replacement: the successor joins first, and the log must tolerate the next loss from the
    /// moment at which this process is gone. Without a learner the process doesn't wait, but the leader has to know that
    /// it is gone: the successor may vote already.
    pub(super) fn announce_stop(&mut self, now_ms: u64) {
        let id = self.replica.id();
        let membership = self.replica.membership();
        let is_voter = membership.is_voter(id);
        if !is_voter || membership.learners().is_empty() {
            self.is_replaced.send_if_modified(|is_replaced| !std::mem::replace(is_replaced, true));
        }
        if is_voter && self.stop_announcement_due_ms <= now_ms {
            self.stop_announcement_due_ms = now_ms + STOP_ANNOUNCEMENT_INTERVAL_MS;
            self.cores.send_stop_announcement(&FleetMessage::CoreStopping { replica: id });
        }
    }

    /// Transfers leadership when this machine is too slow.
    pub(super) fn transfer_leadership_when_slow(&mut self, now_ms: u64) {
        let is_write_slow =
            self.storage.is_none() && self.write_started_ms + SLOW_WRITE_MS < now_ms;
        if !(is_write_slow || self.lag.is_above(CORE_OVERLOAD_LAG_MS))
            || !self.replica.is_leader()
            || now_ms < self.leadership_transfer_due_ms
            || (!is_write_slow && now_ms < self.leader_since_ms + MIN_LEADERSHIP_MS)
        {
            return;
        }
        self.leadership_transfer_due_ms = now_ms + LEADERSHIP_TRANSFER_INTERVAL_MS;
        let reason = if is_write_slow { "disk" } else { "process" };
        match self.replica.transfer_leadership(None, now_ms) {
            Ok(to) => {
                log::warn!("core: the {reason} is slow; transferring leadership to replica {to}");
            }
            Err(error) => log::warn!(
                "core: the {reason} is slow, but leadership cannot be transferred: {error}"
            ),
        }
    }

    pub(super) fn update_core_addresses(&mut self) {
        let cores: Vec<_> = self.state.cores.iter().map(|(id, (link, _))| (*id, *link)).collect();
        for (id, link) in cores {
            self.core_addresses.insert(id, link);
            self.dial(link);
        }
        self.entries.broadcast(&self.core_addresses_message());
    }
}
