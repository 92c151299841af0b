//! The coordinator of a cell.

mod engines;
mod loading;
mod pinning;
mod placing;
mod preloading;
mod refusing;
mod reporting;
mod taking_over;
mod targets;

use std::{
    collections::{BTreeSet, HashMap, HashSet},
    net::SocketAddr,
};

use redwinglatch_core::{EngineId, Epoch, Incarnation, InstanceId, PinId, Refusal, RefusalReason};
use slotmap::SlotMap;

use crate::{
    Effect, RequestKey, Settings,
    adapters::AdapterTable,
    customers::CustomerTable,
    engine::Engine,
    keys::{AdapterKey, EngineKey, PinKey, WaitKey},
    pin::Pin,
    popularity::Popularity,
    queue::LoadQueue,
    waiting::Waiting,
};

pub use taking_over::TakeOver;
use taking_over::Unreported;

/// How often the queue is looked through for requests that can't be served in time.
const SWEEP_INTERVAL_MS: u64 = 50;
/// The first estimate of a request's time for each token that it may generate.
const FIRST_TOKEN_MS: f32 = 20.0;

/// A base model of the cell.
#[derive(Debug)]
struct Model {
    name: Box<str>,
    engines: Vec<EngineKey>,
    /// Places in the batches of all engines that take work, as of the last sweep.
    places: u32,
    /// Free ones among them, kept up to date between sweeps.
    free_places: u32,
    /// Requests that wait.
    waiting: u32,
}

/// Where a known request is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum RequestState {
    Waiting(WaitKey),
    Pinned(PinKey),
}

/// Decides for a cell where requests run and which adapters its engines hold.
#[derive(Debug)]
pub struct Coordinator {
    settings: Settings,
    rng: fastrand::Rng,
    effects: Vec<Effect>,
    epoch: Option<Epoch>,
    /// When the orders of the former coordinator have settled.
    settled_ms: u64,
    settled: bool,
    lease_until_ms: u64,
    unreported: Vec<Unreported>,
    /// Instances whose requests have pins here; requests of others protect what they run on.
    known_instances: HashSet<(InstanceId, Incarnation)>,
    engines: SlotMap<EngineKey, Engine>,
    engine_ids: HashMap<EngineId, EngineKey>,
    engine_addresses: HashMap<SocketAddr, EngineKey>,
    next_engine: u32,
    models: Vec<Model>,
    data_centres: Vec<Box<str>>,
    adapters: AdapterTable,
    customers: CustomerTable,
    queue: LoadQueue,
    /// Whether a slot is kept free of new pins for a load.
    draining: bool,
    /// Loads so far, decayed.
    loads: Popularity,
    /// The age of the least recent adapter, if the slots held the most recent ones.
    recent_ms: u64,
    /// Popular adapters that were loaded once and are not any more.
    lost_adapters: Vec<AdapterKey>,
    requests: HashMap<RequestKey, RequestState>,
    waiting: SlotMap<WaitKey, Waiting>,
    /// Waiting requests by the moment from which they can't be served in time.
    give_up: BTreeSet<(u64, WaitKey)>,
    pins: SlotMap<PinKey, Pin>,
    pin_ids: HashMap<PinId, PinKey>,
    next_pin: u64,
    /// Pins that end when the engine no longer reports their request.
    orphans: Vec<PinKey>,
    /// The measured time of a request for each token that it may generate.
    ms_per_token: f32,
    /// The measured time of a request.
    run_ms: f32,
    /// When the places of all engines were counted; `None` after a change of engines.
    places_counted_ms: Option<u64>,
    next_sweep_ms: u64,
    next_pin_sweep_ms: u64,
}

