//! The state of the fleet as an entry process knows it, and the selection of backend servers.

mod backend_list;
mod cores;
mod credits;
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

use self::{cores::Capability, credits::AwaitedCredits};
pub(crate) use self::{
    cores::CoordinatorAcceptance,
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
    stream_versions::{StreamQuestion, StreamVersions},
    unstarted_streams::UnstartedStreams,
};
use crate::{
    ids::{BackendKey, ModelName, is_adapter},
    link::LinkSender,
    message::{
        Backend, EntryEndpoint, EntryEndpointChanges, EntryStatus, ModelLocation,
        ModelLocationChange, PlaceReply, StreamVersionReply,
    },
    quarantine::Quarantine,
    server_paths::ServerPaths,
};

/// State of a backend server as this process knows it.
#[derive(Debug)]
struct BackendState {
    backend: Backend,
    own_in_flight: u32,
    others_in_flight: u32,
    /// The server does not respond to the coordinator.
    is_unresponsive: bool,
    health: BackendHealth,
    unstarted: UnstartedStreams,
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
    /// Whether a coordinator has told this process all model locations.
    has_all_locations: bool,
    /// The time at which the link to the coordinator was lost.
    coordinator_lost_ms: Option<u64>,
    /// The number of concurrent loads that the weight store sustains, as last announced by a
    /// coordinator; it is passed on to the next one.
    store_limit: u32,
    versions: HashMap<ModelName, u64>,
    /// The core processes, with the link of each one that is connected.
    cores: BTreeMap<SocketAddr, Option<LinkSender>>,
    /// The times at which links to core processes were lost.
    cores_lost_ms: HashMap<SocketAddr, u64>,
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
    /// Receivers of decisions on requests for credits.
    credit_replies: HashMap<u64, AwaitedCredits>,
    /// Core processes that didn't reply to such a request or grant nothing, and until when others are asked.
    credit_suspects: HashMap<SocketAddr, u64>,
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
            has_all_locations: false,
            coordinator_lost_ms: None,
            store_limit: 0,
            versions: HashMap::new(),
            cores: BTreeMap::new(),
            cores_lost_ms: HashMap::new(),
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
            credit_replies: HashMap::new(),
            credit_suspects: HashMap::new(),
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

    /// Returns whether a core process reports another entry process as ready.
    pub(crate) fn has_other_ready_entry(&self) -> bool {
        self.ready_entries.addresses().iter().any(|front| *front != self.front)
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

    /// Records a stream that this process places itself.
    pub(crate) fn stream_sent(&mut self, now_ms: u64, engine: BackendKey) {
        if let Some(state) = self.backends.get_mut(&engine) {
            state.unstarted.add(now_ms);
        }
    }

    /// Records that a stream which this process placed itself at `sent_ms` has its first event or has ended.
    pub(crate) fn stream_started(&mut self, sent_ms: u64, engine: BackendKey) {
        if let Some(state) = self.backends.get_mut(&engine) {
            state.unstarted.remove(sent_ms);
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
}

#[cfg(test)]
mod tests;
