//! The entry instance's own state: lease, configuration, shares in use and pins held.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::Arc;

use redwinglatch_callers::{EntriesDocument, EntryDocument};
use redwinglatch_control::{
    Coordinator, InstanceProfile, InstanceRecord, Renewal, RenewalClient, RenewalReply,
    ReplyResult, Share,
};
use redwinglatch_core::prelude::*;
use redwinglatch_metrics::{Counter, Gauge, Metrics};
use redwinglatch_placement::ReportedPin;
use redwinglatch_settings::Settings;
use tokio::sync::Notify;
use xtra::prelude::*;

use crate::clock::Clock;
use crate::shared::{Shared, lease_settings};

/// Entries in one answer.
const MAX_ENTRIES: usize = 4;

/// Owns the serving lease, the configuration in force and what is in flight.
pub(crate) struct EntryActor {
    settings: Settings,
    clock: Clock,
    metrics: Arc<Metrics>,
    renew_now: Arc<Notify>,
    client: RenewalClient,
    draining: bool,
    /// Whether the lease was valid at the last look, to count expiries.
    was_serving: bool,
    in_flight: HashMap<Box<str>, u64>,
    pins: HashMap<(CellId, PinId), HeldPin>,
    /// The newest epoch for which pins were reported; older placements are void.
    reported_epochs: HashMap<CellId, Epoch>,
    rng: fastrand::Rng,
}

/// A pin that a request of this instance holds.
#[derive(Debug, Clone)]
pub(crate) struct HeldPin {
    pub(crate) cell: CellId,
    pub(crate) epoch: Epoch,
    pub(crate) pin: PinId,
    pub(crate) request: RequestId,
    pub(crate) engine: SocketAddr,
    pub(crate) model: Box<str>,
    pub(crate) adapter: AdapterVersion,
    pub(crate) deadline_ms: u64,
}

/// Makes the renewal to send now.
pub(crate) struct MakeRenewal;

/// Applies the leader's reply to a renewal.
pub(crate) struct ApplyReply(pub(crate) RenewalReply);

/// What the renewing task does next.
pub(crate) enum RenewalStep {
    Wait,
    RenewNow,
    Superseded,
}

/// Asks whether a request may run.
pub(crate) struct Admit {
    pub(crate) customer: Box<str>,
    pub(crate) target: Target,
    pub(crate) deadline_ms: Option<u32>,
    pub(crate) priority: Option<u8>,
}

/// What a request wants to use.
pub(crate) enum Target {
    Adapter(AdapterVersion),
    Service(Box<str>),
}

/// The answer to [`Admit`].
pub(crate) enum Admission {
    Admitted(Admitted),
    /// The instance holds no share for the customer; ask again after a renewal.
    NeedShare,
    Refused(Refusal),
}

/// What follows from the contract for an admitted request.
#[derive(Debug, Clone)]
pub(crate) struct Admitted {
    pub(crate) budget_ms: u32,
    pub(crate) priority: u8,
    pub(crate) load_share_permille: u16,
}

/// Ends an admitted request.
pub(crate) struct Leave {
    pub(crate) customer: Box<str>,
}

/// Lists the instances that callers may use.
pub(crate) struct ListEntries;

/// Lists other instances, for a refusal.
pub(crate) struct ListOthers;

/// The coordinator of a cell and its epoch, as far as this instance knows.
pub(crate) struct FindCoordinator(pub(crate) CellId);

/// Holds a pin; false when a newer coordinator already asked for the pins, so that the placement
/// is void.
pub(crate) struct HoldPin(pub(crate) HeldPin);

/// Forgets a pin.
pub(crate) struct DropPin {
    pub(crate) cell: CellId,
    pub(crate) pin: PinId,
}

/// Reports the pins of a cell to the coordinator of `epoch`.
pub(crate) struct ListPins {
    pub(crate) cell: CellId,
    pub(crate) epoch: Epoch,
}

/// The right of this instance to coordinate `cell` now.
pub(crate) struct ReadGrant(pub(crate) CellId);

/// A right to coordinate.
pub(crate) struct Grant {
    pub(crate) epoch: Epoch,
    pub(crate) lease_until_ms: u64,
    pub(crate) live: Vec<(InstanceId, Incarnation)>,
}

/// Starts draining.
pub(crate) struct StartDraining;