impl Coordinator {
    /// Creates a coordinator that refuses requests until [`Coordinator::take_over`].
    #[must_use]
    pub fn new(settings: Settings, mut rng: fastrand::Rng) -> Coordinator {
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
            settled: false,
            lease_until_ms: 0,
            unreported: Vec::new(),
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
            draining: false,
            loads: Popularity::default(),
            recent_ms: 0,
            lost_adapters: Vec::new(),
            requests: HashMap::new(),
            waiting: SlotMap::with_key(),
            give_up: BTreeSet::new(),
            pins: SlotMap::with_key(),
            pin_ids: HashMap::new(),
            next_pin: 0,
            orphans: Vec::new(),
            ms_per_token: FIRST_TOKEN_MS,
            run_ms: FIRST_TOKEN_MS * 100.0,
            places_counted_ms: None,
            next_sweep_ms: 0,
            next_pin_sweep_ms: 0,
        }
    }

    /// The settings.
    #[must_use]
    pub fn settings(&self) -> &Settings {
        &self.settings
    }

    /// Takes the effects since the last call, in order.
    pub fn take_effects(&mut self) -> Vec<Effect> {
        std::mem::take(&mut self.effects)
    }

    /// The epoch, unless this coordinator is not in charge.
    #[must_use]
    pub fn epoch(&self) -> Option<Epoch> {
        self.epoch
    }

    /// How many requests wait for a placement.
    #[must_use]
    pub fn waiting_requests(&self) -> usize {
        self.waiting.len()
    }

    /// How many pins are held.
    #[must_use]
    pub fn pins(&self) -> usize {
        self.pins.len()
    }

    /// How many loads are in flight.
    #[must_use]
    pub fn loads_in_flight(&self) -> usize {
        self.queue.in_flight.len()
    }

    /// How many adapters are remembered.
    #[must_use]
    pub fn known_adapters(&self) -> usize {
        self.adapters.len()
    }

    /// The memory for adapters, without the parts of those in use, added up from the sizes of the
    /// tables and names.
    #[must_use]
    pub fn adapter_bytes(&self) -> usize {
        self.adapters.bytes()
    }

    /// Does what is due; call it at [`Coordinator::next_wake_ms`] or more often.
    pub fn tick(&mut self, now_ms: u64) {
        let Some(_) = self.epoch else { return };
        if now_ms >= self.lease_until_ms {
            self.refuse_all_waiting(now_ms, "the coordinator's lease ended");
        }
        if !self.settled && now_ms >= self.settled_ms {
            self.settled = true;
            self.read_all_reports();
        }
        if now_ms >= self.next_pin_sweep_ms {
            self.next_pin_sweep_ms = now_ms + 1_000;
            self.sweep_pins(now_ms);
            self.forget_lost_instances(now_ms);
        }
        self.give_up_late(now_ms);
        if now_ms >= self.next_sweep_ms {
            self.next_sweep_ms = now_ms + SWEEP_INTERVAL_MS;
            self.customers.refresh(now_ms);
            self.count_places(now_ms);
            self.serve_waiting(now_ms);
            self.refuse_unservable(now_ms);
        }
        self.start_loads(now_ms);
    }

    /// The next moment at which [`Coordinator::tick`] has something to do.
    #[must_use]
    pub fn next_wake_ms(&self) -> Option<u64> {
        self.epoch?;
        let mut next_ms = self.next_pin_sweep_ms;
        if !self.settled {
            next_ms = next_ms.min(self.settled_ms);
        }
        if let Some((give_up_ms, _)) = self.give_up.first() {
            next_ms = next_ms.min(*give_up_ms).min(self.next_sweep_ms);
        }
        Some(next_ms)
    }

    fn is_in_charge(&self, now_ms: u64) -> bool {
        self.epoch.is_some() && now_ms < self.lease_until_ms
    }

    /// Whether orders may be sent to the engine now.
    fn may_order(&self, now_ms: u64, engine: &Engine) -> bool {
        let reserve_ms = match engine.fencing {
            crate::Fencing::Honoured => 0,
            crate::Fencing::Ignored => self.settings.order_timeout_ms,
        };
        self.epoch.is_some()
            && self.settled
            && engine.read_back
            && now_ms + reserve_ms < self.lease_until_ms
    }

    fn refuse(&mut self, request: RequestKey, refusal: Refusal) {
        self.effects.push(Effect::Answer { request, answer: Err(refusal) });
    }

    fn refuse_no_coordinator(&mut self, request: RequestKey, detail: &str, retry_after_ms: u64) {
        let refusal = Refusal::not_run(RefusalReason::NoCoordinator, detail);
        self.refuse(request, refusal.retry_after_ms(retry_after(retry_after_ms)));
    }
}

/// A retry delay within sensible bounds.
fn retry_after(delay_ms: u64) -> u32 {
    delay_ms.clamp(50, 60_000) as u32
}
