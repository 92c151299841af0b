//! Fair queueing between customers when the instance itself is saturated.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, HashMap},
};

use redwinglatch_core::prelude::*;

/// Limits of a [`FairQueue`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FairQueueSettings {
    /// Maximum number of running requests.
    pub max_running: usize,
    /// Maximum number of waiting requests.
    pub max_waiting: usize,
    /// Maximum number of waiting requests of one customer.
    pub max_waiting_per_customer: usize,
}

impl Default for FairQueueSettings {
    fn default() -> FairQueueSettings {
        FairQueueSettings { max_running: 2_000, max_waiting: 2_000, max_waiting_per_customer: 200 }
    }
}

/// A request offered to a [`FairQueue`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct QueuedRequest {
    /// Identifies the request.
    pub id: RequestId,
    /// The customer.
    pub customer: Box<str>,
    /// The customer's weight relative to other customers, such as its contract's request rate.
    pub weight: u32,
    /// From 0 to 9; orders the requests of one customer only, never those of different customers.
    pub priority: u8,
    /// Time after which the response is no longer useful.
    pub deadline_ms: u64,
}

/// The decision about a request that was offered to a [`FairQueue`].
#[derive(Debug, Clone, PartialEq, Eq)]
#[must_use]
pub enum QueueDecision {
    /// The request runs now.
    Run,
    /// The request waits until [`FairQueue::take_ready`] or [`FairQueue::take_refused`] returns it.
    Wait,
    /// The request does not run.
    Refused(Refusal),
}

/// Sorts higher priorities first, then earlier arrivals.
type QueuePosition = (Reverse<u8>, u64);

#[derive(Debug, Default)]
struct CustomerQueue {
    running: usize,
    weight: u32,
    waiting: BTreeMap<QueuePosition, QueuedRequest>,
}

impl CustomerQueue {
    /// Running requests divided by the weight; the customer with the lowest value is served first.
    fn weighted_load(&self) -> u64 {
        self.running as u64 * 1_000_000 / u64::from(self.weight.max(1))
    }
}

/// Runs requests up to a limit. Above it, a released slot goes to the waiting customer with the
/// fewest running requests relative to its weight, so one customer's surge delays only itself.
#[derive(Debug)]
pub struct FairQueue {
    settings: FairQueueSettings,
    customers: HashMap<Box<str>, CustomerQueue>,
    running: usize,
    waiting: usize,
    arrivals: u64,
    /// Moving average of the time between two released slots.
    mean_release_interval_us: u64,
    last_release_ms: Option<u64>,
}

impl FairQueue {
    /// Creates an empty queue.
    #[must_use]
    pub fn new(settings: FairQueueSettings) -> FairQueue {
        FairQueue {
            settings,
            customers: HashMap::new(),
            running: 0,
            waiting: 0,
            arrivals: 0,
            mean_release_interval_us: 0,
            last_release_ms: None,
        }
    }

    /// Decides about a new request.
    pub fn offer(&mut self, now_ms: u64, request: QueuedRequest) -> QueueDecision {
        if request.deadline_ms <= now_ms {
            return QueueDecision::Refused(self.refusal(RefusalReason::DeadlinePassed));
        }
        let settings = self.settings;
        let saturated = self.running >= settings.max_running;
        let customer = self.customers.entry(request.customer.clone()).or_default();
        customer.weight = request.weight;
        if !saturated && self.waiting == 0 {
            customer.running += 1;
            self.running += 1;
            return QueueDecision::Run;
        }
        let ahead = customer.waiting.len() as u64 + 1;
        let wait_ms = self.wait_ms(ahead);
        let must_refuse = self.waiting >= settings.max_waiting
            || ahead > settings.max_waiting_per_customer as u64
            || now_ms + wait_ms >= request.deadline_ms;
        if must_refuse {
            self.remove_idle(&request.customer);
            return QueueDecision::Refused(self.refusal(RefusalReason::Overloaded));
        }
        self.arrivals += 1;
        let position = (Reverse(request.priority), self.arrivals);
        if let Some(customer) = self.customers.get_mut(&request.customer) {
            customer.waiting.insert(position, request);
            self.waiting += 1;
        }
        QueueDecision::Wait
    }

