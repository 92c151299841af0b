//! The coordinator of a cell.

use redwinglatch_core::{EngineId, Epoch, Incarnation, InstanceId, PinId, Refusal, RefusalReason};

use crate::{
    CacheEvents, Effect, EngineInfo, LoadFailure, LoadId, PlaceRequest, Release, Report,
    ReportedPin, RequestKey, Settings,
};

/// What a coordinator is told when the log names it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TakeOver {
    /// The new epoch.
    pub epoch: Epoch,
    /// The time to wait before the first order, so that orders of the former coordinator settle.
    pub settle_ms: u64,
    /// The end of the own serving lease on this clock.
    pub lease_until_ms: u64,
    /// The live instances; each is expected to report its pins.
    pub live: Vec<(InstanceId, Incarnation)>,
}

/// Decides for a cell where requests run and which adapters its engines hold.
#[derive(Debug)]
pub struct Coordinator {
    settings: Settings,
    rng: fastrand::Rng,
    effects: Vec<Effect>,
}

impl Coordinator {
    /// Creates a coordinator that refuses requests until [`Coordinator::take_over`].
    #[must_use]
    pub fn new(settings: Settings, rng: fastrand::Rng) -> Coordinator {
        Coordinator { settings, rng, effects: Vec::new() }
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

    /// Starts an epoch: waits, reads back the engines and collects the pins of live instances.
    pub fn take_over(&mut self, _now_ms: u64, _start: TakeOver) {}

    /// Ends the epoch: refuses waiting requests and orders nothing more.
    pub fn resign(&mut self, _now_ms: u64) {}

    /// Extends the own serving lease.
    pub fn lease_renewed(&mut self, _until_ms: u64) {}

    /// The epoch, unless this coordinator is not in charge.
    #[must_use]
    pub fn epoch(&self) -> Option<Epoch> {
        None
    }

    /// Adds an engine and returns its id; an engine with a known address keeps its id.
    pub fn engine_added(&mut self, _now_ms: u64, _info: EngineInfo) -> EngineId {
        EngineId(self.rng.u32(..))
    }

    /// Removes an engine that left the platform's list.
    pub fn engine_removed(&mut self, _now_ms: u64, _engine: EngineId) {}

    /// Stops new work for an engine that is leaving.
    pub fn engine_leaving(&mut self, _now_ms: u64, _engine: EngineId) {}

    /// Takes an engine's report.
    pub fn engine_report(&mut self, _now_ms: u64, _engine: EngineId, _report: Report) {}

    /// Takes an engine's cache events.
    pub fn cache_events(&mut self, _now_ms: u64, _engine: EngineId, _events: CacheEvents) {}

    /// Places a request; the answer is an effect, possibly later.
    pub fn place(&mut self, _now_ms: u64, request: PlaceRequest) {
        let answer = Err(Refusal::not_run(RefusalReason::NoCoordinator, "not in charge"));
        self.effects.push(Effect::Answer { request: request.key(), answer });
    }

    /// Withdraws a request that waits for its placement; it gets no answer.
    pub fn withdraw(&mut self, _now_ms: u64, _request: RequestKey) {}

    /// Ends a pin.
    pub fn release(&mut self, _now_ms: u64, _pin: PinId, _release: Release) {}

    /// Takes the end of a load order.
    pub fn load_finished(&mut self, _now_ms: u64, _load: LoadId, _result: Result<(), LoadFailure>) {
    }

    /// Takes the end of a cancel order.
    pub fn cancel_finished(&mut self, _now_ms: u64, _request: RequestKey, _acknowledged: bool) {}

    /// Takes the loss of an instance, whose serving lease has certainly expired.
    pub fn instance_lost(
        &mut self,
        _now_ms: u64,
        _instance: InstanceId,
        _incarnation: Incarnation,
    ) {
    }

    /// Takes all pins that an instance holds.
    pub fn pins_reported(
        &mut self,
        _now_ms: u64,
        _instance: InstanceId,
        _incarnation: Incarnation,
        _pins: Vec<ReportedPin>,
    ) {
    }

    /// Does what is due; call it at [`Coordinator::next_wake_ms`] or more often.
    pub fn tick(&mut self, _now_ms: u64) {}

    /// The next moment at which [`Coordinator::tick`] has something to do.
    #[must_use]
    pub fn next_wake_ms(&self) -> Option<u64> {
        None
    }
}
