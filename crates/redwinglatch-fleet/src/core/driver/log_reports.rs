//! Log lines that tell how the replicated log stands, and what entry processes are told of it.

use redwinglatch_core::ReplicaId;
use redwinglatch_log::{Entry, EntryKind, Membership};
use smallvec::SmallVec;

use crate::{
    core::member_choice::{MemberState, tolerated_losses},
    message::LogProgress,
    metrics::LogValues,
    state::StateCommand,
};

use super::{
    Driver, MISSING_LEADER_MS,
    small_margin::{MarginReport, SmallMargin},
};

/// Interval between looks at the margin of the log.
const MARGIN_INTERVAL_MS: u64 = 500;

/// What the last lines have told.
#[derive(Debug)]
pub(super) struct LogReports {
    members: Membership,
    /// Time of the last message of a leader or, if there was none, of the start.
    led_ms: u64,
    missing_leader_due_ms: u64,
    margin_due_ms: u64,
    small_margin: SmallMargin,
}

impl LogReports {
    pub(super) fn new(now_ms: u64) -> LogReports {
        LogReports {
            members: Membership::default(),
            led_ms: now_ms,
            missing_leader_due_ms: now_ms + MISSING_LEADER_MS,
            margin_due_ms: now_ms,
            small_margin: SmallMargin::default(),
        }
    }
}

impl Driver {
    /// Returns how far this process has come in the log.
    pub(super) fn log_progress(&self) -> LogProgress {
        let now_ms = self.now_ms();
        let leader_age_ms = if self.replica.is_leader() {
            Some(0)
        } else {
            self.leader_heard_ms.map(|heard_ms| now_ms.saturating_sub(heard_ms))
        };
        LogProgress { index: self.applied_index, term: self.applied_term, leader_age_ms }
    }

    /// Logs who holds a change that is about to be acknowledged.
    pub(super) fn log_acknowledgement(&self, entry: &Entry) {
        let EntryKind::Data(data) = &entry.kind else { return };
        let Ok(StateCommand::PutConfiguration { version, .. }) = postcard::from_bytes(data) else {
            return;
        };
        let holders: SmallVec<[ReplicaId; 8]> = self.replica.holders(entry.index).collect();
        log::info!(
            "core: configuration {version} is acknowledged at index {} of term {}; held by {holders:?}, voters {:?}",
            entry.index,
            entry.term,
            self.replica.membership().voters(),
        );
    }

    /// Logs the members of the log when they have changed.
    pub(super) fn log_members(&mut self) {
        let members = self.replica.membership();
        if *members != self.log_reports.members {
            let (voters, learners) = (members.voters(), members.learners());
            log::info!("core: the log has the voters {voters:?} and the learners {learners:?}");
            self.log_reports.members = members.clone();
        }
    }

    /// Warns while this process hears no leader, and while it isn't a member of the log.
    pub(super) fn warn_of_missing_leader(&mut self, now_ms: u64) {
        let led_ms = if self.replica.is_leader() { Some(now_ms) } else { self.leader_heard_ms };
        let reports = &mut self.log_reports;
        reports.led_ms = reports.led_ms.max(led_ms.unwrap_or_default());
        let silence_ms = now_ms.saturating_sub(reports.led_ms);
        let lacks_leader = silence_ms >= MISSING_LEADER_MS;
        self.lacks_leader
            .send_if_modified(|lacks| std::mem::replace(lacks, lacks_leader) != lacks_leader);
        if !lacks_leader || now_ms < reports.missing_leader_due_ms {
            return;
        }
        reports.missing_leader_due_ms = now_ms + MISSING_LEADER_MS;
        let connected: SmallVec<[_; 8]> = self.cores.connected_addresses().collect();
        let members = self.replica.membership();
        log::warn!(
            "core: no message of a leader for {silence_ms} ms; joining={}, version {}, index {}, voters {:?}, \
             of which {} are connected and {} needed, connected to {connected:?}",
            self.is_joining,
            self.state.version,
            self.replica.last_index(),
            members.voters(),
            self.connected_voters(),
            members.majority(),
        );
    }

    /// Returns the number of voters to which this process has a link, and itself if it votes.
    fn connected_voters(&self) -> usize {
        let connected: SmallVec<[_; 8]> = self.cores.connected_addresses().collect();
        let is_connected = |voter: &&ReplicaId| {
            **voter == self.replica.id()
                || self.core_addresses.get(&voter.0).is_some_and(|link| connected.contains(link))
        };
        self.replica.membership().voters().iter().filter(is_connected).count()
    }

    /// Shows how many losses the log tolerates, and warns on the leader while they are too few.
    pub(super) fn report_margin(&mut self, now_ms: u64) {
        if now_ms < self.log_reports.margin_due_ms {
            return;
        }
        self.log_reports.margin_due_ms = now_ms + MARGIN_INTERVAL_MS;
        let values = self.log_values(now_ms);
        self.metrics.set_log(values);
        let Some(tolerated) = values.tolerated_losses else {
            self.log_reports.small_margin = SmallMargin::default();
            return;
        };
        let required = values.required_losses;
        match self.log_reports.small_margin.observe(now_ms, tolerated < required) {
            Some(MarginReport::Small { lasted_ms }) => log::warn!(
                "core: the log tolerates {tolerated} losses for {lasted_ms} ms, and {required} are required; voters {:?}, \
                 learners {:?}",
                self.member_states(now_ms, self.replica.membership().voters()),
                self.member_states(now_ms, self.replica.membership().learners()),
            ),
            Some(MarginReport::Restored { lasted_ms }) => {
                log::info!(
                    "core: the log tolerates {tolerated} losses again, after {lasted_ms} ms"
                );
            }
            None => {}
        }
    }

    fn log_values(&self, now_ms: u64) -> LogValues {
        let members = self.replica.membership();
        let is_leader = self.is_current_leader();
        let state_of = |member| self.member_state(now_ms, member);
        let led_ms = if is_leader { now_ms } else { self.log_reports.led_ms };
        LogValues {
            voters: members.voters().len(),
            connected_voters: self.connected_voters(),
            tolerated_losses: is_leader.then(|| tolerated_losses(members, state_of)),
            required_losses: self.settings.loss_tolerance.processes,
            leader_silence_ms: now_ms.saturating_sub(led_ms),
        }
    }

    fn member_states(
        &self,
        now_ms: u64,
        members: &[ReplicaId],
    ) -> SmallVec<[(ReplicaId, MemberState); 8]> {
        members.iter().map(|member| (*member, self.member_state(now_ms, *member))).collect()
    }
}
