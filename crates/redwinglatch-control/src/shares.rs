//! The leader's split of each contract's limits among the instances.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use redwinglatch_core::prelude::*;

use crate::{
    ControlState, LeaseHolder, Renewal, Share, ShareGrant, ShareReport,
    share_target::{Split, next_part},
};

/// How often scarce single units (such as 3 concurrent requests for 12 instances) move on.
const ROTATE_MS: u64 = 4_000;

#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Entry {
    pub(crate) demand: Share,
    /// The most that the instance may hold.
    reserved: Share,
    /// What the leader set last.
    value: Share,
    /// The reply that first carried `value`; `None` until one did.
    value_sequence: Option<u64>,
    acknowledged: bool,
    /// Requests in flight above the share, as last reported.
    in_flight_above: u64,
}

impl Entry {
    fn refresh_reserved(&mut self) {
        if self.acknowledged {
            self.reserved = self.value;
        }
        let concurrent_requests = self.reserved.concurrent_requests.max(self.in_flight_above);
        self.reserved = Share { concurrent_requests, ..self.reserved };
    }

    fn set(&mut self, value: Share) {
        self.reserved = self.reserved.max(value);
        self.value = value;
        self.value_sequence = None;
        self.acknowledged = false;
    }
}

#[derive(Debug, Default)]
struct CustomerShares {
    entries: BTreeMap<LeaseHolder, Entry>,
    reserved: Share,
    split: Option<(u64, Share, Split)>,
}

impl CustomerShares {
    fn sum(&mut self) {
        let reserved = self.entries.values().map(|entry| entry.reserved);
        self.reserved = reserved.fold(Share::NONE, Share::plus);
    }

    fn replace(&mut self, before: Share, after: Share) {
        self.reserved = self.reserved.minus(before).plus(after);
    }
}

/// The shares of all customers.
///
/// The sum of what the instances may hold is never raised above a contract. A raised contract
/// counts only once every possible lease holder has it in force. Instances scale their own shares
/// when a contract is lowered, so together these keep the sum within the contract even when a new
/// leader doesn't know what the former one had set.
#[derive(Debug)]
pub struct Shares {
    /// Until then the shares of unknown instances may be in use, so nothing is raised.
    waiting_until_ms: u64,
    customers: HashMap<Box<str>, CustomerShares>,
    by_holder: BTreeMap<LeaseHolder, BTreeSet<Box<str>>>,
    /// Replies since this one told a process to forget all other shares.
    resets: BTreeMap<LeaseHolder, u64>,
    totals: HashMap<Box<str>, Share>,
    /// Totals that some instances may still have in force, with the revision that ended them.
    former: BTreeMap<Box<str>, Vec<(Revision, Share)>>,
    observed: Option<Revision>,
}

impl Shares {
    pub(crate) fn new(waiting_until_ms: u64) -> Shares {
        Shares {
            waiting_until_ms,
            customers: HashMap::new(),
            by_holder: BTreeMap::new(),
            resets: BTreeMap::new(),
            totals: HashMap::new(),
            former: BTreeMap::new(),
            observed: None,
        }
    }

    /// The most that all instances together may hold for a customer.
    #[must_use]
    pub fn reserved(&self, customer: &str) -> Share {
        self.customers.get(customer).map_or(Share::NONE, |shares| shares.reserved)
    }

    /// The most that may be given out for a customer: the lowest of the contracts that some
    /// instance may have in force.
    #[must_use]
    pub fn total(&self, customer: &str) -> Share {
        let current = self.totals.get(customer).copied().unwrap_or_default();
        let former = self.former.get(customer).into_iter().flatten();
        former.fold(current, |total, (_, former)| total.min(*former))
    }

