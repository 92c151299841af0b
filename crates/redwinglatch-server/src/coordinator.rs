//! The coordinator of a cell: drives the placement decisions and sends its orders to engines.

mod convert;
mod engine;
mod handlers;
mod messages;
mod orders;

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use redwinglatch_backends::BackendClient;
use redwinglatch_core::prelude::*;
use redwinglatch_instances::{PeerMessage, Transport};
use redwinglatch_metrics::{Counter, Gauge, Metrics};
use redwinglatch_placement::{
    Coordinator, CoordinatorTakeover, Effect, EngineInfo, FencingMode, LoadFailure, LoadOrder,
    Placement, Release, RequestKey,
};
use redwinglatch_settings::Settings;
use tokio::sync::oneshot;
use tokio::time::{Instant, MissedTickBehavior, interval, sleep};
use xtra::prelude::*;

pub(crate) use messages::{
    CellStatus, EndPin, ListedEngine, Place, ReadCellStatus, UpdateEngines, Withdraw,
};

use self::convert::{configured_engines, placement_settings};
use self::engine::Engine;
use self::messages::{CancelEnded, EventsRead, LoadEnded, PinsRead, ReportRead, Tick};
use self::orders::load_adapter;
use crate::clock::Clock;
use crate::entry::{EntryActor, ReadGrant};

const TICK_INTERVAL: Duration = Duration::from_millis(20);
/// How often the own right to coordinate is read.
const GRANT_INTERVAL_MS: u64 = 100;
/// How long an instance may take to report its pins before it is asked again.
const REPORT_PINS_LIMIT: Duration = Duration::from_millis(500);
/// How long releases are remembered after a takeover: an instance may release a pin while its
/// report that lists the pin is still under way.
const EARLY_RELEASE_KEPT_MS: u64 = 30_000;
/// A load may take this many times its usual duration before it counts as timed out.
const LOAD_TIMEOUT_FACTOR: u64 = 4;
/// Adapters with a failed load that are remembered to count the next load as a retry.
const MAX_FAILED_LOADS: usize = 1_024;

pub(crate) type PlaceAnswer = Result<Placement, Refusal>;

/// What a coordinator task is started with.
pub(crate) struct CoordinatorParts {
    pub(crate) cell: CellId,
    pub(crate) settings: Settings,
    pub(crate) clock: Clock,
    pub(crate) metrics: Arc<Metrics>,
    pub(crate) backends: BackendClient,
    pub(crate) transport: Transport<PeerMessage>,
    pub(crate) entry: Address<EntryActor>,
    pub(crate) rng: fastrand::Rng,
}

/// Owns the placement decisions of one cell.
pub(crate) struct CoordinatorActor {
    parts: CoordinatorParts,
    coordinator: Coordinator,
    engines: HashMap<EngineId, Engine>,
    waiting: HashMap<RequestKey, Vec<oneshot::Sender<PlaceAnswer>>>,
    placed: HashMap<RequestKey, PinId>,
    live: HashSet<(InstanceId, Incarnation)>,
    early_releases: Vec<(PinId, Release)>,
    early_releases_until_ms: u64,
    grant_read_at_ms: u64,
    /// Adapters whose last load failed and has not been ordered again.
    failed_loads: HashSet<AdapterVersion>,
}

impl CoordinatorActor {
    pub(crate) fn spawn(mut parts: CoordinatorParts) -> Address<CoordinatorActor> {
        let cell = &parts.settings.cells[usize::from(parts.cell.0)];
        let settings = placement_settings(&parts.settings, cell);
        let coordinator = Coordinator::new(settings, parts.rng.fork());
        let engines = configured_engines(&parts.settings, &cell.name);
        let mut actor = CoordinatorActor {
            parts,
            coordinator,
            engines: HashMap::new(),
            waiting: HashMap::new(),
            placed: HashMap::new(),
            live: HashSet::new(),
            early_releases: Vec::new(),
            early_releases_until_ms: 0,
            grant_read_at_ms: 0,
            failed_loads: HashSet::new(),
        };
        actor.update_engines(&engines);
        let address = xtra::spawn_tokio(actor, Mailbox::unbounded());
        let weak = address.downgrade();
        tokio::spawn(async move {
            let mut ticks = interval(TICK_INTERVAL);
            ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
            loop {
                ticks.tick().await;
                if weak.send(Tick).await.is_err() {
                    return;
                }
            }
        });
        address
    }

