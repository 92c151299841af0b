//! Rates of requests, as backend servers name them.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Highest rate that is told from others, in requests per second; a server that names more has no need of
/// a limit.
const MAX_PER_S: f64 = 1_000_000.0;

/// A rate of requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub(crate) struct RequestRate {
    pub(crate) milli_per_s: u64,
}

impl RequestRate {
    /// Reads a rate per second, a number with an optional fraction; `None` if `text` is anything else.
    pub(crate) fn parse(text: &str) -> Option<RequestRate> {
        let text = text.trim();
        let is_number = text.bytes().all(|byte| byte.is_ascii_digit() || byte == b'.');
        let per_s: f64 = text.parse().ok().filter(|_| is_number)?;
        Some(RequestRate { milli_per_s: (per_s.min(MAX_PER_S) * 1_000.0) as u64 })
    }
}

impl fmt::Display for RequestRate {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}.{:03}", self.milli_per_s / 1_000, self.milli_per_s % 1_000)
    }
}

#[cfg(test)]
mod tests;
