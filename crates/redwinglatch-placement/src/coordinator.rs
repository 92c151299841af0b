//! The coordinator of a cell: its state and its timers.

mod candidates;
mod engines;
mod loading;
mod pinning;
mod placing;
mod preloading;
mod refusing;
mod snapshots;
mod takeover;

use std::{
    collections::{BTreeSet, HashMap, HashSet},
    net::SocketAddr,
};

use redwinglatch_core::{EngineId, Epoch, Incarnation, InstanceId, PinId, Refusal, RefusalReason};
use slotmap::SlotMap;

use crate::{
    Effect, PlacementSettings, RequestKey,
    adapters::AdapterTable,
    customers::CustomerTable,
    engine_state::EngineState,
    keys::{AdapterKey, EngineKey, PinKey, WaitingKey},
    load_queue::LoadQueue,
    pin::Pin,
    popularity::Popularity,
    waiting_request::WaitingRequest,
};

pub use takeover::CoordinatorTakeover;
use takeover::UnreportedInstance;

/// Interval between checks of the queue for requests that can't meet their deadline.
const SWEEP_INTERVAL_MS: u64 = 50;
/// Initial estimate of the duration of a request per token that it may generate.
const INITIAL_MS_PER_TOKEN: f32 = 20.0;

/// A base model of the cell.
#[derive(Debug)]
struct Model {
    name: Box<str>,
    engines: Vec<EngineKey>,
    /// Places in the batches of all engines that accept requests, counted by the last sweep.
    batch_places: u32,
    /// Free places among them, updated between sweeps.
    free_batch_places: u32,
    /// Number of waiting requests.
    waiting: u32,
}

/// State of a tracked request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum RequestState {
    Waiting(WaitingKey),
    Pinned(PinKey),
}

/// Decides for a cell where requests run and which adapters are loaded on its engines.
#[derive(Debug)]
pub struct Coordinator {
    settings: PlacementSettings,
    rng: fastrand::Rng,
    effects: Vec<Effect>,
    epoch: Option<Epoch>,
    /// Time from which orders of the former coordinator can no longer take effect.
    settled_ms: u64,
    is_settled: bool,
    lease_until_ms: u64,
    unreported_instances: Vec<UnreportedInstance>,
    /// Instances whose pins are known here. Requests of other instances prevent evictions on the
    /// engines that list them.
    known_instances: HashSet<(InstanceId, Incarnation)>,
    engines: SlotMap<EngineKey, EngineState>,
    engine_ids: HashMap<EngineId, EngineKey>,
    engine_addresses: HashMap<SocketAddr, EngineKey>,
    next_engine: u32,
    models: Vec<Model>,
    data_centres: Vec<Box<str>>,
    adapters: AdapterTable,
    customers: CustomerTable,
    queue: LoadQueue,
    /// Whether any slot is draining.
    is_draining: bool,
    /// Decayed count of loads.
    recent_loads: Popularity,
    /// Estimated age of the least recently used loaded adapter under an LRU policy.
    lru_age_ms: u64,
    /// Popular adapters that were loaded before and no longer are.
    preload_candidates: Vec<AdapterKey>,
    requests: HashMap<RequestKey, RequestState>,
    waiting: SlotMap<WaitingKey, WaitingRequest>,
    /// Waiting requests by the time at which they are refused.
    refusal_times: BTreeSet<(u64, WaitingKey)>,
    pins: SlotMap<PinKey, Pin>,
    pin_ids: HashMap<PinId, PinKey>,
    next_pin: u64,
    /// Pins that may end without a release, see [`OrphanState`](crate::pin::OrphanState).
    orphans: Vec<PinKey>,
    /// Moving average of the duration of a request per token that it may generate.
    mean_ms_per_token: f32,
    /// Moving average of the duration of a request.
    mean_run_ms: f32,
    /// When the batch places of all engines were last counted; `None` after the first snapshot
    /// of an engine.
    batch_places_counted_ms: Option<u64>,
    next_sweep_ms: u64,
    next_pin_sweep_ms: u64,
}

impl Coordinator {
    /// Creates a coordinator that refuses requests until [`Coordinator::take_over`].
    #[must_use]
    pub fn new(settings: PlacementSettings, mut rng: fastrand::Rng) -> Coordinator {
        let adapters = AdapterTable::new(
            rng.u64(..),
            settings.max_known_adapters,
            settings.popularity_half_life_ms,
        );
        let queue =
            LoadQueue::new(settings.parallel_loads, settings.load_ms, settings.load_starvation_ms);
        Coordinator {
            settings,
            rng,
            effects: Vec::new(),
            epoch: None,
            settled_ms: 0,
            is_settled: false,
            lease_until_ms: 0,
            unreported_instances: Vec::new(),
            known_instances: HashSet::new(),
            engines: SlotMap::with_key(),
            engine_ids: HashMap::new(),
            engine_addresses: HashMap::new(),
            next_engine: 0,
            models: Vec::new(),
            data_centres: Vec::new(),
            adapters,
            customers: CustomerTable::default(),
            queue,
            is_draining: false,
            recent_loads: Popularity::default(),
            lru_age_ms: 0,
            preload_candidates: Vec::new(),
            requests: HashMap::new(),
            waiting: SlotMap::with_key(),
            refusal_times: BTreeSet::new(),
            pins: SlotMap::with_key(),
            pin_ids: HashMap::new(),
            next_pin: 0,
            orphans: Vec::new(),
            mean_ms_per_token: INITIAL_MS_PER_TOKEN,
            mean_run_ms: INITIAL_MS_PER_TOKEN * 100.0,
            batch_places_counted_ms: None,
            next_sweep_ms: 0,
            next_pin_sweep_ms: 0,
        }
    }