/// Counts the requests in flight.
pub(crate) struct CountInFlight;

/// What the operators' status shows of this instance.
pub(crate) struct EntryStatus {
    pub(crate) serving: bool,
    pub(crate) draining: bool,
    pub(crate) lease_remaining_ms: u64,
    pub(crate) revision: Revision,
    pub(crate) in_flight: u64,
    /// Each customer's usable share and requests in flight.
    pub(crate) shares: Vec<(Box<str>, Share, u64)>,
    pub(crate) instances: Vec<InstanceRecord>,
    pub(crate) coordinators: Vec<Coordinator>,
}

/// Reads [`EntryStatus`].
pub(crate) struct ReadEntryStatus;

impl EntryActor {
    pub(crate) fn spawn(
        settings: Settings,
        incarnation: Incarnation,
        clock: Clock,
        metrics: Arc<Metrics>,
        renew_now: Arc<Notify>,
        rng: fastrand::Rng,
    ) -> Address<EntryActor> {
        let profile = InstanceProfile {
            addresses: vec![settings.instance.callers_address.to_string().into()],
            data_centre: settings.instance.data_centre.clone(),
        };
        let client = RenewalClient::new(
            settings.instance.id,
            incarnation,
            lease_settings(&settings),
            profile,
        );
        let actor = EntryActor {
            settings,
            clock,
            metrics,
            renew_now,
            client,
            draining: false,
            was_serving: false,
            in_flight: HashMap::new(),
            pins: HashMap::new(),
            reported_epochs: HashMap::new(),
            rng,
        };
        xtra::spawn_tokio(actor, Mailbox::unbounded())
    }

    fn observe_lease(&mut self, now_ms: u64) -> bool {
        let serving = self.client.may_serve(now_ms);
        if self.was_serving && !serving {
            log::warn!("callers: the serving lease expired; new requests are refused");
            self.metrics.increment(Counter::LeasesExpired);
        }
        self.was_serving = serving;
        self.metrics.set(Gauge::LeaseValid, i64::from(serving));
        serving
    }

    fn admit(&mut self, now_ms: u64, request: &Admit) -> Result<Admission, Refusal> {
        if !self.observe_lease(now_ms) {
            let detail = "the instance can't confirm that its configuration is current";
            let refusal = Refusal::not_run(RefusalReason::NotCurrent, detail);
            return Err(refusal.retry_after_ms(1_000));
        }
        let Some(in_force) = self.client.configuration().contract(&request.customer) else {
            let detail = format!("no contract names customer {:?}", request.customer);
            return Err(Refusal::not_run(RefusalReason::UnknownCustomer, detail));
        };
        let contract = &in_force.contract;
        match &request.target {
            Target::Adapter(adapter) if !contract.allows_adapter(adapter) => {
                let detail = format!("the contract does not allow adapter {adapter}");
                return Err(Refusal::not_run(RefusalReason::AdapterNotAllowed, detail));
            }
            Target::Service(service) if !contract.allows_service(service) => {
                let detail = format!("the contract does not allow service {service:?}");
                return Err(Refusal::not_run(RefusalReason::ServiceNotAllowed, detail));
            }
            Target::Adapter(_) | Target::Service(_) => {}
        }
        let budget_ms = request.deadline_ms.unwrap_or(contract.default_deadline_ms);
        if budget_ms == 0 {
            let detail = "the time budget is 0 ms";
            return Err(Refusal::not_run(RefusalReason::DeadlinePassed, detail));
        }
        let admitted = Admitted {
            budget_ms: budget_ms.min(contract.max_deadline_ms),
            priority: request
                .priority
                .unwrap_or(contract.default_priority)
                .min(contract.max_priority),
            load_share_permille: contract.load_share_permille,
        };
        let usable = self.client.usable_share(now_ms, &request.customer);
        let in_flight = self.in_flight.entry(request.customer.clone()).or_default();
        let wanted = *in_flight + 1;
        if usable.concurrent_requests < wanted {
            let demand = Share { concurrent_requests: wanted, ..Share::whole(contract) };
            self.client.shares_mut().set_demand(&request.customer, demand);
            return Ok(Admission::NeedShare);
        }
        *in_flight = wanted;
        self.client.shares_mut().set_in_use(&request.customer, wanted);
        self.metrics.increment(Counter::RequestsAccepted);
        self.metrics.adjust(Gauge::RequestsInFlight, 1);
        Ok(Admission::Admitted(admitted))
    }

