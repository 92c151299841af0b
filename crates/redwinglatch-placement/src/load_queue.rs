//! Queue of adapter loads from the weight store.

use std::cmp::Reverse;

use smallvec::SmallVec;

use crate::{
    LoadId,
    customers::CustomerTable,
    keys::{AdapterKey, CustomerKey, EngineKey},
};

/// Weight of the latest load in the moving average of load durations.
const LOAD_TIME_WEIGHT: f32 = 0.2;

/// Load durations that must fit between the expected end of a load and its latest useful end
/// before another demand may overtake it.
const OVERTAKING_SLACK_LOADS: u64 = 2;

/// Demand for an adapter by its waiting requests.
#[derive(Debug, Clone, Copy)]
pub(crate) struct AdapterDemand {
    pub(crate) adapter: AdapterKey,
    /// The customer of the first waiting request; the load counts against its share.
    pub(crate) customer: CustomerKey,
    pub(crate) enqueued_ms: u64,
    /// The time by which the adapter has to be loaded for the most urgent request.
    pub(crate) latest_ready_ms: u64,
    pub(crate) waiters: u32,
    /// Whether the adapter has to be loaded; otherwise the requests wait for a place in a batch.
    pub(crate) wants_load: bool,
    /// When a search for a slot first failed.
    pub(crate) blocked_since_ms: Option<u64>,
    /// Time before which the load can't start because all candidate engines are backing off.
    pub(crate) not_before_ms: u64,
}

/// A load order whose result has not been reported yet.
#[derive(Debug, Clone, Copy)]
pub(crate) struct InFlightLoad {
    pub(crate) load: LoadId,
    pub(crate) engine: EngineKey,
    pub(crate) adapter: AdapterKey,
    pub(crate) started_ms: u64,
    pub(crate) is_preload: bool,
    pub(crate) is_abandoned: bool,
    /// Whether the engine restarted or was removed after the order. The load still counts towards
    /// the store limit until its end is reported.
    pub(crate) is_engine_lost: bool,
}

/// A demand in scheduling order, with the expected end of its load.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ScheduledLoad {
    pub(crate) demand_index: usize,
    pub(crate) over_share: bool,
    pub(crate) ready_ms: u64,
}

/// Demands for loads, and the loads in flight.
#[derive(Debug)]
pub(crate) struct LoadQueue {
    pub(crate) demands: Vec<AdapterDemand>,
    pub(crate) in_flight: SmallVec<[InFlightLoad; 4]>,
    pub(crate) load_ms: f32,
    parallel_loads: usize,
    load_starvation_ms: u64,
    next_load: u64,
}

impl LoadQueue {
    pub(crate) fn new(parallel_loads: usize, load_ms: u64, load_starvation_ms: u64) -> LoadQueue {
        LoadQueue {
            demands: Vec::new(),
            in_flight: SmallVec::new(),
            load_ms: load_ms as f32,
            parallel_loads: parallel_loads.max(1),
            load_starvation_ms,
            next_load: 0,
        }
    }

    pub(crate) fn position(&self, adapter: AdapterKey) -> Option<usize> {
        self.demands.iter().position(|it| it.adapter == adapter)
    }

    pub(crate) fn in_flight_load(&self, adapter: AdapterKey) -> Option<&InFlightLoad> {
        self.in_flight.iter().find(|it| it.adapter == adapter && !it.is_abandoned)
    }

    pub(crate) fn is_below_store_limit(&self) -> bool {
        self.in_flight.len() < self.parallel_loads
    }

    pub(crate) fn start(
        &mut self,
        now_ms: u64,
        engine: EngineKey,
        adapter: AdapterKey,
        is_preload: bool,
    ) -> LoadId {
        self.next_load += 1;
        let load = LoadId(self.next_load);
        self.in_flight.push(InFlightLoad {
            load,
            engine,
            adapter,
            started_ms: now_ms,
            is_preload,
            is_abandoned: false,
            is_engine_lost: false,
        });
        load
    }