    fn now_ms(&self) -> u64 {
        self.parts.clock.now_ms()
    }

    fn update_engines(&mut self, listed: &[ListedEngine]) {
        let now_ms = self.now_ms();
        for engine in listed {
            // Adding an engine again takes back that it is leaving, and the list may lag behind
            // the engine's own word; so only a changed entry counts.
            if self.engines.values().any(|known| known.is_listed_as(engine)) {
                continue;
            }
            let pool = self.parts.settings.pools.iter().find(|pool| pool.name == engine.pool);
            let Some((pool, engine_pool)) = pool.and_then(|pool| Some((pool, pool.engine()?)))
            else {
                continue;
            };
            let id = self.coordinator.engine_added(
                now_ms,
                EngineInfo {
                    address: engine.address,
                    model: engine_pool.model.clone(),
                    data_centre: engine.data_centre.clone(),
                    fencing: match engine_pool.fencing {
                        redwinglatch_settings::FencingMode::Enforced => FencingMode::Honoured,
                        redwinglatch_settings::FencingMode::Ignored => FencingMode::Ignored,
                    },
                },
            );
            if engine.leaving {
                self.coordinator.engine_leaving(now_ms, id);
            }
            let known = self.engines.entry(id).or_insert_with(|| Engine {
                pool: pool.name.clone(),
                address: engine.address,
                data_centre: engine.data_centre.clone(),
                leaving: false,
                report_ms: pool.report_ms,
                report_due_ms: now_ms,
                reading: false,
                last_report: None,
            });
            known.data_centre = engine.data_centre.clone();
            known.leaving = engine.leaving;
        }
        let gone: Vec<EngineId> = self
            .engines
            .iter()
            .filter(|(_, known)| !listed.iter().any(|engine| engine.address == known.address))
            .map(|(id, _)| *id)
            .collect();
        for id in gone {
            self.engines.remove(&id);
            self.coordinator.engine_removed(now_ms, id);
        }
    }

    /// Follows the right to coordinate: takes over, extends the lease, notices lost instances.
    async fn follow_grant(&mut self, now_ms: u64, ctx: &Context<Self>) {
        if now_ms < self.grant_read_at_ms + GRANT_INTERVAL_MS {
            return;
        }
        self.grant_read_at_ms = now_ms;
        let Ok(grant) = self.parts.entry.send(ReadGrant(self.parts.cell)).await else { return };
        let Some(grant) = grant else {
            if self.coordinator.epoch().is_some() {
                log::info!(
                    "placement: this instance no longer coordinates cell {}",
                    self.parts.cell
                );
                self.coordinator.resign(now_ms);
                self.placed.clear();
                self.parts.metrics.adjust(Gauge::CellsCoordinated, -1);
            }
            return;
        };
        let live: HashSet<_> = grant.live.iter().copied().collect();
        if self.coordinator.epoch() == Some(grant.epoch) {
            self.coordinator.lease_renewed(grant.lease_until_ms);
            for &(instance, incarnation) in self.live.difference(&live) {
                log::info!("placement: instance {instance} is lost; its pins are ended");
                self.coordinator.instance_lost(now_ms, instance, incarnation);
            }
        } else {
            log::info!(
                "placement: this instance coordinates cell {} in epoch {}",
                self.parts.cell,
                grant.epoch
            );
            if self.coordinator.epoch().is_none() {
                self.parts.metrics.adjust(Gauge::CellsCoordinated, 1);
            }
            self.placed.clear();
            self.early_releases.clear();
            self.early_releases_until_ms = now_ms + EARLY_RELEASE_KEPT_MS;
            self.coordinator.take_over(
                now_ms,
                CoordinatorTakeover {
                    epoch: grant.epoch,
                    // The control leader grants the cell only after orders of the former coordinator
                    // have settled.
                    settle_ms: 0,
                    lease_until_ms: grant.lease_until_ms,
                    live: grant.live.clone(),
                },
            );
            for (instance, incarnation) in grant.live {
                self.collect_pins(grant.epoch, instance, incarnation, ctx);
            }
        }
        self.live = live;
    }

