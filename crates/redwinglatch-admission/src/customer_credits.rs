//! Caps of customers as an entry process charges them.

use std::collections::HashMap;

use crate::{
    CREDIT_VALIDITY_MS, CustomerCap, TokenBucket, customer_ledger::MISSING_ENTRY_MS,
    windowed_count::WindowedCount,
};

/// Time for which credits are requested in advance.
const AHEAD_MS: u64 = 250;
/// Time without a core process from which the process refills its own part of the caps, unless core processes have
/// said that they grant nothing. Until then core processes may still count it as connected and grant its part.
const UNNOTICED_MS: u64 = 2_000;
/// Time without a core process after which nothing is spent; core processes leave no part to this one any more.
const MAX_ISOLATED_MS: u64 = MISSING_ENTRY_MS - 60_000;

/// Units that were taken for a request.
#[derive(Debug, Clone, PartialEq, Eq)]
#[must_use = "a charge that isn't returned counts against its customer"]
pub struct Charge {
    customer: Box<str>,
    units: u64,
    valid_until_ms: u64,
}

/// What must be requested from a core process for a request. The credits that it holds already are kept for it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CreditDemand {
    /// The missing units.
    pub needed: u64,
    /// Units that the process will probably need soon.
    pub ahead: u64,
    held: u64,
    held_until_ms: u64,
}

/// The decision on a request of a customer with a cap.
#[derive(Debug, PartialEq, Eq)]
pub enum CreditAsk {
    /// The credits cover the request.
    Charged(Charge),
    /// Credits must be requested.
    Demand(CreditDemand),
}

/// Time for which a customer counts as one beyond its cap after a refusal.
const OVER_CAP_MS: u64 = 5_000;

#[derive(Debug, Default)]
struct Account {
    /// Until when the customer counts as one beyond its cap.
    over_cap_until_ms: u64,
    /// Credits, the earliest to end first, as units with the end of their validity.
    credits: Vec<(u64, u64)>,
    used: WindowedCount,
    own: TokenBucket,
    /// The cap and number of processes for which the bucket of the process's own is set up.
    own_for: Option<(CustomerCap, usize)>,
}

impl Account {
    fn forget_expired(&mut self, now_ms: u64) {
        self.credits.retain(|(_, until_ms)| now_ms < *until_ms);
    }

    fn add(&mut self, units: u64, until_ms: u64) {
        if units > 0 {
            self.credits.push((units, until_ms));
            self.credits.sort_unstable_by_key(|(_, until_ms)| *until_ms);
        }
    }

    /// Takes up to `units`, and returns how many, and until when they are valid.
    fn take(&mut self, now_ms: u64, units: u64) -> (u64, u64) {
        self.forget_expired(now_ms);
        let (mut taken, mut valid_until_ms) = (0, u64::MAX);
        while taken < units {
            let Some((left, until_ms)) = self.credits.first_mut() else { break };
            let part = (*left).min(units - taken);
            taken += part;
            *left -= part;
            valid_until_ms = valid_until_ms.min(*until_ms);
            if *left == 0 {
                self.credits.remove(0);
            }
        }
        (taken, valid_until_ms)
    }
}

/// Since when no core process has granted credits.
#[derive(Debug, Clone, Copy)]
struct Isolation {
    since_ms: u64,
    /// The time from which the process refills its own part.
    refill_from_ms: u64,
}

/// The credits of one entry process for all customers with a cap.
///
/// While no core process grants credits, the process spends at most its own part of each cap: 1/n, where n is the
/// number of entry processes.
#[derive(Debug, Default)]
pub struct CustomerCredits {
    accounts: HashMap<Box<str>, Account>,
    isolation: Option<Isolation>,
}

impl CustomerCredits {
    /// Forgets customers that are no longer configured.
    pub fn retain(&mut self, is_configured: impl Fn(&str) -> bool) {
        self.accounts.retain(|name, _| is_configured(name));
    }

    /// Charges a request, or returns what must be requested for it.
    pub fn ask(&mut self, now_ms: u64, customer: &str, units: u64) -> CreditAsk {
        account(&mut self.accounts, customer).used.add(now_ms, units);
        self.charge_held(now_ms, customer, units)
    }

    /// Charges a request again for which nothing was granted so far.
    pub fn ask_again(
        &mut self,
        now_ms: u64,
        customer: &str,
        units: u64,
        former: &CreditDemand,
    ) -> CreditAsk {
        self.release(customer, former);
        self.charge_held(now_ms, customer, units)
    }

    fn charge_held(&mut self, now_ms: u64, customer: &str, units: u64) -> CreditAsk {
        let account = account(&mut self.accounts, customer);
        let (held, held_until_ms) = account.take(now_ms, units);
        if held == units {
            let valid_until_ms = held_until_ms.min(now_ms + CREDIT_VALIDITY_MS);
            return CreditAsk::Charged(Charge { customer: customer.into(), units, valid_until_ms });
        }
        let ahead = account.used.recent(now_ms).saturating_mul(AHEAD_MS) / 1_000;
        CreditAsk::Demand(CreditDemand { needed: units - held, ahead, held, held_until_ms })
    }

