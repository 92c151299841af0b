//! Fair admission between customers when the instance itself is saturated.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, HashMap},
};

use redwinglatch_core::prelude::*;

/// Bounds of [`FairQueue`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FairQueueSettings {
    /// Requests that the instance runs at once.
    pub running: usize,
    /// Requests that wait at once.
    pub waiting: usize,
    /// Requests of one customer that wait at once.
    pub waiting_per_customer: usize,
}

impl Default for FairQueueSettings {
    fn default() -> FairQueueSettings {
        FairQueueSettings { running: 2_000, waiting: 2_000, waiting_per_customer: 200 }
    }
}

/// A request that asks to run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Candidate {
    /// Identifies the request.
    pub request: RequestId,
    /// The customer.
    pub customer: Box<str>,
    /// The customer's weight against others, such as its contract's request rate.
    pub weight: u32,
    /// From 0 to 9; orders the requests of one customer, never those of different ones.
    pub priority: u8,
    /// When the answer is no longer useful.
    pub deadline_ms: u64,
}

/// What becomes of a candidate.
#[derive(Debug, Clone, PartialEq, Eq)]
#[must_use]
pub enum Turn {
    /// It runs now.
    Run,
    /// It waits; [`FairQueue::take_ready`] or [`FairQueue::take_refused`] names it later.
    Wait,
    /// It does not run.
    Refused(Refusal),
}

/// Higher priorities first, then earlier arrivals.
type Order = (Reverse<u8>, u64);

#[derive(Debug, Default)]
struct Customer {
    running: usize,
    weight: u32,
    waiting: BTreeMap<Order, Candidate>,
}

impl Customer {
    /// Running requests by weight; the customer with the least is served first.
    fn load(&self) -> u64 {
        self.running as u64 * 1_000_000 / u64::from(self.weight.max(1))
    }
}

/// Lets requests run up to a bound. Beyond it, a freed place goes to the waiting customer with the
/// fewest running requests by weight, so one customer's surge delays only itself.
#[derive(Debug)]
pub struct FairQueue {
    settings: FairQueueSettings,
    customers: HashMap<Box<str>, Customer>,
    running: usize,
    waiting: usize,
    arrivals: u64,
    /// A moving average of the time between two freed places, in microseconds.
    freed_every_us: u64,
    freed_at_ms: Option<u64>,
}

impl FairQueue {
    /// An empty queue.
    #[must_use]
    pub fn new(settings: FairQueueSettings) -> FairQueue {
        FairQueue {
            settings,
            customers: HashMap::new(),
            running: 0,
            waiting: 0,
            arrivals: 0,
            freed_every_us: 0,
            freed_at_ms: None,
        }
    }

    /// Decides about a new request.
    pub fn offer(&mut self, now_ms: u64, candidate: Candidate) -> Turn {
        if candidate.deadline_ms <= now_ms {
            return Turn::Refused(self.refusal(RefusalReason::DeadlinePassed));
        }
        let settings = self.settings;
        let saturated = self.running >= settings.running;
        let customer = self.customers.entry(candidate.customer.clone()).or_default();
        customer.weight = candidate.weight;
        if !saturated && self.waiting == 0 {
            customer.running += 1;
            self.running += 1;
            return Turn::Run;
        }
        let ahead = customer.waiting.len() as u64 + 1;
        let wait_ms = self.wait_ms(ahead);
        let full = self.waiting >= settings.waiting
            || ahead > settings.waiting_per_customer as u64
            || now_ms + wait_ms >= candidate.deadline_ms;
        if full {
            self.forget_idle(&candidate.customer);
            return Turn::Refused(self.refusal(RefusalReason::Overloaded));
        }
        self.arrivals += 1;
        let order = (Reverse(candidate.priority), self.arrivals);
        if let Some(customer) = self.customers.get_mut(&candidate.customer) {
            customer.waiting.insert(order, candidate);
            self.waiting += 1;
        }
        Turn::Wait
    }

