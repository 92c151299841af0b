//! The coordinator task of a cell: runs the placement decisions and sends orders to engines.

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
    CellStatus, ListedEngine, PlaceCompletion, ReadCellStatus, ReleasePin, UpdateEngines,
    WithdrawRequest,
};

use self::convert::{configured_engines, placement_settings};
use self::engine::Engine;
use self::messages::{CancelEnded, EventsRead, LoadEnded, PinsRead, ReportRead, Tick};
use self::orders::load_adapter;
use crate::clock::Clock;
use crate::entry::{EntryActor, ReadCoordinationGrant};

const TICK_INTERVAL: Duration = Duration::from_millis(20);
/// Interval between checks of whether this instance may coordinate the cell.
const GRANT_CHECK_INTERVAL_MS: u64 = 100;
/// Timeout of a request for an instance's pins, and the delay before the next one.
const REPORT_PINS_TIMEOUT: Duration = Duration::from_millis(500);
/// Time after a takeover during which releases are kept and applied again: an instance may release
/// a pin while its report that lists the pin is still in transit.
const EARLY_RELEASE_RETENTION_MS: u64 = 30_000;
/// A load times out after this many times its usual duration.
const LOAD_TIMEOUT_FACTOR: u64 = 4;
/// Limit of remembered adapters whose last load failed and whose next load counts as a retry.
const MAX_FAILED_ADAPTERS: usize = 1_024;

pub(crate) type PlacementResult = Result<Placement, Refusal>;

/// Settings and dependencies of a coordinator task.
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

