//! The instance's side of the lease renewal.

use std::collections::BTreeMap;

use redwinglatch_core::prelude::*;

use crate::{
    CellGrant, ConfigurationView, Coordinator, HeldShares, InstanceListUpdate, InstanceProfile,
    InstanceRecord, LeaseHolder, LeaseSettings, LeaseVerdict, Renewal, RenewalReply,
    ReplacedContract, ServingLease, Share,
};

/// Result of applying a reply.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ReplyResult {
    /// The reply was late, duplicated, from an older term or from a leader whose configuration is
    /// behind; nothing changed.
    Ignored,
    /// The reply was applied.
    Applied {
        /// Whether to send the next renewal now instead of after `renew_interval_ms`: the leader
        /// needs a full renewal or a proof that its replies arrive, more parts of the configuration
        /// follow, or a change was put in force, which the leader can report only once this
        /// instance has acknowledged it.
        renew_now: bool,
        /// The customers whose contract changed.
        changed_customers: Vec<Box<str>>,
    },
    /// A newer process with this instance id has replaced this one, which must stop.
    Superseded,
}

/// State that an instance receives from the control leader: serving lease, configuration, shares,
/// coordination grants and the list of live instances.
#[derive(Debug)]
pub struct RenewalClient {
    instance: InstanceId,
    incarnation: Incarnation,
    profile: InstanceProfile,
    draining: bool,
    needs_full_renewal: bool,
    lease: ServingLease,
    configuration: ConfigurationView,
    shares: HeldShares,
    cells: Vec<CellGrant>,
    coordinators: Vec<Coordinator>,
    coordinators_version: u64,
    instances: BTreeMap<LeaseHolder, InstanceRecord>,
    instances_version: u64,
}

impl RenewalClient {
    /// Creates the client of a process that has just started.
    #[must_use]
    pub fn new(
        instance: InstanceId,
        incarnation: Incarnation,
        settings: LeaseSettings,
        profile: InstanceProfile,
    ) -> RenewalClient {
        RenewalClient {
            instance,
            incarnation,
            profile,
            draining: false,
            needs_full_renewal: true,
            lease: ServingLease::new(settings, incarnation),
            configuration: ConfigurationView::new(),
            shares: HeldShares::default(),
            cells: Vec::new(),
            coordinators: Vec::new(),
            coordinators_version: 0,
            instances: BTreeMap::new(),
            instances_version: 0,
        }
    }

    /// Returns the renewal to send now. Each call assigns a new sequence number; a renewal must not
    /// be sent twice.
    pub fn next_renewal(&mut self, now_ms: u64) -> Renewal {
        let is_full = self.needs_full_renewal;
        if is_full && !self.lease.may_serve(now_ms) {
            // The leader may have granted these rights to other instances when the lease ended.
            self.shares.clear();
            self.cells.clear();
        }
        let sequence = self.lease.record_renewal(now_ms);
        Renewal {
            instance: self.instance,
            incarnation: self.incarnation,
            term: self.lease.term(),
            session: self.lease.session(),
            sequence,
            applied_sequence: self.lease.applied_sequence(),
            is_full,
            revision: self.configuration.revision(),
            staged: self.configuration.staged(),
            coordinators_version: self.coordinators_version,
            instances_version: self.instances_version,
            draining: self.draining,
            profile: is_full.then(|| self.profile.clone()),
            cells: if is_full { self.cells.clone() } else { Vec::new() },
            shares: self.shares.reports(sequence, is_full),
        }
    }

    /// Applies a reply.
    pub fn apply_reply(&mut self, reply: &RenewalReply) -> ReplyResult {
        if !self.lease.accepts(reply) {
            return ReplyResult::Ignored;
        }
        match reply.verdict {
            LeaseVerdict::Granted { .. } | LeaseVerdict::Withheld => {
                self.apply_accepted_reply(reply)
            }
            LeaseVerdict::NeedsFullRenewal => {
                self.enter_term(reply.term);
                self.needs_full_renewal = true;
                self.lease.apply_reply(reply, false);
                ReplyResult::Applied { renew_now: true, changed_customers: Vec::new() }
            }
            LeaseVerdict::Superseded => ReplyResult::Superseded,
        }
    }

