//! The leader's division of each contract's limits among the instances.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use redwinglatch_core::prelude::*;

use crate::{
    ControlState, LeaseHolder, Renewal, Share, ShareGrant, ShareReport,
    limit_split::{LimitSplit, next_share},
};

/// Interval after which units that don't divide evenly (such as 3 concurrent requests for 12
/// instances) move to other instances.
const SPARE_UNIT_ROTATION_MS: u64 = 4_000;

#[derive(Debug, Clone, Copy)]
struct InstanceShare {
    demand: Share,
    /// Upper bound of the share that the instance may hold.
    reserved: Share,
    /// The share that the leader set last.
    granted: Share,
    /// Sequence of the reply that first carried `granted`; `None` until it is sent.
    first_sent_sequence: Option<u64>,
    /// Sequence of the latest reply that carried a share. That reply may still be in flight after
    /// an earlier one with the same share was applied.
    last_sent_sequence: u64,
    is_acknowledged: bool,
    /// The last reported number of requests in flight, if it was above the share; otherwise 0.
    in_flight_if_over_share: u64,
}

impl Default for InstanceShare {
    /// Returns an empty share, which needs no acknowledgement.
    fn default() -> InstanceShare {
        InstanceShare {
            demand: Share::NONE,
            reserved: Share::NONE,
            granted: Share::NONE,
            first_sent_sequence: Some(0),
            last_sent_sequence: 0,
            is_acknowledged: true,
            in_flight_if_over_share: 0,
        }
    }
}

impl InstanceShare {
    fn apply_report(&mut self, report: &ShareReport, applied_sequence: u64) {
        self.demand = report.demand;
        self.in_flight_if_over_share = report.in_flight_if_over_share;
        if !self.is_acknowledged || self.granted.fits(&report.held) {
            return;
        }
        // The instance holds less than was granted, because it scaled its share down with the
        // contract.
        if self.last_sent_sequence <= applied_sequence {
            self.granted = self.granted.min(report.held);
        } else {
            // A grant that is still in flight could undo that reduction, so the grant is sent
            // again; the report that follows it is exact.
            self.is_acknowledged = false;
            self.first_sent_sequence = None;
        }
    }

    fn refresh_reserved(&mut self) {
        if self.is_acknowledged {
            self.reserved = self.granted;
        }
        let concurrent_requests =
            self.reserved.concurrent_requests.max(self.in_flight_if_over_share);
        self.reserved = Share { concurrent_requests, ..self.reserved };
    }

    fn set(&mut self, granted: Share) {
        self.reserved = self.reserved.max(granted);
        self.granted = granted;
        self.first_sent_sequence = None;
        self.is_acknowledged = false;
    }
}

#[derive(Debug, Default)]
struct CustomerShares {
    entries: BTreeMap<LeaseHolder, InstanceShare>,
    reserved: Share,
    /// The split of the total, with the rotation and the total for which it was computed.
    split: Option<(u64, Share, LimitSplit)>,
}

impl CustomerShares {
    fn recompute_reserved(&mut self) {
        let reserved = self.entries.values().map(|entry| entry.reserved);
        self.reserved = reserved.fold(Share::NONE, Share::plus);
    }

    fn adjust_reserved(&mut self, before: Share, after: Share) {
        self.reserved = self.reserved.minus(before).plus(after);
    }
}

/// The shares of all customers and instances.
///
/// The sum of the shares that the instances may hold is never raised above a contract. A raised
/// contract counts only once every possible lease holder has it in force. Instances scale down
/// their own shares when a contract is lowered. Together these rules keep the sum within the
/// contract even if a new leader doesn't know the shares that the former leader had set.
#[derive(Debug)]
pub struct Shares {
    /// Until this time, shares that a former leader granted may be in use, so no share is raised.
    waiting_period_end_ms: u64,
    customers: HashMap<Box<str>, CustomerShares>,
    by_holder: BTreeMap<LeaseHolder, BTreeSet<Box<str>>>,
    totals: HashMap<Box<str>, Share>,
    /// Totals that some instances may still have in force, with the revision that replaced them.
    former_totals: BTreeMap<Box<str>, Vec<(Revision, Share)>>,
    observed_revision: Option<Revision>,
    /// The configuration revision at this leader's first renewal.
    first_revision: Revision,
    /// Processes that hold shares under a configuration older than `first_revision`. No share is
    /// raised while there are any, because this leader doesn't know the contracts of that
    /// configuration: these shares scale from a contract that may be lower.
    outdated_holders: BTreeSet<LeaseHolder>,
}

