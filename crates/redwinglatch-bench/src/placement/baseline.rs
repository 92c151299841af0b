//! The baselines: a fixed choice of the engine, and replacement of the least recently used adapter.

use std::collections::VecDeque;

use super::engine::{Engine, Slot};

/// How a baseline chooses the engine of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Routing {
    RoundRobin,
    LeastLoaded,
    Affinity,
}

/// Failed loads of an adapter after which a baseline refuses the waiting requests.
pub(crate) const MAX_FAILURES: u8 = 3;

/// A load that a baseline wants, in the order of arrival.
#[derive(Debug, Clone)]
pub(crate) struct Want {
    pub(crate) engine: usize,
    pub(crate) adapter: u32,
    pub(crate) waiting: Vec<usize>,
    pub(crate) loading: bool,
    pub(crate) failures: u8,
}

/// A baseline's state. The loads of all engines share one queue in front of the store, which
/// starts no more of them than the store serves at full speed, as favours the baselines.
#[derive(Debug)]
pub(crate) struct Baseline {
    routing: Routing,
    next: usize,
    pub(crate) wants: VecDeque<Want>,
}

impl Baseline {
    pub(crate) fn new(routing: Routing) -> Baseline {
        Baseline { routing, next: 0, wants: VecDeque::new() }
    }

    /// The engine of a request.
    pub(crate) fn route(&mut self, engines: &[Engine], adapter: u32) -> usize {
        match self.routing {
            Routing::RoundRobin => {
                self.next += 1;
                self.next % engines.len()
            }
            Routing::LeastLoaded => {
                // Ties rotate, as otherwise an idle cell would use its first engine only.
                self.next += 1;
                let waiting = |engine: usize| -> usize {
                    self.wants
                        .iter()
                        .filter(|it| it.engine == engine)
                        .map(|it| it.waiting.len())
                        .sum()
                };
                (0..engines.len())
                    .map(|offset| (self.next + offset) % engines.len())
                    .min_by_key(|at| engines[*at].load() + waiting(*at))
                    .unwrap_or_default()
            }
            Routing::Affinity => (0..engines.len())
                .max_by_key(|at| rendezvous_weight(u64::from(adapter), *at as u64))
                .unwrap_or_default(),
        }
    }

    /// Lets a request wait for a load.
    pub(crate) fn wait(&mut self, engine: usize, adapter: u32, request: usize) {
        let want = self.wants.iter_mut().find(|it| (it.engine, it.adapter) == (engine, adapter));
        match want {
            Some(want) => want.waiting.push(request),
            None => self.wants.push_back(Want {
                engine,
                adapter,
                waiting: vec![request],
                loading: false,
                failures: 0,
            }),
        }
    }

    /// Takes a request that reached its deadline out of the queue.
    pub(crate) fn remove(&mut self, request: usize) {
        for want in &mut self.wants {
            want.waiting.retain(|it| *it != request);
        }
        self.wants.retain(|it| it.loading || !it.waiting.is_empty());
    }

    /// Marks the first wanted load that has a slot, and returns it with the adapter to evict.
    pub(crate) fn start(&mut self, engines: &[Engine]) -> Option<(usize, u32, Option<u32>)> {
        for want in self.wants.iter_mut().filter(|it| !it.loading) {
            let engine = &engines[want.engine];
            if engine.slots.len() < engine.slot_count {
                want.loading = true;
                return Some((want.engine, want.adapter, None));
            }
            let unused = |it: &&Slot| it.ready && !engine.in_use(it.adapter);
            let oldest = engine.slots.iter().filter(unused).min_by_key(|it| it.used_us);
            if let Some(oldest) = oldest {
                want.loading = true;
                return Some((want.engine, want.adapter, Some(oldest.adapter)));
            }
        }
        None
    }

    /// Takes a finished load out of the queue.
    pub(crate) fn take(&mut self, engine: usize, adapter: u32) -> Option<Want> {
        let at = self
            .wants
            .iter()
            .position(|it| it.loading && (it.engine, it.adapter) == (engine, adapter))?;
        self.wants.remove(at)
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