    fn apply_accepted_reply(&mut self, reply: &RenewalReply) -> ReplyResult {
        let update = reply.configuration.as_ref();
        let Ok(changed) = self.configuration.apply(reply.latest_revision, update) else {
            return ReplyResult::Ignored;
        };
        self.enter_term(reply.term);
        self.needs_full_renewal = false;
        let has_caught_up = self.configuration.revision() == reply.latest_revision;
        self.shares.record_acknowledgement(reply.sequence);
        for ReplacedContract { customer, before } in &changed {
            let before = before.as_ref().map_or(Share::NONE, Share::whole);
            let after = self.configuration.contract(customer);
            let after = after.map_or(Share::NONE, |after| Share::whole(&after.contract));
            self.shares.scale_to_contract(customer, before, after);
        }
        self.shares.apply(&reply.shares);
        self.cells.clone_from(&reply.cells);
        if let Some(update) = &reply.coordinators
            && update.version >= self.coordinators_version
        {
            self.coordinators.clone_from(&update.coordinators);
            self.coordinators_version = update.version;
        }
        if let Some(update) = &reply.instances {
            self.update_instances(update);
        }
        self.lease.apply_reply(reply, has_caught_up);
        let changed_customers: Vec<Box<str>> =
            changed.into_iter().map(|changed| changed.customer).collect();
        let withheld = reply.verdict == LeaseVerdict::Withheld;
        let renew_now = withheld || !has_caught_up || !changed_customers.is_empty();
        ReplyResult::Applied { renew_now, changed_customers }
    }

    fn enter_term(&mut self, term: u64) {
        if term != self.lease.term() {
            // Instance list versions and acknowledged reports are valid only for the leader that
            // issued them.
            self.instances_version = 0;
            self.shares.forget_reports();
        }
    }

    fn update_instances(&mut self, update: &InstanceListUpdate) {
        if update.is_full {
            self.instances.clear();
        }
        for record in &update.changed {
            let holder = LeaseHolder { instance: record.instance, incarnation: record.incarnation };
            self.instances.insert(holder, record.clone());
        }
        for (instance, incarnation) in &update.removed {
            let holder = LeaseHolder { instance: *instance, incarnation: *incarnation };
            self.instances.remove(&holder);
        }
        self.instances_version = update.version;
    }

    /// Sets whether the instance is draining; the leader notifies the other instances.
    pub fn set_draining(&mut self, draining: bool) {
        self.draining = draining;
    }

    /// Returns whether the instance may accept requests now.
    #[must_use]
    pub fn may_serve(&self, now_ms: u64) -> bool {
        self.lease.may_serve(now_ms)
    }

    /// Returns the epoch under which this instance may send orders in a cell now.
    #[must_use]
    pub fn ordering_epoch(&self, now_ms: u64, cell: CellId) -> Option<Epoch> {
        let grant = self.cells.iter().find(|grant| grant.cell == cell)?;
        self.lease.may_serve(now_ms).then_some(grant.epoch)
    }

    /// Returns the share that the instance may use for a customer now.
    #[must_use]
    pub fn usable_share(&self, now_ms: u64, customer: &str) -> Share {
        if self.lease.may_serve(now_ms) { self.shares.usable(customer) } else { Share::NONE }
    }

    /// Returns the serving lease.
    #[must_use]
    pub fn lease(&self) -> &ServingLease {
        &self.lease
    }

    /// Returns the configuration in force.
    #[must_use]
    pub fn configuration(&self) -> &ConfigurationView {
        &self.configuration
    }

    /// Returns the held shares, to report demand and requests in flight.
    pub fn shares_mut(&mut self) -> &mut HeldShares {
        &mut self.shares
    }

    /// Returns the coordinators of all cells, as last received.
    #[must_use]
    pub fn coordinators(&self) -> &[Coordinator] {
        &self.coordinators
    }

    /// Returns the live instances, as last received. Empty until the leader has sent its first
    /// list.
    pub fn instances(&self) -> impl Iterator<Item = &InstanceRecord> {
        self.instances.values()
    }
}
