//! The entry task of an instance: serving lease, configuration, limits, retry budgets and pins of
//! its requests.

mod handlers;
mod messages;

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::Arc;

use redwinglatch_admission::{Limiter, RequestTerms, RetryBudgets, RetryPolicy, ServiceRouter};
use redwinglatch_callers::EntryDocument;
use redwinglatch_control::{InstanceProfile, RenewalClient};
use redwinglatch_core::prelude::*;
use redwinglatch_metrics::{Counter, Gauge, Metrics};
use redwinglatch_settings::{PoolKind, Settings};
use tokio::sync::Notify;
use xtra::prelude::*;

pub(crate) use messages::*;

use crate::clock::Clock;
use crate::instance_context::{InstanceContext, lease_settings};

/// Maximum number of entries in one response.
const MAX_ENTRIES: usize = 4;

/// Settings and dependencies of the entry task.
pub(crate) struct EntryParts {
    pub(crate) settings: Settings,
    pub(crate) incarnation: Incarnation,
    pub(crate) clock: Clock,
    pub(crate) metrics: Arc<Metrics>,
    pub(crate) renew_now: Arc<Notify>,
    pub(crate) rng: fastrand::Rng,
}

/// The task that owns the serving lease, the configuration in force, the limits and the state of
/// the requests in flight.
pub(crate) struct EntryActor {
    parts: EntryParts,
    renewal_client: RenewalClient,
    limiter: Limiter,
    retry_budgets: RetryBudgets<SocketAddr>,
    failure_policy: RetryPolicy,
    services: HashMap<Box<str>, ServiceRouter>,
    is_draining: bool,
    /// Whether the lease was valid at the last check, to count expiries.
    was_serving: bool,
    in_flight: u64,
    pins: HashMap<(CellId, PinId), RequestPin>,
    /// The newest epoch of each cell for which pins were reported; placements of older epochs are
    /// invalid.
    reported_epochs: HashMap<CellId, Epoch>,
}

impl EntryActor {
    pub(crate) fn spawn(parts: EntryParts) -> Address<EntryActor> {
        let own = &parts.settings.instance;
        let profile = InstanceProfile {
            addresses: vec![own.callers_address.to_string().into()],
            data_centre: own.data_centre.clone(),
        };
        let lease_settings = lease_settings(&parts.settings);
        let renewal_client = RenewalClient::new(own.id, parts.incarnation, lease_settings, profile);
        let pools = parts.settings.pools.iter();
        let services = pools.filter(|pool| pool.kind == PoolKind::Service).map(|pool| {
            let mut router = ServiceRouter::new(own.data_centre.clone());
            let listed =
                pool.backends.iter().map(|address| redwinglatch_admission::ListedReplica {
                    address: address.to_string().into(),
                    data_centre: own.data_centre.clone(),
                    is_leaving: false,
                });
            router.update_list(&listed.collect::<Vec<_>>());
            (pool.name.clone(), router)
        });
        let services = services.collect();
        let actor = EntryActor {
            parts,
            renewal_client,
            limiter: Limiter::new(),
            retry_budgets: RetryBudgets::new(Default::default()),
            failure_policy: RetryPolicy::default(),
            services,
            is_draining: false,
            was_serving: false,
            in_flight: 0,
            pins: HashMap::new(),
            reported_epochs: HashMap::new(),
        };
        xtra::spawn_tokio(actor, Mailbox::unbounded())
    }

    fn now_ms(&self) -> u64 {
        self.parts.clock.now_ms()
    }

    fn check_lease(&mut self, now_ms: u64) -> bool {
        let is_serving = self.renewal_client.may_serve(now_ms);
        if self.was_serving && !is_serving {
            log::warn!("callers: the serving lease expired; new requests are refused");
            self.parts.metrics.increment(Counter::LeasesExpired);
        }
        self.was_serving = is_serving;
        self.parts.metrics.set(Gauge::LeaseValid, i64::from(is_serving));
        is_serving
    }

