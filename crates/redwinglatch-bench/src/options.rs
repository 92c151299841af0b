//! What a run of the benches covers.

/// A fault that the driver of the coordinator commits, so that tests can see a checker find it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// A request is sent to an engine without its adapter.
    WrongEngine,
    /// An adapter is evicted while a request runs on it.
    EvictInUse,
    /// A request is refused as not run after it was sent.
    RefuseAfterSending,
    /// More loads than the store serves at full speed are in flight.
    TooManyLoads,
}

/// Options of a run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Options {
    /// The seed of all random choices.
    pub seed: u64,
    /// Whether to run a shortened version, whose verdict uses only counts and ratios.
    pub short: bool,
    /// Whether to measure decision times.
    pub decisions: bool,
    /// The only workload to run, by its name in the report; all if `None`.
    pub workload: Option<String>,
    /// A fault to commit.
    pub fault: Option<Fault>,
}

impl Options {
    /// A full run.
    #[must_use]
    pub fn full() -> Options {
        Options { seed: 1, short: false, decisions: true, workload: None, fault: None }
    }

    /// A run for CI.
    #[must_use]
    pub fn short() -> Options {
        Options { short: true, ..Options::full() }
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
