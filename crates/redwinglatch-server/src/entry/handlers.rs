//! Message handlers of the entry task.

use std::net::SocketAddr;

use redwinglatch_admission::{FailedAttempt, ReplicaKey, RetryDecision};
use redwinglatch_callers::EntriesDocument;
use redwinglatch_control::{Renewal, ReplyResult};
use redwinglatch_core::prelude::*;
use redwinglatch_metrics::Gauge;
use redwinglatch_placement::ReportedPin;
use xtra::prelude::*;

use super::{EntryActor, MAX_ENTRIES, messages::*};

impl Actor for EntryActor {
    type Stop = ();

    async fn stopped(self) {}
}

impl Handler<BuildRenewal> for EntryActor {
    type Return = Renewal;

    async fn handle(&mut self, _: BuildRenewal, _: &mut Context<Self>) -> Renewal {
        let now_ms = self.now_ms();
        self.check_lease(now_ms);
        self.retry_budgets.remove_idle(now_ms);
        self.report_demand(now_ms);
        self.renewal_client.next_renewal(now_ms)
    }
}

impl Handler<ApplyRenewalReply> for EntryActor {
    type Return = RenewalStep;

    async fn handle(
        &mut self,
        ApplyRenewalReply(reply): ApplyRenewalReply,
        _: &mut Context<Self>,
    ) -> RenewalStep {
        let result = self.renewal_client.apply_reply(&reply);
        let now_ms = self.now_ms();
        self.check_lease(now_ms);
        self.apply_shares(now_ms);
        let revision = self.renewal_client.configuration().revision();
        let metrics = &self.parts.metrics;
        metrics.set(Gauge::AppliedRevision, i64::try_from(revision.0).unwrap_or(i64::MAX));
        let live = self.renewal_client.instances().count();
        metrics.set(Gauge::LiveInstances, i64::try_from(live).unwrap_or(i64::MAX));
        match result {
            ReplyResult::Applied { renew_now: true, .. } => RenewalStep::RenewNow,
            // The operator waits for the next renewal, which acknowledges the change.
            ReplyResult::Applied { changed_customers, .. } if !changed_customers.is_empty() => {
                RenewalStep::RenewNow
            }
            ReplyResult::Applied { .. } | ReplyResult::Ignored => RenewalStep::Wait,
            ReplyResult::Superseded => RenewalStep::Superseded,
        }
    }
}

impl Handler<AdmitRequest> for EntryActor {
    type Return = Admission;

    async fn handle(&mut self, request: AdmitRequest, _: &mut Context<Self>) -> Admission {
        let admission = self.admit(&request).unwrap_or_else(Admission::Refused);
        if matches!(admission, Admission::AwaitShare { .. }) {
            self.parts.renew_now.notify_one();
        }
        admission
    }
}

impl Handler<FinishRequest> for EntryActor {
    type Return = ();

    async fn handle(&mut self, leave: FinishRequest, _: &mut Context<Self>) {
        self.limiter.finish(leave.permit, leave.tokens);
        self.in_flight = self.in_flight.saturating_sub(1);
        self.parts.metrics.adjust(Gauge::RequestsInFlight, -1);
    }
}

impl Handler<CountFirstAttempt> for EntryActor {
    type Return = ();

    async fn handle(&mut self, attempt: CountFirstAttempt, _: &mut Context<Self>) {
        let now_ms = self.now_ms();
        self.retry_budgets.count_request(now_ms, &attempt.customer, attempt.backend);
    }
}

impl Handler<DecideRetry> for EntryActor {
    type Return = RetryDecision;

    async fn handle(&mut self, decide: DecideRetry, _: &mut Context<Self>) -> RetryDecision {
        let attempt = FailedAttempt {
            customer: &decide.customer,
            backend: decide.backend,
            kind: decide.kind,
            at_most_once: decide.at_most_once,
            may_have_run: decide.may_have_run,
            // Responses that have started are resumed by their stream or end with an unknown
            // outcome.
            forwarded_tokens: 0,
            failed_attempts: decide.failed_attempts,
            resumptions_without_progress: 0,
            now_ms: self.now_ms(),
            deadline_ms: decide.deadline_ms,
        };
        let rng = &mut self.parts.rng;
        self.failure_policy.decide(decide.failure, &attempt, &mut self.retry_budgets, rng)
    }
}

impl Handler<ChooseReplica> for EntryActor {
    type Return = Result<(ReplicaKey, SocketAddr), Refusal>;

    async fn handle(&mut self, choose: ChooseReplica, _: &mut Context<Self>) -> Self::Return {
        let now_ms = self.now_ms();
        let service = &choose.service;
        let Some(router) = self.services.get_mut(service) else {
            let detail = format!("no plain service is named {service:?}");
            return Err(Refusal::not_run(RefusalReason::ServiceNotAllowed, detail));
        };
        let replica = router.choose(now_ms, &choose.avoid, &mut self.parts.rng)?;
        let address = router.address(replica).and_then(|address| address.parse().ok());
        match address {
            Some(address) => Ok((replica, address)),
            None => Err(Refusal::not_run(RefusalReason::NoServiceReplica, "it has no address")),
        }
    }
}

impl Handler<ReplicaAttemptEnded> for EntryActor {
    type Return = ();

    async fn handle(&mut self, ended: ReplicaAttemptEnded, _: &mut Context<Self>) {
        let now_ms = self.now_ms();
        if let Some(router) = self.services.get_mut(&ended.service) {
            router.record_outcome(now_ms, ended.replica, ended.end, &mut self.parts.rng);
        }
    }
}

