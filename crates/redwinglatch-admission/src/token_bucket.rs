//! A token bucket whose rate is a share that may change.

/// Millionths of a unit, so that a low rate over few milliseconds is not rounded away.
const UNIT: i64 = 1_000_000;
/// What a bucket holds when its rate is first set, in milliseconds of that rate. An empty one would
/// refuse the first requests of a customer; a full one would exceed the contract more at each move
/// of a share.
const INITIAL_MS: i64 = 250;

/// A token bucket that holds one second of its rate, but at least one unit.
#[derive(Debug, Clone, Default)]
pub struct TokenBucket {
    rate_milli: u64,
    level: i64,
    filled_at_ms: u64,
}

impl TokenBucket {
    /// Changes the rate, in thousandths of a unit per second. A higher rate adds nothing at once.
    pub fn set_rate(&mut self, now_ms: u64, rate_milli: u64) {
        self.fill(now_ms);
        let was_unused = self.rate_milli == 0 && self.level == 0;
        self.rate_milli = rate_milli;
        if was_unused && rate_milli > 0 {
            self.level = self.per_ms().saturating_mul(INITIAL_MS).max(UNIT);
        }
        self.level = self.level.min(self.capacity());
    }

    /// Takes `units` if they are there; otherwise says after how many milliseconds to ask again.
    ///
    /// # Errors
    ///
    /// Fails with the waiting time, or `None` when the rate is zero.
    pub fn take(&mut self, now_ms: u64, units: u32) -> Result<(), Option<u32>> {
        self.take_if(now_ms, units, i64::from(units).saturating_mul(UNIT))
    }

    /// Takes `units` if at least one is there. The rest becomes a debt that later requests wait
    /// for, so a request larger than the bucket is not refused for ever.
    ///
    /// # Errors
    ///
    /// Fails with the waiting time, or `None` when the rate is zero.
    pub fn take_in_advance(&mut self, now_ms: u64, units: u32) -> Result<(), Option<u32>> {
        self.take_if(now_ms, units, UNIT)
    }

    /// Gives back units that were taken but not used.
    pub fn give_back(&mut self, units: u32) {
        let level = self.level.saturating_add(i64::from(units).saturating_mul(UNIT));
        self.level = level.min(self.capacity());
    }

    fn take_if(&mut self, now_ms: u64, units: u32, needed: i64) -> Result<(), Option<u32>> {
        self.fill(now_ms);
        if self.level >= needed {
            self.level = self.level.saturating_sub(i64::from(units).saturating_mul(UNIT));
            return Ok(());
        }
        if self.rate_milli == 0 {
            return Err(None);
        }
        let missing = needed.saturating_sub(self.level);
        let wait_ms = missing.saturating_add(self.per_ms() - 1) / self.per_ms();
        Err(Some(u32::try_from(wait_ms).unwrap_or(u32::MAX)))
    }

    fn fill(&mut self, now_ms: u64) {
        let elapsed_ms = now_ms.saturating_sub(self.filled_at_ms);
        self.filled_at_ms = self.filled_at_ms.max(now_ms);
        let elapsed_ms = i64::try_from(elapsed_ms).unwrap_or(i64::MAX);
        let filled = self.per_ms().saturating_mul(elapsed_ms);
        self.level = self.level.saturating_add(filled).min(self.capacity());
    }

    /// Thousandths per second are millionths per millisecond.
    fn per_ms(&self) -> i64 {
        i64::try_from(self.rate_milli).unwrap_or(i64::MAX)
    }

    fn capacity(&self) -> i64 {
        if self.rate_milli == 0 { 0 } else { self.per_ms().saturating_mul(1_000).max(UNIT) }
    }
}