    /// The live instances that take work, own data centre first, otherwise in random order.
    fn entries(&mut self, with_own: bool) -> Vec<EntryDocument> {
        let own = self.settings.instance.id;
        let mut entries: Vec<EntryDocument> = self
            .client
            .instances()
            .filter(|record| !record.draining && (with_own || record.instance != own))
            .filter(|record| record.instance != own || !self.draining)
            .filter_map(|record| {
                let address = record.profile.addresses.first()?.parse().ok()?;
                let data_centre = record.profile.data_centre.clone();
                Some(EntryDocument { address, data_centre, weight: 100 })
            })
            .collect();
        self.rng.shuffle(&mut entries);
        let own_data_centre = &self.settings.instance.data_centre;
        entries.sort_by_key(|entry| entry.data_centre != *own_data_centre);
        spread(entries)
    }
}

/// Keeps the first entries, with the last place for another data centre if there is one.
fn spread(mut entries: Vec<EntryDocument>) -> Vec<EntryDocument> {
    if entries.len() <= MAX_ENTRIES {
        return entries;
    }
    let kept: HashSet<&str> =
        entries.iter().take(MAX_ENTRIES).map(|entry| &*entry.data_centre).collect();
    if kept.len() == 1 {
        let first = entries[0].data_centre.clone();
        if let Some(other) = entries.iter().position(|entry| entry.data_centre != first) {
            entries.swap(MAX_ENTRIES - 1, other);
        }
    }
    entries.truncate(MAX_ENTRIES);
    entries
}

impl Actor for EntryActor {
    type Stop = ();

    async fn stopped(self) {}
}

impl Handler<MakeRenewal> for EntryActor {
    type Return = Renewal;

    async fn handle(&mut self, _: MakeRenewal, _: &mut Context<Self>) -> Renewal {
        let now_ms = self.clock.now_ms();
        self.observe_lease(now_ms);
        self.client.renewal(now_ms)
    }
}

impl Handler<ApplyReply> for EntryActor {
    type Return = RenewalStep;

    async fn handle(
        &mut self,
        ApplyReply(reply): ApplyReply,
        _: &mut Context<Self>,
    ) -> RenewalStep {
        let result = self.client.apply_reply(&reply);
        let now_ms = self.clock.now_ms();
        self.observe_lease(now_ms);
        let revision = self.client.configuration().revision();
        let metrics = &self.metrics;
        metrics.set(Gauge::AppliedRevision, i64::try_from(revision.0).unwrap_or(i64::MAX));
        let live = self.client.instances().count();
        metrics.set(Gauge::LiveInstances, i64::try_from(live).unwrap_or(i64::MAX));
        match result {
            ReplyResult::Applied { renew_now: true, .. } => RenewalStep::RenewNow,
            // The next renewal acknowledges the change, which the operator waits for.
            ReplyResult::Applied { changed_customers, .. } if !changed_customers.is_empty() => {
                RenewalStep::RenewNow
            }
            ReplyResult::Applied { .. } | ReplyResult::Ignored => RenewalStep::Wait,
            ReplyResult::Superseded => RenewalStep::Superseded,
        }
    }
}

impl Handler<Admit> for EntryActor {
    type Return = Admission;

    async fn handle(&mut self, request: Admit, _: &mut Context<Self>) -> Admission {
        let now_ms = self.clock.now_ms();
        let admission = self.admit(now_ms, &request).unwrap_or_else(Admission::Refused);
        if matches!(admission, Admission::NeedShare) {
            self.renew_now.notify_one();
        }
        admission
    }
}

impl Handler<Leave> for EntryActor {
    type Return = ();

    async fn handle(&mut self, leave: Leave, _: &mut Context<Self>) {
        if let Some(in_flight) = self.in_flight.get_mut(&leave.customer) {
            *in_flight = in_flight.saturating_sub(1);
            let in_flight = *in_flight;
            self.client.shares_mut().set_in_use(&leave.customer, in_flight);
        }
        self.metrics.adjust(Gauge::RequestsInFlight, -1);
    }
}

impl Handler<ListEntries> for EntryActor {
    type Return = EntriesDocument;