    /// Checks a request against lease, contract and limits.
    fn admit(&mut self, request: &AdmitRequest) -> Result<Admission, Refusal> {
        let now_ms = self.now_ms();
        if !self.check_lease(now_ms) {
            let detail = "the instance can't confirm that its configuration is current";
            let refusal = Refusal::not_run(RefusalReason::NotCurrent, detail);
            return Err(refusal.retry_after_ms(1_000));
        }
        let customer = &*request.customer;
        let Some(in_force) = self.renewal_client.configuration().contract(customer) else {
            let detail = format!("no contract names customer {customer:?}");
            return Err(Refusal::not_run(RefusalReason::UnknownCustomer, detail));
        };
        let contract = &in_force.contract;
        check_contract_allows(contract, &request.target)?;
        let terms = RequestTerms::resolve(
            contract,
            request.arrived_at_ms,
            now_ms,
            request.deadline_ms,
            request.priority,
        )?;
        let load_share_permille = contract.load_share_permille;
        let max_tokens = request.max_tokens;
        let waiting_since_ms = request.waiting_since_ms.unwrap_or(now_ms);
        let admission = match request.waiting_since_ms {
            None => self.limiter.admit(now_ms, customer, max_tokens),
            Some(since_ms) => self.limiter.decide_again(now_ms, since_ms, customer, max_tokens),
        };
        match admission {
            redwinglatch_admission::Admission::Admitted(permit) => {
                self.in_flight += 1;
                self.parts.metrics.increment(Counter::RequestsAccepted);
                self.parts.metrics.adjust(Gauge::RequestsInFlight, 1);
                Ok(Admission::Admitted(Admitted { terms, load_share_permille, permit }))
            }
            redwinglatch_admission::Admission::AwaitShare { until_ms } => {
                Ok(Admission::AwaitShare { waiting_since_ms, until_ms })
            }
            redwinglatch_admission::Admission::Refused(refusal) => Err(refusal),
        }
    }

    /// Sets the limiter's demand in the next renewal.
    fn report_demand(&mut self, now_ms: u64) {
        for (customer, demand) in self.limiter.demands(now_ms) {
            let in_flight = self.limiter.in_flight(&customer);
            let shares = self.renewal_client.shares_mut();
            shares.set_demand(&customer, demand);
            shares.set_in_use(&customer, in_flight);
        }
    }

    /// Passes the shares of the last renewal reply to the limiter.
    fn apply_shares(&mut self, now_ms: u64) {
        let client = &self.renewal_client;
        self.limiter.set_shares(now_ms, |customer| client.usable_share(now_ms, customer));
    }

    /// Returns live instances that accept requests: those in this data centre first, each group in
    /// random order.
    fn entries(&mut self, with_own: bool) -> Vec<EntryDocument> {
        let own = self.parts.settings.instance.id;
        let mut entries: Vec<EntryDocument> = self
            .renewal_client
            .instances()
            .filter(|record| !record.draining && (with_own || record.instance != own))
            .filter(|record| record.instance != own || !self.is_draining)
            .filter_map(|record| {
                let address = record.profile.addresses.first()?.parse().ok()?;
                let data_centre = record.profile.data_centre.clone();
                Some(EntryDocument { address, data_centre, weight: 100 })
            })
            .collect();
        self.parts.rng.shuffle(&mut entries);
        let own_data_centre = &self.parts.settings.instance.data_centre;
        entries.sort_by_key(|entry| entry.data_centre != *own_data_centre);
        select_entries(entries)
    }
}

fn check_contract_allows(contract: &Contract, target: &RequestTarget) -> Result<(), Refusal> {
    match target {
        RequestTarget::Adapter(adapter) if !contract.allows_adapter(adapter) => {
            let detail = format!("the contract does not allow adapter {adapter}");
            Err(Refusal::not_run(RefusalReason::AdapterNotAllowed, detail))
        }
        RequestTarget::Service(service) if !contract.allows_service(service) => {
            let detail = format!("the contract does not allow service {service:?}");
            Err(Refusal::not_run(RefusalReason::ServiceNotAllowed, detail))
        }
        RequestTarget::Adapter(_) | RequestTarget::Service(_) => Ok(()),
    }
}

/// Keeps the first [`MAX_ENTRIES`] entries; if all of them are in one data centre, the last one is
/// replaced by an entry of another data centre, if any.
fn select_entries(mut entries: Vec<EntryDocument>) -> Vec<EntryDocument> {
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

/// Returns the coordinator of `cell` and its epoch, as last reported to this instance.
pub(crate) async fn find_coordinator(
    context: &InstanceContext,
    cell: CellId,
) -> Option<(InstanceId, Epoch)> {
    context.entry.send(FindCoordinator(cell)).await.ok().flatten()
}
