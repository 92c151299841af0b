//! How much of the weight store each customer uses.

use std::collections::HashMap;

use slotmap::SlotMap;

use crate::{keys::CustomerKey, popularity::Popularity};

/// Time in which the record of past loads halves.
const HALF_LIFE_MS: u32 = 20_000;
/// Loads, and part of the share, by which a customer may exceed its share by chance.
const SPARE_LOADS: f32 = 2.0;
const SPARE_PART: f32 = 1.2;
/// Customers remembered; idle ones are forgotten beyond it.
const LIMIT: usize = 4_096;
/// Decayed loads below which a customer counts as idle.
const IDLE: f32 = 0.1;

/// The use of the store by a customer.
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
    /// Recent and queued loads.
    fn used(&self, now_ms: u64) -> f32 {
        self.loads.long_count(now_ms, HALF_LIFE_MS) + self.queued as f32
    }
}

/// Customers with waiting requests or recent loads.
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
        if self.customers.len() >= LIMIT {
            self.forget_idle(now_ms);
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
        self.customers[key].loads.add(now_ms, HALF_LIFE_MS);
    }

    /// The share in the contract.
    pub(crate) fn share_permille(&self, key: CustomerKey) -> u16 {
        self.customers[key].share_permille
    }

    /// Whether the customer uses more than its share, as of the last refresh.
    pub(crate) fn is_over_share(&self, key: CustomerKey) -> bool {
        self.customers[key].over_share
    }

    /// Finds the customers whose recent and queued loads exceed their share of all loads. Shares
    /// are relative to those of the customers that use the store now.
    pub(crate) fn refresh(&mut self, now_ms: u64) {
        let mut total = 0.0;
        let mut shares = 0.0;
        for customer in self.customers.values() {
            let used = customer.used(now_ms);
            if used > IDLE {
                total += used;
                shares += f32::from(customer.share_permille.max(1));
            }
        }
        for customer in self.customers.values_mut() {
            let share = f32::from(customer.share_permille.max(1)) / shares;
            customer.over_share = customer.used(now_ms) > SPARE_LOADS + SPARE_PART * total * share;
        }
    }

    fn forget_idle(&mut self, now_ms: u64) {
        let by_name = &mut self.by_name;
        self.customers.retain(|_, it| {
            let idle = it.queued == 0
                && it.waiting == 0
                && it.loads.long_count(now_ms, HALF_LIFE_MS) < IDLE;
            if idle {
                by_name.remove(&it.name);
            }
            !idle
        });
    }
}