/// The task that owns the placement state of one cell.
///
/// It is idle while another instance coordinates the cell.
pub(crate) struct CoordinatorActor {
    parts: CoordinatorParts,
    coordinator: Coordinator,
    engines: HashMap<EngineId, Engine>,
    /// Channels for the results of placements in progress.
    waiting_replies: HashMap<RequestKey, Vec<oneshot::Sender<PlacementResult>>>,
    /// Pins of delivered placements, until released or withdrawn.
    placed_pins: HashMap<RequestKey, PinId>,
    live_instances: HashSet<(InstanceId, Incarnation)>,
    early_releases: Vec<(PinId, Release)>,
    early_releases_until_ms: u64,
    grant_checked_at_ms: u64,
    /// Adapters whose last load failed and that have not been ordered since.
    failed_adapters: HashSet<AdapterVersion>,
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
            waiting_replies: HashMap::new(),
            placed_pins: HashMap::new(),
            live_instances: HashSet::new(),
            early_releases: Vec::new(),
            early_releases_until_ms: 0,
            grant_checked_at_ms: 0,
            failed_adapters: HashSet::new(),
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
            // Adding an engine again resets its leaving state, and the list may lag behind the
            // engine's own report, so unchanged list entries are skipped.
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
            if engine.is_leaving {
                self.coordinator.engine_leaving(now_ms, id);
            }
            let known = self.engines.entry(id).or_insert_with(|| Engine {
                pool: pool.name.clone(),
                address: engine.address,
                data_centre: engine.data_centre.clone(),
                is_leaving: false,
                report_ms: pool.report_ms,
                report_due_ms: now_ms,
                is_reading_report: false,
                last_report: None,
            });
            known.data_centre = engine.data_centre.clone();
            known.is_leaving = engine.is_leaving;
        }
        let removed: Vec<EngineId> = self
            .engines
            .iter()
            .filter(|(_, known)| !listed.iter().any(|engine| engine.address == known.address))
            .map(|(id, _)| *id)
            .collect();
        for id in removed {
            self.engines.remove(&id);
            self.coordinator.engine_removed(now_ms, id);
        }
    }

    /// Reads whether this instance may coordinate the cell, then takes over, extends the lease or
    /// resigns, and ends the pins of instances that are no longer live.
    async fn update_coordination(&mut self, now_ms: u64, ctx: &Context<Self>) {
        if now_ms < self.grant_checked_at_ms + GRANT_CHECK_INTERVAL_MS {
            return;
        }
        self.grant_checked_at_ms = now_ms;
        let Ok(grant) = self.parts.entry.send(ReadCoordinationGrant(self.parts.cell)).await else {
            return;
        };
        let Some(grant) = grant else {
            if self.coordinator.epoch().is_some() {
                log::info!(
                    "placement: this instance no longer coordinates cell {}",
                    self.parts.cell
                );
                self.coordinator.resign(now_ms);
                self.placed_pins.clear();
                self.parts.metrics.adjust(Gauge::CellsCoordinated, -1);
            }
            return;
        };
        let live: HashSet<_> = grant.live.iter().copied().collect();
        if self.coordinator.epoch() == Some(grant.epoch) {
            self.coordinator.lease_renewed(grant.lease_until_ms);
            for &(instance, incarnation) in self.live_instances.difference(&live) {
                log::info!("placement: instance {instance} is no longer live; its pins are ended");
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
            self.placed_pins.clear();
            self.early_releases.clear();
            self.early_releases_until_ms = now_ms + EARLY_RELEASE_RETENTION_MS;
            self.coordinator.take_over(
                now_ms,
                CoordinatorTakeover {
                    epoch: grant.epoch,
                    // The control leader assigns the cell only after the orders of the previous
                    // coordinator have settled.
                    settle_ms: 0,
                    lease_until_ms: grant.lease_until_ms,
                    live: grant.live.clone(),
                },
            );
            for (instance, incarnation) in grant.live {
                self.collect_pins(grant.epoch, instance, incarnation, ctx);
            }
        }
        self.live_instances = live;
    }

    /// Requests an instance's pins until it reports them or its lease has certainly expired.
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
        let own_instance = self.parts.settings.instance.id;
        // By then the lease of an unresponsive instance has long expired.
        let deadline = Instant::now() + 10 * Duration::from_millis(self.lease_ms());
        tokio::spawn(async move {
            while Instant::now() < deadline {
                let report = if instance == own_instance {
                    let pins = entry.send(crate::entry::ListPins { cell, epoch }).await;
                    pins.ok().map(|pins| (incarnation, pins))
                } else {
                    let message = PeerMessage::ReportPins { cell, epoch };
                    match transport.call(instance, message, REPORT_PINS_TIMEOUT).await {
                        Ok(PeerMessage::Pins { incarnation, pins }) => Some((incarnation, pins)),
                        _ => None,
                    }
                };
                if let Some((reported_incarnation, pins)) = report {
                    // A restarted process has no pins of its previous incarnation, which counts as
                    // no longer live.
                    if reported_incarnation == incarnation {
                        let pins_read = PinsRead { epoch, instance, incarnation, pins };
                        let _ = address.send(pins_read).await;
                        return;
                    }
                }
                sleep(REPORT_PINS_TIMEOUT).await;
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
            .filter(|(_, engine)| !engine.is_reading_report && engine.report_due_ms <= now_ms)
            .map(|(id, engine)| (*id, engine.address))
            .collect();
        for (id, address) in due {
            self.read_report(id, address, ctx);
        }
    }

    fn read_report(&mut self, engine: EngineId, address: SocketAddr, ctx: &Context<Self>) {
        let requested_ms = self.now_ms();
        if let Some(known) = self.engines.get_mut(&engine) {
            known.is_reading_report = true;
            known.report_due_ms = requested_ms + known.report_ms;
        }
        let backends = self.parts.backends.clone();
        let actor = ctx.mailbox().address();
        tokio::spawn(async move {
            let result = backends.report(address).await;
            let _ = actor.send(ReportRead { engine, requested_ms, result }).await;
        });
    }

    /// Carries out the effects of the placement decisions and updates the gauges.
    fn perform_effects(&mut self, ctx: &Context<Self>) {
        for effect in self.coordinator.take_effects() {
            match effect {
                Effect::Respond { request, result } => self.respond(request, &result),
                Effect::Load(order) => self.load(order, ctx),
                Effect::Unload { epoch, address, adapter, .. } => {
                    self.parts.metrics.increment(Counter::UnloadsOrdered);
                    let backends = self.parts.backends.clone();
                    tokio::spawn(async move {
                        if let Err(error) = backends.unload(address, &adapter, epoch).await {
                            log::debug!(
                                "placement: unloading {adapter} on {address} failed: {error}"
                            );
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
                    log::warn!(
                        "placement: deposed in epoch {epoch}: an engine reported a newer epoch"
                    );
                    self.placed_pins.clear();
                    self.parts.metrics.adjust(Gauge::CellsCoordinated, -1);
                }
            }
        }
        let gauge = |count: usize| i64::try_from(count).unwrap_or(i64::MAX);
        self.parts.metrics.set(Gauge::Pins, gauge(self.coordinator.pins()));
        let loads = self.coordinator.loads_in_flight();
        self.parts.metrics.set(Gauge::LoadsInFlight, gauge(loads));
    }

    fn respond(&mut self, request: RequestKey, result: &PlacementResult) {
        let replies = self.waiting_replies.remove(&request).unwrap_or_default();
        if let Ok(placed) = result {
            self.parts.metrics.increment(Counter::Placements);
            self.placed_pins.insert(request, placed.pin);
        }
        let mut is_delivered = false;
        for reply in replies {
            is_delivered |= reply.send(result.clone()).is_ok();
        }
        // No receiver is left: the entry instance abandoned the placement and never sends the
        // request.
        if !is_delivered && let Some(pin) = self.placed_pins.remove(&request) {
            let now_ms = self.now_ms();
            self.coordinator.release(now_ms, pin, Release::NotSent);
        }
    }

    fn record_load_result(&mut self, adapter: AdapterVersion, result: Result<(), LoadFailure>) {
        match result {
            // No further load of these adapters is ordered until something else changes.
            Ok(()) | Err(LoadFailure::UnknownAdapter | LoadFailure::StaleToken) => {}
            Err(_) => {
                // Entries of adapters that are never requested again must not keep the retries of
                // the others from being counted.
                if self.failed_adapters.len() >= MAX_FAILED_ADAPTERS {
                    self.failed_adapters.clear();
                }
                self.failed_adapters.insert(adapter);
            }
        }
    }

    fn load(&mut self, order: LoadOrder, ctx: &Context<Self>) {
        let metrics = self.parts.metrics.clone();
        metrics.increment(Counter::LoadsOrdered);
        if self.failed_adapters.remove(&order.adapter) {
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
                // Counted here for each order, because an order that ends after a newer takeover
                // does not depose this coordinator.
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
