//! The order of loads from the weight store.

use std::cmp::Reverse;

use smallvec::SmallVec;

use crate::{
    LoadId,
    customers::CustomerTable,
    keys::{AdapterKey, CustomerKey, EngineKey},
};

/// How much a measured load changes the estimate of the next one.
const LOAD_TIME_GAIN: f32 = 0.2;

/// Loads that must fit between the expected end of a load and its latest moment for another
/// demand to pass it.
const SPARE_LOADS: u64 = 2;

/// An adapter with waiting requests.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Demand {
    pub(crate) adapter: AdapterKey,
    /// The customer of the first waiting request; the load counts against its share.
    pub(crate) customer: CustomerKey,
    pub(crate) enqueued_ms: u64,
    /// The moment at which the adapter has to be ready for the most urgent request.
    pub(crate) latest_ready_ms: u64,
    pub(crate) waiters: u32,
    /// Whether a load is wanted; otherwise the requests wait for a place in a batch.
    pub(crate) wants_load: bool,
    /// Since when no slot could be found.
    pub(crate) blocked_since_ms: Option<u64>,
    /// Until when all possible engines are out of question.
    pub(crate) not_before_ms: u64,
}

/// A load order whose end is not known yet.
#[derive(Debug, Clone, Copy)]
pub(crate) struct InFlight {
    pub(crate) load: LoadId,
    pub(crate) engine: EngineKey,
    pub(crate) adapter: AdapterKey,
    pub(crate) started_ms: u64,
    pub(crate) preload: bool,
    pub(crate) abandoned: bool,
    /// Whether the engine restarted or went away since. The store's lane stays taken until the end
    /// of the order is reported.
    pub(crate) void: bool,
}

/// A demand in the order of the queue, with the expected end of its load.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Scheduled {
    pub(crate) at: usize,
    pub(crate) over_share: bool,
    pub(crate) ready_ms: u64,
}

/// The queue of loads and those in flight.
#[derive(Debug)]
pub(crate) struct LoadQueue {
    pub(crate) demands: Vec<Demand>,
    pub(crate) in_flight: SmallVec<[InFlight; 4]>,
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

    pub(crate) fn is_loading(&self, adapter: AdapterKey) -> Option<&InFlight> {
        self.in_flight.iter().find(|it| it.adapter == adapter && !it.abandoned)
    }

    pub(crate) fn has_free_lane(&self) -> bool {
        self.in_flight.len() < self.parallel_loads
    }

    pub(crate) fn start(
        &mut self,
        now_ms: u64,
        engine: EngineKey,
        adapter: AdapterKey,
        preload: bool,
    ) -> LoadId {
        self.next_load += 1;
        let load = LoadId(self.next_load);
        self.in_flight.push(InFlight {
            load,
            engine,
            adapter,
            started_ms: now_ms,
            preload,
            abandoned: false,
            void: false,
        });
        load
    }

    /// Takes a load out of those in flight; a load that succeeded updates the estimate.
    pub(crate) fn finish(
        &mut self,
        now_ms: u64,
        load: LoadId,
        succeeded: bool,
    ) -> Option<InFlight> {
        let at = self.in_flight.iter().position(|it| it.load == load)?;
        let in_flight = self.in_flight.remove(at);
        if succeeded {
            let took_ms = now_ms.saturating_sub(in_flight.started_ms) as f32;
            self.load_ms += LOAD_TIME_GAIN * (took_ms.max(1.0) - self.load_ms);
        }
        Some(in_flight)
    }

    /// The expected end of a load in flight.
    pub(crate) fn expected_end_ms(&self, now_ms: u64, in_flight: &InFlight) -> u64 {
        (in_flight.started_ms + self.load_ms as u64).max(now_ms)
    }

    /// The demands that want a load with the expected ends of their loads, if those with the least
    /// slack start first; customers above their share come last. No demand is passed over for
    /// longer than the starvation limit, since its slack counts from there.
    pub(crate) fn schedule(&self, now_ms: u64, customers: &CustomerTable) -> Vec<Scheduled> {
        let load_ms = self.load_ms.max(1.0) as u64;
        let contended = self.demands.iter().filter(|it| it.wants_load).nth(1).is_some();
        let mut order: Vec<_> = (0..self.demands.len())
            .filter(|at| self.demands[*at].wants_load)
            .map(|at| {
                let it = &self.demands[at];
                let starving_ms = it.enqueued_ms + self.load_starvation_ms;
                let due_ms = it.latest_ready_ms.saturating_sub(load_ms).min(starving_ms);
                let over_share =
                    contended && starving_ms > now_ms && customers.is_over_share(it.customer);
                let share = customers.share_permille(it.customer);
                let key = (
                    over_share,
                    due_ms / load_ms,
                    Reverse(it.waiters),
                    Reverse(share),
                    it.enqueued_ms,
                );
                (key, at)
            })
            .collect();
        order.sort_unstable();

        let mut lanes: SmallVec<[u64; 4]> = SmallVec::new();
        for in_flight in &self.in_flight {
            // An abandoned or preloading lane is about to be free.
            let yields = in_flight.abandoned || in_flight.preload;
            lanes.push(if yields { now_ms } else { self.expected_end_ms(now_ms, in_flight) });
        }
        lanes.resize(self.parallel_loads.max(lanes.len()), now_ms);
        order
            .into_iter()
            .map(|((over_share, ..), at)| {
                let lane = (0..lanes.len()).min_by_key(|it| lanes[*it]).unwrap_or_default();
                let start_ms = lanes[lane].max(self.demands[at].not_before_ms);
                let ready_ms = start_ms + load_ms;
                lanes[lane] = ready_ms;
                Scheduled { at, over_share, ready_ms }
            })
            .collect()
    }

    /// The order in which to start loads now. A demand goes before those with less slack as long
    /// as all of these would be in time with one load more before them; among the demands for
    /// which that holds, those with the most waiting requests come first.
    pub(crate) fn start_order(&self, now_ms: u64, customers: &CustomerTable) -> Vec<Scheduled> {
        let load_ms = self.load_ms.max(1.0) as u64;
        let order = self.schedule(now_ms, customers);
        let mut all_before_have_spare = true;
        let mut keyed: Vec<_> = order
            .into_iter()
            .map(|it| {
                let demand = &self.demands[it.at];
                let waiters = if all_before_have_spare { demand.waiters } else { 0 };
                let starving_ms = demand.enqueued_ms + self.load_starvation_ms + load_ms;
                let latest_ms = demand.latest_ready_ms.min(starving_ms);
                all_before_have_spare &= it.ready_ms + SPARE_LOADS * load_ms <= latest_ms;
                ((it.over_share, Reverse(waiters)), it)
            })
            .collect();
        // The sort is stable, so the order by slack stays among equals.
        keyed.sort_by_key(|(key, _)| *key);
        keyed.into_iter().map(|(_, it)| it).collect()
    }
}
