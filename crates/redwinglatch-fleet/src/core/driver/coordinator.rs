//! The coordinator, which runs while this process is the leader.

use std::sync::Arc;

use redwinglatch_log::Term;
use redwinglatch_routing::ModelSpec;
use tokio::time::Instant;

use crate::{
    Order,
    core::{
        orders::{self, EngineAddress},
        planner::{
            AddressedPlaceReply, BaseModels, EngineLimits, EngineMemory, EngineService,
            PlannedOrder, Planner,
        },
    },
    message::{Backend, FleetMessage, LeaderResponse, ModelLocationChange, PlaceReply},
};

use super::{
    BACKEND_LOADS_INTERVAL_MS, BROADCAST_INTERVAL_MS_PER_LINK, Driver, DriverEvent,
    ENGINE_LOAD_BYTES, ENGINE_LOADS_INTERVAL_MS, LOCATION_CHANGE_BYTES,
    LOCATION_CHANGES_INTERVAL_MS, MAX_ENGINE_LOAD_BYTES_PER_MS, MAX_LOCATION_BYTES_PER_S,
    MAX_LOCATION_CHANGES,
};

impl Driver {
    /// Starts and stops the coordinator as this process gains and loses leadership.
    pub(super) fn follow_leadership(&mut self) {
        let now_ms = self.now_ms();
        let term = self.replica.term();
        if !self.replica.is_leader() {
            for (_, (_, response_sender)) in std::mem::take(&mut self.proposals) {
                response_sender.respond(LeaderResponse::Unconfirmed);
            }
            for (_, response_sender) in self.ready_reads.drain(..) {
                response_sender.respond(LeaderResponse::Unconfirmed);
            }
            let leader =
                self.replica.leader().and_then(|leader| self.last_message_ms.get(&leader.0));
            if let Some(last_message_ms) = leader {
                self.former_coordinator.heard(*last_message_ms);
            }
        }
        let is_leader = self.is_current_leader();
        let planned_term = self.planner.as_ref().map(|(term, _)| *term);
        if is_leader && !self.is_stopping && planned_term != Some(term) {
            self.leader_since_ms = now_ms;
            let from_ms = self.former_coordinator.earliest_order_ms(
                now_ms,
                self.settings.holder_lease_ms,
                self.settings.engines_check_fencing,
            );
            log::info!(
                "core: replica {} is the leader of term {term} and may send orders in {} ms",
                self.replica.id(),
                from_ms.saturating_sub(now_ms),
            );
            let mut planner = Planner::new(from_ms);
            planner.set_prompt_reuse(self.settings.reuses_prompts);
            planner.set_versions(&self.state.versions);
            planner.set_quarantine(now_ms, &self.quarantine);
            planner.restore_ends(now_ms, self.state.server_ends.iter().cloned());
            self.planner = Some((term, planner));
            self.update_planner_services();
            self.locations.forget_pending();
            // Entry processes send their requests here from now on; changes of locations follow with the reports.
            self.send_location_changes(term, Vec::new());
        } else if !is_leader && self.planner.is_some() {
            log::info!("core: replica {} is no longer the leader", self.replica.id());
            self.planner = None;
        }
        let is_coordinator = self.planner.is_some();
        self.coordinator_state
            .send_if_modified(|state| std::mem::replace(state, is_coordinator) != is_coordinator);
    }

    /// Sends orders, replies to placement requests and sends location changes to entry processes.
    pub(super) fn plan(&mut self, now_ms: u64) {
        self.quarantine_fatal_requests(now_ms);
        self.ask_for_completions(now_ms);
        let Some((epoch, planner)) = &mut self.planner else { return };
        let epoch = *epoch;
        let is_only_coordinator = self.replica.leader_lease_valid(now_ms);
        planner.set_granting(now_ms, is_only_coordinator);
        let orders = planner.plan(now_ms, is_only_coordinator);
        for AddressedPlaceReply { entry, id, reply } in planner.take_replies() {
            if matches!(reply, PlaceReply::RefusedFor { .. }) {
                self.metrics.record_refusal("not_placed");
            }
            self.entries.send(entry, &FleetMessage::PlaceReply { id, reply });
        }
        for change in planner.take_changes() {
            self.locations.add(change);
        }
        for order in orders {
            self.send_order(epoch, order);
        }
        self.announce_locations(now_ms, epoch);
    }

    /// Announces changes of model locations if they are due.
    fn announce_locations(&mut self, now_ms: u64, epoch: Term) {
        if now_ms < self.location_changes_due_ms {
            return;
        }
        let changes = self.locations.take_changes(MAX_LOCATION_CHANGES);
        let traffic_ms =
            changes.len() as u64 * LOCATION_CHANGE_BYTES * 1_000 / MAX_LOCATION_BYTES_PER_S;
        let interval_ms = self.broadcast_interval_ms().max(LOCATION_CHANGES_INTERVAL_MS);
        self.location_changes_due_ms = now_ms + interval_ms.max(traffic_ms);
        if !changes.is_empty() {
            self.send_location_changes(epoch, changes);
        }
    }