    /// Takes notice of contract changes. `settled` is what every lease holder has in force.
    pub(crate) fn observe_contracts(
        &mut self,
        now_ms: u64,
        state: &ControlState,
        settled: Option<Revision>,
    ) {
        if let Some(settled) = settled {
            self.former.retain(|_, former| {
                former.retain(|(ended, _)| *ended > settled);
                !former.is_empty()
            });
        }
        let Some(observed) = self.observed.replace(state.revision()) else {
            // The waiting period outlasts every older configuration, so there are no former ones.
            self.totals = state
                .contracts()
                .map(|(_, contract)| (contract.customer.clone(), Share::whole(contract)))
                .collect();
            return;
        };
        if observed == state.revision() {
            return;
        }
        let waiting = now_ms < self.waiting_until_ms;
        if observed < state.forgotten_revision() {
            let gone = self.totals.keys().filter(|customer| state.contract(customer).is_none());
            let gone: Vec<Box<str>> = gone.cloned().collect();
            for customer in gone {
                self.change_total(waiting, state.revision(), &customer, Share::NONE);
            }
        }
        for (revision, customer, contract) in state.changed_since(observed) {
            let after = contract.map_or(Share::NONE, Share::whole);
            self.change_total(waiting, revision, customer, after);
        }
    }

    fn change_total(&mut self, waiting: bool, revision: Revision, customer: &str, after: Share) {
        let limit = self.total(customer);
        let before = match after.is_none() {
            true => self.totals.remove(customer),
            false => self.totals.insert(customer.into(), after),
        };
        let before = before.unwrap_or_default();
        self.former.entry(customer.into()).or_default().push((revision, before));
        let lowered = after.min(limit);
        let Some(shares) = self.customers.get_mut(customer) else { return };
        if lowered == limit || waiting {
            // In the waiting period the instances scale their own shares: this leader doesn't
            // know all of them.
            return;
        }
        // Every instance gets its reduced share in the same reply as the lowered contract.
        let fits = shares.reserved.fits(&lowered);
        let values = shares.entries.values().map(|entry| entry.value);
        let before = values.fold(Share::NONE, Share::plus).max(limit);
        for entry in shares.entries.values_mut() {
            let value = if fits { entry.value } else { entry.value.scaled(before, lowered) };
            entry.set(value);
        }
        shares.sum();
    }

    /// Registers a process that this leader didn't know. In the waiting period it keeps what it
    /// holds; later its shares may have been given to others, so it starts from nothing.
    pub(crate) fn admit(&mut self, now_ms: u64, holder: LeaseHolder, renewal: &Renewal) {
        let adopt = now_ms < self.waiting_until_ms;
        if !adopt {
            self.resets.insert(holder, renewal.sequence);
        }
        for report in renewal.shares.iter().filter(|report| adopt && !report.held.is_none()) {
            let entry = Entry {
                reserved: report.held,
                value: report.held,
                value_sequence: Some(0),
                acknowledged: true,
                ..Entry::default()
            };
            let shares = self.customers.entry(report.customer.clone()).or_default();
            shares.entries.insert(holder, entry);
            shares.sum();
            self.by_holder.entry(holder).or_default().insert(report.customer.clone());
        }
    }

    pub(crate) fn lost(&mut self, holder: LeaseHolder) {
        self.resets.remove(&holder);
        for customer in self.by_holder.remove(&holder).unwrap_or_default() {
            let Some(shares) = self.customers.get_mut(&customer) else { continue };
            shares.entries.remove(&holder);
            shares.split = None;
            shares.sum();
            if shares.entries.is_empty() {
                self.customers.remove(&customer);
            }
        }
    }

