//! What an entry process knows of the fleet, and how it chooses a backend server.

use std::{
    collections::{BTreeMap, HashMap, HashSet},
    net::SocketAddr,
    sync::Arc,
};

use redwinglatch_routing::RouteTable;
use smallvec::SmallVec;
use tokio::sync::{Notify, mpsc};

use crate::{
    ids::{BackendKey, ModelName},
    link::LinkSender,
    message::{
        Backend, EntryEndpoint, EntryStatus, FleetMessage, ModelLocation, ModelLocationChange,
        PlaceReply, PlaceRequest,
    },
};

/// How long a backend server that failed to answer is passed over, doubled with each failure.
const AVOID_MS: u64 = 300;
/// The longest time that a server is passed over.
const MAX_AVOID_MS: u64 = 4_000;
/// Failures in a row after which the time no longer doubles.
const MAX_DOUBLINGS: u32 = 4;
/// How much a server of another data centre must be less busy to be chosen.
const DISTANCE_PENALTY: f64 = 0.02;

/// A backend server as seen from here.
#[derive(Debug)]
struct Known {
    backend: Backend,
    own_in_flight: u32,
    others_in_flight: u32,
    /// It doesn't answer the coordinator.
    silent: bool,
    failures: u32,
    avoid_until_ms: u64,
}

/// A backend server that was chosen.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Chosen {
    pub(crate) key: BackendKey,
    pub(crate) id: Box<str>,
    pub(crate) address: SocketAddr,
    /// The version of the adapter there, if versions matter.
    pub(crate) version: Option<u64>,
}

/// Where a request may go.
#[derive(Debug)]
pub(crate) enum Choice {
    /// To this backend server.
    Use(Chosen),
    /// Nowhere before the adapter is loaded.
    Load(Arc<Notify>),
    /// Nowhere.
    Nothing,
}

/// The knowledge of one entry process.
#[derive(Debug)]
pub(crate) struct View {
    front: SocketAddr,
    table: Option<Arc<RouteTable>>,
    backends: HashMap<BackendKey, Known>,
    services: HashMap<Box<str>, Vec<BackendKey>>,
    backends_digest: u64,
    holdings: HashMap<ModelName, SmallVec<[(BackendKey, u64); 2]>>,
    holdings_epoch: u64,
    /// What the last coordinator has learned of the weight store, for the next one.
    store_limit: u32,
    versions: HashMap<ModelName, u64>,
    cores: BTreeMap<SocketAddr, Option<LinkSender>>,
    coordinator: Option<SocketAddr>,
    members: HashMap<SocketAddr, Vec<EntryEndpoint>>,
    loading: HashMap<ModelName, Arc<Notify>>,
    placing: HashMap<u64, mpsc::Sender<PlaceReply>>,
    next_place: u64,
    suspect_until_ms: u64,
    /// Requests that use an adapter, with the epoch of the coordinator that placed them.
    in_use: HashMap<(BackendKey, ModelName, u64), u32>,
    requests: u64,
    draining_since_ms: Option<u64>,
    /// The process gets too little processor time.
    slow: bool,
}

impl View {
    pub(crate) fn new(front: SocketAddr) -> View {
        View {
            front,
            table: None,
            backends: HashMap::new(),
            services: HashMap::new(),
            backends_digest: 0,
            holdings: HashMap::new(),
            holdings_epoch: 0,
            store_limit: 0,
            versions: HashMap::new(),
            cores: BTreeMap::new(),
            coordinator: None,
            members: HashMap::new(),
            loading: HashMap::new(),
            placing: HashMap::new(),
            next_place: 0,
            suspect_until_ms: 0,
            in_use: HashMap::new(),
            requests: 0,
            draining_since_ms: None,
            slow: false,
        }
    }

    pub(crate) fn table(&self) -> Option<Arc<RouteTable>> {
        self.table.clone()
    }

    pub(crate) fn version(&self) -> u64 {
        self.table.as_ref().map_or(0, |table| table.configuration().version)
    }

    /// Takes a configuration unless a newer one is in force here.
    pub(crate) fn set_table(&mut self, table: RouteTable) {
        if table.configuration().version > self.version() {
            self.table = Some(Arc::new(table));
        }
    }

    pub(crate) fn is_ready(&self) -> bool {
        self.table.is_some() && self.draining_since_ms.is_none() && !self.backends.is_empty()
    }