    /// Tells entry processes changes of model locations, and the other core processes what these know.
    fn send_location_changes(&mut self, epoch: Term, changes: Vec<ModelLocationChange>) {
        self.locations_epoch = epoch;
        let message = FleetMessage::ModelLocationChanges { epoch, changes };
        self.entries.broadcast(&message);
        self.cores.send_all(&message);
    }

    /// Returns the interval between messages to all entry processes, which grows with their number, so
    /// that a coordinator of a large fleet keeps its processor time for requests.
    fn broadcast_interval_ms(&self) -> u64 {
        BACKEND_LOADS_INTERVAL_MS.max(self.entries.len() as u64 * BROADCAST_INTERVAL_MS_PER_LINK)
    }

    /// Requests reports from engines and sends the load of the backend servers to entry processes.
    pub(super) fn coordinate(&mut self, now_ms: u64) {
        let interval_ms = self.broadcast_interval_ms();
        let Some((epoch, planner)) = &mut self.planner else { return };
        let epoch = *epoch;
        let due: Vec<_> = planner
            .take_due_reports(now_ms)
            .into_iter()
            .filter_map(|key| planner.backend(key).map(|backend| (key, engine_address(backend))))
            .collect();
        let loads = (self.backend_loads_due_ms <= now_ms).then(|| {
            let with_engines = self.engine_loads_due_ms <= now_ms;
            let totals = planner.in_flight();
            let included = self
                .backends
                .list()
                .iter()
                .filter(|backend| with_engines || planner.backend(backend.key).is_none());
            let in_flight = included
                .map(|backend| (backend.key, totals.get(&backend.key).copied().unwrap_or_default()))
                .collect();
            if with_engines {
                let message_bytes = self.backends.list().len() as u64 * ENGINE_LOAD_BYTES;
                let traffic_ms =
                    message_bytes * self.entries.len() as u64 / MAX_ENGINE_LOAD_BYTES_PER_MS;
                self.engine_loads_due_ms = now_ms + ENGINE_LOADS_INTERVAL_MS.max(traffic_ms);
            }
            FleetMessage::BackendLoads {
                in_flight,
                unresponsive: planner.unresponsive(),
                store_limit: planner.store_limit(),
            }
        });
        for (engine, address) in due {
            let (client, dialect) = (Arc::clone(&self.client), self.dialect);
            let events = self.events.clone();
            tokio::spawn(async move {
                let answer = orders::fetch_report(&client, &address, dialect).await;
                // The driver ends only with the process.
                let _ = events.send(DriverEvent::ReportFetched { engine, answer }).await;
            });
        }
        if let Some(loads) = loads {
            self.backend_loads_due_ms = now_ms + interval_ms;
            // Changes are sent together with the loads, so that they share a write on each link.
            self.announce_locations(now_ms, epoch);
            self.entries.broadcast(&loads);
        }
    }

    pub(super) fn send_order(&mut self, epoch: Term, planned: PlannedOrder) {
        let backend =
            self.planner.as_ref().and_then(|(_, planner)| planner.backend(planned.engine));
        let Some(backend) = backend else { return };
        let address = engine_address(backend);
        let (model, adapter) = match planned.model.split_once('/') {
            Some((model, adapter)) => (model.into(), Some(adapter.into())),
            None => (planned.model.clone(), None),
        };
        let order = Order {
            kind: planned.kind,
            model,
            adapter,
            expected_sequence: Some(planned.expected_sequence),
            holder: self.settings.name.clone(),
            fencing_token: epoch,
        };
        self.metrics.record_sent_order(planned.label());
        let (client, dialect) = (Arc::clone(&self.client), self.dialect);
        let events = self.events.clone();
        let planned_at = Instant::now();
        tokio::spawn(async move {
            let answer = orders::send(&client, &address, &order, planned_at, dialect).await;
            // The driver ends only with the process.
            let _ = events.send(DriverEvent::OrderFinished { epoch, order: planned, answer }).await;
        });
    }

    pub(super) fn update_planner_services(&mut self) {
        let now_ms = self.now_ms();
        let (Some(table), Some((_, planner))) = (&self.table, &mut self.planner) else { return };
        let services = table.engine_services().map(|(service, engine)| {
            let limits = EngineLimits {
                adapter_slots: engine.adapter_slots as usize,
                slots: engine.slots,
                cache_tokens: engine.cache_tokens,
            };
            let fits = |model: &&ModelSpec| model.weights_mb <= engine.weights_mb;
            let names = engine.models.iter().filter(fits).map(|model| model.name.clone());
            let base_models =
                BaseModels { names: names.collect(), loads_per_s: engine.loads_per_s };
            let memory = Arc::new(EngineMemory::new(engine));
            (service.name.clone(), EngineService { limits, memory, base_models })
        });
        planner.set_services(services.collect());
        planner.set_backends(now_ms, self.backends.list());
    }
}

pub(super) fn engine_address(backend: &Backend) -> EngineAddress {
    EngineAddress { address: backend.address, id: backend.id.clone() }
}
