//! The leader's table of serving leases.

use std::collections::{BTreeMap, VecDeque};

use redwinglatch_core::prelude::*;

use crate::{
    InstanceListUpdate, InstanceRecord, LeaseSettings, LeaseVerdict, Renewal,
    instance_list::InstanceList,
};

/// Maximum number of superseded processes whose renewals are rejected. At 1,000 restarts a day
/// these are the processes of four days.
const MAX_SUPERSEDED_PROCESSES: usize = 4_096;

/// Maximum number of renewals per process whose arrival time is kept, to find when the one whose
/// reply was applied had arrived.
const MAX_TRACKED_RENEWALS: usize = 16;

/// Maximum number of offered sessions. A process whose offer was dropped gets another one.
const MAX_OFFERED_SESSIONS: usize = 1_024;

/// A process that may hold a serving lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LeaseHolder {
    /// The instance.
    pub instance: InstanceId,
    /// The process.
    pub incarnation: Incarnation,
}

#[derive(Debug)]
struct Lease {
    session: u64,
    expires_at_ms: u64,
    sequence: u64,
    applied_sequence: u64,
    revision: Revision,
    /// Sequences and arrival times of the renewals since the one whose reply was applied last.
    received_renewals: VecDeque<(u64, u64)>,
}

impl Lease {
    /// Records a renewal and returns the arrival time of the one whose reply was applied last.
    fn record_renewal(&mut self, now_ms: u64, sequence: u64) -> u64 {
        self.received_renewals.push_back((sequence, now_ms));
        while self.received_renewals.get(1).is_some_and(|(next, _)| *next <= self.applied_sequence)
        {
            self.received_renewals.pop_front();
        }
        if self.received_renewals.len() > MAX_TRACKED_RENEWALS {
            self.received_renewals.remove(1);
        }
        self.received_renewals.front().map_or(now_ms, |(_, at_ms)| *at_ms)
    }
}

/// Result of processing a renewal.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RenewalDecision {
    /// The renewal is older than one already handled, or its sender knows a later leader; it gets
    /// no reply.
    Ignored,
    /// The renewal gets a reply without a lease.
    Rejected(LeaseVerdict),
    /// The process is registered; `is_new` if this renewal registered it.
    Accepted { is_new: bool, verdict: LeaseVerdict },
}

/// The serving leases that may be valid, on the leader's clock.
///
/// The table may be used only while the log's `leader_lease_valid` holds and after the leader has
/// applied the first log entry of its own term. Before, its state may lack committed changes.
#[derive(Debug)]
pub struct Leases {
    settings: LeaseSettings,
    term: u64,
    /// Until this time any process may hold a lease from an earlier leader.
    waiting_period_end_ms: u64,
    leases: BTreeMap<LeaseHolder, Lease>,
    /// The current process of each instance id. It is kept after the lease ends, so that a delayed
    /// renewal of a process that has ended can't displace its successor.
    current_incarnations: BTreeMap<InstanceId, Incarnation>,
    superseded: VecDeque<LeaseHolder>,
    /// The sessions offered to processes without a lease.
    offered_sessions: BTreeMap<LeaseHolder, u64>,
    next_session: u64,
    live_instances: InstanceList,
    earliest_expiry_ms: u64,
}

impl Leases {
    /// Creates the table of the leader elected in `term` at `elected_at_ms`.
    #[must_use]
    pub fn new(settings: LeaseSettings, term: u64, elected_at_ms: u64) -> Leases {
        Leases {
            settings,
            term,
            waiting_period_end_ms: elected_at_ms + settings.leader_lease_ms(),
            leases: BTreeMap::new(),
            current_incarnations: BTreeMap::new(),
            superseded: VecDeque::new(),
            offered_sessions: BTreeMap::new(),
            next_session: 1,
            live_instances: InstanceList::default(),
            earliest_expiry_ms: u64::MAX,
        }
    }