    pub(crate) fn start_draining(&mut self, now_ms: u64) {
        self.draining_since_ms = Some(now_ms);
    }

    pub(crate) fn set_slow(&mut self, slow: bool) {
        self.slow = slow;
    }

    pub(crate) fn draining_since_ms(&self) -> Option<u64> {
        self.draining_since_ms
    }

    pub(crate) fn requests(&self) -> u64 {
        self.requests
    }

    pub(crate) fn request_received(&mut self) {
        self.requests += 1;
    }

    pub(crate) fn request_answered(&mut self) {
        self.requests -= 1;
    }

    /// Counts a core process as known and returns whether it was not.
    pub(crate) fn add_core(&mut self, address: SocketAddr) -> bool {
        if self.cores.contains_key(&address) {
            return false;
        }
        self.cores.insert(address, None);
        true
    }

    pub(crate) fn core_connected(&mut self, address: SocketAddr, sender: LinkSender) {
        self.cores.insert(address, Some(sender));
    }

    pub(crate) fn core_lost(&mut self, address: SocketAddr) {
        self.cores.insert(address, None);
        if self.connected_cores() > 0 {
            self.members.remove(&address);
        }
        if self.coordinator == Some(address) {
            self.coordinator = None;
            // Requests that wait for it are placed here.
            self.placing.clear();
        }
    }

    pub(crate) fn connected_cores(&self) -> usize {
        self.cores.values().flatten().filter(|sender| !sender.is_closed()).count()
    }

    pub(crate) fn send_cores(&self, message: &FleetMessage) {
        for sender in self.cores.values().flatten() {
            sender.send(message.clone());
        }
    }

    fn coordinator(&self) -> Option<&LinkSender> {
        self.coordinator.and_then(|address| self.cores.get(&address)).and_then(Option::as_ref)
    }

    pub(crate) fn send_coordinator(&self, message: FleetMessage) -> bool {
        self.coordinator().is_some_and(|sender| sender.send(message))
    }

    /// Asks the coordinator for an engine; returns the id of the question and the epoch.
    pub(crate) fn start_placing(
        &mut self,
        now_ms: u64,
        replies: mpsc::Sender<PlaceReply>,
        request: PlaceRequest,
    ) -> Option<(u64, u64)> {
        if now_ms < self.suspect_until_ms {
            return None;
        }
        let id = self.next_place;
        self.next_place += 1;
        if !self.send_coordinator(FleetMessage::Place { id, request }) {
            return None;
        }
        self.placing.insert(id, replies);
        Some((id, self.holdings_epoch))
    }

    pub(crate) fn place_replied(&mut self, id: u64, reply: PlaceReply) {
        if let Some(replies) = self.placing.get(&id) {
            // The request may be gone; its release is on its way then.
            let _ = replies.try_send(reply);
        }
    }

    pub(crate) fn end_placing(&mut self, id: u64) {
        self.placing.remove(&id);
    }

    pub(crate) fn suspect_coordinator(&mut self, until_ms: u64) {
        self.suspect_until_ms = until_ms;
    }

    pub(crate) fn set_members(&mut self, core: SocketAddr, members: Vec<EntryEndpoint>) {
        self.members.insert(core, members);
    }

    /// Entry processes that any core process counts as ready.
    pub(crate) fn usable_entries(&self) -> Vec<SocketAddr> {
        let mut entries: Vec<_> =
            self.members.values().flatten().map(|member| member.front).collect();
        entries.push(self.front);
        entries.sort_unstable();
        entries.dedup();
        if !self.is_ready() || (self.slow && entries.len() > 1) {
            entries.retain(|front| *front != self.front);
        }
        entries
    }

    pub(crate) fn backends_digest(&self) -> u64 {
        self.backends_digest
    }

    pub(crate) fn set_backends(&mut self, digest: u64, entries: Vec<Backend>) {
        self.backends_digest = digest;
        let mut previous = std::mem::take(&mut self.backends);
        self.services.clear();
        for backend in entries {
            let key = backend.key;
            self.services.entry(backend.service.clone()).or_default().push(key);
            let known = match previous.remove(&key) {
                Some(known) => Known { backend, ..known },
                None => Known {
                    backend,
                    own_in_flight: 0,
                    others_in_flight: 0,
                    silent: false,
                    failures: 0,
                    avoid_until_ms: 0,
                },
            };
            self.backends.insert(key, known);
        }
    }

