//! Enforces the limits of contracts with leased shares, without a round trip.

use std::collections::HashMap;

use redwinglatch_control::Share;
use redwinglatch_core::prelude::*;

use crate::{TokenBucket, windowed_count::WindowedCount};

/// Time that a request without a share waits for the leader's reply.
const SHARE_WAIT_MS: u64 = 200;
/// Time for which a reply without a share stays valid before the leader is asked again.
const NO_SHARE_TTL_MS: u64 = 1_000;
/// Retry delay after a refusal that only the next renewal can lift.
const RENEWAL_RETRY_AFTER_MS: u32 = 1_000;

/// Permission to run one request. Return it with [`Limiter::finish`].
#[derive(Debug, PartialEq, Eq)]
#[must_use = "a permit that is not returned counts against its customer's concurrent requests"]
pub struct Permit {
    customer: Box<str>,
    charged_tokens: u32,
}

impl Permit {
    /// The customer.
    #[must_use]
    pub fn customer(&self) -> &str {
        &self.customer
    }
}

/// The decision about a request.
#[derive(Debug, PartialEq, Eq)]
#[must_use]
pub enum Admission {
    /// The request may run.
    Admitted(Permit),
    /// The instance has no share for this customer. Renew at once with the demand, then call
    /// [`Limiter::decide_again`] after the reply or at `until_ms`, whichever comes first.
    AwaitShare {
        /// Time at which the request stops waiting.
        until_ms: u64,
    },
    /// The request does not run.
    Refused(Refusal),
}

#[derive(Debug, Default)]
struct CustomerLimits {
    share: Share,
    /// Time at which the demand was last included in a renewal.
    demand_reported_at_ms: Option<u64>,
    /// Report time of the latest demand that the leader replied to; `None` before the first reply.
    confirmed_demand_at_ms: Option<u64>,
    request_bucket: TokenBucket,
    token_bucket: TokenBucket,
    in_flight: u64,
    arrivals: WindowedCount,
    requested_tokens: WindowedCount,
    peak_concurrency: WindowedCount,
    concurrency_refusals: WindowedCount,
}

impl CustomerLimits {
    fn demand(&mut self, now_ms: u64) -> Share {
        let refusals = self.concurrency_refusals.recent(now_ms);
        let concurrency = self.peak_concurrency.recent(now_ms).max(self.in_flight);
        let arrivals = self.arrivals.recent(now_ms);
        Share {
            request_rate_milli: arrivals.saturating_mul(1_000),
            concurrent_requests: concurrency.saturating_add(refusals),
            token_rate_per_s: self.requested_tokens.recent(now_ms),
        }
    }
}

/// Limits the request rate, concurrent requests and token rate of every customer on this instance.
///
/// Check the serving lease first: shares may be used only while it is valid.
#[derive(Debug, Default)]
pub struct Limiter {
    customers: HashMap<Box<str>, CustomerLimits>,
}

impl Limiter {
    /// Creates a limiter without shares.
    #[must_use]
    pub fn new() -> Limiter {
        Limiter::default()
    }

    /// Sets the shares after a reply to a renewal or the end of a lease.
    ///
    /// The shares confirm only the demand that [`Limiter::demands`] has reported: the reply to a
    /// renewal that was sent before the first request of a customer does not cover that customer.
    pub fn set_shares(&mut self, now_ms: u64, share_of: impl Fn(&str) -> Share) {
        for (name, customer) in &mut self.customers {
            let share = share_of(name);
            customer.share = share;
            customer.confirmed_demand_at_ms = customer.demand_reported_at_ms;
            customer.request_bucket.set_rate(now_ms, share.request_rate_milli);
            customer.token_bucket.set_rate(now_ms, share.token_rate_per_s.saturating_mul(1_000));
        }
        self.customers.retain(|_, customer| {
            customer.in_flight > 0
                || !customer.share.is_none()
                || !customer.demand(now_ms).is_none()
        });
    }

    /// Decides about a request that has just arrived and may generate up to `max_tokens`, which is
    /// 0 for a plain service.
    pub fn admit(&mut self, now_ms: u64, name: &str, max_tokens: u32) -> Admission {
        if !self.customers.contains_key(name) {
            self.customers.insert(name.into(), CustomerLimits::default());
        }
        if let Some(customer) = self.customers.get_mut(name) {
            customer.arrivals.add(now_ms, 1);
            customer.requested_tokens.add(now_ms, u64::from(max_tokens));
            customer.peak_concurrency.raise_to(now_ms, customer.in_flight + 1);
        }
        self.decide_again(now_ms, now_ms, name, max_tokens)
    }

