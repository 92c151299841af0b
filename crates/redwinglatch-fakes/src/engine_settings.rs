//! The settings of a fake engine.

use std::net::SocketAddr;

/// Whether an engine rejects orders with an old or missing fencing token.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FencingMode {
    /// Orders whose token is old or missing are rejected.
    Enforced,
    /// Tokens are ignored.
    Ignored,
}

/// The settings of a [`FakeEngine`](crate::FakeEngine), in builder style.
#[derive(Debug, Clone)]
pub struct EngineSettings {
    pub(crate) model: Box<str>,
    pub(crate) slots: usize,
    pub(crate) max_batch: usize,
    pub(crate) max_waiting: usize,
    pub(crate) step_ms: u64,
    pub(crate) keep_alive_ms: u64,
    pub(crate) load_ms: u64,
    pub(crate) weight_store: Option<SocketAddr>,
    pub(crate) fencing: FencingMode,
    pub(crate) evicts_in_use: bool,
    pub(crate) report_lag_ms: u64,
    pub(crate) event_lag_ms: u64,
    pub(crate) prefix_capacity: usize,
    pub(crate) data_centre: Box<str>,
}

impl EngineSettings {
    /// Describes an engine for the base model `model`.
    #[must_use]
    pub fn new(model: impl Into<Box<str>>) -> EngineSettings {
        EngineSettings {
            model: model.into(),
            slots: 4,
            max_batch: 8,
            max_waiting: 1024,
            step_ms: 1,
            keep_alive_ms: 250,
            load_ms: 0,
            weight_store: None,
            fencing: FencingMode::Enforced,
            evicts_in_use: false,
            report_lag_ms: 0,
            event_lag_ms: 0,
            prefix_capacity: 1024,
            data_centre: "hall-a".into(),
        }
    }

    /// Sets the number of adapter slots.
    #[must_use]
    pub fn slots(mut self, slots: usize) -> EngineSettings {
        self.slots = slots;
        self
    }

    /// Sets how many requests a step can advance by one token.
    #[must_use]
    pub fn max_batch(mut self, max_batch: usize) -> EngineSettings {
        self.max_batch = max_batch;
        self
    }

    /// Sets the queue length at which further requests are rejected with `queue_full`.
    #[must_use]
    pub fn max_waiting(mut self, max_waiting: usize) -> EngineSettings {
        self.max_waiting = max_waiting;
        self
    }

    /// Sets the duration of a step; 0 runs steps without a delay.
    #[must_use]
    pub fn step_ms(mut self, step_ms: u64) -> EngineSettings {
        self.step_ms = step_ms;
        self
    }

    /// Sets the time without a token after which a keep-alive comment is sent.
    #[must_use]
    pub fn keep_alive_ms(mut self, keep_alive_ms: u64) -> EngineSettings {
        self.keep_alive_ms = keep_alive_ms;
        self
    }

    /// Sets how long a load takes in addition to the weight store's transfer time.
    #[must_use]
    pub fn load_ms(mut self, load_ms: u64) -> EngineSettings {
        self.load_ms = load_ms;
        self
    }

    /// Sets the weight store; without one, every adapter and version exists.
    #[must_use]
    pub fn weight_store(mut self, address: SocketAddr) -> EngineSettings {
        self.weight_store = Some(address);
        self
    }

    /// Sets whether orders with an old or missing fencing token are rejected.
    #[must_use]
    pub fn fencing(mut self, fencing: FencingMode) -> EngineSettings {
        self.fencing = fencing;
        self
    }

    /// Sets whether an unload is executed while requests use the adapter.
    ///
    /// Otherwise such an unload is rejected with `adapter_in_use`. Both are recorded as evictions.
    #[must_use]
    pub fn evicts_in_use(mut self, evicts_in_use: bool) -> EngineSettings {
        self.evicts_in_use = evicts_in_use;
        self
    }

    /// Sets by how much reports lag behind the engine's state.
    #[must_use]
    pub fn report_lag_ms(mut self, report_lag_ms: u64) -> EngineSettings {
        self.report_lag_ms = report_lag_ms;
        self
    }

    /// Sets the delay before a cache event can be read.
    #[must_use]
    pub fn event_lag_ms(mut self, event_lag_ms: u64) -> EngineSettings {
        self.event_lag_ms = event_lag_ms;
        self
    }

    /// Sets the capacity of the prefix cache, in prompt prefixes.
    #[must_use]
    pub fn prefix_capacity(mut self, prefix_capacity: usize) -> EngineSettings {
        self.prefix_capacity = prefix_capacity;
        self
    }

    /// Sets the data centre, which tests pass on to [`FakePlatform`](crate::FakePlatform).
    #[must_use]
    pub fn data_centre(mut self, data_centre: impl Into<Box<str>>) -> EngineSettings {
        self.data_centre = data_centre.into();
        self
    }
}