    /// Removes a load from those in flight; a successful one updates the estimated load time.
    pub(crate) fn finish(
        &mut self,
        now_ms: u64,
        load: LoadId,
        succeeded: bool,
    ) -> Option<InFlightLoad> {
        let at = self.in_flight.iter().position(|it| it.load == load)?;
        let in_flight = self.in_flight.remove(at);
        if succeeded {
            let took_ms = now_ms.saturating_sub(in_flight.started_ms) as f32;
            self.load_ms += LOAD_TIME_WEIGHT * (took_ms.max(1.0) - self.load_ms);
        }
        Some(in_flight)
    }

    /// Returns the expected end of a load in flight.
    pub(crate) fn expected_end_ms(&self, now_ms: u64, in_flight: &InFlightLoad) -> u64 {
        (in_flight.started_ms + self.load_ms as u64).max(now_ms)
    }

    /// Returns the demands that want a load, with the expected ends of their loads if the demands
    /// with the least slack start first and customers above their share come last. No demand is
    /// overtaken for longer than the starvation limit, since the slack is limited by it.
    pub(crate) fn schedule(&self, now_ms: u64, customers: &CustomerTable) -> Vec<ScheduledLoad> {
        let load_ms = self.load_ms.max(1.0) as u64;
        let contended = self.demands.iter().filter(|it| it.wants_load).nth(1).is_some();
        let mut order: Vec<_> = (0..self.demands.len())
            .filter(|demand_index| self.demands[*demand_index].wants_load)
            .map(|demand_index| {
                let it = &self.demands[demand_index];
                let starvation_limit_ms = it.enqueued_ms + self.load_starvation_ms;
                let due_ms = it.latest_ready_ms.saturating_sub(load_ms).min(starvation_limit_ms);
                let over_share = contended
                    && starvation_limit_ms > now_ms
                    && customers.is_over_share(it.customer);
                let share = customers.share_permille(it.customer);
                let key = (
                    over_share,
                    due_ms / load_ms,
                    Reverse(it.waiters),
                    Reverse(share),
                    it.enqueued_ms,
                );
                (key, demand_index)
            })
            .collect();
        order.sort_unstable();

        let mut free_times_ms: SmallVec<[u64; 4]> = SmallVec::new();
        for in_flight in &self.in_flight {
            // Abandoned loads and preloads are expected to end at once.
            let ends_soon = in_flight.is_abandoned || in_flight.is_preload;
            free_times_ms.push(if ends_soon {
                now_ms
            } else {
                self.expected_end_ms(now_ms, in_flight)
            });
        }
        free_times_ms.resize(self.parallel_loads.max(free_times_ms.len()), now_ms);
        order
            .into_iter()
            .map(|((over_share, ..), demand_index)| {
                let earliest = (0..free_times_ms.len())
                    .min_by_key(|it| free_times_ms[*it])
                    .unwrap_or_default();
                let start_ms =
                    free_times_ms[earliest].max(self.demands[demand_index].not_before_ms);
                let ready_ms = start_ms + load_ms;
                free_times_ms[earliest] = ready_ms;
                ScheduledLoad { demand_index, over_share, ready_ms }
            })
            .collect()
    }

    /// Returns the order in which to start loads now. A demand may overtake those with less slack
    /// if all of them would still be in time after one more load; the demands to which this applies
    /// are ordered by the number of waiting requests, highest first.
    pub(crate) fn start_order(&self, now_ms: u64, customers: &CustomerTable) -> Vec<ScheduledLoad> {
        let load_ms = self.load_ms.max(1.0) as u64;
        let order = self.schedule(now_ms, customers);
        let mut all_earlier_have_slack = true;
        let mut keyed: Vec<_> = order
            .into_iter()
            .map(|it| {
                let demand = &self.demands[it.demand_index];
                let waiters = if all_earlier_have_slack { demand.waiters } else { 0 };
                let starvation_limit_ms = demand.enqueued_ms + self.load_starvation_ms + load_ms;
                let latest_ms = demand.latest_ready_ms.min(starvation_limit_ms);
                all_earlier_have_slack &=
                    it.ready_ms + OVERTAKING_SLACK_LOADS * load_ms <= latest_ms;
                ((it.over_share, Reverse(waiters)), it)
            })
            .collect();
        // The sort is stable, so equal demands remain ordered by slack.
        keyed.sort_by_key(|(key, _)| *key);
        keyed.into_iter().map(|(_, it)| it).collect()
    }
}
