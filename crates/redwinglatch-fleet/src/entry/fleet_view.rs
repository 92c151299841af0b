//! The state of the fleet as an entry process knows it, and the selection of backend servers.

mod limits;
mod outcomes;
mod paths;
mod relays;
mod rooms;
mod selection;
mod streams;

use std::{
    collections::{BTreeMap, HashMap, HashSet, VecDeque},
    net::SocketAddr,
    sync::Arc,
};

use redwinglatch_routing::RouteTable;
use smallvec::SmallVec;
use tokio::sync::{Notify, mpsc, oneshot};

pub(crate) use self::{
    paths::ServerCheck,
    selection::{BackendSelection, SelectedBackend},
};
use super::{
    backend_health::BackendHealth,
    brittle_rooms::BrittleRooms,
    peers::Peers,
    ready_entries::ReadyEntries,
    request_limits::RequestLimits,
    request_outcomes::{CompletedParts, RecentCompletions, UnreportedFailures},
    server_paths::ServerPaths,
    stream_versions::StreamVersions,
};
use crate::{
    ids::{BackendKey, ModelName, SoftwareVersion, is_adapter},
    link::LinkSender,
    message::{
        Backend, BackendChanges, EntryEndpoint, EntryEndpointChanges, EntryStatus, FleetMessage,
        ModelLocation, ModelLocationChange, PlaceReply, PlaceRequest, StreamVersionReply,
    },
    quarantine::Quarantine,
};

/// Maximum number of servers whose announcements are kept although they are no longer listed.
const MAX_UNLISTED: usize = 256;

/// State of a backend server as this process knows it.
#[derive(Debug)]
struct BackendState {
    backend: Backend,
    own_in_flight: u32,
    others_in_flight: u32,
    /// The server does not respond to the coordinator.
    is_unresponsive: bool,
    health: BackendHealth,
}

/// Messages that a core process understands. It shows so by a message that older versions don't send.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Capability {
    /// Those about request limits and outcomes of requests.
    RequestLimits,
    /// Those about software versions and brittle services as well.
    SoftwareVersions,
}

/// Result of a message from a process that is the coordinator of an epoch.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum CoordinatorAcceptance {
    /// A newer coordinator is known, so the message is ignored.
    Outdated,
    /// The message is of the known coordinator.
    Current,
    /// The sender has become the coordinator, or is connected again.
    New,
}

/// The state of the fleet as one entry process knows it.
#[derive(Debug)]
pub(crate) struct FleetView {
    front: SocketAddr,
    table: Option<Arc<RouteTable>>,
    backends: HashMap<BackendKey, BackendState>,
    services: HashMap<Box<str>, Vec<BackendKey>>,
    /// Announcements of servers that are no longer listed, the oldest first. The lists of several core
    /// processes differ in age, so a server may be listed again.
    unlisted: VecDeque<(BackendKey, BackendHealth)>,
    backends_digest: u64,
    request_limits: RequestLimits,
    brittle_rooms: BrittleRooms,
    /// The engines on which each model or adapter is loaded, with its version.
    model_locations: HashMap<ModelName, SmallVec<[(BackendKey, u64); 2]>>,
    coordinator_epoch: u64,
    /// The number of concurrent loads that the weight store sustains, as last announced by a
    /// coordinator; it is passed on to the next one.
    store_limit: u32,
    versions: HashMap<ModelName, u64>,
    /// The core processes, with the link of each one that is connected.
    cores: BTreeMap<SocketAddr, Option<LinkSender>>,
    /// The messages that each connected core process has shown to understand.
    capabilities: HashMap<SocketAddr, Capability>,
    server_paths: ServerPaths,
    peers: Peers,
    stream_versions: StreamVersions,
    /// Whether core processes are told which versions begin streams.
    is_sharing_streams: bool,
    /// Receivers of the core processes' answers to a question, by its id.
    version_replies: HashMap<u64, mpsc::Sender<StreamVersionReply>>,
    quarantine: Quarantine,
    completed_parts: CompletedParts,
    recent_completions: RecentCompletions,
    unreported_failures: UnreportedFailures,
    coordinator_address: Option<SocketAddr>,
    ready_entries: ReadyEntries,
    /// The most entry processes that were ready at the same time.
    most_ready_entries: usize,
    /// Notifications for requests that wait until a model is loaded.
    load_notifiers: HashMap<ModelName, Arc<Notify>>,
    /// Receivers of the coordinator's replies, by the id of the placement.
    placement_replies: HashMap<u64, mpsc::Sender<PlaceReply>>,
    /// Receivers of the coordinator's decisions on requests to limited servers.
    grant_replies: HashMap<u64, oneshot::Sender<Result<(), u64>>>,
    next_placement_id: u64,
    /// Until this time the coordinator is considered unresponsive.
    coordinator_suspect_until_ms: u64,
    /// The number of requests by engine, model and the epoch of the coordinator that placed them, or
    /// 0 if this process placed them.
    in_use: HashMap<(BackendKey, ModelName, u64), u32>,
    requests_in_flight: u64,
    draining_since_ms: Option<u64>,
    /// The process gets too little CPU time.
    is_overloaded: bool,
}