    /// The shares for the reply to `renewal`, and whether all others must be forgotten.
    pub(crate) fn renew(
        &mut self,
        now_ms: u64,
        holder: LeaseHolder,
        renewal: &Renewal,
        applied_sequence: u64,
    ) -> (bool, Vec<ShareGrant>) {
        if self.resets.get(&holder).is_some_and(|since| *since <= applied_sequence) {
            self.resets.remove(&holder);
        }
        let reset = self.resets.contains_key(&holder);
        let mut reports = BTreeMap::new();
        for report in &renewal.shares {
            reports.insert(&*report.customer, report);
            if !report.demand.is_none() || !report.held.is_none() {
                let names = self.by_holder.entry(holder).or_default();
                if !names.contains(&report.customer) {
                    names.insert(report.customer.clone());
                }
            }
        }
        let mut grants = Vec::new();
        let mut names = self.by_holder.remove(&holder).unwrap_or_default();
        names.retain(|customer| {
            let report = reports.get(&**customer).copied();
            let (grant, keep) =
                self.renew_customer(now_ms, customer, holder, renewal, applied_sequence, report);
            grants.extend(grant);
            keep
        });
        if !names.is_empty() {
            self.by_holder.insert(holder, names);
        }
        (reset, grants)
    }

    fn renew_customer(
        &mut self,
        now_ms: u64,
        customer: &str,
        holder: LeaseHolder,
        renewal: &Renewal,
        applied_sequence: u64,
        report: Option<&ShareReport>,
    ) -> (Option<ShareGrant>, bool) {
        let total = self.total(customer);
        let reset = self.resets.contains_key(&holder);
        if !self.customers.contains_key(customer) {
            self.customers.insert(customer.into(), CustomerShares::default());
        }
        let Some(shares) = self.customers.get_mut(customer) else { return (None, false) };
        let entry = shares.entries.entry(holder).or_insert(Entry {
            value_sequence: Some(0),
            acknowledged: true,
            ..Entry::default()
        });
        let before = entry.reserved;
        if entry.value_sequence.is_some_and(|sequence| sequence <= applied_sequence) {
            entry.acknowledged = true;
        }
        if let Some(report) = report {
            if entry.demand != report.demand {
                entry.demand = report.demand;
                shares.split = None;
            }
            entry.in_flight_above = 0;
            if report.held.concurrent_requests > entry.value.concurrent_requests {
                entry.in_flight_above = report.held.concurrent_requests;
            }
            if entry.acknowledged && !reset {
                // The instance scaled its share down with the contract.
                entry.value = entry.value.min(report.held);
            }
        }
        entry.refresh_reserved();
        let current = *entry;
        shares.replace(before, current.reserved);
        if now_ms >= self.waiting_until_ms && current.acknowledged {
            let rotation = now_ms / ROTATE_MS;
            let fresh = matches!(&shares.split, Some((at, of, split))
                if *of == total && (*at == rotation || !split.rotates()));
            if !fresh {
                let demands = shares.entries.iter().map(|(holder, entry)| (*holder, entry.demand));
                shares.split = Some((rotation, total, Split::new(total, rotation, demands)));
            }
            let Some((_, _, split)) = &shares.split else { return (None, true) };
            let target = split.target(holder, current.demand);
            let free = total.minus(shares.reserved);
            let next = next_part(&current.value, &target, &current.demand, &free, &total);
            if next != current.value
                && let Some(entry) = shares.entries.get_mut(&holder)
            {
                entry.set(next);
                let reserved = entry.reserved;
                shares.replace(current.reserved, reserved);
            }
        }
        let Some(entry) = shares.entries.get_mut(&holder) else { return (None, false) };
        let exact = shares.reserved.fits(&total);
        let grant = (!entry.acknowledged).then(|| ShareGrant {
            customer: customer.into(),
            share: entry.value,
            exact,
        });
        if grant.is_some() {
            entry.value_sequence.get_or_insert(renewal.sequence);
        }
        let keep = !entry.acknowledged || !entry.reserved.is_none() || !entry.demand.is_none();
        if !keep {
            // Nothing is reserved, so the sum stays.
            shares.entries.remove(&holder);
            shares.split = None;
            if shares.entries.is_empty() {
                self.customers.remove(customer);
            }
        }
        (grant, keep)
    }
}
