//! What a run of the benches covers.

/// Options of a run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Options {
    /// The seed of all random choices.
    pub seed: u64,
    /// Whether to run a shortened version, whose verdict uses only counts and ratios.
    pub short: bool,
    /// Whether to measure decision times.
    pub decisions: bool,
}

impl Options {
    /// A full run.
    #[must_use]
    pub fn full() -> Options {
        Options { seed: 1, short: false, decisions: true }
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
