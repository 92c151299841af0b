//! Estimates how many concurrent loads the weight store sustains.

use smallvec::SmallVec;

use super::STORE_LOAD_MS;

/// Initial limit; the smallest store serves this many loads at full speed.
const INITIAL_LIMIT: f64 = 8.0;
/// Concurrent adapter loads for each base model load per second that the configuration allows.
const LOADS_PER_BASE_RATE: f64 = 1.4;
/// Lower bound of the limit of a store whose rate isn't known.
const MIN_LIMIT: f64 = 4.0;
/// Lower bound of the limit, as a share of what the rate of the store suggests.
const MIN_EXPECTED_SHARE: f64 = 0.5;
/// Fastest loads that are kept. Once there are as many, the second fastest is the duration of an
/// unhindered load, so that no single measurement decides it.
const FASTEST_LOADS: usize = 3;
/// Upper bound of the limit.
const MAX_LIMIT: f64 = 256.0;
/// A faster load was served from the engine's own memory, or was under way already because an order that
/// was taken for lost had begun it.
const MIN_STORE_LOAD_MS: u64 = 180;
/// A load slower than an unhindered one by this factor shows that too many loads are in flight.
const SLOW_FACTOR: f64 = 1.3;
/// A load within this factor of an unhindered one shows that the store has spare capacity.
const FAST_FACTOR: f64 = 1.12;
/// Usual time from the start of a load to the start of the next one in its place, as a multiple of the
/// duration of an unhindered load.
const USUAL_LOAD_FACTOR: f64 = 1.2;
/// Increase of the limit for each fast load before the first slow one, if the rate of the store isn't
/// known; it doubles the limit within the duration of a load.
const INITIAL_INCREASE: f64 = 1.0;
/// Increase of the limit for each fast load after the first slow one.
const INCREASE: f64 = 0.25;
/// Decrease of the limit for each slow load.
const DECREASE: f64 = 0.25;
/// Share of the usual duration of a load after which its completion is first checked.
const FIRST_CHECK_SHARE: f64 = 0.8;
/// Weight of the newest load in the average duration.
const DURATION_WEIGHT: f64 = 0.1;
/// Share of the limit that must be in use before a fast load raises it.
const MIN_USED_SHARE: f64 = 0.8;

/// Adapts the number of concurrent loads to what the weight store serves at full speed.
///
/// Beyond that number each load takes longer in proportion, so further concurrent loads don't raise
/// the throughput and delay the most urgent ones.
#[derive(Debug)]
pub(super) struct StoreLimit {
    limit: f64,
    in_flight: usize,
    /// The fastest loads, in ascending order.
    fastest_ms: SmallVec<[u64; FASTEST_LOADS]>,
    /// Exponential moving average of the duration of loads.
    usual_ms: f64,
    /// The limit that the rate of the store suggests, if that is known.
    expected_limit: Option<f64>,
    was_reached: bool,
}

impl Default for StoreLimit {
    fn default() -> StoreLimit {
        StoreLimit {
            limit: INITIAL_LIMIT,
            in_flight: 0,
            fastest_ms: SmallVec::new(),
            usual_ms: STORE_LOAD_MS as f64,
            expected_limit: None,
            was_reached: false,
        }
    }
}

impl StoreLimit {
    pub(super) fn set_in_flight(&mut self, in_flight: usize) {
        self.in_flight = in_flight;
    }

    /// Returns the time after the start of a load at which its completion is first checked.
    ///
    /// It is well below the usual duration, because a check can't measure a duration shorter than its
    /// own time: checks at the average would raise the average.
    pub(super) fn first_check_ms(&self) -> u64 {
        STORE_LOAD_MS.max((self.usual_ms * FIRST_CHECK_SHARE) as u64)
    }

    pub(super) fn in_flight(&self) -> usize {
        self.in_flight
    }

    /// Returns the estimated number of loads that the store serves at full speed.
    pub(super) fn limit(&self) -> f64 {
        self.limit
    }

    /// Returns whether a slow load has shown the capacity of the store.
    pub(super) fn was_reached(&self) -> bool {
        self.was_reached
    }

    /// Adopts the limit that another coordinator has measured.
    ///
    /// It is used only until this coordinator has measured a slow load itself.
    pub(super) fn adopt(&mut self, limit: u32) {
        if !self.was_reached {
            self.limit = self.limit.max(f64::from(limit).min(MAX_LIMIT));
        }
    }

    fn unhindered_ms(&self) -> f64 {
        let unhindered_ms = match self.fastest_ms[..] {
            [_, second, _] => second,
            [first, ..] => first,
            [] => STORE_LOAD_MS,
        };
        unhindered_ms as f64
    }

    /// Returns the time until a load completes before which `loads_ahead` others are started.
    pub(super) fn completion_ms(&self, loads_ahead: usize) -> u64 {
        let load_ms = self.unhindered_ms() * USUAL_LOAD_FACTOR;
        let queued = ((loads_ahead + self.in_flight + 1) as f64 - self.limit.floor()).max(0.0);
        (load_ms * (1.0 + queued / self.limit)) as u64
    }

    /// Raises the limit to what a store with this rate of base model loads usually sustains.
    pub(super) fn expect_rate(&mut self, base_loads_per_s: f64) {
        let expected = (base_loads_per_s * LOADS_PER_BASE_RATE).clamp(0.0, MAX_LIMIT);
        if expected > INITIAL_LIMIT {
            self.expected_limit = Some(expected);
            self.adopt(expected as u32);
        }
    }

    pub(super) fn has_capacity(&self) -> bool {
        (self.in_flight as f64) < self.limit.floor()
    }

    pub(super) fn load_started(&mut self) {
        self.in_flight += 1;
    }

    /// Adjusts the limit by the duration of a load.
    pub(super) fn record_load(&mut self, duration_ms: u64) {
        if duration_ms < MIN_STORE_LOAD_MS {
            return;
        }
        let position = self.fastest_ms.partition_point(|fastest| *fastest <= duration_ms);
        self.fastest_ms.insert(position, duration_ms);
        self.fastest_ms.truncate(FASTEST_LOADS);
        let duration_ms = duration_ms as f64;
        self.usual_ms += (duration_ms - self.usual_ms) * DURATION_WEIGHT;
        let slowdown = duration_ms / self.unhindered_ms();
        if slowdown > SLOW_FACTOR {
            self.was_reached = true;
            let expected = self.expected_limit.unwrap_or_default();
            self.limit = (self.limit - DECREASE).max(MIN_LIMIT.max(expected * MIN_EXPECTED_SHARE));
        } else if slowdown < FAST_FACTOR && self.in_flight as f64 >= self.limit * MIN_USED_SHARE {
            let is_explored = self.was_reached || self.expected_limit.is_some();
            let increase = if is_explored { INCREASE } else { INITIAL_INCREASE };
            self.limit = (self.limit + increase).min(MAX_LIMIT);
        }
    }
}

#[cfg(test)]
mod tests;
