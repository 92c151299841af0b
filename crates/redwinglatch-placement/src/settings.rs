//! Settings of a cell's coordinator.

/// Cost weights, estimates and limits of a coordinator.
#[derive(Debug, Clone, PartialEq)]
pub struct PlacementSettings {
    /// The most concurrent loads that the weight store serves at full speed (the store limit).
    pub parallel_loads: usize,
    /// Initial estimate of the duration of a load, replaced by measured durations.
    pub load_ms: u64,
    /// The longest time that a load waits behind loads with less slack.
    pub load_starvation_ms: u64,
    /// Weight of load stalls in the cost of a placement.
    pub stall_weight: f32,
    /// Weight of an engine's step time per request in the cost of a placement.
    pub batch_weight: f32,
    /// Cost of choosing an engine in another data centre than the entry instance.
    pub distance_ms: u32,
    /// Fixed part of the duration of an engine step.
    pub step_base_ms: f32,
    /// Duration that each request in the batch adds to a step.
    pub step_request_ms: f32,
    /// Duration that each distinct adapter in the batch adds to a step.
    pub step_adapter_ms: f32,
    /// Requests sent to an engine beyond its batch limit, so that the next request can join the
    /// batch without a round trip when one finishes.
    pub queue_ahead: u32,
    /// Whether popular adapters are loaded before they are requested.
    pub preload: bool,
    /// Age beyond which an engine's snapshot counts as stale.
    pub snapshot_stale_ms: u64,
    /// Timeout of an order; engines that ignore fencing get no order when less than this remains
    /// of the lease.
    pub order_timeout_ms: u64,
    /// Initial backoff after a failed load or an engine failure.
    pub backoff_ms: u64,
    /// Maximum backoff after a failed load or an engine failure.
    pub backoff_max_ms: u64,
    /// Consecutive failed loads of an adapter after which its waiting requests are refused.
    pub max_load_failures: u8,
    /// Time after a request's deadline from which its pin may end without a release.
    pub pin_grace_ms: u64,
    /// Upper limit of a request's time budget.
    pub max_budget_ms: u64,
    /// Half-life of an adapter's popularity estimate without requests.
    pub popularity_half_life_ms: u32,
    /// The most adapters tracked; beyond it the least popular idle ones are removed.
    pub max_known_adapters: usize,
    /// The most requests that may wait at the same time.
    pub max_waiting: usize,
    /// The most prefix hashes tracked for each engine.
    pub max_prefixes_per_engine: usize,
    /// Engines considered for a load; a model with more engines is sampled at random.
    pub sampled_engines: usize,
}

impl PlacementSettings {
    /// Returns settings for workloads where load stalls weigh more than batch efficiency.
    #[must_use]
    pub fn stalls_first() -> PlacementSettings {
        PlacementSettings {
            parallel_loads: 1,
            load_ms: 333,
            load_starvation_ms: 10_000,
            stall_weight: 1.0,
            batch_weight: 0.25,
            distance_ms: 1,
            step_base_ms: 12.0,
            step_request_ms: 0.5,
            step_adapter_ms: 0.5,
            queue_ahead: 2,
            preload: true,
            snapshot_stale_ms: 3_000,
            order_timeout_ms: 1_000,
            backoff_ms: 250,
            backoff_max_ms: 8_000,
            max_load_failures: 3,
            pin_grace_ms: 5_000,
            max_budget_ms: 120_000,
            popularity_half_life_ms: 120_000,
            max_known_adapters: 65_536,
            max_waiting: 10_000,
            max_prefixes_per_engine: 4_096,
            sampled_engines: 64,
        }
    }

    /// Returns settings for workloads where batch efficiency weighs more than load stalls.
    #[must_use]
    pub fn batches_first() -> PlacementSettings {
        PlacementSettings {
            parallel_loads: 2,
            load_ms: 444,
            stall_weight: 0.25,
            batch_weight: 1.0,
            distance_ms: 3,
            ..PlacementSettings::stalls_first()
        }
    }
}

impl Default for PlacementSettings {
    fn default() -> PlacementSettings {
        PlacementSettings::stalls_first()
    }
}
