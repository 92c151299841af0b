//! Names of adapters and their versions.

use std::fmt;

use serde::{Deserialize, Serialize};

/// One version of an adapter.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct AdapterVersion {
    /// The adapter's name, as callers and engines use it.
    pub adapter: Box<str>,
    /// The adapter's version, counted from 1.
    pub version: u32,
}

impl AdapterVersion {
    /// Creates the name of `version` of `adapter`.
    #[must_use]
    pub fn new(adapter: impl Into<Box<str>>, version: u32) -> AdapterVersion {
        AdapterVersion { adapter: adapter.into(), version }
    }
}

impl fmt::Display for AdapterVersion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}@{}", self.adapter, self.version)
    }
}
