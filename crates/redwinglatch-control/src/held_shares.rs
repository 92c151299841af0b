//! The shares that an instance holds.

use std::collections::HashMap;

use crate::{Share, ShareGrant, ShareReport};

#[derive(Debug, Clone, Default)]
struct HeldShare {
    /// The share that the leader set last.
    granted: Share,
    /// The usable share: `granted`, scaled down if the contract was lowered since.
    limit: Share,
    in_use: u64,
    demand: Share,
    /// The last sent report that is not yet acknowledged, with the sequence of its renewal.
    unacknowledged: Option<(u64, ReportDetails)>,
    /// The last report that the leader has acknowledged.
    leader_details: ReportDetails,
}

/// The part of a report that the leader can't derive from the share that it set.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
struct ReportDetails {
    demand: Share,
    reduced_limit: Option<Share>,
    in_flight_if_over_share: u64,
}

impl HeldShare {
    fn report_details(&self) -> ReportDetails {
        let above = self.in_use > self.limit.concurrent_requests;
        ReportDetails {
            demand: self.demand,
            reduced_limit: (self.limit != self.granted).then_some(self.limit),
            in_flight_if_over_share: if above { self.in_use } else { 0 },
        }
    }
}

/// The shares that an instance holds and the demand that it reports.
///
/// A share may be used only while the serving lease is valid.
#[derive(Debug, Clone, Default)]
pub struct HeldShares {
    customers: HashMap<Box<str>, HeldShare>,
}

impl HeldShares {
    /// Returns the share that the instance may use for a customer while its serving lease is valid.
    #[must_use]
    pub fn usable(&self, customer: &str) -> Share {
        self.customers.get(customer).map_or(Share::NONE, |held| held.limit)
    }

    /// Returns the customers with a share, a demand or requests in flight.
    pub fn customers(&self) -> impl Iterator<Item = &str> {
        self.customers.keys().map(|customer| &**customer)
    }

    /// Sets the share that the instance could use now. Each value is rounded up to three
    /// significant binary digits, so that small variations need no report.
    pub fn set_demand(&mut self, customer: &str, demand: Share) {
        let demand = demand.zip(Share::NONE, |part, _| round_up(part));
        match self.customers.get_mut(customer) {
            Some(held) => held.demand = demand,
            None if demand.is_none() => {}
            None => {
                self.customers
                    .insert(customer.into(), HeldShare { demand, ..HeldShare::default() });
            }
        }
    }

    /// Sets the number of requests in flight.
    pub fn set_in_use(&mut self, customer: &str, in_use: u64) {
        match self.customers.get_mut(customer) {
            Some(held) => held.in_use = in_use,
            None if in_use == 0 => {}
            None => {
                self.customers
                    .insert(customer.into(), HeldShare { in_use, ..HeldShare::default() });
            }
        }
    }

    pub(crate) fn reports(&mut self, sequence: u64, is_full: bool) -> Vec<ShareReport> {
        let mut reports = Vec::new();
        for (customer, held) in &mut self.customers {
            let details = held.report_details();
            // An unacknowledged report may have reached the leader, so it is sent again even when
            // the values equal the last acknowledged ones again.
            if is_full || held.unacknowledged.is_some() || details != held.leader_details {
                held.unacknowledged = Some((sequence, details));
                reports.push(ShareReport {
                    customer: customer.clone(),
                    demand: held.demand,
                    held: held.limit,
                    in_flight_if_over_share: details.in_flight_if_over_share,
                });
            }
        }
        reports.sort_by(|a, b| a.customer.cmp(&b.customer));
        reports
    }

    /// Records that the leader has handled the renewal `sequence`.
    pub(crate) fn record_acknowledgement(&mut self, sequence: u64) {
        for held in self.customers.values_mut() {
            if let Some((sent, details)) = held.unacknowledged
                && sent <= sequence
            {
                held.leader_details = details;
                held.unacknowledged = None;
            }
        }
        self.customers.retain(|_, held| {
            held.unacknowledged.is_some()
                || held.in_use > 0
                || !held.limit.is_none()
                || !held.demand.is_none()
                || held.report_details() != held.leader_details
        });
    }

    pub(crate) fn scale_to_contract(&mut self, customer: &str, before: Share, after: Share) {
        if let Some(held) = self.customers.get_mut(customer) {
            held.limit = held.limit.scaled(before, after);
        }
    }

    pub(crate) fn apply(&mut self, grants: &[ShareGrant]) {
        for grant in grants {
            let held = self.customers.entry(grant.customer.clone()).or_default();
            held.granted = grant.share;
            // The leader assumes that the granted share is held until the next report of a smaller
            // one.
            held.leader_details.reduced_limit = None;
            held.limit = if grant.exact { grant.share } else { held.limit.min(grant.share) };
        }
    }

    /// Drops all shares, because the lease that they depend on has ended.
    pub(crate) fn clear(&mut self) {
        for held in self.customers.values_mut() {
            held.granted = Share::NONE;
            held.limit = Share::NONE;
            held.leader_details.reduced_limit = None;
        }
    }

    /// Discards the acknowledged reports, because a new leader doesn't have them.
    pub(crate) fn forget_reports(&mut self) {
        for held in self.customers.values_mut() {
            held.leader_details = ReportDetails::default();
            held.unacknowledged = None;
        }
    }
}

/// Rounds up to three significant binary digits.
fn round_up(part: u64) -> u64 {
    if part < 8 {
        return part;
    }
    let step = 1 << (part.ilog2() - 2);
    part.div_ceil(step).saturating_mul(step)
}