    /// Returns the leader's term.
    #[must_use]
    pub fn term(&self) -> u64 {
        self.term
    }

    /// Returns whether leases of earlier leaders may still be valid.
    #[must_use]
    pub fn is_in_waiting_period(&self, now_ms: u64) -> bool {
        now_ms < self.waiting_period_end_ms
    }

    /// Returns the time at which all leases of earlier leaders have expired.
    #[must_use]
    pub fn waiting_period_end_ms(&self) -> u64 {
        self.waiting_period_end_ms
    }

    /// Returns whether the lease of a process has certainly expired.
    #[must_use]
    pub fn has_expired(&self, now_ms: u64, holder: LeaseHolder) -> bool {
        let lease = self.leases.get(&holder);
        !self.is_in_waiting_period(now_ms)
            && lease.is_none_or(|lease| lease.expires_at_ms <= now_ms)
    }

    /// Returns the processes whose lease from this leader may be valid.
    pub fn holders(&self, now_ms: u64) -> impl Iterator<Item = LeaseHolder> {
        let leases = self.leases.iter();
        leases.filter(move |(_, lease)| lease.expires_at_ms > now_ms).map(|(holder, _)| *holder)
    }

    /// Returns the known instances, also during the waiting period, when some may be missing.
    pub fn instances(&self) -> impl Iterator<Item = &InstanceRecord> {
        self.live_instances.records()
    }

    /// Returns whether `holder` is the latest process of its instance id and its lease may be
    /// valid.
    #[must_use]
    pub fn is_current(&self, now_ms: u64, holder: LeaseHolder) -> bool {
        let is_live = self.leases.get(&holder).is_some_and(|lease| lease.expires_at_ms > now_ms);
        is_live && self.current_incarnations.get(&holder.instance) == Some(&holder.incarnation)
    }

    /// Returns the revision that every possible lease holder has in force, or `None` in the waiting
    /// period.
    #[must_use]
    pub fn revision_in_force_everywhere(&self, now_ms: u64) -> Option<Revision> {
        if self.is_in_waiting_period(now_ms) {
            return None;
        }
        let valid = self.leases.values().filter(|lease| lease.expires_at_ms > now_ms);
        Some(valid.map(|lease| lease.revision).min().unwrap_or(Revision(u64::MAX)))
    }

    /// Returns the sequence of the latest renewal whose reply a process has applied.
    pub(crate) fn applied_sequence(&self, holder: LeaseHolder) -> u64 {
        self.leases.get(&holder).map_or(0, |lease| lease.applied_sequence)
    }

    pub(crate) fn instance_list_update(
        &self,
        now_ms: u64,
        since: u64,
    ) -> Option<InstanceListUpdate> {
        // Without the instances of the earlier leader, the list would make them look removed.
        if self.is_in_waiting_period(now_ms) {
            None
        } else {
            self.live_instances.update_since(since)
        }
    }

    /// Removes and returns the expired leases.
    pub(crate) fn expire(&mut self, now_ms: u64) -> Vec<LeaseHolder> {
        if now_ms < self.earliest_expiry_ms {
            return Vec::new();
        }
        let expired = self.leases.iter().filter(|(_, lease)| lease.expires_at_ms <= now_ms);
        let expired: Vec<LeaseHolder> = expired.map(|(holder, _)| *holder).collect();
        for holder in &expired {
            self.leases.remove(holder);
            self.live_instances.remove(*holder);
        }
        let remaining = self.leases.values().map(|lease| lease.expires_at_ms).min();
        self.earliest_expiry_ms = remaining.unwrap_or(u64::MAX);
        expired
    }