impl FleetView {
    pub(crate) fn new(front: SocketAddr) -> FleetView {
        FleetView {
            front,
            table: None,
            backends: HashMap::new(),
            services: HashMap::new(),
            unlisted: VecDeque::new(),
            backends_digest: 0,
            request_limits: RequestLimits::default(),
            brittle_rooms: BrittleRooms::default(),
            model_locations: HashMap::new(),
            coordinator_epoch: 0,
            store_limit: 0,
            versions: HashMap::new(),
            cores: BTreeMap::new(),
            capabilities: HashMap::new(),
            server_paths: ServerPaths::default(),
            peers: Peers::default(),
            stream_versions: StreamVersions::default(),
            is_sharing_streams: false,
            version_replies: HashMap::new(),
            quarantine: Quarantine::default(),
            completed_parts: CompletedParts::default(),
            recent_completions: RecentCompletions::default(),
            unreported_failures: UnreportedFailures::default(),
            coordinator_address: None,
            ready_entries: ReadyEntries::default(),
            most_ready_entries: 0,
            load_notifiers: HashMap::new(),
            placement_replies: HashMap::new(),
            grant_replies: HashMap::new(),
            next_placement_id: 0,
            coordinator_suspect_until_ms: 0,
            in_use: HashMap::new(),
            requests_in_flight: 0,
            draining_since_ms: None,
            is_overloaded: false,
        }
    }

    pub(crate) fn table(&self) -> Option<Arc<RouteTable>> {
        self.table.clone()
    }

    pub(crate) fn version(&self) -> u64 {
        self.table.as_ref().map_or(0, |table| table.configuration().version)
    }

