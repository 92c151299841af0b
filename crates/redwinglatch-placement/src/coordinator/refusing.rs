//! Refusing requests that can't be served in time any more.

use redwinglatch_core::RefusalReason;
use smallvec::SmallVec;

use super::{Coordinator, placing::late_refusal, retry_after};
use crate::{
    keys::{AdapterKey, WaitKey},
    queue::Demand,
};

/// Load times that a wait for a place in a batch may take at most before a copy is loaded.
const COPY_PATIENCE: f32 = 2.0;
/// Demands that may drop out of the queue in one sweep.
const MAX_DROPPED: usize = 32;

impl Coordinator {
    /// Decides again whether the requests that wait for `adapter` want a load.
    pub(super) fn renew_demand(&mut self, now_ms: u64, adapter: AdapterKey) {
        let Some(at) = self.queue.position(adapter) else { return };
        if self.queue.is_loading(adapter).is_some() {
            return;
        }
        let usable = self.has_usable_copy(now_ms, adapter);
        let demand = self.queue.demands[at];
        // A further copy is wanted only if waiting for a place costs more than a load.
        let wait_ms = self.capacity_wait_ms(&Demand { wants_load: false, ..demand });
        let waited_ms = now_ms - demand.enqueued_ms;
        let room = self
            .adapters
            .get(adapter)
            .is_some_and(|it| self.models[usize::from(it.model.0)].free_places > 0);
        let weight = self.settings.batch_weight / self.settings.stall_weight.max(f32::EPSILON);
        let copy = room
            && wait_ms.max(waited_ms) as f32
                > self.queue.load_ms * weight.clamp(1.0, COPY_PATIENCE);
        let demand = &mut self.queue.demands[at];
        demand.wants_load = !usable || copy;
        if !demand.wants_load {
            demand.blocked_since_ms = None;
        }
    }

    /// Looks through the queue: decides again what wants a load, and refuses at once what can't be
    /// served in time any more.
    pub(super) fn refuse_unservable(&mut self, now_ms: u64) {
        if !self.settled || self.queue.demands.is_empty() {
            self.stop_draining();
            return;
        }
        let adapters: Vec<AdapterKey> = self.queue.demands.iter().map(|it| it.adapter).collect();
        for adapter in adapters {
            self.renew_demand(now_ms, adapter);
        }
        self.stop_draining();
        let mut late: SmallVec<[(WaitKey, u64, bool); 8]> = SmallVec::new();
        // A demand that drops out lets those behind it start earlier, so one is decided at a time.
        for _ in 0..MAX_DROPPED {
            let schedule = self.queue.schedule(now_ms, &self.customers);
            for scheduled in &schedule {
                let demand = &self.queue.demands[scheduled.at];
                let ready_ms = scheduled.ready_ms.max(now_ms + self.capacity_wait_ms(demand));
                self.collect_late(demand, ready_ms, true, &mut late);
                if !late.is_empty() {
                    break;
                }
            }
            if late.is_empty() {
                break;
            }
            self.refuse_late(now_ms, &mut late);
        }
        for demand in self.queue.demands.iter().filter(|it| !it.wants_load) {
            if self.queue.is_loading(demand.adapter).is_none() {
                let ready_ms = now_ms + self.capacity_wait_ms(demand);
                self.collect_late(demand, ready_ms, false, &mut late);
            }
        }
        self.refuse_late(now_ms, &mut late);
    }

    fn refuse_late(&mut self, now_ms: u64, late: &mut SmallVec<[(WaitKey, u64, bool); 8]>) {
        for (wait, late_ms, load) in late.drain(..) {
            let mut refusal = late_refusal(late_ms, 0, "load queue");
            if !load {
                refusal.reason = RefusalReason::Overloaded;
                refusal.detail = "all batches are full".into();
                refusal.retry_after_ms = Some(retry_after(late_ms));
            }
            self.refuse_waiting(now_ms, wait, refusal);
        }
    }

    fn collect_late(
        &self,
        demand: &Demand,
        ready_ms: u64,
        load: bool,
        late: &mut SmallVec<[(WaitKey, u64, bool); 8]>,
    ) {
        let Some(active) = self.adapters.active(demand.adapter) else { return };
        for wait in &active.waiting {
            let give_up_ms = self.waiting[*wait].give_up_ms();
            if ready_ms > give_up_ms {
                late.push((*wait, ready_ms - give_up_ms, load));
            }
        }
    }
}
