//! The leader's table of serving leases.

use std::collections::{BTreeMap, VecDeque};

use redwinglatch_core::prelude::*;

use crate::{
    InstanceListUpdate, InstanceRecord, LeaseSettings, LeaseVerdict, Renewal,
    instance_list::InstanceList,
};

/// Processes that were superseded and stay refused. At 1,000 restarts a day this is four days.
const SUPERSEDED_KEPT: usize = 4_096;

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
    expires_at_ms: u64,
    sequence: u64,
    applied_sequence: u64,
    revision: Revision,
}

/// What the table made of a renewal.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Renewed {
    /// It is older than one already handled; there is nothing to answer.
    Ignored,
    /// It is answered without a lease.
    Refused(LeaseVerdict),
    /// The lease is renewed; `new` when this leader didn't know the process.
    Granted { new: bool },
}

/// The serving leases that may be valid, on the leader's clock.
///
/// Use it only while the log's `leader_lease_valid` holds and after the leader has applied the
/// first entry of its own term; earlier its state may lack committed changes.
#[derive(Debug)]
pub struct Leases {
    settings: LeaseSettings,
    term: u64,
    /// Until then any process may hold a lease from an earlier leader.
    waiting_until_ms: u64,
    leases: BTreeMap<LeaseHolder, Lease>,
    /// The process that each instance id belongs to. It outlives the lease, so that a delayed
    /// renewal of an ended process can't displace its successor.
    current: BTreeMap<InstanceId, Incarnation>,
    superseded: VecDeque<LeaseHolder>,
    list: InstanceList,
    earliest_expiry_ms: u64,
}

impl Leases {
    /// The table of the leader elected in `term` at `elected_at_ms`.
    #[must_use]
    pub fn new(settings: LeaseSettings, term: u64, elected_at_ms: u64) -> Leases {
        Leases {
            settings,
            term,
            waiting_until_ms: elected_at_ms + settings.leader_lease_ms(),
            leases: BTreeMap::new(),
            current: BTreeMap::new(),
            superseded: VecDeque::new(),
            list: InstanceList::default(),
            earliest_expiry_ms: u64::MAX,
        }
    }

    /// The leader's term.
    #[must_use]
    pub fn term(&self) -> u64 {
        self.term
    }

    /// Whether leases of earlier leaders may still be valid.
    #[must_use]
    pub fn waiting(&self, now_ms: u64) -> bool {
        now_ms < self.waiting_until_ms
    }

    /// When leases of earlier leaders have surely ended.
    #[must_use]
    pub fn waiting_until_ms(&self) -> u64 {
        self.waiting_until_ms
    }

    /// Whether the lease of a process has surely ended.
    #[must_use]
    pub fn surely_gone(&self, now_ms: u64, holder: LeaseHolder) -> bool {
        let lease = self.leases.get(&holder);
        !self.waiting(now_ms) && lease.is_none_or(|lease| lease.expires_at_ms <= now_ms)
    }

    /// The processes whose lease under this leader may be valid.
    pub fn holders(&self, now_ms: u64) -> impl Iterator<Item = LeaseHolder> {
        let leases = self.leases.iter();
        leases.filter(move |(_, lease)| lease.expires_at_ms > now_ms).map(|(holder, _)| *holder)
    }

    /// The known instances, also during the waiting period, when the list may lack some.
    pub fn instances(&self) -> impl Iterator<Item = &InstanceRecord> {
        self.list.records()
    }

    /// Whether `holder` is the latest process of its instance id and may be valid.
    #[must_use]
    pub fn is_current(&self, now_ms: u64, holder: LeaseHolder) -> bool {
        let live = self.leases.get(&holder).is_some_and(|lease| lease.expires_at_ms > now_ms);
        live && self.current.get(&holder.instance) == Some(&holder.incarnation)
    }