    /// Replaces the configuration unless the current one is as new.
    pub(crate) fn update_route_table(&mut self, table: RouteTable) {
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

    pub(crate) fn set_overloaded(&mut self, is_overloaded: bool) {
        self.is_overloaded = is_overloaded;
    }

    pub(crate) fn draining_since_ms(&self) -> Option<u64> {
        self.draining_since_ms
    }

    pub(crate) fn requests_in_flight(&self) -> u64 {
        self.requests_in_flight
    }

    pub(crate) fn caller_request_started(&mut self) {
        self.requests_in_flight += 1;
    }

    pub(crate) fn caller_request_ended(&mut self) {
        self.requests_in_flight -= 1;
    }

    /// Adds a core process and returns whether it was unknown.
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

    pub(crate) fn core_disconnected(&mut self, address: SocketAddr) {
        self.cores.insert(address, None);
        self.capabilities.remove(&address);
        self.forget_announced_versions(address);
        if self.connected_cores() > 0 {
            self.ready_entries.remove(address);
        }
        if self.coordinator_address == Some(address) {
            self.coordinator_address = None;
            self.forget_requests_to_coordinator();
        }
    }

    /// Records that a core process understands messages; returns whether that is new.
    fn add_capability(&mut self, core: SocketAddr, capability: Capability) -> bool {
        let is_new = !self.has_capability(core, capability);
        if is_new {
            self.capabilities.insert(core, capability);
        }
        is_new
    }

    fn has_capability(&self, core: SocketAddr, capability: Capability) -> bool {
        self.capabilities.get(&core).is_some_and(|known| *known >= capability)
    }

    fn coordinator_has_capability(&self, capability: Capability) -> bool {
        self.coordinator_address.is_some_and(|core| self.has_capability(core, capability))
    }

    /// Lets requests that wait for the previous coordinator go on without it.
    fn forget_requests_to_coordinator(&mut self) {
        self.placement_replies.clear();
        self.grant_replies.clear();
    }

    pub(crate) fn connected_cores(&self) -> usize {
        self.cores.values().flatten().filter(|sender| !sender.is_closed()).count()
    }

    /// Returns the link to a core process while it is connected.
    pub(crate) fn core_link(&self, core: SocketAddr) -> Option<LinkSender> {
        self.cores.get(&core).cloned().flatten()
    }

    /// Sends `full` to the coordinator, and `short` to the other core processes.
    pub(crate) fn send_to_cores(&self, full: &FleetMessage, short: Option<&FleetMessage>) {
        for (core, sender) in &self.cores {
            let message = if self.coordinator_address == Some(*core) { Some(full) } else { short };
            if let (Some(sender), Some(message)) = (sender, message) {
                sender.send(message);
            }
        }
    }

    fn coordinator_link(&self) -> Option<&LinkSender> {
        self.coordinator_address
            .and_then(|address| self.cores.get(&address))
            .and_then(Option::as_ref)
    }

    pub(crate) fn send_to_coordinator(&self, message: &FleetMessage) -> bool {
        self.coordinator_link().is_some_and(|sender| sender.send(message))
    }

    /// Requests a placement from the coordinator, on engines of a software version if one is given. Returns the
    /// id of the placement and the coordinator's epoch, or `None` if no coordinator is usable.
    pub(crate) fn start_placement(
        &mut self,
        now_ms: u64,
        replies: mpsc::Sender<PlaceReply>,
        request: PlaceRequest,
        version: Option<SoftwareVersion>,
    ) -> Option<(u64, u64)> {
        if now_ms < self.coordinator_suspect_until_ms {
            return None;
        }
        let id = self.next_placement_id;
        self.next_placement_id += 1;
        let message = match version {
            None => FleetMessage::Place { id, request },
            Some(_) if !self.coordinator_has_capability(Capability::SoftwareVersions) => {
                return None;
            }
            Some(version) => FleetMessage::PlaceAtVersion { id, request, version },
        };
        if !self.send_to_coordinator(&message) {
            return None;
        }
        self.placement_replies.insert(id, replies);
        Some((id, self.coordinator_epoch))
    }

    pub(crate) fn deliver_place_reply(&mut self, id: u64, reply: PlaceReply) {
        if let Some(replies) = self.placement_replies.get(&id) {
            // The request may have ended; its `Release` message then follows.
            let _ = replies.try_send(reply);
        }
    }

    pub(crate) fn end_placement(&mut self, id: u64) {
        self.placement_replies.remove(&id);
    }

    pub(crate) fn suspect_coordinator_until(&mut self, until_ms: u64) {
        self.coordinator_suspect_until_ms = until_ms;
    }

    pub(crate) fn set_entry_endpoints(&mut self, core: SocketAddr, endpoints: Vec<EntryEndpoint>) {
        self.ready_entries.set(core, endpoints);
    }

    pub(crate) fn change_entry_endpoints(
        &mut self,
        core: SocketAddr,
        changes: EntryEndpointChanges,
    ) {
        self.ready_entries.change(core, changes);
    }

    /// Returns the addresses of all entry processes that a core process reports as ready, and of this
    /// process if it is ready. A process with too little CPU time, or one that is cut off from all servers,
    /// leaves itself out if there are others.
    pub(crate) fn ready_entry_addresses(&self) -> Vec<SocketAddr> {
        let mut entries = self.ready_entries.addresses().to_vec();
        if let Err(position) = entries.binary_search(&self.front) {
            entries.insert(position, self.front);
        }
        let should_be_avoided = self.is_overloaded || self.is_cut_off();
        if !self.is_ready() || (should_be_avoided && entries.len() > 1) {
            entries.retain(|front| *front != self.front);
        }
        entries
    }

    pub(crate) fn has_backends(&self) -> bool {
        !self.backends.is_empty()
    }

    pub(crate) fn backends_digest(&self) -> u64 {
        self.backends_digest
    }

    pub(crate) fn set_backends(&mut self, digest: u64, entries: Vec<Backend>) {
        self.backends_digest = digest;
        let mut previous = std::mem::take(&mut self.backends);
        self.services.clear();
        for backend in entries {
            let state = previous.remove(&backend.key);
            self.insert_backend(backend, state);
        }
        self.remember_unlisted(previous);
    }

    /// Applies changes of the backend list; returns false, and changes nothing, if they start from another
    /// list.
    pub(crate) fn change_backends(&mut self, changes: BackendChanges) -> bool {
        if changes.from != self.backends_digest {
            return false;
        }
        self.backends_digest = changes.digest;
        let replaced = changes.changed.iter().map(|backend| backend.key);
        let mut previous: HashMap<BackendKey, BackendState> = HashMap::new();
        for key in changes.removed.into_iter().chain(replaced) {
            let Some(state) = self.backends.remove(&key) else { continue };
            if let Some(keys) = self.services.get_mut(&state.backend.service) {
                keys.retain(|other| *other != key);
            }
            previous.insert(key, state);
        }
        for backend in changes.changed {
            let state = previous.remove(&backend.key);
            self.insert_backend(backend, state);
        }
        self.remember_unlisted(previous);
        true
    }

    /// Keeps what removed servers have announced.
    fn remember_unlisted(&mut self, removed: HashMap<BackendKey, BackendState>) {
        let announced = removed.into_iter().filter(|(_, state)| state.health.has_announcement());
        self.unlisted.extend(announced.map(|(key, state)| (key, state.health)));
        let surplus = self.unlisted.len().saturating_sub(MAX_UNLISTED);
        self.unlisted.drain(..surplus);
    }

    /// Returns what a server that is listed again has announced before.
    fn take_unlisted(&mut self, key: BackendKey) -> Option<BackendHealth> {
        let at = self.unlisted.iter().position(|(unlisted, _)| *unlisted == key)?;
        self.unlisted.remove(at).map(|(_, health)| health)
    }

    /// Adds a server, with its state if it was listed before.
    fn insert_backend(&mut self, backend: Backend, previous: Option<BackendState>) {
        let key = backend.key;
        self.services.entry(backend.service.clone()).or_default().push(key);
        let state = match previous {
            Some(state) => BackendState { backend, ..state },
            None => BackendState {
                backend,
                own_in_flight: 0,
                others_in_flight: 0,
                is_unresponsive: false,
                health: self.take_unlisted(key).unwrap_or_default(),
            },
        };
        self.backends.insert(key, state);
    }

    /// Accepts `core` as the coordinator of `epoch`, unless the epoch is outdated.
    pub(crate) fn accept_coordinator(
        &mut self,
        core: SocketAddr,
        epoch: u64,
    ) -> CoordinatorAcceptance {
        if epoch < self.coordinator_epoch {
            return CoordinatorAcceptance::Outdated;
        }
        let is_known = epoch == self.coordinator_epoch && self.coordinator_address == Some(core);
        if epoch > self.coordinator_epoch {
            self.forget_requests_to_coordinator();
        }
        self.coordinator_epoch = epoch;
        self.coordinator_address = Some(core);
        if is_known { CoordinatorAcceptance::Current } else { CoordinatorAcceptance::New }
    }

    pub(crate) fn merge_model_locations(&mut self, locations: Vec<ModelLocation>) {
        // Locations are only added: a new coordinator knows fewer than its predecessor announced.
        for location in locations {
            self.add_model_location(location);
        }
    }

    pub(crate) fn apply_model_location_changes(&mut self, changes: Vec<ModelLocationChange>) {
        for change in changes {
            match change {
                ModelLocationChange::Added(location) => self.add_model_location(location),
                ModelLocationChange::Removed { engine, model } => {
                    self.remove_model_location(engine, &model);
                }
            }
        }
    }

    fn add_model_location(&mut self, location: ModelLocation) {
        let ModelLocation { engine, model, version } = location;
        let locations = self.model_locations.entry(model.clone()).or_default();
        locations.retain(|(key, _)| *key != engine);
        locations.push((engine, version));
        if let Some(notifier) = self.load_notifiers.remove(&model) {
            notifier.notify_waiters();
        }
    }

    /// Removes a location of a model or adapter.
    pub(crate) fn remove_model_location(&mut self, engine: BackendKey, model: &str) {
        if let Some(locations) = self.model_locations.get_mut(model) {
            locations.retain(|(key, _)| *key != engine);
            if locations.is_empty() {
                self.model_locations.remove(model);
            }
        }
    }

    /// Records the newest versions of adapters. Requests for a base model run on any version of it,
    /// because engines load a new one in turn.
    pub(crate) fn set_versions(&mut self, versions: Vec<(ModelName, u64)>) {
        for (model, version) in versions.into_iter().filter(|(model, _)| is_adapter(model)) {
            let newest = self.versions.entry(model).or_default();
            *newest = version.max(*newest);
        }
    }

    pub(crate) fn set_backend_loads(
        &mut self,
        in_flight: &[(BackendKey, u32)],
        unresponsive: &[BackendKey],
        store_limit: u32,
    ) {
        if store_limit > 0 {
            self.store_limit = store_limit;
        }
        let totals: HashMap<_, _> = in_flight.iter().copied().collect();
        let unresponsive: HashSet<_> = unresponsive.iter().copied().collect();
        for (key, state) in &mut self.backends {
            if let Some(total) = totals.get(key) {
                state.others_in_flight = total.saturating_sub(state.own_in_flight);
            }
            state.is_unresponsive = unresponsive.contains(key);
        }
    }

    /// Returns the current state of this process for the core processes.
    pub(crate) fn entry_status(&self) -> EntryStatus {
        let in_flight = self.backends.iter().filter(|(_, state)| state.own_in_flight > 0);
        EntryStatus {
            draining: self.draining_since_ms.is_some(),
            ready: self.is_ready() && !self.is_overloaded && !self.is_cut_off(),
            in_flight: in_flight.map(|(key, state)| (*key, state.own_in_flight)).collect(),
            in_use: self
                .in_use
                .keys()
                .filter(|(_, _, epoch)| *epoch != self.coordinator_epoch)
                .map(|(key, model, _)| (*key, model.clone()))
                .collect(),
            store_limit: self.store_limit,
        }
    }

    pub(crate) fn backend_request_started(
        &mut self,
        backend: BackendKey,
        model: Option<&ModelName>,
        epoch: u64,
    ) {
        if let Some(state) = self.backends.get_mut(&backend) {
            state.own_in_flight += 1;
        }
        if let Some(model) = model {
            *self.in_use.entry((backend, model.clone(), epoch)).or_default() += 1;
        }
    }

    pub(crate) fn backend_request_ended(
        &mut self,
        backend: BackendKey,
        model: Option<&ModelName>,
        epoch: u64,
    ) {
        if let Some(state) = self.backends.get_mut(&backend) {
            state.own_in_flight = state.own_in_flight.saturating_sub(1);
        }
        let Some(model) = model else { return };
        let usage = (backend, model.clone(), epoch);
        if let Some(count) = self.in_use.get_mut(&usage) {
            *count -= 1;
            if *count == 0 {
                self.in_use.remove(&usage);
            }
        }
    }

    /// Returns the address of a backend server while it is listed.
    pub(crate) fn backend_address(&self, key: BackendKey) -> Option<SocketAddr> {
        self.backends.get(&key).map(|state| state.backend.address)
    }

    /// Records that a backend server responded.
    pub(crate) fn record_response(&mut self, key: BackendKey) {
        if let Some(state) = self.backends.get_mut(&key) {
            state.health.record_response();
        }
    }

    /// Records that a backend server did not respond, and avoids it for some time.
    pub(crate) fn record_failure(&mut self, now_ms: u64, key: BackendKey) {
        if let Some(state) = self.backends.get_mut(&key) {
            state.health.record_failure(now_ms);
        }
    }

    /// Records that a backend server wants no requests from this process before `until_ms`.
    pub(crate) fn record_hold(&mut self, key: BackendKey, until_ms: u64) {
        if let Some(state) = self.backends.get_mut(&key) {
            state.health.record_hold(until_ms);
        }
    }

    /// Records that another server has taken over the address of a backend server.
    pub(crate) fn record_replacement(&mut self, now_ms: u64, key: BackendKey) {
        if let Some(state) = self.backends.get_mut(&key) {
            state.health.record_replacement(now_ms);
        }
    }

    /// Records that a backend server announced its stop; returns whether that is new.
    pub(crate) fn record_leaving(&mut self, key: BackendKey) -> bool {
        self.backends.get_mut(&key).is_some_and(|state| state.health.record_leaving())
    }
}

#[cfg(test)]
mod tests;