    /// Whether holdings of `epoch` from `core` count.
    pub(crate) fn follow_coordinator(&mut self, core: SocketAddr, epoch: u64) -> bool {
        if epoch < self.holdings_epoch {
            return false;
        }
        if epoch > self.holdings_epoch {
            // Requests that wait for the coordinator before are placed here.
            self.placing.clear();
        }
        self.holdings_epoch = epoch;
        self.coordinator = Some(core);
        true
    }

    pub(crate) fn set_holdings(&mut self, held: Vec<ModelLocation>) {
        // A coordinator that has just started knows less than its predecessor told.
        for held in held {
            self.adapter_ready(held);
        }
    }

    pub(crate) fn change_holdings(&mut self, changes: Vec<ModelLocationChange>) {
        for change in changes {
            match change {
                ModelLocationChange::Added(held) => self.adapter_ready(held),
                ModelLocationChange::Removed { engine, model } => self.adapter_gone(engine, &model),
            }
        }
    }

    fn adapter_ready(&mut self, held: ModelLocation) {
        let ModelLocation { engine, model, version } = held;
        let copies = self.holdings.entry(model.clone()).or_default();
        copies.retain(|(key, _)| *key != engine);
        copies.push((engine, version));
        if let Some(loading) = self.loading.remove(&model) {
            loading.notify_waiters();
        }
    }

    /// Forgets a copy of an adapter.
    pub(crate) fn adapter_gone(&mut self, engine: BackendKey, model: &str) {
        if let Some(copies) = self.holdings.get_mut(model) {
            copies.retain(|(key, _)| *key != engine);
            if copies.is_empty() {
                self.holdings.remove(model);
            }
        }
    }

    pub(crate) fn set_versions(&mut self, versions: Vec<(ModelName, u64)>) {
        for (model, version) in versions {
            let newest = self.versions.entry(model).or_default();
            *newest = version.max(*newest);
        }
    }

    pub(crate) fn set_loads(
        &mut self,
        in_flight: &[(BackendKey, u32)],
        silent: &[BackendKey],
        store_limit: u32,
    ) {
        if store_limit > 0 {
            self.store_limit = store_limit;
        }
        let sums: HashMap<_, _> = in_flight.iter().copied().collect();
        let silent: HashSet<_> = silent.iter().copied().collect();
        for (key, known) in &mut self.backends {
            let total = sums.get(key).copied().unwrap_or_default();
            known.others_in_flight = total.saturating_sub(known.own_in_flight);
            known.silent = silent.contains(key);
        }
    }

    /// Takes what the coordinator should know.
    pub(crate) fn take_report(&mut self) -> EntryStatus {
        let in_flight = self.backends.iter().filter(|(_, known)| known.own_in_flight > 0);
        EntryStatus {
            draining: self.draining_since_ms.is_some(),
            ready: self.is_ready() && !self.slow,
            in_flight: in_flight.map(|(key, known)| (*key, known.own_in_flight)).collect(),
            in_use: self
                .in_use
                .keys()
                .filter(|(_, _, epoch)| *epoch != self.holdings_epoch)
                .map(|(key, model, _)| (*key, model.clone()))
                .collect(),
            store_limit: self.store_limit,
        }
    }

    pub(crate) fn request_sent(
        &mut self,
        backend: BackendKey,
        model: Option<&ModelName>,
        epoch: u64,
    ) {
        if let Some(known) = self.backends.get_mut(&backend) {
            known.own_in_flight += 1;
        }
        if let Some(model) = model {
            *self.in_use.entry((backend, model.clone(), epoch)).or_default() += 1;
        }
    }

    pub(crate) fn request_ended(
        &mut self,
        backend: BackendKey,
        model: Option<&ModelName>,
        epoch: u64,
    ) {
        if let Some(known) = self.backends.get_mut(&backend) {
            known.own_in_flight = known.own_in_flight.saturating_sub(1);
        }
        let Some(model) = model else { return };
        let used = (backend, model.clone(), epoch);
        if let Some(count) = self.in_use.get_mut(&used) {
            *count -= 1;
            if *count == 0 {
                self.in_use.remove(&used);
            }
        }
    }

    /// A backend server gave an answer.
    pub(crate) fn answered(&mut self, key: BackendKey) {
        if let Some(known) = self.backends.get_mut(&key) {
            known.failures = 0;
            known.avoid_until_ms = 0;
        }
    }

