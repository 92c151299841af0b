//! The order in which the adapters of waiting requests are loaded.

use std::{cmp::Reverse, collections::HashMap};

use crate::ids::{ModelName, SoftwareVersion};

use super::{STORE_LOAD_MS, waiting_request::WaitingRequest};

/// The requests that wait for one adapter.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct AdapterDemand {
    pub(super) model: ModelName,
    pub(super) model_hash: u64,
    /// The software version of the engines that may get the requests.
    pub(super) software: Option<SoftwareVersion>,
    /// Requests whose first event would still be on time after a load that starts now.
    on_time: u32,
    /// Late requests of callers that were refused before. A second refusal ends their request.
    returned: u32,
    waiting: u32,
    /// Arrival of the first request, delayed for less urgent ones.
    first_ranked_ms: u64,
    /// Arrival of the first request.
    pub(super) first_received_ms: u64,
    /// The latest time at which a waiting request can be placed.
    pub(super) last_start_ms: u64,
    /// A request was found servable before.
    pub(super) is_admitted: bool,
}

/// Returns the adapters of the waiting requests in the order in which they are loaded.
///
/// Answers the load at which requests wait for more adapters than the store delivers in time, as after
/// a start, a shift of popularity or the loss of the coordinator. Loading in order of arrival then
/// makes every request late. Here each load goes to the adapter with the most requests that it can
/// still serve on time; late requests follow, those of returning callers first.
pub(super) fn load_order<'a>(
    now_ms: u64,
    waiting: impl IntoIterator<Item = &'a WaitingRequest>,
) -> Vec<AdapterDemand> {
    let mut demands: HashMap<u64, AdapterDemand> = HashMap::new();
    for request in waiting {
        let demand = demands.entry(request.model_hash).or_insert_with(|| AdapterDemand {
            model: request.request.model.clone(),
            model_hash: request.model_hash,
            software: request.software,
            on_time: 0,
            returned: 0,
            waiting: 0,
            first_ranked_ms: u64::MAX,
            first_received_ms: u64::MAX,
            last_start_ms: 0,
            is_admitted: false,
        });
        let is_on_time = !request.is_late(now_ms + STORE_LOAD_MS);
        demand.on_time += u32::from(is_on_time);
        demand.returned += u32::from(!is_on_time && request.is_returned());
        demand.waiting += 1;
        demand.is_admitted |= request.is_admitted;
        demand.first_ranked_ms = demand.first_ranked_ms.min(request.ranked_ms());
        demand.first_received_ms = demand.first_received_ms.min(request.received_ms);
        demand.last_start_ms = demand.last_start_ms.max(request.last_start_ms);
    }
    let mut order: Vec<AdapterDemand> = demands.into_values().collect();
    order.sort_unstable_by(|left, right| left.rank().cmp(&right.rank()));
    order
}

/// Requests of one adapter that an engine starts in the time of a load, besides those in progress.
const STARTS_PER_COPY: u32 = 3;
/// Value of a request that is served late, relative to one in time.
const LATE_VALUE: f64 = 0.25;

impl AdapterDemand {
    /// Returns the value of loading the adapter on one more engine: the requests that are served by it, those
    /// that will be late counted less.
    ///
    /// Answers the load at which the store is the bottleneck while hundreds wait for a few adapters in demand
    /// and one request each for many others: a further copy serves several of the former in time.
    pub(super) fn load_value(&self, copies: usize) -> f64 {
        let copies = u32::try_from(copies).unwrap_or(u32::MAX);
        let served = copies.saturating_mul(STARTS_PER_COPY);
        let unserved = self.waiting.saturating_sub(served);
        let by_next = if copies == 0 { self.waiting } else { unserved.min(STARTS_PER_COPY) };
        let on_time = f64::from(self.on_time.saturating_sub(served).min(by_next));
        on_time + (f64::from(by_next) - on_time) * LATE_VALUE
    }

    fn rank(&self) -> (Reverse<u32>, Reverse<u32>, Reverse<u32>, u64, &ModelName) {
        let late = if self.on_time > 0 { 0 } else { self.waiting };
        let returned = if self.on_time > 0 { 0 } else { self.returned };
        (Reverse(self.on_time), Reverse(returned), Reverse(late), self.first_ranked_ms, &self.model)
    }
}
