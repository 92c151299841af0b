//! Bounds on retries, so that they never multiply the load.

use std::{collections::HashMap, hash::Hash};

use smallvec::SmallVec;

const SLOT_MS: u64 = 1_000;
const SLOTS: u64 = 10;

/// Bounds of [`RetryBudgets`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RetryBudgetSettings {
    /// Retries per thousand requests of the last ten seconds.
    pub permille: u64,
    /// Retries in ten seconds that need no requests, so that a quiet customer can retry at all.
    pub constant: u64,
}

impl Default for RetryBudgetSettings {
    fn default() -> RetryBudgetSettings {
        RetryBudgetSettings { permille: 100, constant: 3 }
    }
}

#[derive(Debug, Clone, Copy, Default)]
struct Slot {
    second: u64,
    requests: u64,
    retries: u64,
}

/// The requests and retries of the last ten seconds.
#[derive(Debug, Clone, Default)]
struct Recent {
    slots: SmallVec<[Slot; 2]>,
}

impl Recent {
    fn slot(&mut self, now_ms: u64) -> &mut Slot {
        let second = now_ms / SLOT_MS;
        self.drop_old(now_ms);
        if self.slots.last().is_none_or(|slot| slot.second < second) {
            self.slots.push(Slot { second, ..Slot::default() });
        }
        let last = self.slots.len() - 1;
        &mut self.slots[last]
    }

    fn drop_old(&mut self, now_ms: u64) {
        let second = now_ms / SLOT_MS;
        self.slots.retain(|slot| slot.second + SLOTS > second);
    }

    fn has_room(&self, settings: &RetryBudgetSettings) -> bool {
        let requests: u64 = self.slots.iter().map(|slot| slot.requests).sum();
        let retries: u64 = self.slots.iter().map(|slot| slot.retries).sum();
        retries < requests * settings.permille / 1_000 + settings.constant
    }
}

/// Retry budgets for each customer and each backend server. A retry must fit both.
#[derive(Debug)]
pub struct RetryBudgets<Backend> {
    settings: RetryBudgetSettings,
    customers: HashMap<Box<str>, Recent>,
    backends: HashMap<Backend, Recent>,
}

impl<Backend: Copy + Eq + Hash> RetryBudgets<Backend> {
    /// Budgets without any requests.
    #[must_use]
    pub fn new(settings: RetryBudgetSettings) -> RetryBudgets<Backend> {
        RetryBudgets { settings, customers: HashMap::new(), backends: HashMap::new() }
    }

    /// Counts the first attempt of a request.
    pub fn count_request(&mut self, now_ms: u64, customer: &str, backend: Backend) {
        self.customer(customer).slot(now_ms).requests += 1;
        self.backends.entry(backend).or_default().slot(now_ms).requests += 1;
    }

    /// Takes one retry from the budget of the customer and of the backend server that failed, or
    /// nothing from either.
    #[must_use]
    pub fn take_retry(&mut self, now_ms: u64, customer: &str, backend: Backend) -> bool {
        let settings = self.settings;
        let by_customer = self.customer(customer);
        by_customer.drop_old(now_ms);
        let room = by_customer.has_room(&settings);
        let by_backend = self.backends.entry(backend).or_default();
        by_backend.drop_old(now_ms);
        if !room || !by_backend.has_room(&settings) {
            return false;
        }
        by_backend.slot(now_ms).retries += 1;
        self.customer(customer).slot(now_ms).retries += 1;
        true
    }

    /// Forgets customers and backend servers without recent requests. Call it each few seconds.
    pub fn forget_idle(&mut self, now_ms: u64) {
        let live = |recent: &mut Recent| {
            recent.drop_old(now_ms);
            !recent.slots.is_empty()
        };
        self.customers.retain(|_, recent| live(recent));
        self.backends.retain(|_, recent| live(recent));
    }

    fn customer(&mut self, customer: &str) -> &mut Recent {
        if !self.customers.contains_key(customer) {
            self.customers.insert(customer.into(), Recent::default());
        }
        self.customers.get_mut(customer).expect("the entry was just inserted")
    }
}