    /// Returns the session of a process, or offers one if it has none.
    pub(crate) fn session(&mut self, holder: LeaseHolder) -> u64 {
        if let Some(lease) = self.leases.get(&holder) {
            return lease.session;
        }
        if self.offered_sessions.len() >= MAX_OFFERED_SESSIONS
            && !self.offered_sessions.contains_key(&holder)
        {
            let oldest = self.offered_sessions.iter().min_by_key(|(_, session)| **session);
            let oldest = oldest.map(|(holder, _)| *holder);
            oldest.map(|oldest| self.offered_sessions.remove(&oldest));
        }
        *self.offered_sessions.entry(holder).or_insert_with(|| {
            self.next_session += 1;
            self.next_session
        })
    }

    /// Renews the lease of a process, if it has caught up with this reply and receives replies.
    ///
    /// Otherwise it couldn't use the lease, but would delay the report of changes and keep its
    /// shares for as long as its renewals arrive.
    pub(crate) fn renew(
        &mut self,
        now_ms: u64,
        renewal: &Renewal,
        has_caught_up: bool,
    ) -> RenewalDecision {
        let holder = LeaseHolder { instance: renewal.instance, incarnation: renewal.incarnation };
        if self.superseded.contains(&holder) {
            return RenewalDecision::Rejected(LeaseVerdict::Superseded);
        }
        let existing = self.leases.get(&holder);
        // This leader must not reply to a process that knows a later leader.
        if renewal.term > self.term {
            return RenewalDecision::Ignored;
        }
        if existing.is_some_and(|lease| renewal.sequence <= lease.sequence) {
            return RenewalDecision::Ignored;
        }
        let is_new = existing.is_none();
        // A process is registered only with a session offered since its lease expired. Otherwise a
        // delayed renewal could register it with shares that it no longer holds.
        let session = self.session(holder);
        let has_current_session = renewal.term == self.term && renewal.session == session;
        let profile = renewal.profile.as_ref().filter(|_| renewal.is_full);
        if !has_current_session || (is_new && profile.is_none()) {
            return RenewalDecision::Rejected(LeaseVerdict::NeedsFullRenewal);
        }
        if is_new {
            self.offered_sessions.remove(&holder);
            self.admit(holder);
        }
        if let Some(profile) = profile {
            let draining = renewal.draining;
            self.live_instances.upsert(InstanceRecord {
                instance: holder.instance,
                incarnation: holder.incarnation,
                profile: profile.clone(),
                draining,
            });
        } else {
            self.live_instances.set_draining(holder, renewal.draining);
        }
        let end_ms = now_ms + self.settings.leader_lease_ms();
        let lease = self.leases.entry(holder).or_insert_with(|| Lease {
            session,
            expires_at_ms: end_ms,
            sequence: 0,
            applied_sequence: 0,
            revision: Revision(0),
            received_renewals: VecDeque::new(),
        });
        lease.sequence = renewal.sequence;
        lease.applied_sequence = renewal.applied_sequence;
        lease.revision = renewal.revision;
        let applied_at_ms = lease.record_renewal(now_ms, renewal.sequence);
        if !has_caught_up || now_ms - applied_at_ms > self.settings.lease_ms / 2 {
            return RenewalDecision::Accepted { is_new, verdict: LeaseVerdict::Withheld };
        }
        lease.expires_at_ms = end_ms;
        self.earliest_expiry_ms = self.earliest_expiry_ms.min(end_ms);
        let verdict = LeaseVerdict::Granted { lease_ms: self.settings.lease_ms };
        RenewalDecision::Accepted { is_new, verdict }
    }

    fn admit(&mut self, holder: LeaseHolder) {
        let former = self.current_incarnations.insert(holder.instance, holder.incarnation);
        let Some(incarnation) = former.filter(|former| *former != holder.incarnation) else {
            return;
        };
        let former = LeaseHolder { instance: holder.instance, incarnation };
        self.superseded.push_back(former);
        if self.superseded.len() > MAX_SUPERSEDED_PROCESSES {
            self.superseded.pop_front();
        }
        // Its streams may still run, but new callers should not be sent to it.
        self.live_instances.set_draining(former, true);
    }
}
