//! Refusal of waiting requests that can no longer meet their deadline.

use redwinglatch_core::RefusalReason;
use smallvec::SmallVec;

use super::{Coordinator, placing::late_refusal, retry_after};
use crate::{
    keys::{AdapterKey, WaitingKey},
    load_queue::AdapterDemand,
};

/// The longest wait for a place in a batch, in load times, before another copy is loaded.
const MAX_COPY_WAIT_LOADS: f32 = 2.0;
/// The most demands with refused requests in one sweep.
const MAX_LATE_DEMANDS: usize = 32;

impl Coordinator {
    /// Re-evaluates whether the requests that wait for `adapter` need a load.
    pub(super) fn reevaluate_demand(&mut self, now_ms: u64, adapter: AdapterKey) {
        let Some(at) = self.queue.position(adapter) else { return };
        if self.queue.in_flight_load(adapter).is_some() {
            return;
        }
        let usable = self.has_usable_copy(now_ms, adapter);
        let demand = self.queue.demands[at];
        // Another copy is loaded only if waiting for a place costs more than a load.
        let wait_ms = self.capacity_wait_ms(&AdapterDemand { wants_load: false, ..demand });
        let waited_ms = now_ms - demand.enqueued_ms;
        let has_free_place = self
            .adapters
            .get(adapter)
            .is_some_and(|it| self.models[usize::from(it.model.0)].free_batch_places > 0);
        let weight = self.settings.batch_weight / self.settings.stall_weight.max(f32::EPSILON);
        let needs_copy = has_free_place
            && wait_ms.max(waited_ms) as f32
                > self.queue.load_ms * weight.clamp(1.0, MAX_COPY_WAIT_LOADS);
        let demand = &mut self.queue.demands[at];
        demand.wants_load = !usable || needs_copy;
        if !demand.wants_load {
            demand.blocked_since_ms = None;
        }
    }

    /// Re-evaluates which demands need a load, and refuses at once the requests that can no longer
    /// meet their deadline.
    pub(super) fn refuse_unservable(&mut self, now_ms: u64) {
        if !self.is_settled || self.queue.demands.is_empty() {
            self.stop_draining();
            return;
        }
        let adapters: Vec<AdapterKey> = self.queue.demands.iter().map(|it| it.adapter).collect();
        for adapter in adapters {
            self.reevaluate_demand(now_ms, adapter);
        }
        self.stop_draining();
        let mut late: SmallVec<[(WaitingKey, u64, bool); 8]> = SmallVec::new();
        // Refusing the requests of a demand lets later demands start earlier, so they are refused
        // one demand at a time.
        for _ in 0..MAX_LATE_DEMANDS {
            let schedule = self.queue.schedule(now_ms, &self.customers);
            for scheduled in &schedule {
                let demand = &self.queue.demands[scheduled.demand_index];
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
            if self.queue.in_flight_load(demand.adapter).is_none() {
                let ready_ms = now_ms + self.capacity_wait_ms(demand);
                self.collect_late(demand, ready_ms, false, &mut late);
            }
        }
        self.refuse_late(now_ms, &mut late);
    }

    fn refuse_late(&mut self, now_ms: u64, late: &mut SmallVec<[(WaitingKey, u64, bool); 8]>) {
        for (wait, late_ms, waits_for_load) in late.drain(..) {
            let mut refusal = late_refusal(late_ms, 0, "load queue");
            if !waits_for_load {
                refusal.reason = RefusalReason::Overloaded;
                refusal.detail = "all batches are full".into();
                refusal.retry_after_ms = Some(retry_after(late_ms));
            }
            self.refuse_waiting(now_ms, wait, refusal);
        }
    }

    fn collect_late(
        &self,
        demand: &AdapterDemand,
        ready_ms: u64,
        waits_for_load: bool,
        late: &mut SmallVec<[(WaitingKey, u64, bool); 8]>,
    ) {
        let Some(active) = self.adapters.active(demand.adapter) else { return };
        for wait in &active.waiting {
            let refuse_at_ms = self.waiting[*wait].refuse_at_ms();
            if ready_ms > refuse_at_ms {
                late.push((*wait, ready_ms - refuse_at_ms, waits_for_load));
            }
        }
    }
}
