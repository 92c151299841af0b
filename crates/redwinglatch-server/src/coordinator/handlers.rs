//! Message handlers of a coordinator task.

use redwinglatch_metrics::{Counter, Timing};
use redwinglatch_placement::Release;
use tokio::sync::oneshot;
use tokio::time::Instant;
use xtra::prelude::*;

use super::convert::{placement_events, placement_report};
use super::messages::*;
use super::{CoordinatorActor, PlacementResult};

impl Actor for CoordinatorActor {
    type Stop = ();

    async fn stopped(self) {}
}

impl Handler<Tick> for CoordinatorActor {
    type Return = ();

    async fn handle(&mut self, _: Tick, ctx: &mut Context<Self>) {
        let now_ms = self.now_ms();
        self.update_coordination(now_ms, ctx).await;
        self.read_due_reports(now_ms, ctx);
        self.coordinator.tick(now_ms);
        self.perform_effects(ctx);
    }
}

impl Handler<PlaceCompletion> for CoordinatorActor {
    type Return = oneshot::Receiver<PlacementResult>;

    async fn handle(
        &mut self,
        PlaceCompletion(request): PlaceCompletion,
        ctx: &mut Context<Self>,
    ) -> Self::Return {
        let started_at = Instant::now();
        let (reply, result) = oneshot::channel();
        self.waiting_replies.entry(request.key()).or_default().push(reply);
        let now_ms = self.now_ms();
        self.coordinator.place(now_ms, request);
        self.parts.metrics.record(Timing::Decision, started_at.elapsed());
        self.perform_effects(ctx);
        result
    }
}

impl Handler<WithdrawRequest> for CoordinatorActor {
    type Return = ();

    async fn handle(&mut self, WithdrawRequest(request): WithdrawRequest, ctx: &mut Context<Self>) {
        let now_ms = self.now_ms();
        self.waiting_replies.remove(&request);
        self.coordinator.withdraw(now_ms, request);
        if let Some(pin) = self.placed_pins.remove(&request) {
            self.coordinator.release(now_ms, pin, Release::NotSent);
        }
        self.perform_effects(ctx);
    }
}

impl Handler<ReleasePin> for CoordinatorActor {
    type Return = bool;

    async fn handle(
        &mut self,
        ReleasePin { pin, release }: ReleasePin,
        ctx: &mut Context<Self>,
    ) -> bool {
        if self.coordinator.epoch().is_none() {
            return false;
        }
        let now_ms = self.now_ms();
        if now_ms < self.early_releases_until_ms {
            self.early_releases.push((pin, release));
        }
        self.placed_pins.retain(|_, placed_pin| *placed_pin != pin);
        self.coordinator.release(now_ms, pin, release);
        self.perform_effects(ctx);
        true
    }
}

impl Handler<PinsRead> for CoordinatorActor {
    type Return = ();

    async fn handle(&mut self, read: PinsRead, ctx: &mut Context<Self>) {
        if self.coordinator.epoch() != Some(read.epoch) {
            return;
        }
        let now_ms = self.now_ms();
        self.coordinator.pins_reported(now_ms, read.instance, read.incarnation, read.pins);
        for (pin, release) in &self.early_releases {
            self.coordinator.release(now_ms, *pin, *release);
        }
        self.perform_effects(ctx);
    }
}

impl Handler<ReportRead> for CoordinatorActor {
    type Return = ();

    async fn handle(&mut self, read: ReportRead, ctx: &mut Context<Self>) {
        if let Some(engine) = self.engines.get_mut(&read.engine) {
            engine.is_reading_report = false;
        }
        let now_ms = self.now_ms();
        match read.result {
            Ok(report) => {
                self.parts.metrics.increment(Counter::ReportsRead);
                if let Some(engine) = self.engines.get_mut(&read.engine) {
                    engine.last_report = Some((read.requested_ms, report.clone()));
                }
                let report = placement_report(read.requested_ms, report);
                self.coordinator.engine_report(now_ms, read.engine, report);
            }
            Err(_) => self.parts.metrics.increment(Counter::ReportsMissed),
        }
        self.perform_effects(ctx);
    }
}

impl Handler<EventsRead> for CoordinatorActor {
    type Return = ();

    async fn handle(&mut self, read: EventsRead, ctx: &mut Context<Self>) {
        if let Ok(events) = read.result {
            let now_ms = self.now_ms();
            let events = placement_events(read.after, events);
            self.coordinator.cache_events(now_ms, read.engine, events);
            self.perform_effects(ctx);
        }
    }
}

impl Handler<LoadEnded> for CoordinatorActor {
    type Return = ();

    async fn handle(&mut self, ended: LoadEnded, ctx: &mut Context<Self>) {
        let now_ms = self.now_ms();
        self.record_load_result(ended.adapter, ended.result);
        self.coordinator.load_finished(now_ms, ended.load, ended.result);
        self.perform_effects(ctx);
    }
}

impl Handler<CancelEnded> for CoordinatorActor {
    type Return = ();

    async fn handle(&mut self, ended: CancelEnded, ctx: &mut Context<Self>) {
        let now_ms = self.now_ms();
        self.coordinator.cancel_finished(now_ms, ended.request, ended.acknowledged);
        self.perform_effects(ctx);
    }
}

impl Handler<UpdateEngines> for CoordinatorActor {
    type Return = ();

    async fn handle(&mut self, UpdateEngines(engines): UpdateEngines, ctx: &mut Context<Self>) {
        self.update_engines(&engines);
        self.perform_effects(ctx);
    }
}

impl Handler<ReadCellStatus> for CoordinatorActor {
    type Return = CellStatus;

    async fn handle(&mut self, _: ReadCellStatus, _: &mut Context<Self>) -> CellStatus {
        CellStatus {
            cell: self.parts.cell,
            epoch: self.coordinator.epoch(),
            engines: match self.coordinator.epoch() {
                Some(_) => self.engines.values().map(|it| it.status(self.now_ms())).collect(),
                None => Vec::new(),
            },
            waiting_requests: self.coordinator.waiting_requests(),
            loads_in_flight: self.coordinator.loads_in_flight(),
        }
    }
}
