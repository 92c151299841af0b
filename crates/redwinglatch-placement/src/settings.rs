//! Settings of a cell's coordinator.

/// Tells a coordinator how to weigh its choices and which limits to keep.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// Loads that the weight store serves at full speed at the same time.
    pub parallel_loads: usize,
    /// The first estimate of one load's time; measured loads replace it.
    pub load_ms: u64,
    /// The longest that a load waits behind loads with less slack.
    pub load_starvation_ms: u64,
    /// Weight of load stalls in the cost of a choice.
    pub stall_weight: f32,
    /// Weight of the step time for each request in the batch.
    pub batch_weight: f32,
    /// Cost of an engine in another data centre than the entry instance.
    pub distance_ms: u32,
    /// Time of an engine step without its requests.
    pub step_base_ms: f32,
    /// Time that each request in the batch adds to a step.
    pub step_request_ms: f32,
    /// Time that each distinct adapter in the batch adds to a step.
    pub step_adapter_ms: f32,
    /// Requests sent to an engine beyond its batch limit, so that a finished request is followed
    /// by the next one without a round trip.
    pub queue_ahead: u32,
    /// Whether popular adapters are loaded before a request asks for them.
    pub preload: bool,
    /// Age from which an engine's report counts as unknown.
    pub report_stale_ms: u64,
    /// Time that an order may take; engines that ignore fencing get no order with less lease left.
    pub order_timeout_ms: u64,
    /// First wait after a failed load or a failed engine.
    pub backoff_ms: u64,
    /// Longest wait after a failed load or a failed engine.
    pub backoff_max_ms: u64,
    /// Failed loads of one adapter after which its waiting requests are refused.
    pub max_load_failures: u8,
    /// Time after a request's deadline at which its pin may end.
    pub pin_grace_ms: u64,
    /// Longest time budget of any request.
    pub max_budget_ms: u64,
    /// Time in which an adapter's popularity estimate halves without requests.
    pub popularity_half_life_ms: u32,
    /// Adapters remembered; the least popular idle ones are forgotten beyond it.
    pub max_known_adapters: usize,
    /// Requests that may wait at the same time.
    pub max_waiting: usize,
    /// Prefix hashes remembered for each engine.
    pub max_prefixes_per_engine: usize,
    /// Engines considered for a load; in a larger cell a random sample of this size is drawn.
    pub sampled_engines: usize,
}

impl Settings {
    /// Settings for workloads whose load stalls weigh more than batch efficiency.
    #[must_use]
    pub fn stalls_first() -> Settings {
        Settings {
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
            report_stale_ms: 3_000,
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

    /// Settings for workloads whose batch efficiency weighs more than load stalls.
    #[must_use]
    pub fn batches_first() -> Settings {
        Settings {
            parallel_loads: 2,
            load_ms: 444,
            stall_weight: 0.25,
            batch_weight: 1.0,
            distance_ms: 3,
            ..Settings::stalls_first()
        }
    }
}

impl Default for Settings {
    fn default() -> Settings {
        Settings::stalls_first()
    }
}