    /// Charges a request with the credits that were granted for its demand, which was sent at `sent_ms`.
    pub fn granted(
        &mut self,
        now_ms: u64,
        sent_ms: u64,
        customer: &str,
        demand: CreditDemand,
        granted: u64,
    ) -> Charge {
        self.end_isolation(now_ms);
        let granted_until_ms = sent_ms + CREDIT_VALIDITY_MS;
        let surplus = granted.saturating_sub(demand.needed);
        account(&mut self.accounts, customer).add(surplus, granted_until_ms);
        let units = demand.held + demand.needed;
        let valid_until_ms = granted_until_ms.min(demand.held_until_ms);
        Charge { customer: customer.into(), units, valid_until_ms }
    }

    /// Records that a core process decides on demands, though it has granted nothing.
    pub fn reached(&mut self, now_ms: u64) {
        self.end_isolation(now_ms);
    }

    /// Records that the customer is beyond its cap.
    pub fn record_over_cap(&mut self, now_ms: u64, customer: &str) {
        account(&mut self.accounts, customer).over_cap_until_ms = now_ms + OVER_CAP_MS;
    }

    /// Returns whether the customer was beyond its cap lately, so that its requests needn't wait for a core process
    /// that has just begun to grant.
    #[must_use]
    pub fn was_over_cap(&self, now_ms: u64, customer: &str) -> bool {
        self.accounts.get(customer).is_some_and(|account| now_ms < account.over_cap_until_ms)
    }

    /// Gives up a demand for which nothing was granted.
    pub fn release(&mut self, customer: &str, demand: &CreditDemand) {
        account(&mut self.accounts, customer).add(demand.held, demand.held_until_ms);
    }

    /// Records that no core process grants credits; `have_said_so` if those that were asked have answered that.
    pub fn not_granted(&mut self, now_ms: u64, have_said_so: bool) {
        let refill_from_ms = if have_said_so { now_ms } else { now_ms + UNNOTICED_MS };
        let isolation =
            self.isolation.get_or_insert(Isolation { since_ms: now_ms, refill_from_ms });
        isolation.refill_from_ms = isolation.refill_from_ms.min(refill_from_ms);
    }

    fn end_isolation(&mut self, now_ms: u64) {
        if self.isolation.take().is_none() {
            return;
        }
        for account in self.accounts.values_mut() {
            if let Some((cap, processes)) = account.own_for {
                let n = processes as u64;
                let rate_milli = cap.isolated_return_milli() / n;
                account.own.set_limit(now_ms, rate_milli, cap.isolated_level() / n);
            }
        }
    }

    /// Charges a request to this process's own part of the cap, while no core process grants credits. Returns `None`
    /// if the part doesn't suffice; the demand then holds on.
    pub fn take_own(
        &mut self,
        now_ms: u64,
        customer: &str,
        cap: &CustomerCap,
        processes: usize,
        demand: &CreditDemand,
    ) -> Option<Charge> {
        let isolation = self.isolation;
        let account = account(&mut self.accounts, customer);
        let processes = processes.max(1);
        let n = processes as u64;
        let level = cap.isolated_level() / n;
        let is_new = account.own_for.is_none();
        let is_refilling = isolation.is_some_and(|isolation| {
            (isolation.refill_from_ms..isolation.since_ms + MAX_ISOLATED_MS).contains(&now_ms)
        });
        account.own_for = Some((*cap, processes));
        // The time before this call counts at the rate that was set by the call before.
        let rate_milli = if is_refilling { cap.rate_milli() / n } else { 0 };
        account.own.set_limit(now_ms, rate_milli, cap.isolated_capacity() / n);
        if is_new {
            account.own.set_level(now_ms, level);
        }
        let needed = u32::try_from(demand.needed).unwrap_or(u32::MAX);
        account.own.take(now_ms, needed).ok()?;
        let units = demand.held + demand.needed;
        let valid_until_ms = demand.held_until_ms.min(now_ms + CREDIT_VALIDITY_MS);
        Some(Charge { customer: customer.into(), units, valid_until_ms })
    }

    /// Returns the units of a request that was refused without having run. They are lost once the credits that
    /// they were taken from would have ended, because later windows may not contain them.
    pub fn refund(&mut self, now_ms: u64, charge: Charge) {
        if now_ms < charge.valid_until_ms
            && let Some(account) = self.accounts.get_mut(&charge.customer)
        {
            account.add(charge.units, charge.valid_until_ms);
        }
    }
}

fn account<'a>(accounts: &'a mut HashMap<Box<str>, Account>, customer: &str) -> &'a mut Account {
    if !accounts.contains_key(customer) {
        accounts.insert(customer.into(), Account::default());
    }
    accounts.get_mut(customer).expect("it was inserted")
}
