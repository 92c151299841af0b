//! Beginning and ending an epoch.

use redwinglatch_core::{Epoch, Incarnation, InstanceId};

use super::Coordinator;
use crate::{
    Effect,
    keys::{EngineKey, PinKey},
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

/// An instance whose pins are not known yet.
#[derive(Debug, Clone, Copy)]
pub(super) struct Unreported {
    pub(super) instance: InstanceId,
    pub(super) incarnation: Incarnation,
    /// When the instance was lost.
    pub(super) lost_ms: Option<u64>,
}

impl Coordinator {
    /// Starts an epoch: waits, reads back the engines and collects the pins of live instances.
    ///
    /// Until all of these have reported or are lost, only empty slots are loaded.
    pub fn take_over(&mut self, now_ms: u64, start: TakeOver) {
        self.resign(now_ms);
        self.epoch = Some(start.epoch);
        self.settled = false;
        self.settled_ms = now_ms + start.settle_ms;
        self.lease_until_ms = start.lease_until_ms;
        self.known_instances = start.live.iter().copied().collect();
        self.unreported = start
            .live
            .into_iter()
            .map(|(instance, incarnation)| Unreported { instance, incarnation, lost_ms: None })
            .collect();
        self.next_sweep_ms = now_ms;
        self.next_pin_sweep_ms = now_ms;
        self.tick(now_ms);
    }

    /// Ends the epoch: refuses waiting requests and orders nothing more.
    pub fn resign(&mut self, now_ms: u64) {
        self.refuse_all_waiting(now_ms, "the coordinator changes");
        self.epoch = None;
        self.settled = false;
        let engines: Vec<EngineKey> = self.engines.keys().collect();
        for key in engines {
            self.drop_loads(now_ms, key);
            self.clear_slots(now_ms, key);
            let engine = &mut self.engines[key];
            engine.read_back = false;
            engine.foreign = 0;
            engine.strays = 0;
            engine.unmatched.clear();
        }
        let pins: Vec<PinKey> = self.pins.keys().collect();
        for pin in pins {
            self.remove_pin(now_ms, pin);
        }
        while let Some(in_flight) = self.queue.in_flight.first().copied() {
            self.queue.finish(now_ms, in_flight.load, false);
            self.adapters.drop_hold(in_flight.adapter, now_ms);
        }
        self.unreported.clear();
    }

    /// Extends the own serving lease.
    pub fn lease_renewed(&mut self, until_ms: u64) {
        self.lease_until_ms = self.lease_until_ms.max(until_ms);
    }

    /// Ends the epoch because an engine has seen a newer one.
    pub(super) fn depose(&mut self, now_ms: u64) {
        let Some(epoch) = self.epoch else { return };
        self.resign(now_ms);
        self.effects.push(Effect::Deposed { epoch });
    }

    /// Whether slots of the engine may be taken from unused adapters.
    ///
    /// An instance that was lost before it reported sends nothing any more, so it blocks only the
    /// engines that still list one of its requests, or that did not report since.
    pub(super) fn may_evict(&self, engine: EngineKey) -> bool {
        let engine = &self.engines[engine];
        engine.strays == 0
            && self.unreported.iter().all(|it| {
                it.lost_ms.is_some_and(|lost_ms| engine.asked_ms > lost_ms.max(self.settled_ms))
            })
    }

    /// Stops waiting for lost instances once all deadlines of their requests have passed.
    pub(super) fn forget_lost_instances(&mut self, now_ms: u64) {
        let limit_ms = self.settings.max_budget_ms + self.settings.pin_grace_ms;
        self.unreported.retain(|it| it.lost_ms.is_none_or(|lost_ms| now_ms < lost_ms + limit_ms));
    }
}