    /// Releases the slot of a request that ran.
    pub fn finished(&mut self, now_ms: u64, customer: &str) {
        let Some(queue) = self.customers.get_mut(customer) else { return };
        if queue.running == 0 {
            return;
        }
        queue.running -= 1;
        // Only intervals measured while saturated show how fast slots are released.
        let saturated = self.running >= self.settings.max_running;
        self.running -= 1;
        if let Some(last_release_ms) = self.last_release_ms.filter(|_| saturated) {
            let interval_us = now_ms.saturating_sub(last_release_ms) * 1_000;
            self.mean_release_interval_us = (self.mean_release_interval_us * 7 + interval_us) / 8;
        }
        self.last_release_ms = saturated.then_some(now_ms);
        self.remove_idle(customer);
    }

    /// Cancels a waiting request, for example when its caller closed the connection. Returns
    /// whether the request was waiting.
    pub fn cancel(&mut self, customer: &str, request: RequestId) -> bool {
        let Some(queue) = self.customers.get_mut(customer) else { return false };
        let before = queue.waiting.len();
        queue.waiting.retain(|_, queued| queued.id != request);
        let removed = before - queue.waiting.len();
        self.waiting -= removed;
        self.remove_idle(customer);
        removed > 0
    }

    /// Removes and returns the waiting requests that may run now.
    pub fn take_ready(&mut self) -> Vec<QueuedRequest> {
        let mut ready = Vec::new();
        while self.running < self.settings.max_running && self.waiting > 0 {
            let waiting = self.customers.values_mut().filter(|queue| !queue.waiting.is_empty());
            let first =
                |queue: &CustomerQueue| queue.waiting.values().next().map(|request| request.id);
            let Some(next) = waiting.min_by_key(|queue| (queue.weighted_load(), first(queue)))
            else {
                break;
            };
            let Some((_, request)) = next.waiting.pop_first() else { break };
            next.running += 1;
            self.running += 1;
            self.waiting -= 1;
            ready.push(request);
        }
        ready
    }

    /// Removes and returns the waiting requests that can no longer run before their deadline. They
    /// are refused as soon as that is known, not when the deadline passes.
    pub fn take_refused(&mut self, now_ms: u64) -> Vec<(QueuedRequest, Refusal)> {
        let dispatch_interval_us = self.dispatch_interval_us();
        let mut late = Vec::new();
        for queue in self.customers.values_mut() {
            let mut ahead = 0;
            queue.waiting.retain(|_, request| {
                let start_ms = now_ms + (ahead + 1) * dispatch_interval_us / 1_000;
                let can_start_in_time = start_ms < request.deadline_ms;
                if can_start_in_time {
                    ahead += 1;
                } else {
                    late.push(request.clone());
                }
                can_start_in_time
            });
        }
        self.waiting -= late.len();
        late.sort_by_key(|request| request.id);
        for request in &late {
            self.remove_idle(&request.customer);
        }
        let refusal = self.refusal(RefusalReason::DeadlinePassed);
        late.into_iter().map(|request| (request, refusal.clone())).collect()
    }

    /// Returns the number of running requests.
    #[must_use]
    pub fn running(&self) -> usize {
        self.running
    }

    /// Returns the number of waiting requests.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.waiting
    }

    /// Returns the expected time between two dispatches of one customer, as waiting customers are
    /// served in rotation.
    fn dispatch_interval_us(&self) -> u64 {
        let waiting_customers =
            self.customers.values().filter(|other| !other.waiting.is_empty()).count();
        (waiting_customers as u64).max(1) * self.mean_release_interval_us
    }

    fn wait_ms(&self, ahead: u64) -> u64 {
        ahead * self.dispatch_interval_us() / 1_000
    }

    fn remove_idle(&mut self, customer: &str) {
        let idle = |queue: &CustomerQueue| queue.running == 0 && queue.waiting.is_empty();
        if self.customers.get(customer).is_some_and(idle) {
            self.customers.remove(customer);
        }
    }

    fn refusal(&self, reason: RefusalReason) -> Refusal {
        let detail =
            format!("{} requests are running and {} are waiting", self.running, self.waiting);
        let drain_ms = (self.waiting as u64 + 1) * self.mean_release_interval_us / 1_000;
        let retry_after_ms = u32::try_from(drain_ms).unwrap_or(u32::MAX).clamp(100, 10_000);
        Refusal::not_run(reason, detail).retry_after_ms(retry_after_ms)
    }
}
