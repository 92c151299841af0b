//! Requests that wait for a placement.

use smallvec::SmallVec;

use crate::{
    RequestKey,
    keys::{AdapterKey, CustomerKey, DataCentreKey, EngineKey, ModelKey},
};

/// A waiting request, with its deadline on the coordinator's clock.
#[derive(Debug, Clone)]
pub(crate) struct WaitingRequest {
    pub(crate) key: RequestKey,
    pub(crate) model: ModelKey,
    pub(crate) adapter: AdapterKey,
    pub(crate) customer: CustomerKey,
    pub(crate) arrived_ms: u64,
    pub(crate) deadline_ms: u64,
    /// The expected duration of the request; at most half of its time budget.
    pub(crate) run_ms: u64,
    pub(crate) max_tokens: u32,
    pub(crate) priority: u8,
    pub(crate) data_centre: Option<DataCentreKey>,
    pub(crate) prefix_hashes: SmallVec<[u64; 4]>,
    pub(crate) excluded_engines: SmallVec<[EngineKey; 2]>,
}

impl WaitingRequest {
    /// Returns the latest start with which the request is expected to meet its deadline. New
    /// requests that would start later are refused.
    pub(crate) fn latest_start_ms(&self) -> u64 {
        self.deadline_ms - self.run_ms
    }

    /// Returns the time at which an accepted request is refused if it still waits: the latest start
    /// with which it might meet its deadline if it takes half as long as expected. It is later than
    /// the latest start for new requests, so that an estimation error refuses no accepted request.
    pub(crate) fn refuse_at_ms(&self) -> u64 {
        self.deadline_ms - self.run_ms / 2
    }
}
