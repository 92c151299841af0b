//! The limits of contracts, enforced over leased shares without a round trip.

use std::collections::HashMap;

use redwinglatch_control::Share;
use redwinglatch_core::prelude::*;

use crate::{TokenBucket, meter::Meter};

/// How long a request without a share waits for the leader's answer.
const ASK_WAIT_MS: u64 = 200;
/// How long the answer "no share" counts before the leader is asked again.
const NO_SHARE_KEEP_MS: u64 = 1_000;
/// When to ask again after a refusal that only the next renewal can lift.
const RENEWAL_MS: u32 = 1_000;

/// The right to run one request. Give it back with [`Limiter::finish`].
#[derive(Debug, PartialEq, Eq)]
#[must_use = "a permit that is not given back occupies its customer's concurrent requests"]
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
    /// The instance has no share for this customer. Renew at once with the demand, and decide
    /// again after the reply or at `until_ms`, whichever comes first.
    AskForShare {
        /// When the request stops waiting.
        until_ms: u64,
    },
    /// The request does not run.
    Refused(Refusal),
}

#[derive(Debug, Default)]
struct Customer {
    share: Share,
    /// When the demand was last handed to a renewal.
    reported_at_ms: Option<u64>,
    /// When the demand was reported that the leader last answered; `None` before the first answer.
    answered_at_ms: Option<u64>,
    requests: TokenBucket,
    tokens: TokenBucket,
    in_flight: u64,
    arrivals: Meter,
    wanted_tokens: Meter,
    wanted_concurrency: Meter,
    refused_in_flight: Meter,
}

impl Customer {
    fn demand(&mut self, now_ms: u64) -> Share {
        let refused = self.refused_in_flight.recent(now_ms);
        let wanted = self.wanted_concurrency.recent(now_ms).max(self.in_flight);
        let arrivals = self.arrivals.recent(now_ms);
        Share {
            request_rate_milli: arrivals.saturating_mul(1_000),
            concurrent_requests: wanted.saturating_add(refused),
            token_rate_per_s: self.wanted_tokens.recent(now_ms),
        }
    }
}

/// Request rate, concurrent requests and token rate of every customer on this instance.
///
/// Check the serving lease first: shares may be used only while it is valid.
#[derive(Debug, Default)]
pub struct Limiter {
    customers: HashMap<Box<str>, Customer>,
}

impl Limiter {
    /// A limiter without shares.
    #[must_use]
    pub fn new() -> Limiter {
        Limiter::default()
    }

    /// Sets the shares after a renewal was answered or a lease ended.
    ///
    /// A customer counts as answered only for the demand that [`Limiter::demands`] has reported: a
    /// renewal that was under way when its first request arrived says nothing about it.
    pub fn set_shares(&mut self, now_ms: u64, share_of: impl Fn(&str) -> Share) {
        for (name, customer) in &mut self.customers {
            let share = share_of(name);
            customer.share = share;
            customer.answered_at_ms = customer.reported_at_ms;
            customer.requests.set_rate(now_ms, share.request_rate_milli);
            customer.tokens.set_rate(now_ms, share.token_rate_per_s.saturating_mul(1_000));
        }
        self.customers.retain(|_, customer| {
            customer.in_flight > 0
                || !customer.share.is_none()
                || !customer.demand(now_ms).is_none()
        });
    }

    /// Decides about a request that has just arrived and may generate `max_tokens`; 0 for a plain
    /// service.
    pub fn admit(&mut self, now_ms: u64, name: &str, max_tokens: u32) -> Admission {
        if !self.customers.contains_key(name) {
            self.customers.insert(name.into(), Customer::default());
        }
        if let Some(customer) = self.customers.get_mut(name) {
            customer.arrivals.add(now_ms, 1);
            customer.wanted_tokens.add(now_ms, u64::from(max_tokens));
            customer.wanted_concurrency.raise_to(now_ms, customer.in_flight + 1);
        }
        self.decide_again(now_ms, now_ms, name, max_tokens)
    }

    /// Decides again about a request that arrived at `arrived_at_ms` and was told to wait for a
    /// share.
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
        if let Some(reason) = customer.missing_part(max_tokens) {
            let answered = customer
                .answered_at_ms
                .is_some_and(|at_ms| at_ms >= arrived_at_ms || now_ms < at_ms + NO_SHARE_KEEP_MS);
            let until_ms = arrived_at_ms + ASK_WAIT_MS;
            if !answered && now_ms < until_ms {
                return Admission::AskForShare { until_ms };
            }
            customer.note_refused(now_ms, reason);
            return Admission::Refused(refusal(reason, name, Some(RENEWAL_MS)));
        }
        if customer.in_flight >= customer.share.concurrent_requests {
            customer.note_refused(now_ms, RefusalReason::Concurrency);
            return Admission::Refused(refusal(RefusalReason::Concurrency, name, Some(RENEWAL_MS)));
        }
        if let Err(wait_ms) = customer.requests.take(now_ms, 1) {
            return Admission::Refused(refusal(RefusalReason::RequestRate, name, wait_ms));
        }
        if max_tokens > 0
            && let Err(wait_ms) = customer.tokens.take_in_advance(now_ms, max_tokens)
        {
            customer.requests.give_back(1);
            return Admission::Refused(refusal(RefusalReason::TokenRate, name, wait_ms));
        }
        customer.in_flight += 1;
        Admission::Admitted(Permit { customer: name.into(), charged_tokens: max_tokens })
    }

    /// Ends a request that generated `tokens`.
    pub fn finish(&mut self, permit: Permit, tokens: u32) {
        let Some(customer) = self.customers.get_mut(&permit.customer) else { return };
        customer.in_flight = customer.in_flight.saturating_sub(1);
        customer.tokens.give_back(permit.charged_tokens.saturating_sub(tokens));
    }

    /// The demand of every customer, for the next renewal.
    pub fn demands(&mut self, now_ms: u64) -> Vec<(Box<str>, Share)> {
        let customers = self.customers.iter_mut();
        let mut demands: Vec<(Box<str>, Share)> = customers
            .map(|(name, customer)| {
                customer.reported_at_ms = Some(now_ms);
                (name.clone(), customer.demand(now_ms))
            })
            .collect();
        demands.sort_unstable_by(|a, b| a.0.cmp(&b.0));
        demands
    }

    /// The requests in flight of a customer.
    #[must_use]
    pub fn in_flight(&self, name: &str) -> u64 {
        self.customers.get(name).map_or(0, |customer| customer.in_flight)
    }
}

impl Customer {
    /// The part of the share that is missing altogether.
    fn missing_part(&self, max_tokens: u32) -> Option<RefusalReason> {
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

    fn note_refused(&mut self, now_ms: u64, reason: RefusalReason) {
        if reason == RefusalReason::Concurrency {
            self.refused_in_flight.add(now_ms, 1);
        }
    }
}

fn refusal(reason: RefusalReason, customer: &str, wait_ms: Option<u32>) -> Refusal {
    let limit = match reason {
        RefusalReason::Concurrency => "concurrent requests",
        RefusalReason::TokenRate => "token rate",
        _ => "request rate",
    };
    let detail = format!("this instance's share of the {limit} of `{customer}` is used up");
    Refusal::not_run(reason, detail).retry_after_ms(wait_ms.unwrap_or(RENEWAL_MS).max(1))
}
