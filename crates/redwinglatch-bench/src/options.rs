//! Options of a benchmark run.

/// A fault that the coordinated policy injects, so that tests can verify that a check detects it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum InjectedFault {
    /// A request is sent to an engine without its adapter.
    WrongEngine,
    /// An adapter is evicted while a request runs on it.
    EvictInUse,
    /// A request is refused as not run after it was sent.
    RefuseAfterSending,
    /// More loads are in flight than the store serves at full speed.
    TooManyLoads,
}

/// Options of a benchmark run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Options {
    /// The seed of all random choices.
    pub seed: u64,
    /// Whether to run a shortened version, whose verdict ignores the bounds on measured times.
    pub is_short: bool,
    /// Whether to run the decision benchmark.
    pub has_decisions: bool,
    /// Name of the only workload to run, as in the report; `None` runs all.
    pub workload: Option<String>,
    /// A fault to inject.
    pub fault: Option<InjectedFault>,
}

impl Options {
    /// Options of a full run.
    #[must_use]
    pub fn full() -> Options {
        Options { seed: 1, is_short: false, has_decisions: true, workload: None, fault: None }
    }

    /// Options of a shortened run for CI.
    #[must_use]
    pub fn short() -> Options {
        Options { is_short: true, ..Options::full() }
    }

    /// Sets the seed.
    #[must_use]
    pub fn seed(mut self, seed: u64) -> Options {
        self.seed = seed;
        self
    }
}

impl Default for Options {
    fn default() -> Options {
        Options::full()
    }
}