impl Shares {
    pub(crate) fn new(waiting_period_end_ms: u64) -> Shares {
        Shares {
            waiting_period_end_ms,
            customers: HashMap::new(),
            by_holder: BTreeMap::new(),
            totals: HashMap::new(),
            former_totals: BTreeMap::new(),
            observed_revision: None,
            first_revision: Revision(0),
            outdated_holders: BTreeSet::new(),
        }
    }

    /// Returns the upper bound of the sum of all instances' shares for a customer.
    #[must_use]
    pub fn reserved(&self, customer: &str) -> Share {
        self.customers.get(customer).map_or(Share::NONE, |shares| shares.reserved)
    }

    /// Returns the limit for the sum of granted shares of a customer: the lowest of the contracts
    /// that some instance may have in force.
    #[must_use]
    pub fn total(&self, customer: &str) -> Share {
        let current = self.totals.get(customer).copied().unwrap_or_default();
        let former = self.former_totals.get(customer).into_iter().flatten();
        former.fold(current, |total, (_, former)| total.min(*former))
    }

    /// Updates the totals after contract changes. `in_force_everywhere` is the revision that every
    /// lease holder has in force.
    pub(crate) fn observe_contracts(
        &mut self,
        state: &ControlState,
        in_force_everywhere: Option<Revision>,
    ) {
        if let Some(in_force_everywhere) = in_force_everywhere {
            self.former_totals.retain(|_, former| {
                former.retain(|(replaced_at, _)| *replaced_at > in_force_everywhere);
                !former.is_empty()
            });
        }
        let Some(observed) = self.observed_revision.replace(state.revision()) else {
            self.first_revision = state.revision();
            self.totals = state
                .contracts()
                .map(|(_, contract)| (contract.customer.clone(), Share::whole(contract)))
                .collect();
            return;
        };
        if observed == state.revision() {
            return;
        }
        if observed < state.forgotten_up_to() {
            let removed = self.totals.keys().filter(|customer| state.contract(customer).is_none());
            let removed: Vec<Box<str>> = removed.cloned().collect();
            for customer in removed {
                self.change_total(state.revision(), &customer, Share::NONE);
            }
        }
        for (revision, customer, contract) in state.changed_since(observed) {
            let after = contract.map_or(Share::NONE, Share::whole);
            self.change_total(revision, customer, after);
        }
    }

    fn change_total(&mut self, revision: Revision, customer: &str, after: Share) {
        let before = match after.is_none() {
            true => self.totals.remove(customer),
            false => self.totals.insert(customer.into(), after),
        };
        let before = before.unwrap_or_default();
        self.former_totals.entry(customer.into()).or_default().push((revision, before));
    }

    /// Registers a process that is new to this leader, with the shares that it holds from an
    /// earlier leader. A process whose lease has ended holds no shares, only requests in flight.
    pub(crate) fn admit(&mut self, holder: LeaseHolder, renewal: &Renewal) {
        for report in renewal.shares.iter().filter(|report| !report.held.is_none()) {
            self.outdated_holders.insert(holder);
            let entry = InstanceShare {
                reserved: report.held,
                granted: report.held,
                ..InstanceShare::default()
            };
            let shares = self.customers.entry(report.customer.clone()).or_default();
            shares.entries.insert(holder, entry);
            shares.recompute_reserved();
            self.by_holder.entry(holder).or_default().insert(report.customer.clone());
        }
    }

    pub(crate) fn remove_holder(&mut self, holder: LeaseHolder) {
        self.outdated_holders.remove(&holder);
        for customer in self.by_holder.remove(&holder).unwrap_or_default() {
            let Some(shares) = self.customers.get_mut(&customer) else { continue };
            shares.entries.remove(&holder);
            shares.split = None;
            shares.recompute_reserved();
            if shares.entries.is_empty() {
                self.customers.remove(&customer);
            }
        }
    }