    /// Frees the place of a request that ran.
    pub fn finished(&mut self, now_ms: u64, customer: &str) {
        let Some(entry) = self.customers.get_mut(customer) else { return };
        if entry.running == 0 {
            return;
        }
        entry.running -= 1;
        // Only gaps while saturated say how fast places become free.
        let saturated = self.running >= self.settings.running;
        self.running -= 1;
        if let Some(freed_at_ms) = self.freed_at_ms.filter(|_| saturated) {
            let gap_us = now_ms.saturating_sub(freed_at_ms) * 1_000;
            self.freed_every_us = (self.freed_every_us * 7 + gap_us) / 8;
        }
        self.freed_at_ms = saturated.then_some(now_ms);
        self.forget_idle(customer);
    }

    /// Gives up a waiting request, such as one whose caller closed the connection.
    pub fn cancel(&mut self, customer: &str, request: RequestId) -> bool {
        let Some(entry) = self.customers.get_mut(customer) else { return false };
        let before = entry.waiting.len();
        entry.waiting.retain(|_, candidate| candidate.request != request);
        let removed = before - entry.waiting.len();
        self.waiting -= removed;
        self.forget_idle(customer);
        removed > 0
    }

    /// Takes the requests that may run now.
    pub fn take_ready(&mut self) -> Vec<Candidate> {
        let mut ready = Vec::new();
        while self.running < self.settings.running && self.waiting > 0 {
            let waiting = self.customers.values_mut().filter(|entry| !entry.waiting.is_empty());
            let first = |entry: &Customer| entry.waiting.values().next().map(|c| c.request);
            let Some(next) = waiting.min_by_key(|entry| (entry.load(), first(entry))) else {
                break;
            };
            let Some((_, candidate)) = next.waiting.pop_first() else { break };
            next.running += 1;
            self.running += 1;
            self.waiting -= 1;
            ready.push(candidate);
        }
        ready
    }

    /// Takes the waiting requests that can no longer run before their deadline. They are refused
    /// as soon as that is clear, not when the deadline comes.
    pub fn take_refused(&mut self, now_ms: u64) -> Vec<(Candidate, Refusal)> {
        let turn_us = self.turn_us();
        let mut late = Vec::new();
        for entry in self.customers.values_mut() {
            let mut ahead = 0;
            entry.waiting.retain(|_, candidate| {
                let starts_ms = now_ms + (ahead + 1) * turn_us / 1_000;
                let in_time = starts_ms < candidate.deadline_ms;
                if in_time {
                    ahead += 1;
                } else {
                    late.push(candidate.clone());
                }
                in_time
            });
        }
        self.waiting -= late.len();
        late.sort_by_key(|candidate| candidate.request);
        for candidate in &late {
            self.forget_idle(&candidate.customer);
        }
        let refusal = self.refusal(RefusalReason::DeadlinePassed);
        late.into_iter().map(|candidate| (candidate, refusal.clone())).collect()
    }

    /// The requests that run.
    #[must_use]
    pub fn running(&self) -> usize {
        self.running
    }

    /// The requests that wait.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.waiting
    }

    /// The time between two turns of one customer. Customers that wait take turns.
    fn turn_us(&self) -> u64 {
        let contenders = self.customers.values().filter(|other| !other.waiting.is_empty()).count();
        (contenders as u64).max(1) * self.freed_every_us
    }

    fn wait_ms(&self, ahead: u64) -> u64 {
        ahead * self.turn_us() / 1_000
    }

    fn forget_idle(&mut self, customer: &str) {
        let idle = |entry: &Customer| entry.running == 0 && entry.waiting.is_empty();
        if self.customers.get(customer).is_some_and(idle) {
            self.customers.remove(customer);
        }
    }

    fn refusal(&self, reason: RefusalReason) -> Refusal {
        let detail = format!("{} requests run and {} wait", self.running, self.waiting);
        let clear_ms = (self.waiting as u64 + 1) * self.freed_every_us / 1_000;
        let retry_after_ms = u32::try_from(clear_ms).unwrap_or(u32::MAX).clamp(100, 10_000);
        Refusal::not_run(reason, detail).retry_after_ms(retry_after_ms)
    }
}
