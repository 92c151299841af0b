//! The contract of a customer.

use serde::{Deserialize, Serialize};

use crate::AdapterVersion;

/// A rule that allows a set of adapters and versions.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AdapterRule {
    /// The adapter's name, or a prefix of it followed by `*`.
    pub adapter: Box<str>,
    /// The lowest version allowed.
    pub min_version: u32,
    /// The highest version allowed.
    pub max_version: u32,
}

impl AdapterRule {
    /// Whether the rule allows `adapter`.
    #[must_use]
    pub fn allows(&self, adapter: &AdapterVersion) -> bool {
        let name_matches = match self.adapter.strip_suffix('*') {
            Some(prefix) => adapter.adapter.starts_with(prefix),
            None => *self.adapter == *adapter.adapter,
        };
        name_matches && (self.min_version..=self.max_version).contains(&adapter.version)
    }
}

/// The adapters and services that a customer may use, and every limit on its traffic.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Contract {
    /// The customer's name.
    pub customer: Box<str>,
    /// The adapters that the customer may call.
    pub adapters: Vec<AdapterRule>,
    /// The plain services that the customer may call.
    pub services: Vec<Box<str>>,
    /// Maximum requests per second over all instances.
    pub request_rate_per_s: u32,
    /// Maximum requests in flight over all instances.
    pub concurrent_requests: u32,
    /// Maximum generated tokens per second over all instances.
    pub token_rate_per_s: u32,
    /// The customer's share of the loads from the weight store under contention.
    pub load_share_permille: u16,
    /// The priority of requests that state none; 0 is the lowest, 9 the highest.
    pub default_priority: u8,
    /// The highest priority that a request may state.
    pub max_priority: u8,
    /// The time budget of requests that state none.
    pub default_deadline_ms: u32,
    /// The longest time budget that a request may state.
    pub max_deadline_ms: u32,
}

impl Contract {
    /// Whether the customer may call `adapter`.
    #[must_use]
    pub fn allows_adapter(&self, adapter: &AdapterVersion) -> bool {
        self.adapters.iter().any(|rule| rule.allows(adapter))
    }

    /// Whether the customer may call the plain service `service`.
    #[must_use]
    pub fn allows_service(&self, service: &str) -> bool {
        self.services.iter().any(|allowed| **allowed == *service)
    }
}