    /// Asks an instance for its pins until it answers or another epoch starts.
    fn collect_pins(
        &self,
        epoch: Epoch,
        instance: InstanceId,
        incarnation: Incarnation,
        ctx: &Context<Self>,
    ) {
        let address = ctx.mailbox().address();
        let transport = self.parts.transport.clone();
        let entry = self.parts.entry.clone();
        let cell = self.parts.cell;
        let own = self.parts.settings.instance.id;
        // Beyond this the instance is gone: its lease has ended long before.
        let give_up_at = Instant::now() + 10 * Duration::from_millis(self.lease_ms());
        tokio::spawn(async move {
            while Instant::now() < give_up_at {
                let answer = if instance == own {
                    let pins = entry.send(crate::entry::ListPins { cell, epoch }).await;
                    pins.ok().map(|pins| (incarnation, pins))
                } else {
                    let message = PeerMessage::ReportPins { cell, epoch };
                    match transport.call(instance, message, REPORT_PINS_LIMIT).await {
                        Ok(PeerMessage::Pins { incarnation, pins }) => Some((incarnation, pins)),
                        _ => None,
                    }
                };
                if let Some((answered, pins)) = answer {
                    // A restarted process holds no pins of its former life; that life is lost.
                    if answered == incarnation {
                        let read = PinsRead { epoch, instance, incarnation, pins };
                        let _ = address.send(read).await;
                        return;
                    }
                }
                sleep(REPORT_PINS_LIMIT).await;
            }
        });
    }

    fn lease_ms(&self) -> u64 {
        self.parts.settings.control.lease_ms
    }

    fn read_due_reports(&mut self, now_ms: u64, ctx: &Context<Self>) {
        if self.coordinator.epoch().is_none() {
            return;
        }
        let due: Vec<(EngineId, SocketAddr)> = self
            .engines
            .iter()
            .filter(|(_, engine)| !engine.reading && engine.report_due_ms <= now_ms)
            .map(|(id, engine)| (*id, engine.address))
            .collect();
        for (id, address) in due {
            self.read_report(id, address, ctx);
        }
    }

    fn read_report(&mut self, engine: EngineId, address: SocketAddr, ctx: &Context<Self>) {
        let asked_ms = self.now_ms();
        if let Some(known) = self.engines.get_mut(&engine) {
            known.reading = true;
            known.report_due_ms = asked_ms + known.report_ms;
        }
        let backends = self.parts.backends.clone();
        let actor = ctx.mailbox().address();
        tokio::spawn(async move {
            let result = backends.report(address).await;
            let _ = actor.send(ReportRead { engine, asked_ms, result }).await;
        });
    }

