//! The cap of a customer over all processes together, and what a single process may use of its margin.

/// Time for which credits of a core process are valid at an entry process. Credits that were granted before a
/// window and used within it are part of what the window may exceed the cap by.
pub const CREDIT_VALIDITY_MS: u64 = 500;
/// Part of the margin with which a new leader's buckets start. Its predecessor may have granted everything.
const START_DIVISOR: u64 = 6;
/// Part of the margin that all entry processes without a core process may use at once, together.
const ISOLATED_DIVISOR: u64 = 6;

/// How far usage may exceed the caps in any window.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CapBounds {
    /// Length of the sliding windows.
    pub window_ms: u64,
    /// Part of the cap by which usage may exceed it, in thousandths.
    pub overage_milli: u64,
    /// Usage beyond that, in tokens.
    pub slack: u64,
}

/// The cap of a customer: in each window its usage is at most `rate * window + burst + margin`.
///
/// The margin is divided as follows, so that the bound holds in the worst case:
///
/// - credits that were granted up to [`CREDIT_VALIDITY_MS`] before the window;
/// - a sixth for the bucket of a new leader;
/// - a sixth for entry processes that have just lost contact;
/// - the rest is added to the capacity of the bucket, so that a small customer's requests that come together, or are
///   larger than its burst, are not refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CustomerCap {
    rate_milli: u64,
    burst: u64,
    margin: u64,
    window_ms: u64,
}

impl CustomerCap {
    /// The cap of a customer with this sustained rate and burst, where `slack` is the usage in the customer's own
    /// unit that may come on top.
    #[must_use]
    pub fn new(rate_milli: u64, burst: u64, slack: u64, bounds: CapBounds) -> CustomerCap {
        let nominal = units_in(rate_milli, bounds.window_ms).saturating_add(burst);
        let overage = nominal.saturating_mul(bounds.overage_milli) / 1_000;
        CustomerCap {
            rate_milli,
            burst,
            margin: overage.saturating_add(slack),
            window_ms: bounds.window_ms.max(1),
        }
    }

    /// The sustained rate, in thousandths of a unit per second.
    #[must_use]
    pub fn rate_milli(&self) -> u64 {
        self.rate_milli
    }

    /// The capacity of the bucket that all processes share.
    #[must_use]
    pub fn capacity(&self) -> u64 {
        let reserved = self.margin / START_DIVISOR
            + self.margin / ISOLATED_DIVISOR
            + units_in(self.rate_milli, CREDIT_VALIDITY_MS);
        self.burst.saturating_add(self.margin.saturating_sub(reserved)).max(1)
    }

    /// The level with which the bucket of a process starts that begins to grant.
    #[must_use]
    pub fn start_level(&self) -> u64 {
        (self.margin / START_DIVISOR).max(1)
    }

    /// Total units that all entry processes without a core process may use at once.
    #[must_use]
    pub fn isolated_level(&self) -> u64 {
        self.margin / ISOLATED_DIVISOR
    }

    /// The rate at which that comes back while core processes grant, in thousandths of a unit per second.
    #[must_use]
    pub fn isolated_return_milli(&self) -> u64 {
        self.isolated_level().saturating_mul(1_000_000) / self.window_ms
    }

    /// The capacity of the buckets of all entry processes without a core process, together.
    #[must_use]
    pub fn isolated_capacity(&self) -> u64 {
        self.burst.saturating_add(self.isolated_level())
    }
}

/// Returns the units of a rate in thousandths per second over some time.
pub(crate) fn units_in(rate_milli: u64, time_ms: u64) -> u64 {
    rate_milli.saturating_mul(time_ms) / 1_000_000
}