    /// A backend server gave no answer.
    pub(crate) fn failed(&mut self, now_ms: u64, key: BackendKey) {
        if let Some(known) = self.backends.get_mut(&key) {
            let avoid_ms = AVOID_MS << known.failures.min(MAX_DOUBLINGS);
            known.failures += 1;
            known.avoid_until_ms = now_ms + avoid_ms.min(MAX_AVOID_MS);
        }
    }

    /// Another server has the address now.
    pub(crate) fn replaced(&mut self, now_ms: u64, key: BackendKey) {
        if let Some(known) = self.backends.get_mut(&key) {
            known.avoid_until_ms = now_ms + MAX_AVOID_MS;
        }
    }

    /// Chooses a server of a plain service.
    pub(crate) fn choose_plain(
        &self,
        now_ms: u64,
        service: &str,
        data_centre: &str,
        tried: &[BackendKey],
    ) -> Choice {
        let keys = self.services.get(service).map(Vec::as_slice).unwrap_or_default();
        let candidates = keys.iter().copied();
        match self.least_busy(now_ms, candidates, data_centre, tried) {
            Some(key) => self.chosen(key, None),
            None => Choice::Nothing,
        }
    }

    /// The engine that the coordinator chose, if this process knows it.
    pub(crate) fn placed(&self, key: BackendKey, version: Option<u64>) -> Choice {
        match self.backends.get(&key) {
            Some(known) if !known.backend.leaving => self.chosen(key, version),
            _ => Choice::Nothing,
        }
    }

    /// Chooses an engine that holds `model`.
    pub(crate) fn choose_engine(
        &mut self,
        now_ms: u64,
        service: &str,
        model: &ModelName,
        data_centre: &str,
        tried: &[BackendKey],
    ) -> Choice {
        let newest = self.versions.get(model).copied();
        let copies = self.holdings.get(model).map(SmallVec::as_slice).unwrap_or_default();
        let candidates = copies.iter().filter(|(key, version)| {
            newest.is_none_or(|newest| *version >= newest)
                && self.backends.get(key).is_some_and(|known| *known.backend.service == *service)
        });
        let best = self.least_busy(now_ms, candidates.map(|(key, _)| *key), data_centre, tried);
        if let Some(best) = best {
            let version = copies.iter().find(|(key, _)| *key == best).map(|(_, version)| *version);
            return self.chosen(best, version.filter(|_| newest.is_some()));
        }
        let usable = self.services.get(service).is_some_and(|keys| {
            keys.iter()
                .any(|key| self.backends.get(key).is_some_and(|known| !known.backend.leaving))
        });
        if !usable {
            return Choice::Nothing;
        }
        Choice::Load(Arc::clone(self.loading.entry(model.clone()).or_default()))
    }

    fn chosen(&self, key: BackendKey, version: Option<u64>) -> Choice {
        match self.backends.get(&key) {
            Some(known) => Choice::Use(Chosen {
                key,
                id: known.backend.id.clone(),
                address: known.backend.address,
                version,
            }),
            None => Choice::Nothing,
        }
    }

    /// The usable server with the fewest requests for its slots.
    ///
    /// Servers that failed lately are used only when there is no other.
    fn least_busy(
        &self,
        now_ms: u64,
        candidates: impl Iterator<Item = BackendKey>,
        data_centre: &str,
        tried: &[BackendKey],
    ) -> Option<BackendKey> {
        let mut best: Option<((bool, f64), BackendKey)> = None;
        for key in candidates {
            let Some(known) = self.backends.get(&key) else { continue };
            if known.backend.leaving || tried.contains(&key) {
                continue;
            }
            let avoided = known.silent || now_ms < known.avoid_until_ms;
            let in_flight = f64::from(known.own_in_flight + known.others_in_flight);
            let distance =
                if *known.backend.data_centre == *data_centre { 0.0 } else { DISTANCE_PENALTY };
            // Noise below one request spreads instances that see the same counts.
            let noise = fastrand::f64() * 0.5;
            let cost = (in_flight + noise) / f64::from(known.backend.slots.max(1)) + distance;
            let rank = (avoided, cost);
            if best.as_ref().is_none_or(|(lowest, _)| rank < *lowest) {
                best = Some((rank, key));
            }
        }
        best.map(|(_, key)| key)
    }
}

#[cfg(test)]
mod tests;
