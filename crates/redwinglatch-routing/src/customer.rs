//! Customers with their API keys and limits.

use std::fmt;

/// A customer, whose requests carry one of its API keys.
#[derive(Debug, Clone, PartialEq)]
pub struct CustomerSpec {
    /// The name of the customer.
    pub name: Box<str>,
    /// The API keys that identify the customer.
    pub api_keys: Vec<ApiKey>,
    /// Priority of the customer's requests, where 0 is the most urgent; it takes precedence over that of the route.
    pub priority: Option<u8>,
    /// The limit on the customer's usage over all instances together, if it has one.
    pub limit: Option<UsageLimit>,
}

/// An API key. It is never printed.
#[derive(Clone, PartialEq, Eq, Hash)]
pub struct ApiKey(Box<str>);

impl ApiKey {
    /// Returns the text of the key.
    #[must_use]
    pub fn expose(&self) -> &str {
        &self.0
    }
}

impl<Text: Into<Box<str>>> From<Text> for ApiKey {
    fn from(text: Text) -> ApiKey {
        ApiKey(text.into())
    }
}

impl fmt::Debug for ApiKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("ApiKey(..)")
    }
}

/// A limit on the usage of a customer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct UsageLimit {
    /// Sustained usage in thousandths of a unit per second.
    pub rate_milli: u64,
    /// Usage beyond the sustained rate that may come at once, in units.
    pub burst: u64,
    /// The unit in which usage is counted.
    pub unit: UsageUnit,
}

/// The unit in which the usage of a customer is counted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UsageUnit {
    /// Each request counts 1.
    Requests,
    /// Each request counts its prompt tokens and its maximum number of output tokens.
    Tokens {
        /// The usage of a request that states no number of tokens.
        unstated_tokens: u32,
    },
}