    /// The revision that every possible lease holder has in force; `None` in the waiting period.
    #[must_use]
    pub fn settled(&self, now_ms: u64) -> Option<Revision> {
        if self.waiting(now_ms) {
            return None;
        }
        let valid = self.leases.values().filter(|lease| lease.expires_at_ms > now_ms);
        Some(valid.map(|lease| lease.revision).min().unwrap_or(Revision(u64::MAX)))
    }

    /// The latest renewal whose reply a process has applied.
    pub(crate) fn applied_sequence(&self, holder: LeaseHolder) -> u64 {
        self.leases.get(&holder).map_or(0, |lease| lease.applied_sequence)
    }

    pub(crate) fn list_update(&self, now_ms: u64, since: u64) -> Option<InstanceListUpdate> {
        // A list that lacks instances of the earlier leader would make them look gone.
        if self.waiting(now_ms) { None } else { self.list.update_since(since) }
    }

    /// Removes the leases that have surely ended.
    pub(crate) fn expire(&mut self, now_ms: u64) -> Vec<LeaseHolder> {
        if now_ms < self.earliest_expiry_ms {
            return Vec::new();
        }
        let ended = self.leases.iter().filter(|(_, lease)| lease.expires_at_ms <= now_ms);
        let ended: Vec<LeaseHolder> = ended.map(|(holder, _)| *holder).collect();
        for holder in &ended {
            self.leases.remove(holder);
            self.list.remove(*holder);
        }
        let remaining = self.leases.values().map(|lease| lease.expires_at_ms).min();
        self.earliest_expiry_ms = remaining.unwrap_or(u64::MAX);
        ended
    }

    pub(crate) fn renew(&mut self, now_ms: u64, renewal: &Renewal) -> Renewed {
        let holder = LeaseHolder { instance: renewal.instance, incarnation: renewal.incarnation };
        if self.superseded.contains(&holder) {
            return Renewed::Refused(LeaseVerdict::Superseded);
        }
        let known = self.leases.get(&holder);
        // A process that knows a later leader must not be answered by this one.
        if renewal.term > self.term {
            return Renewed::Ignored;
        }
        if known.is_some_and(|lease| renewal.sequence <= lease.sequence) {
            return Renewed::Ignored;
        }
        let new = known.is_none();
        // Only a process that has received a reply in this term is admitted, so a renewal that
        // was delayed for long can't register a process that has ended.
        let complete = renewal.full && renewal.term == self.term;
        let profile = renewal.profile.as_ref().filter(|_| complete);
        if new && profile.is_none() {
            return Renewed::Refused(LeaseVerdict::NeedFull);
        }
        if new {
            self.admit(holder);
        }
        if let Some(profile) = profile {
            let draining = renewal.draining;
            self.list.put(InstanceRecord {
                instance: holder.instance,
                incarnation: holder.incarnation,
                profile: profile.clone(),
                draining,
            });
        } else {
            self.list.set_draining(holder, renewal.draining);
        }
        let expires_at_ms = now_ms + self.settings.leader_lease_ms();
        let applied_sequence = if renewal.term == self.term { renewal.applied_sequence } else { 0 };
        let lease = Lease {
            expires_at_ms,
            sequence: renewal.sequence,
            applied_sequence,
            revision: renewal.revision,
        };
        self.leases.insert(holder, lease);
        self.earliest_expiry_ms = self.earliest_expiry_ms.min(expires_at_ms);
        Renewed::Granted { new }
    }

    fn admit(&mut self, holder: LeaseHolder) {
        let former = self.current.insert(holder.instance, holder.incarnation);
        let Some(incarnation) = former.filter(|former| *former != holder.incarnation) else {
            return;
        };
        let former = LeaseHolder { instance: holder.instance, incarnation };
        self.superseded.push_back(former);
        if self.superseded.len() > SUPERSEDED_KEPT {
            self.superseded.pop_front();
        }
        // Its streams may still run, but callers should not be sent there.
        self.list.set_draining(former, true);
    }
}
