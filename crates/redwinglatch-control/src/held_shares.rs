//! The shares that an instance holds.

use std::collections::HashMap;

use crate::{Share, ShareGrant, ShareReport};

#[derive(Debug, Clone, Default)]
struct Held {
    /// What the leader set last.
    granted: Share,
    /// What may be used: `granted`, scaled down when the contract was lowered since.
    limit: Share,
    in_use: u64,
    demand: Share,
    /// The report that was last sent, with the sequence of its renewal.
    sent: Option<(u64, Note)>,
    /// The report that the leader surely has.
    known: Note,
}

/// The part of a report that the leader can't derive from what it set itself.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
struct Note {
    demand: Share,
    differs: Option<Share>,
    in_flight_above: u64,
}

impl Held {
    fn note(&self) -> Note {
        let above = self.in_use > self.limit.concurrent_requests;
        Note {
            demand: self.demand,
            differs: (self.limit != self.granted).then_some(self.limit),
            in_flight_above: if above { self.in_use } else { 0 },
        }
    }
}

/// The shares that an instance holds, and the demand that it reports.
///
/// A share may be used only while the serving lease is valid.
#[derive(Debug, Clone, Default)]
pub struct HeldShares {
    customers: HashMap<Box<str>, Held>,
}

impl HeldShares {
    /// What the instance may use for a customer while its serving lease is valid.
    #[must_use]
    pub fn usable(&self, customer: &str) -> Share {
        self.customers.get(customer).map_or(Share::NONE, |held| held.limit)
    }

    /// The customers with a share or a demand.
    pub fn customers(&self) -> impl Iterator<Item = &str> {
        self.customers.keys().map(|customer| &**customer)
    }

    /// Sets what the instance could use now. The figure is rounded up to three significant binary
    /// digits, so that small variations need no report.
    pub fn set_demand(&mut self, customer: &str, demand: Share) {
        let demand = demand.zip(Share::NONE, |part, _| round_up(part));
        match self.customers.get_mut(customer) {
            Some(held) => held.demand = demand,
            None if demand.is_none() => {}
            None => {
                self.customers.insert(customer.into(), Held { demand, ..Held::default() });
            }
        }
    }

    /// Sets the number of requests in flight.
    pub fn set_in_use(&mut self, customer: &str, in_use: u64) {
        match self.customers.get_mut(customer) {
            Some(held) => held.in_use = in_use,
            None if in_use == 0 => {}
            None => {
                self.customers.insert(customer.into(), Held { in_use, ..Held::default() });
            }
        }
    }

    pub(crate) fn reports(&mut self, sequence: u64, full: bool) -> Vec<ShareReport> {
        let mut reports = Vec::new();
        for (customer, held) in &mut self.customers {
            let note = held.note();
            // An unacknowledged report may have reached the leader, so it is sent again even when
            // the values are back to what the leader knew before.
            if full || held.sent.is_some() || note != held.known {
                held.sent = Some((sequence, note));
                reports.push(ShareReport {
                    customer: customer.clone(),
                    demand: held.demand,
                    held: held.limit,
                    in_flight_above: note.in_flight_above,
                });
            }
        }
        reports.sort_by(|a, b| a.customer.cmp(&b.customer));
        reports
    }

    /// Notes that the leader has handled the renewal `sequence`.
    pub(crate) fn acknowledged(&mut self, sequence: u64) {
        for held in self.customers.values_mut() {
            if let Some((sent, note)) = held.sent
                && sent <= sequence
            {
                held.known = note;
                held.sent = None;
            }
        }
        self.customers.retain(|_, held| {
            held.sent.is_some()
                || held.in_use > 0
                || !held.limit.is_none()
                || !held.demand.is_none()
                || held.note() != held.known
        });
    }

    pub(crate) fn contract_changed(&mut self, customer: &str, before: Share, after: Share) {
        if let Some(held) = self.customers.get_mut(customer) {
            held.limit = held.limit.scaled(before, after);
        }
    }

    pub(crate) fn apply(&mut self, grants: &[ShareGrant]) {
        for grant in grants {
            let held = self.customers.entry(grant.customer.clone()).or_default();
            held.granted = grant.share;
            // The leader counts on the granted share until it is told otherwise again.
            held.known.differs = None;
            held.limit = if grant.exact { grant.share } else { held.limit.min(grant.share) };
        }
    }

    /// Gives up all shares, because the lease that they depend on has ended.
    pub(crate) fn clear(&mut self) {
        for held in self.customers.values_mut() {
            held.granted = Share::NONE;
            held.limit = Share::NONE;
            held.known.differs = None;
        }
    }

    /// Forgets what the leader knows, because a new leader doesn't know it.
    pub(crate) fn forget_reports(&mut self) {
        for held in self.customers.values_mut() {
            held.known = Note::default();
            held.sent = None;
        }
    }
}

fn round_up(part: u64) -> u64 {
    if part < 8 {
        return part;
    }
    let step = 1 << (part.ilog2() - 2);
    part.div_ceil(step).saturating_mul(step)
}