    async fn handle(&mut self, _: ListEntries, _: &mut Context<Self>) -> EntriesDocument {
        let keep_for_s = u32::try_from(self.settings.callers.keep_for_s).unwrap_or(u32::MAX);
        EntriesDocument { entries: self.entries(true), keep_for_s }
    }
}

impl Handler<ListOthers> for EntryActor {
    type Return = Vec<SocketAddr>;

    async fn handle(&mut self, _: ListOthers, _: &mut Context<Self>) -> Vec<SocketAddr> {
        let listed = self.entries(false);
        if !listed.is_empty() {
            return listed.iter().map(|entry| entry.address).collect();
        }
        // Without a list from the leader, the settings are the best guess.
        let own = self.settings.instance.id;
        let others = self.settings.instances.iter().filter(|entry| entry.id != own);
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
        let known = self.client.coordinators().iter().find(|known| known.cell == cell)?;
        Some((known.instance, known.epoch))
    }
}

impl Handler<HoldPin> for EntryActor {
    type Return = bool;

    async fn handle(&mut self, HoldPin(pin): HoldPin, _: &mut Context<Self>) -> bool {
        let reported = self.reported_epochs.get(&pin.cell).copied().unwrap_or_default();
        if pin.epoch < reported {
            return false;
        }
        self.pins.insert((pin.cell, pin.pin), pin);
        true
    }
}

impl Handler<DropPin> for EntryActor {
    type Return = ();

    async fn handle(&mut self, pin: DropPin, _: &mut Context<Self>) {
        self.pins.remove(&(pin.cell, pin.pin));
    }
}

impl Handler<ListPins> for EntryActor {
    type Return = Vec<ReportedPin>;

    async fn handle(&mut self, list: ListPins, _: &mut Context<Self>) -> Vec<ReportedPin> {
        let reported = self.reported_epochs.entry(list.cell).or_default();
        *reported = list.epoch.max(*reported);
        let now_ms = self.clock.now_ms();
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

impl Handler<ReadGrant> for EntryActor {
    type Return = Option<Grant>;

    async fn handle(&mut self, ReadGrant(cell): ReadGrant, _: &mut Context<Self>) -> Option<Grant> {
        let now_ms = self.clock.now_ms();
        let epoch = self.client.may_order(now_ms, cell)?;
        let lease_until_ms = now_ms + self.client.lease().remaining_ms(now_ms);
        let live = self.client.instances().map(|record| (record.instance, record.incarnation));
        Some(Grant { epoch, lease_until_ms, live: live.collect() })
    }
}

impl Handler<StartDraining> for EntryActor {
    type Return = ();

    async fn handle(&mut self, _: StartDraining, _: &mut Context<Self>) {
        self.draining = true;
        self.client.set_draining(true);
        self.metrics.set(Gauge::Draining, 1);
        self.renew_now.notify_one();
    }
}

impl Handler<CountInFlight> for EntryActor {
    type Return = u64;

    async fn handle(&mut self, _: CountInFlight, _: &mut Context<Self>) -> u64 {
        self.in_flight.values().sum()
    }
}

impl Handler<ReadEntryStatus> for EntryActor {
    type Return = EntryStatus;

    async fn handle(&mut self, _: ReadEntryStatus, _: &mut Context<Self>) -> EntryStatus {
        let now_ms = self.clock.now_ms();
        let customers: Vec<Box<str>> =
            self.client.shares_mut().customers().map(Into::into).collect();
        let shares = customers.into_iter().map(|customer| {
            let share = self.client.usable_share(now_ms, &customer);
            let in_flight = self.in_flight.get(&customer).copied().unwrap_or(0);
            (customer, share, in_flight)
        });
        let shares = shares.collect();
        EntryStatus {
            serving: self.client.may_serve(now_ms),
            draining: self.draining,
            lease_remaining_ms: self.client.lease().remaining_ms(now_ms),
            revision: self.client.configuration().revision(),
            in_flight: self.in_flight.values().sum(),
            shares,
            instances: self.client.instances().cloned().collect(),
            coordinators: self.client.coordinators().to_vec(),
        }
    }
}

/// Asks the coordinator of `cell`, here or on another instance.
pub(crate) async fn find_coordinator(shared: &Shared, cell: CellId) -> Option<(InstanceId, Epoch)> {
    shared.entry.send(FindCoordinator(cell)).await.ok().flatten()
}
