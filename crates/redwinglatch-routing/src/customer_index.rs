//! Finds the customer that holds an API key.

use std::collections::HashMap;

use sha2::{Digest, Sha256};

use crate::{CustomerSpec, InvalidConfiguration};

/// The position of a customer in its configuration.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct CustomerKey(pub(crate) u32);

/// The customers by salted digests of their API keys.
///
/// Callers can't choose keys whose digests share a prefix with a stored one, so the time of a look-up
/// tells nothing about the stored keys.
pub(crate) struct CustomerIndex {
    salt: [u8; 16],
    customers: HashMap<[u8; 32], CustomerKey>,
}

impl CustomerIndex {
    /// Indexes the keys of all customers.
    ///
    /// # Errors
    ///
    /// Fails if two customers share a key.
    pub(crate) fn new(customers: &[CustomerSpec]) -> Result<CustomerIndex, InvalidConfiguration> {
        let mut rng = fastrand::Rng::new();
        let mut salt = [0; 16];
        rng.fill(&mut salt);
        let mut index = CustomerIndex { salt, customers: HashMap::new() };
        for (position, customer) in (0u32..).zip(customers) {
            for key in &customer.api_keys {
                let digest = index.digest(key.expose().as_bytes());
                let holder = *index.customers.entry(digest).or_insert(CustomerKey(position));
                if holder != CustomerKey(position) {
                    return Err(InvalidConfiguration::SharedKey {
                        customer: customer.name.clone(),
                        other: customers[holder.0 as usize].name.clone(),
                    });
                }
            }
        }
        Ok(index)
    }

    /// Returns the customer that holds `key`.
    pub(crate) fn find(&self, key: &[u8]) -> Option<CustomerKey> {
        self.customers.get(&self.digest(key)).copied()
    }

    fn digest(&self, key: &[u8]) -> [u8; 32] {
        Sha256::new().chain_update(self.salt).chain_update(key).finalize().into()
    }
}
