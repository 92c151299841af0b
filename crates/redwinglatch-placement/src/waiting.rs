//! A request that waits for its placement.

use smallvec::SmallVec;

use crate::{
    RequestKey,
    keys::{AdapterKey, CustomerKey, DataCentreKey, EngineKey, ModelKey},
};

/// A request with its deadline on the coordinator's clock.
#[derive(Debug, Clone)]
pub(crate) struct Waiting {
    pub(crate) key: RequestKey,
    pub(crate) model: ModelKey,
    pub(crate) adapter: AdapterKey,
    pub(crate) customer: CustomerKey,
    pub(crate) arrived_ms: u64,
    pub(crate) deadline_ms: u64,
    /// The expected time that the request runs; at most half of its budget.
    pub(crate) run_ms: u64,
    pub(crate) max_tokens: u32,
    pub(crate) priority: u8,
    pub(crate) data_centre: Option<DataCentreKey>,
    pub(crate) prefix_hashes: SmallVec<[u64; 4]>,
    pub(crate) excluded: SmallVec<[EngineKey; 2]>,
}

impl Waiting {
    /// The latest start with which the request ends in time; new requests are refused beyond it.
    pub(crate) fn latest_start_ms(&self) -> u64 {
        self.deadline_ms - self.run_ms
    }

    /// The latest start with which the request may still end in time. A request that was accepted
    /// is given up only here, so that errors of the estimates refuse no accepted request.
    pub(crate) fn give_up_ms(&self) -> u64 {
        self.deadline_ms - self.run_ms / 2
    }
}