    /// Decides again about a request that arrived at `arrived_at_ms` and waits for a share.
    pub fn decide_again(
        &mut self,
        now_ms: u64,
        arrived_at_ms: u64,
        name: &str,
        max_tokens: u32,
    ) -> Admission {
        let Some(customer) = self.customers.get_mut(name) else {
            return Admission::Refused(refusal(RefusalReason::RequestRate, name, None));
        };
        if let Some(reason) = customer.missing_limit(max_tokens) {
            let has_recent_reply = customer
                .confirmed_demand_at_ms
                .is_some_and(|at_ms| at_ms >= arrived_at_ms || now_ms < at_ms + NO_SHARE_TTL_MS);
            let until_ms = arrived_at_ms + SHARE_WAIT_MS;
            if !has_recent_reply && now_ms < until_ms {
                return Admission::AwaitShare { until_ms };
            }
            customer.count_refusal(now_ms, reason);
            return Admission::Refused(refusal(reason, name, Some(RENEWAL_RETRY_AFTER_MS)));
        }
        if customer.in_flight >= customer.share.concurrent_requests {
            customer.count_refusal(now_ms, RefusalReason::Concurrency);
            return Admission::Refused(refusal(
                RefusalReason::Concurrency,
                name,
                Some(RENEWAL_RETRY_AFTER_MS),
            ));
        }
        if let Err(wait_ms) = customer.request_bucket.take(now_ms, 1) {
            return Admission::Refused(refusal(RefusalReason::RequestRate, name, wait_ms));
        }
        if max_tokens > 0
            && let Err(wait_ms) = customer.token_bucket.take_with_debt(now_ms, max_tokens)
        {
            customer.request_bucket.refund(1);
            return Admission::Refused(refusal(RefusalReason::TokenRate, name, wait_ms));
        }
        customer.in_flight += 1;
        Admission::Admitted(Permit { customer: name.into(), charged_tokens: max_tokens })
    }

    /// Ends a request that generated `tokens` and refunds the tokens that it did not use.
    pub fn finish(&mut self, permit: Permit, tokens: u32) {
        let Some(customer) = self.customers.get_mut(&permit.customer) else { return };
        customer.in_flight = customer.in_flight.saturating_sub(1);
        customer.token_bucket.refund(permit.charged_tokens.saturating_sub(tokens));
    }

    /// Returns the demand of every customer, for the next renewal.
    pub fn demands(&mut self, now_ms: u64) -> Vec<(Box<str>, Share)> {
        let customers = self.customers.iter_mut();
        let mut demands: Vec<(Box<str>, Share)> = customers
            .map(|(name, customer)| {
                customer.demand_reported_at_ms = Some(now_ms);
                (name.clone(), customer.demand(now_ms))
            })
            .collect();
        demands.sort_unstable_by(|a, b| a.0.cmp(&b.0));
        demands
    }

    /// Returns the number of requests in flight of a customer.
    #[must_use]
    pub fn in_flight(&self, name: &str) -> u64 {
        self.customers.get(name).map_or(0, |customer| customer.in_flight)
    }
}

impl CustomerLimits {
    /// Returns the first limit for which the instance has no share at all.
    fn missing_limit(&self, max_tokens: u32) -> Option<RefusalReason> {
        if self.share.concurrent_requests == 0 {
            Some(RefusalReason::Concurrency)
        } else if self.share.request_rate_milli == 0 {
            Some(RefusalReason::RequestRate)
        } else if max_tokens > 0 && self.share.token_rate_per_s == 0 {
            Some(RefusalReason::TokenRate)
        } else {
            None
        }
    }

    fn count_refusal(&mut self, now_ms: u64, reason: RefusalReason) {
        if reason == RefusalReason::Concurrency {
            self.concurrency_refusals.add(now_ms, 1);
        }
    }
}

fn refusal(reason: RefusalReason, customer: &str, wait_ms: Option<u32>) -> Refusal {
    let limit = match reason {
        RefusalReason::Concurrency => "concurrent requests",
        RefusalReason::TokenRate => "token rate",
        _ => "request rate",
    };
    let detail = format!("this instance's share of the {limit} of `{customer}` is exhausted");
    Refusal::not_run(reason, detail)
        .retry_after_ms(wait_ms.unwrap_or(RENEWAL_RETRY_AFTER_MS).max(1))
}
