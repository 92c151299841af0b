//! Parts of a contract's limits.

use redwinglatch_core::Contract;
use serde::{Deserialize, Serialize};

/// A part of a contract's three limits.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Share {
    /// Requests per second, in thousandths, so that a low rate can be split over many instances.
    pub request_rate_milli: u64,
    /// Requests in flight.
    pub concurrent_requests: u64,
    /// Generated tokens per second.
    pub token_rate_per_s: u64,
}

impl Share {
    /// The empty share.
    pub const NONE: Share =
        Share { request_rate_milli: 0, concurrent_requests: 0, token_rate_per_s: 0 };

    /// Returns the complete limits of a contract as a share.
    #[must_use]
    pub fn whole(contract: &Contract) -> Share {
        Share {
            request_rate_milli: u64::from(contract.request_rate_per_s) * 1_000,
            concurrent_requests: u64::from(contract.concurrent_requests),
            token_rate_per_s: u64::from(contract.token_rate_per_s),
        }
    }

    /// Returns whether all three parts are zero.
    #[must_use]
    pub fn is_none(&self) -> bool {
        *self == Share::NONE
    }

    /// Combines the parts of two shares pairwise.
    #[must_use]
    pub fn zip(self, other: Share, combine: impl Fn(u64, u64) -> u64) -> Share {
        Share {
            request_rate_milli: combine(self.request_rate_milli, other.request_rate_milli),
            concurrent_requests: combine(self.concurrent_requests, other.concurrent_requests),
            token_rate_per_s: combine(self.token_rate_per_s, other.token_rate_per_s),
        }
    }

    /// Returns the larger value of each part.
    #[must_use]
    pub fn max(self, other: Share) -> Share {
        self.zip(other, u64::max)
    }

    /// Returns the smaller value of each part.
    #[must_use]
    pub fn min(self, other: Share) -> Share {
        self.zip(other, u64::min)
    }

    /// Returns the sum of each part.
    #[must_use]
    pub fn plus(self, other: Share) -> Share {
        self.zip(other, u64::saturating_add)
    }

    /// Returns the difference of each part, at least zero.
    #[must_use]
    pub fn minus(self, other: Share) -> Share {
        self.zip(other, u64::saturating_sub)
    }

    /// Returns whether no part is above that of `limit`.
    #[must_use]
    pub fn fits(&self, limit: &Share) -> bool {
        self.min(*limit) == *self
    }

    /// Returns this share scaled from the limit `before` to a lower limit `after`, rounded down.
    /// Parts whose limit wasn't lowered don't change.
    #[must_use]
    pub fn scaled(self, before: Share, after: Share) -> Share {
        let scale = |part: u64, before: u64, after: u64| {
            if after >= before {
                return part;
            }
            let scaled = u128::from(part) * u128::from(after) / u128::from(before);
            u64::try_from(scaled).unwrap_or(part).min(part)
        };
        Share {
            request_rate_milli: scale(
                self.request_rate_milli,
                before.request_rate_milli,
                after.request_rate_milli,
            ),
            concurrent_requests: scale(
                self.concurrent_requests,
                before.concurrent_requests,
                after.concurrent_requests,
            ),
            token_rate_per_s: scale(
                self.token_rate_per_s,
                before.token_rate_per_s,
                after.token_rate_per_s,
            ),
        }
    }
}