    /// Returns the settings.
    #[must_use]
    pub fn settings(&self) -> &PlacementSettings {
        &self.settings
    }

    /// Returns the effects since the last call, in order.
    pub fn take_effects(&mut self) -> Vec<Effect> {
        std::mem::take(&mut self.effects)
    }

    /// Returns the current epoch, or `None` if this coordinator is not assigned.
    #[must_use]
    pub fn epoch(&self) -> Option<Epoch> {
        self.epoch
    }

    /// Returns the number of requests that wait for a placement.
    #[must_use]
    pub fn waiting_requests(&self) -> usize {
        self.waiting.len()
    }

    /// Returns the number of pins.
    #[must_use]
    pub fn pins(&self) -> usize {
        self.pins.len()
    }

    /// Returns the number of loads in flight.
    #[must_use]
    pub fn loads_in_flight(&self) -> usize {
        self.queue.in_flight.len()
    }

    /// Returns the number of tracked adapters.
    #[must_use]
    pub fn known_adapters(&self) -> usize {
        self.adapters.len()
    }

    /// Returns the estimated memory use of the adapter table: its tables and names, without the
    /// additional state of active adapters.
    #[must_use]
    pub fn adapter_bytes(&self) -> usize {
        self.adapters.bytes()
    }

    /// Runs the timers that are due. Call it at [`Coordinator::next_wake_ms`] or more often.
    pub fn tick(&mut self, now_ms: u64) {
        let Some(_) = self.epoch else { return };
        if now_ms >= self.lease_until_ms {
            self.refuse_all_waiting(now_ms, "the coordinator's lease expired");
        }
        if !self.is_settled && now_ms >= self.settled_ms {
            self.is_settled = true;
            self.read_all_snapshots();
        }
        if now_ms >= self.next_pin_sweep_ms {
            self.next_pin_sweep_ms = now_ms + 1_000;
            self.sweep_pins(now_ms);
            self.expire_lost_instances(now_ms);
        }
        self.refuse_expired(now_ms);
        if now_ms >= self.next_sweep_ms {
            self.next_sweep_ms = now_ms + SWEEP_INTERVAL_MS;
            self.customers.refresh(now_ms);
            self.count_batch_places(now_ms);
            self.place_all_waiting(now_ms);
            self.refuse_unservable(now_ms);
        }
        self.start_loads(now_ms);
    }

    /// Returns the next time at which [`Coordinator::tick`] has work to do.
    #[must_use]
    pub fn next_wake_ms(&self) -> Option<u64> {
        self.epoch?;
        let mut next_ms = self.next_pin_sweep_ms;
        if !self.is_settled {
            next_ms = next_ms.min(self.settled_ms);
        }
        if let Some((refuse_at_ms, _)) = self.refusal_times.first() {
            next_ms = next_ms.min(*refuse_at_ms).min(self.next_sweep_ms);
        }
        Some(next_ms)
    }

    fn has_valid_lease(&self, now_ms: u64) -> bool {
        self.epoch.is_some() && now_ms < self.lease_until_ms
    }

    /// Returns whether orders may be sent to the engine now.
    fn can_order(&self, now_ms: u64, engine: &EngineState) -> bool {
        let reserve_ms = match engine.fencing {
            crate::FencingMode::Honoured => 0,
            crate::FencingMode::Ignored => self.settings.order_timeout_ms,
        };
        self.epoch.is_some()
            && self.is_settled
            && engine.is_read_back
            && now_ms + reserve_ms < self.lease_until_ms
    }

    fn refuse(&mut self, request: RequestKey, refusal: Refusal) {
        self.effects.push(Effect::Respond { request, result: Err(refusal) });
    }

    fn refuse_no_coordinator(&mut self, request: RequestKey, detail: &str, retry_after_ms: u64) {
        let refusal = Refusal::not_run(RefusalReason::NoCoordinator, detail);
        self.refuse(request, refusal.retry_after_ms(retry_after(retry_after_ms)));
    }
}

/// Limits a retry delay to between 50 ms and 60 s.
fn retry_after(delay_ms: u64) -> u32 {
    delay_ms.clamp(50, 60_000) as u32
}
