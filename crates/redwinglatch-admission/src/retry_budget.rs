//! Limits on retries, so that they never multiply the load.

use std::{collections::HashMap, hash::Hash};

use smallvec::SmallVec;

const SLOT_MS: u64 = 1_000;
const SLOT_COUNT: u64 = 10;

/// Limits of [`RetryBudgets`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RetryBudgetSettings {
    /// Retries allowed per thousand requests of the last ten seconds.
    pub retry_permille: u64,
    /// Retries allowed in ten seconds regardless of the number of requests, so that a customer with
    /// few requests can retry at all.
    pub min_retries: u64,
}

impl Default for RetryBudgetSettings {
    fn default() -> RetryBudgetSettings {
        RetryBudgetSettings { retry_permille: 100, min_retries: 3 }
    }
}

#[derive(Debug, Clone, Copy, Default)]
struct WindowSlot {
    second: u64,
    requests: u64,
    retries: u64,
}

/// The requests and retries of the last ten seconds.
#[derive(Debug, Clone, Default)]
struct RecentCounts {
    slots: SmallVec<[WindowSlot; 2]>,
}

impl RecentCounts {
    fn slot(&mut self, now_ms: u64) -> &mut WindowSlot {
        let second = now_ms / SLOT_MS;
        self.drop_expired(now_ms);
        if self.slots.last().is_none_or(|slot| slot.second < second) {
            self.slots.push(WindowSlot { second, ..WindowSlot::default() });
        }
        let last = self.slots.len() - 1;
        &mut self.slots[last]
    }

    fn drop_expired(&mut self, now_ms: u64) {
        let second = now_ms / SLOT_MS;
        self.slots.retain(|slot| slot.second + SLOT_COUNT > second);
    }

    fn allows_retry(&self, settings: &RetryBudgetSettings) -> bool {
        let requests: u64 = self.slots.iter().map(|slot| slot.requests).sum();
        let retries: u64 = self.slots.iter().map(|slot| slot.retries).sum();
        retries < requests * settings.retry_permille / 1_000 + settings.min_retries
    }
}

/// Retry budgets per customer and per backend server. A retry must fit both.
#[derive(Debug)]
pub struct RetryBudgets<Backend> {
    settings: RetryBudgetSettings,
    customers: HashMap<Box<str>, RecentCounts>,
    backends: HashMap<Backend, RecentCounts>,
}

impl<Backend: Copy + Eq + Hash> RetryBudgets<Backend> {
    /// Creates budgets without any requests.
    #[must_use]
    pub fn new(settings: RetryBudgetSettings) -> RetryBudgets<Backend> {
        RetryBudgets { settings, customers: HashMap::new(), backends: HashMap::new() }
    }

    /// Counts the first attempt of a request.
    pub fn count_request(&mut self, now_ms: u64, customer: &str, backend: Backend) {
        self.customer(customer).slot(now_ms).requests += 1;
        self.backends.entry(backend).or_default().slot(now_ms).requests += 1;
    }

    /// Deducts one retry from the budgets of the customer and of the backend server that failed, or
    /// nothing from either. Returns whether the retry is allowed.
    #[must_use]
    pub fn take_retry(&mut self, now_ms: u64, customer: &str, backend: Backend) -> bool {
        let settings = self.settings;
        let customer_counts = self.customer(customer);
        customer_counts.drop_expired(now_ms);
        let customer_allows = customer_counts.allows_retry(&settings);
        let backend_counts = self.backends.entry(backend).or_default();
        backend_counts.drop_expired(now_ms);
        if !customer_allows || !backend_counts.allows_retry(&settings) {
            return false;
        }
        backend_counts.slot(now_ms).retries += 1;
        self.customer(customer).slot(now_ms).retries += 1;
        true
    }

    /// Removes customers and backend servers without recent requests. Call this every few seconds.
    pub fn remove_idle(&mut self, now_ms: u64) {
        let has_recent_counts = |recent: &mut RecentCounts| {
            recent.drop_expired(now_ms);
            !recent.slots.is_empty()
        };
        self.customers.retain(|_, recent| has_recent_counts(recent));
        self.backends.retain(|_, recent| has_recent_counts(recent));
    }

    fn customer(&mut self, customer: &str) -> &mut RecentCounts {
        if !self.customers.contains_key(customer) {
            self.customers.insert(customer.into(), RecentCounts::default());
        }
        self.customers.get_mut(customer).expect("the entry was just inserted")
    }
}
