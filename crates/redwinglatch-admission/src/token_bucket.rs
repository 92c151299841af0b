//! A token bucket whose rate may change, as shares of a limit do.

/// Levels are counted in millionths of a unit, so that a low rate over a few milliseconds is not
/// rounded to zero.
const MICRO_PER_UNIT: i64 = 1_000_000;
/// Initial level of a bucket when its rate is first set, in milliseconds of that rate. An empty
/// bucket would refuse the first requests of a customer; a full one would exceed the contract by
/// more each time a share moves between instances.
const INITIAL_FILL_MS: i64 = 250;

/// A token bucket with a capacity of one second of its rate, but at least one unit, unless it is given one of its
/// own.
#[derive(Debug, Clone, Default)]
pub struct TokenBucket {
    rate_milli: u64,
    /// The capacity of its own in units, if it has one.
    capacity: Option<u64>,
    level_micro: i64,
    /// What has been added in vain to the full bucket since units were last taken.
    overflow_micro: i64,
    refilled_at_ms: u64,
}

impl TokenBucket {
    /// Changes the rate, in thousandths of a unit per second. A higher rate adds no units at once.
    pub fn set_rate(&mut self, now_ms: u64, rate_milli: u64) {
        self.refill(now_ms);
        let was_unused = self.rate_milli == 0 && self.level_micro == 0;
        self.rate_milli = rate_milli;
        if was_unused && rate_milli > 0 {
            self.level_micro =
                self.rate_micro_per_ms().saturating_mul(INITIAL_FILL_MS).max(MICRO_PER_UNIT);
        }
        self.level_micro = self.level_micro.min(self.capacity_micro());
    }

    /// Changes the rate, in thousandths of a unit per second, and gives the bucket a capacity of its own. Adds no
    /// units; what exceeds the capacity is lost.
    pub fn set_limit(&mut self, now_ms: u64, rate_milli: u64, capacity: u64) {
        self.refill(now_ms);
        self.rate_milli = rate_milli;
        self.overflow_micro = 0;
        self.capacity = Some(capacity);
        self.level_micro = self.level_micro.min(self.capacity_micro());
    }

    /// Sets the level, at most to the capacity.
    pub fn set_level(&mut self, now_ms: u64, units: u64) {
        self.refill(now_ms);
        self.level_micro = to_micro(units).min(self.capacity_micro());
    }

    /// Lowers the level to at most `units`.
    pub fn lower_to(&mut self, now_ms: u64, units: u64) {
        self.refill(now_ms);
        self.level_micro = self.level_micro.min(to_micro(units));
    }

    /// Returns the units in the bucket; a debt is negative.
    pub fn level(&mut self, now_ms: u64) -> i64 {
        self.refill(now_ms);
        self.level_micro.div_euclid(MICRO_PER_UNIT)
    }

    /// Takes `units` if the bucket contains them. A request for more than the capacity waits until the bucket has been
    /// full for as long as the rest takes to be added. The rest then becomes a debt, so in any time no more is taken
    /// than the capacity and what is added in that time.
    ///
    /// # Errors
    ///
    /// Returns the milliseconds after which to retry, or `None` if the rate is zero.
    pub fn take_up_to_capacity(&mut self, now_ms: u64, units: u64) -> Result<(), Option<u32>> {
        self.refill(now_ms);
        let units_micro = to_micro(units);
        self.take_if(now_ms, units_micro, units_micro.saturating_sub(self.overflow_micro))
    }

    /// Takes `units` if the bucket contains them.
    ///
    /// # Errors
    ///
    /// Returns the milliseconds after which to retry, or `None` if the rate is zero.
    pub fn take(&mut self, now_ms: u64, units: u32) -> Result<(), Option<u32>> {
        let units_micro = to_micro(u64::from(units));
        self.take_if(now_ms, units_micro, units_micro)
    }

    /// Takes `units` if the bucket contains at least one. The rest becomes a debt that later
    /// requests wait for, so a request larger than the bucket is not refused forever.
    ///
    /// # Errors
    ///
    /// Returns the milliseconds after which to retry, or `None` if the rate is zero.
    pub fn take_with_debt(&mut self, now_ms: u64, units: u32) -> Result<(), Option<u32>> {
        self.take_if(now_ms, to_micro(u64::from(units)), MICRO_PER_UNIT)
    }

    /// Puts units that were taken but not used back into the bucket.
    pub fn refund(&mut self, units: u32) {
        let level_micro = self.level_micro.saturating_add(to_micro(u64::from(units)));
        self.level_micro = level_micro.min(self.capacity_micro());
    }

    fn take_if(
        &mut self,
        now_ms: u64,
        units_micro: i64,
        required_micro: i64,
    ) -> Result<(), Option<u32>> {
        self.refill(now_ms);
        if self.level_micro >= required_micro {
            self.level_micro = self.level_micro.saturating_sub(units_micro);
            self.overflow_micro = 0;
            return Ok(());
        }
        if self.rate_milli == 0 {
            return Err(None);
        }
        let missing_micro = required_micro.saturating_sub(self.level_micro);
        let wait_ms =
            missing_micro.saturating_add(self.rate_micro_per_ms() - 1) / self.rate_micro_per_ms();
        Err(Some(u32::try_from(wait_ms).unwrap_or(u32::MAX)))
    }

    fn refill(&mut self, now_ms: u64) {
        let elapsed_ms = now_ms.saturating_sub(self.refilled_at_ms);
        self.refilled_at_ms = self.refilled_at_ms.max(now_ms);
        let elapsed_ms = i64::try_from(elapsed_ms).unwrap_or(i64::MAX);
        let refill_micro = self.rate_micro_per_ms().saturating_mul(elapsed_ms);
        let filled_micro = self.level_micro.saturating_add(refill_micro);
        let excess_micro = filled_micro.saturating_sub(self.capacity_micro()).max(0);
        self.overflow_micro = self.overflow_micro.saturating_add(excess_micro);
        self.level_micro = filled_micro - excess_micro;
    }

    /// Returns the rate in millionths per millisecond, which equals thousandths per second.
    fn rate_micro_per_ms(&self) -> i64 {
        i64::try_from(self.rate_milli).unwrap_or(i64::MAX)
    }

    fn capacity_micro(&self) -> i64 {
        if let Some(capacity) = self.capacity {
            to_micro(capacity)
        } else if self.rate_milli == 0 {
            0
        } else {
            self.rate_micro_per_ms().saturating_mul(1_000).max(MICRO_PER_UNIT)
        }
    }
}

fn to_micro(units: u64) -> i64 {
    i64::try_from(units).unwrap_or(i64::MAX).saturating_mul(MICRO_PER_UNIT)
}
