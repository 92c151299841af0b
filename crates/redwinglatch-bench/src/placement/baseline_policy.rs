//! Baseline policies: they choose an engine by a fixed rule and evict its least recently used
//! adapter.

use std::collections::VecDeque;

use super::simulated_engine::{SimulatedEngine, Slot};

/// Rule by which a baseline chooses the engine of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Routing {
    RoundRobin,
    LeastLoaded,
    Affinity,
}

/// Number of failed loads of an adapter after which a baseline refuses the waiting requests.
pub(crate) const MAX_LOAD_FAILURES: u8 = 3;

/// A load that is queued or in progress, with the requests that wait for it.
#[derive(Debug, Clone)]
pub(crate) struct RequestedLoad {
    pub(crate) engine: usize,
    pub(crate) adapter: u32,
    pub(crate) waiting: Vec<usize>,
    pub(crate) is_loading: bool,
    pub(crate) failures: u8,
}

/// State of a baseline policy. All engines share one load queue, in order of arrival, which starts
/// no more loads than the store serves at full speed. This favours the baselines.
#[derive(Debug)]
pub(crate) struct BaselinePolicy {
    routing: Routing,
    next_engine: usize,
    pub(crate) requested_loads: VecDeque<RequestedLoad>,
}

impl BaselinePolicy {
    pub(crate) fn new(routing: Routing) -> BaselinePolicy {
        BaselinePolicy { routing, next_engine: 0, requested_loads: VecDeque::new() }
    }

    /// Chooses the engine of a request.
    pub(crate) fn route(&mut self, engines: &[SimulatedEngine], adapter: u32) -> usize {
        match self.routing {
            Routing::RoundRobin => {
                self.next_engine += 1;
                self.next_engine % engines.len()
            }
            Routing::LeastLoaded => {
                // Ties are broken in rotation; otherwise an idle cell would use only its first
                // engine.
                self.next_engine += 1;
                let waiting = |engine: usize| -> usize {
                    self.requested_loads
                        .iter()
                        .filter(|it| it.engine == engine)
                        .map(|it| it.waiting.len())
                        .sum()
                };
                (0..engines.len())
                    .map(|offset| (self.next_engine + offset) % engines.len())
                    .min_by_key(|engine| engines[*engine].request_count() + waiting(*engine))
                    .unwrap_or_default()
            }
            Routing::Affinity => (0..engines.len())
                .max_by_key(|engine| rendezvous_weight(u64::from(adapter), *engine as u64))
                .unwrap_or_default(),
        }
    }

    /// Adds a request to those that wait for a load, and queues the load if necessary.
    pub(crate) fn enqueue(&mut self, engine: usize, adapter: u32, request: usize) {
        let requested_load =
            self.requested_loads.iter_mut().find(|it| (it.engine, it.adapter) == (engine, adapter));
        match requested_load {
            Some(requested_load) => requested_load.waiting.push(request),
            None => self.requested_loads.push_back(RequestedLoad {
                engine,
                adapter,
                waiting: vec![request],
                is_loading: false,
                failures: 0,
            }),
        }
    }

    /// Removes a request that reached its deadline.
    pub(crate) fn remove_request(&mut self, request: usize) {
        for requested_load in &mut self.requested_loads {
            requested_load.waiting.retain(|it| *it != request);
        }
        self.requested_loads.retain(|it| it.is_loading || !it.waiting.is_empty());
    }

    /// Marks the first queued load whose engine has a free or evictable slot as in progress.
    /// Returns its engine, its adapter and the adapter to evict.
    pub(crate) fn start_next(
        &mut self,
        engines: &[SimulatedEngine],
    ) -> Option<(usize, u32, Option<u32>)> {
        for requested_load in self.requested_loads.iter_mut().filter(|it| !it.is_loading) {
            let engine = &engines[requested_load.engine];
            if engine.slots.len() < engine.slot_count {
                requested_load.is_loading = true;
                return Some((requested_load.engine, requested_load.adapter, None));
            }
            let unused = |it: &&Slot| it.is_ready && !engine.is_in_use(it.adapter);
            let least_recently_used =
                engine.slots.iter().filter(unused).min_by_key(|it| it.last_used_us);
            if let Some(least_recently_used) = least_recently_used {
                requested_load.is_loading = true;
                return Some((
                    requested_load.engine,
                    requested_load.adapter,
                    Some(least_recently_used.adapter),
                ));
            }
        }
        None
    }

    /// Removes a load that ended.
    pub(crate) fn remove_started(&mut self, engine: usize, adapter: u32) -> Option<RequestedLoad> {
        let index = self
            .requested_loads
            .iter()
            .position(|it| it.is_loading && (it.engine, it.adapter) == (engine, adapter))?;
        self.requested_loads.remove(index)
    }
}

fn rendezvous_weight(adapter: u64, engine: u64) -> u64 {
    // The finaliser of splitmix64.
    let mut it =
        adapter.wrapping_mul(0x9E37_79B9_7F4A_7C15) ^ engine.wrapping_mul(0xD1B5_4A32_D192_ED03);
    it = (it ^ (it >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
    it = (it ^ (it >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
    it ^ (it >> 31)
}