    /// Performs what the decisions ask for.
    fn perform(&mut self, ctx: &Context<Self>) {
        for effect in self.coordinator.take_effects() {
            match effect {
                Effect::Respond { request, result } => self.answer(request, &result),
                Effect::Load(order) => self.load(order, ctx),
                Effect::Unload { epoch, address, adapter, .. } => {
                    self.parts.metrics.increment(Counter::UnloadsOrdered);
                    let backends = self.parts.backends.clone();
                    tokio::spawn(async move {
                        if let Err(error) = backends.unload(address, &adapter, epoch).await {
                            log::debug!("placement: unload of {adapter} on {address}: {error}");
                        }
                    });
                }
                Effect::Cancel { epoch, address, request, .. } => {
                    let backends = self.parts.backends.clone();
                    let actor = ctx.mailbox().address();
                    tokio::spawn(async move {
                        let cancelled = backends.cancel(address, &request.to_string(), epoch).await;
                        let acknowledged = cancelled.is_ok();
                        let _ = actor.send(CancelEnded { request, acknowledged }).await;
                    });
                }
                Effect::ReadSnapshot { engine, address } => self.read_report(engine, address, ctx),
                Effect::ReadCacheEvents { engine, address, after } => {
                    let backends = self.parts.backends.clone();
                    let actor = ctx.mailbox().address();
                    tokio::spawn(async move {
                        let result = backends.events(address, after).await;
                        let _ = actor.send(EventsRead { engine, after, result }).await;
                    });
                }
                Effect::Deposed { epoch } => {
                    log::warn!("placement: an engine knows a newer epoch than {epoch}");
                    self.placed.clear();
                    self.parts.metrics.adjust(Gauge::CellsCoordinated, -1);
                }
            }
        }
        let gauge = |count: usize| i64::try_from(count).unwrap_or(i64::MAX);
        self.parts.metrics.set(Gauge::Pins, gauge(self.coordinator.pins()));
        let loads = self.coordinator.loads_in_flight();
        self.parts.metrics.set(Gauge::LoadsInFlight, gauge(loads));
    }

    fn answer(&mut self, request: RequestKey, answer: &PlaceAnswer) {
        let replies = self.waiting.remove(&request).unwrap_or_default();
        if let Ok(placed) = answer {
            self.parts.metrics.increment(Counter::Placements);
            self.placed.insert(request, placed.pin);
        }
        let mut taken = false;
        for reply in replies {
            taken |= reply.send(answer.clone()).is_ok();
        }
        // Nobody waits any more: the entry instance gave up and never sends the request.
        if !taken && let Some(pin) = self.placed.remove(&request) {
            let now_ms = self.now_ms();
            self.coordinator.release(now_ms, pin, Release::NotSent);
        }
    }

    fn note_load_end(&mut self, adapter: AdapterVersion, result: Result<(), LoadFailure>) {
        match result {
            // No load of these follows until something else changes.
            Ok(()) | Err(LoadFailure::UnknownAdapter | LoadFailure::StaleToken) => {}
            Err(_) => {
                // Adapters that nobody asks for again must not keep the counter from the others.
                if self.failed_loads.len() >= MAX_FAILED_LOADS {
                    self.failed_loads.clear();
                }
                self.failed_loads.insert(adapter);
            }
        }
    }

    fn load(&mut self, order: LoadOrder, ctx: &Context<Self>) {
        let metrics = self.parts.metrics.clone();
        metrics.increment(Counter::LoadsOrdered);
        if self.failed_loads.remove(&order.adapter) {
            metrics.retried(RetryReason::LoadRetried);
        }
        if order.is_preload {
            metrics.increment(Counter::Preloads);
        }
        let backends = self.parts.backends.clone();
        let actor = ctx.mailbox().address();
        let settings = self.coordinator.settings();
        let timeout_ms = settings.order_timeout_ms.max(LOAD_TIMEOUT_FACTOR * settings.load_ms);
        tokio::spawn(async move {
            let result = load_adapter(&backends, &order, timeout_ms).await;
            if let Err(failure) = result {
                metrics.increment(Counter::LoadsFailed);
                // Counted for each order: one that ends after a newer takeover deposes nobody.
                if failure == LoadFailure::StaleToken {
                    metrics.refused(RefusalReason::StaleEpoch);
                }
                log::warn!(
                    "placement: loading {} on {} failed: {failure:?}",
                    order.adapter,
                    order.address
                );
            }
            let _ =
                actor.send(LoadEnded { load: order.load, adapter: order.adapter, result }).await;
        });
    }
}
