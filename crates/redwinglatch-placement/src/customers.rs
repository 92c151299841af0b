//! Use of the weight store by customer.

use std::collections::HashMap;

use slotmap::SlotMap;

use crate::{keys::CustomerKey, popularity::Popularity};

/// Half-life of a customer's count of past loads.
const LOADS_HALF_LIFE_MS: u32 = 20_000;
/// Loads by which a customer may exceed its share at random.
const SHARE_TOLERANCE_LOADS: f32 = 2.0;
/// Factor by which a customer may exceed its share at random.
const SHARE_TOLERANCE_FACTOR: f32 = 1.2;
/// Number of tracked customers from which idle ones are removed.
const MAX_CUSTOMERS: usize = 4_096;
/// Decayed count of loads below which a customer is idle.
const IDLE_MAX_LOADS: f32 = 0.1;

/// A customer's share of the weight store and its use.
#[derive(Debug)]
pub(crate) struct Customer {
    name: Box<str>,
    share_permille: u16,
    loads: Popularity,
    queued: u32,
    waiting: u32,
    over_share: bool,
}

impl Customer {
    /// Returns the decayed count of past loads plus the queued loads.
    fn used_loads(&self, now_ms: u64) -> f32 {
        self.loads.long_term_count(now_ms, LOADS_HALF_LIFE_MS) + self.queued as f32
    }
}

/// Customers with waiting requests or recent loads, interned to keys.
#[derive(Debug, Default)]
pub(crate) struct CustomerTable {
    customers: SlotMap<CustomerKey, Customer>,
    by_name: HashMap<Box<str>, CustomerKey>,
}

impl CustomerTable {
    pub(crate) fn intern(&mut self, name: &str, share_permille: u16, now_ms: u64) -> CustomerKey {
        if let Some(key) = self.by_name.get(name) {
            self.customers[*key].share_permille = share_permille;
            return *key;
        }
        if self.customers.len() >= MAX_CUSTOMERS {
            self.remove_idle(now_ms);
        }
        let key = self.customers.insert(Customer {
            name: name.into(),
            share_permille,
            loads: Popularity::default(),
            queued: 0,
            waiting: 0,
            over_share: false,
        });
        self.by_name.insert(name.into(), key);
        key
    }

    pub(crate) fn add_waiting(&mut self, key: CustomerKey) {
        self.customers[key].waiting += 1;
    }

    pub(crate) fn remove_waiting(&mut self, key: CustomerKey) {
        self.customers[key].waiting -= 1;
    }

    pub(crate) fn add_queued(&mut self, key: CustomerKey) {
        self.customers[key].queued += 1;
    }

    pub(crate) fn remove_queued(&mut self, key: CustomerKey) {
        self.customers[key].queued -= 1;
    }

    pub(crate) fn count_load(&mut self, key: CustomerKey, now_ms: u64) {
        self.customers[key].loads.record(now_ms, LOADS_HALF_LIFE_MS);
    }

    /// Returns the share in the customer's contract.
    pub(crate) fn share_permille(&self, key: CustomerKey) -> u16 {
        self.customers[key].share_permille
    }

    /// Returns whether the customer exceeded its share at the last refresh.
    pub(crate) fn is_over_share(&self, key: CustomerKey) -> bool {
        self.customers[key].over_share
    }

    /// Determines which customers exceed their share of all recent and queued loads. Shares are
    /// relative to those of the customers that currently use the store.
    pub(crate) fn refresh(&mut self, now_ms: u64) {
        let mut total = 0.0;
        let mut shares = 0.0;
        for customer in self.customers.values() {
            let used_loads = customer.used_loads(now_ms);
            if used_loads > IDLE_MAX_LOADS {
                total += used_loads;
                shares += f32::from(customer.share_permille.max(1));
            }
        }
        for customer in self.customers.values_mut() {
            let share = f32::from(customer.share_permille.max(1)) / shares;
            customer.over_share = customer.used_loads(now_ms)
                > SHARE_TOLERANCE_LOADS + SHARE_TOLERANCE_FACTOR * total * share;
        }
    }

    fn remove_idle(&mut self, now_ms: u64) {
        let by_name = &mut self.by_name;
        self.customers.retain(|_, it| {
            let idle = it.queued == 0
                && it.waiting == 0
                && it.loads.long_term_count(now_ms, LOADS_HALF_LIFE_MS) < IDLE_MAX_LOADS;
            if idle {
                by_name.remove(&it.name);
            }
            !idle
        });
    }
}