impl Handler<UpdateServiceReplicas> for EntryActor {
    type Return = ();

    async fn handle(&mut self, update: UpdateServiceReplicas, _: &mut Context<Self>) {
        if let Some(router) = self.services.get_mut(&update.service) {
            router.update_list(&update.replicas);
        }
    }
}

impl Handler<ListEntries> for EntryActor {
    type Return = EntriesDocument;

    async fn handle(&mut self, _: ListEntries, _: &mut Context<Self>) -> EntriesDocument {
        let keep_for_s = self.parts.settings.callers.keep_for_s;
        let keep_for_s = u32::try_from(keep_for_s).unwrap_or(u32::MAX);
        EntriesDocument { entries: self.entries(true), keep_for_s }
    }
}

impl Handler<ListOtherEntries> for EntryActor {
    type Return = Vec<SocketAddr>;

    async fn handle(&mut self, _: ListOtherEntries, _: &mut Context<Self>) -> Vec<SocketAddr> {
        let listed = self.entries(false);
        if !listed.is_empty() {
            return listed.iter().map(|entry| entry.address).collect();
        }
        // No instance list from the leader yet: fall back to the settings.
        let settings = &self.parts.settings;
        let others = settings.instances.iter().filter(|entry| entry.id != settings.instance.id);
        others.map(|entry| entry.callers_address).take(MAX_ENTRIES).collect()
    }
}

impl Handler<FindCoordinator> for EntryActor {
    type Return = Option<(InstanceId, Epoch)>;

    async fn handle(
        &mut self,
        FindCoordinator(cell): FindCoordinator,
        _: &mut Context<Self>,
    ) -> Self::Return {
        let known = self.renewal_client.coordinators().iter().find(|known| known.cell == cell)?;
        Some((known.instance, known.epoch))
    }
}

impl Handler<RegisterPin> for EntryActor {
    type Return = bool;

    async fn handle(&mut self, RegisterPin(pin): RegisterPin, _: &mut Context<Self>) -> bool {
        let reported = self.reported_epochs.get(&pin.cell).copied().unwrap_or_default();
        if pin.epoch < reported {
            return false;
        }
        self.pins.insert((pin.cell, pin.pin), pin);
        true
    }
}

impl Handler<UnregisterPin> for EntryActor {
    type Return = ();

    async fn handle(&mut self, pin: UnregisterPin, _: &mut Context<Self>) {
        self.pins.remove(&(pin.cell, pin.pin));
    }
}

impl Handler<ListPins> for EntryActor {
    type Return = Vec<ReportedPin>;

    async fn handle(&mut self, list: ListPins, _: &mut Context<Self>) -> Vec<ReportedPin> {
        let reported = self.reported_epochs.entry(list.cell).or_default();
        *reported = list.epoch.max(*reported);
        let now_ms = self.now_ms();
        let pins = self.pins.values().filter(|pin| pin.cell == list.cell);
        pins.map(|pin| ReportedPin {
            pin: pin.pin,
            request: pin.request,
            engine: pin.engine,
            model: pin.model.clone(),
            adapter: pin.adapter.clone(),
            budget_ms: pin.deadline_ms.saturating_sub(now_ms),
        })
        .collect()
    }
}

impl Handler<ReadCoordinationGrant> for EntryActor {
    type Return = Option<CoordinationGrant>;

    async fn handle(
        &mut self,
        ReadCoordinationGrant(cell): ReadCoordinationGrant,
        _: &mut Context<Self>,
    ) -> Option<CoordinationGrant> {
        let now_ms = self.now_ms();
        let epoch = self.renewal_client.ordering_epoch(now_ms, cell)?;
        let lease_until_ms = now_ms + self.renewal_client.lease().remaining_ms(now_ms);
        let live =
            self.renewal_client.instances().map(|record| (record.instance, record.incarnation));
        Some(CoordinationGrant { epoch, lease_until_ms, live: live.collect() })
    }
}

impl Handler<StartDraining> for EntryActor {
    type Return = ();

    async fn handle(&mut self, _: StartDraining, _: &mut Context<Self>) {
        self.is_draining = true;
        self.renewal_client.set_draining(true);
        self.parts.metrics.set(Gauge::Draining, 1);
        self.parts.renew_now.notify_one();
    }
}

impl Handler<CountInFlight> for EntryActor {
    type Return = u64;

    async fn handle(&mut self, _: CountInFlight, _: &mut Context<Self>) -> u64 {
        self.in_flight
    }
}

impl Handler<ReadEntryStatus> for EntryActor {
    type Return = EntryStatus;

    async fn handle(&mut self, _: ReadEntryStatus, _: &mut Context<Self>) -> EntryStatus {
        let now_ms = self.now_ms();
        let customers: Vec<Box<str>> =
            self.renewal_client.shares_mut().customers().map(Into::into).collect();
        let shares = customers.into_iter().map(|customer| {
            let share = self.renewal_client.usable_share(now_ms, &customer);
            let in_flight = self.limiter.in_flight(&customer);
            (customer, share, in_flight)
        });
        EntryStatus {
            shares: shares.collect(),
            is_serving: self.renewal_client.may_serve(now_ms),
            is_draining: self.is_draining,
            lease_remaining_ms: self.renewal_client.lease().remaining_ms(now_ms),
            revision: self.renewal_client.configuration().revision(),
            in_flight: self.in_flight,
            instances: self.renewal_client.instances().cloned().collect(),
            coordinators: self.renewal_client.coordinators().to_vec(),
        }
    }
}
