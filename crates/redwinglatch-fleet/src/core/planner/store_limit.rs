//! How many loads from the weight store are under way at a time.

/// The first limit; the smallest store serves this many loads at full speed.
const FIRST_LIMIT: f64 = 8.0;
/// The limit never falls below this.
const MIN_LIMIT: f64 = 4.0;
/// The limit never rises above this.
const MAX_LIMIT: f64 = 256.0;
/// A faster load came from the engine's own memory.
const MIN_STORE_LOAD_MS: u64 = 120;
/// A load that takes this many times as long as the fastest one shows that too many are under way.
const SLOW_FACTOR: f64 = 1.3;
/// A load within this many times the fastest one shows that there is room for more.
const FAST_FACTOR: f64 = 1.12;
/// How much the limit rises with each fast load before the first slow one, which doubles it in the
/// time of a load.
const FIRST_RISE: f64 = 1.0;
/// How much the limit rises with each fast load afterwards.
const RISE: f64 = 0.25;
/// How much the limit falls with each slow load.
const FALL: f64 = 0.25;
/// The share of the limit that must be in use before a fast load raises it.
const BUSY_SHARE: f64 = 0.8;

/// Finds the number of loads that the store serves at full speed.
///
/// Beyond that number each load takes longer in proportion, so more loads at a time bring nothing
/// and delay the most urgent ones.
#[derive(Debug)]
pub(super) struct StoreLimit {
    limit: f64,
    in_flight: usize,
    fastest_ms: u64,
    was_reached: bool,
}

impl Default for StoreLimit {
    fn default() -> StoreLimit {
        StoreLimit { limit: FIRST_LIMIT, in_flight: 0, fastest_ms: u64::MAX, was_reached: false }
    }
}

impl StoreLimit {
    pub(super) fn set_in_flight(&mut self, in_flight: usize) {
        self.in_flight = in_flight;
    }

    /// How many loads the store serves at full speed, as far as it is known.
    pub(super) fn limit(&self) -> f64 {
        self.limit
    }

    /// Whether a slow load has shown what the store serves.
    pub(super) fn was_reached(&self) -> bool {
        self.was_reached
    }

    /// Takes the limit that another coordinator has learned.
    ///
    /// It counts only until this one has measured a slow load itself.
    pub(super) fn hand_over(&mut self, limit: u32) {
        if !self.was_reached {
            self.limit = self.limit.max(f64::from(limit).min(MAX_LIMIT));
        }
    }

    pub(super) fn has_room(&self) -> bool {
        (self.in_flight as f64) < self.limit.floor()
    }

    pub(super) fn load_started(&mut self) {
        self.in_flight += 1;
    }

    /// Takes the duration of a load.
    pub(super) fn load_took(&mut self, took_ms: u64) {
        if took_ms < MIN_STORE_LOAD_MS {
            return;
        }
        self.fastest_ms = self.fastest_ms.min(took_ms.max(1));
        let slowness = took_ms as f64 / self.fastest_ms as f64;
        if slowness > SLOW_FACTOR {
            self.was_reached = true;
            self.limit = (self.limit - FALL).max(MIN_LIMIT);
        } else if slowness < FAST_FACTOR && self.in_flight as f64 >= self.limit * BUSY_SHARE {
            let rise = if self.was_reached { RISE } else { FIRST_RISE };
            self.limit = (self.limit + rise).min(MAX_LIMIT);
        }
    }
}

#[cfg(test)]
mod tests;
