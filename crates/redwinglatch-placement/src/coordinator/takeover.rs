//! Start and end of an epoch.

use redwinglatch_core::{Epoch, Incarnation, InstanceId};

use super::Coordinator;
use crate::{
    Effect,
    keys::{EngineKey, PinKey},
};

/// Parameters of the epoch that starts when the replicated log assigns a coordinator.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CoordinatorTakeover {
    /// The new epoch.
    pub epoch: Epoch,
    /// The delay before the first order, after which orders of the former coordinator can no longer
    /// take effect.
    pub settle_ms: u64,
    /// The end of this coordinator's serving lease, on its own clock.
    pub lease_until_ms: u64,
    /// The live instances; each is expected to report its pins.
    pub live: Vec<(InstanceId, Incarnation)>,
}

/// An instance that has not reported its pins in this epoch.
#[derive(Debug, Clone, Copy)]
pub(super) struct UnreportedInstance {
    pub(super) instance: InstanceId,
    pub(super) incarnation: Incarnation,
    /// When [`Coordinator::instance_lost`] was called for the instance.
    pub(super) lost_ms: Option<u64>,
}

impl Coordinator {
    /// Starts an epoch: waits for the settle time, reads back the engines' slots and collects the
    /// pins of live instances.
    ///
    /// Adapters are loaded only into empty slots until all live instances have reported their pins
    /// or were lost.
    pub fn take_over(&mut self, now_ms: u64, takeover: CoordinatorTakeover) {
        self.resign(now_ms);
        self.epoch = Some(takeover.epoch);
        self.is_settled = false;
        self.settled_ms = now_ms + takeover.settle_ms;
        self.lease_until_ms = takeover.lease_until_ms;
        self.known_instances = takeover.live.iter().copied().collect();
        self.unreported_instances = takeover
            .live
            .into_iter()
            .map(|(instance, incarnation)| UnreportedInstance {
                instance,
                incarnation,
                lost_ms: None,
            })
            .collect();
        self.next_sweep_ms = now_ms;
        self.next_pin_sweep_ms = now_ms;
        self.tick(now_ms);
    }

    /// Ends the epoch: refuses the waiting requests and sends no further orders.
    pub fn resign(&mut self, now_ms: u64) {
        self.refuse_all_waiting(now_ms, "the coordinator is changing");
        self.epoch = None;
        self.is_settled = false;
        let engines: Vec<EngineKey> = self.engines.keys().collect();
        for key in engines {
            self.abandon_loads(now_ms, key);
            self.clear_slots(now_ms, key);
            let engine = &mut self.engines[key];
            engine.is_read_back = false;
            engine.unpinned_requests = 0;
            engine.unknown_instance_requests = 0;
            engine.unpinned_keys.clear();
        }
        let pins: Vec<PinKey> = self.pins.keys().collect();
        for pin in pins {
            self.remove_pin(now_ms, pin);
        }
        while let Some(in_flight) = self.queue.in_flight.first().copied() {
            self.queue.finish(now_ms, in_flight.load, false);
            self.adapters.remove_reference(in_flight.adapter, now_ms);
        }
        self.unreported_instances.clear();
    }

    /// Extends this coordinator's serving lease.
    pub fn lease_renewed(&mut self, until_ms: u64) {
        self.lease_until_ms = self.lease_until_ms.max(until_ms);
    }

    /// Ends the epoch because an engine has seen a newer one.
    pub(super) fn depose(&mut self, now_ms: u64) {
        let Some(epoch) = self.epoch else { return };
        self.resign(now_ms);
        self.effects.push(Effect::Deposed { epoch });
    }

    /// Returns whether unused adapters may be evicted from the engine.
    ///
    /// An instance that was lost before it reported its pins sends no further requests. It prevents
    /// evictions only on engines that still list one of its requests, or that have sent no snapshot
    /// since.
    pub(super) fn can_evict(&self, engine: EngineKey) -> bool {
        let engine = &self.engines[engine];
        engine.unknown_instance_requests == 0
            && self.unreported_instances.iter().all(|it| {
                it.lost_ms.is_some_and(|lost_ms| engine.requested_ms > lost_ms.max(self.settled_ms))
            })
    }

    /// Stops waiting for the pins of lost instances once the deadlines of all their requests have
    /// passed.
    pub(super) fn expire_lost_instances(&mut self, now_ms: u64) {
        let limit_ms = self.settings.max_budget_ms + self.settings.pin_grace_ms;
        self.unreported_instances
            .retain(|it| it.lost_ms.is_none_or(|lost_ms| now_ms < lost_ms + limit_ms));
    }
}