    /// Returns the shares for the reply to `renewal`.
    ///
    /// An instance that hasn't caught up gets no more than it holds, because it can't scale a share
    /// with a contract that it doesn't have in force yet.
    pub(crate) fn renew(
        &mut self,
        now_ms: u64,
        holder: LeaseHolder,
        renewal: &Renewal,
        applied_sequence: u64,
        has_caught_up: bool,
    ) -> Vec<ShareGrant> {
        if renewal.revision >= self.first_revision {
            self.outdated_holders.remove(&holder);
        }
        let context = RenewalContext {
            now_ms,
            holder,
            sequence: renewal.sequence,
            applied_sequence,
            has_caught_up,
            is_increase_blocked: now_ms < self.waiting_period_end_ms
                || !self.outdated_holders.is_empty(),
        };
        let mut reports = BTreeMap::new();
        for report in &renewal.shares {
            reports.insert(&*report.customer, report);
            let in_flight = report.in_flight_if_over_share > 0;
            if in_flight || !report.demand.is_none() || !report.held.is_none() {
                let names = self.by_holder.entry(holder).or_default();
                if !names.contains(&report.customer) {
                    names.insert(report.customer.clone());
                }
            }
        }
        let mut grants = Vec::new();
        let mut names = self.by_holder.remove(&holder).unwrap_or_default();
        names.retain(|customer| {
            let total = self.total(customer);
            if !self.customers.contains_key(customer) {
                self.customers.insert(customer.clone(), CustomerShares::default());
            }
            let Some(shares) = self.customers.get_mut(customer) else { return false };
            let (grant, keep) = shares.renew(&context, total, reports.get(&**customer).copied());
            grants.extend(grant.map(|(share, exact)| {
                let customer = customer.clone();
                ShareGrant { customer, share, exact }
            }));
            if shares.entries.is_empty() {
                self.customers.remove(customer);
            }
            keep
        });
        if !names.is_empty() {
            self.by_holder.insert(holder, names);
        }
        grants
    }
}

/// The values of one renewal that are the same for all customers.
struct RenewalContext {
    now_ms: u64,
    holder: LeaseHolder,
    sequence: u64,
    applied_sequence: u64,
    has_caught_up: bool,
    is_increase_blocked: bool,
}

impl CustomerShares {
    /// Returns the share to send, if any, with its `exact` flag, and whether to keep the instance's
    /// entry.
    fn renew(
        &mut self,
        context: &RenewalContext,
        total: Share,
        report: Option<&ShareReport>,
    ) -> (Option<(Share, bool)>, bool) {
        let mut entry = self.entries.get(&context.holder).copied().unwrap_or_default();
        let before = entry;
        if entry.first_sent_sequence.is_some_and(|sequence| sequence <= context.applied_sequence) {
            entry.is_acknowledged = true;
        }
        if let Some(report) = report {
            entry.apply_report(report, context.applied_sequence);
        }
        entry.refresh_reserved();
        self.adjust_reserved(before.reserved, entry.reserved);
        if entry.demand != before.demand {
            self.split = None;
        }
        self.entries.insert(context.holder, entry);
        if !context.is_increase_blocked && context.has_caught_up && entry.is_acknowledged {
            let target = self.target(context, total, entry.demand);
            let free = total.minus(self.reserved);
            let next = next_share(&entry.granted, &target, &entry.demand, &free, &total);
            if next != entry.granted {
                let reserved = entry.reserved;
                entry.set(next);
                self.adjust_reserved(reserved, entry.reserved);
            }
        }
        let exact = context.has_caught_up && self.reserved.fits(&total);
        let grant = (!entry.is_acknowledged).then_some((entry.granted, exact));
        if grant.is_some() {
            entry.first_sent_sequence.get_or_insert(context.sequence);
            entry.last_sent_sequence = context.sequence;
        }
        let keep = !entry.is_acknowledged || !entry.reserved.is_none() || !entry.demand.is_none();
        if keep {
            self.entries.insert(context.holder, entry);
        } else {
            // Nothing is reserved, so the sum doesn't change.
            self.entries.remove(&context.holder);
            self.split = None;
        }
        (grant, keep)
    }

    fn target(&mut self, context: &RenewalContext, total: Share, demand: Share) -> Share {
        let rotation = context.now_ms / SPARE_UNIT_ROTATION_MS;
        let entries = &self.entries;
        let current = self.split.take().filter(|(split_rotation, split_total, split)| {
            *split_total == total && (*split_rotation == rotation || !split.rotates())
        });
        let (_, _, split) = self.split.insert(current.unwrap_or_else(|| {
            let demands = entries.iter().map(|(holder, entry)| (*holder, entry.demand));
            (rotation, total, LimitSplit::new(total, rotation, demands))
        }));
        split.target(context.holder, demand)
    }
}
