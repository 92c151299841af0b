//! The task that owns the state of a core process.

mod announced_configuration;
mod coordinator;
mod customer_caps;
mod engine_reach;
mod former_coordinator;
mod leader_requests;
mod log_reports;
mod membership;
mod messages;
mod placement;
mod quarantine;
mod small_margin;
mod software_versions;

use std::{
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};

use redwinglatch_core::ReplicaId;
use redwinglatch_log::{
    Effects, Entry, EntryKind, Index, LogMessage, ReadId, Replica, Storage, StorageError, Term,
    WriteId,
};
use redwinglatch_routing::RouteTable;
use tokio::{
    sync::{mpsc, oneshot, watch},
    time::MissedTickBehavior,
};

use crate::{
    BackendEntry, Dialect, EngineReport, FleetError, ProcessSettings,
    clock::{Clock, TimerLag},
    http::HttpClient,
    ids::BackendKey,
    link::LinkSender,
    message::{Backend, FleetMessage, LeaderRequest, LeaderResponse},
    metrics::Metrics,
    quarantine::Quarantine,
    state::{FleetState, StateChange, StateCommand},
    tasks,
};

use self::{
    customer_caps::CustomerCaps,
    former_coordinator::FormerCoordinator,
    log_reports::LogReports,
    software_versions::{SoftwareVersions, UnrecordedVersions},
};
use super::{
    announced_backends::AnnouncedBackends,
    announced_locations::AnnouncedLocations,
    compressed_configuration::CompressedConfiguration,
    entry_links::EntryLinks,
    links::{self, CoreLinks},
    orders::{EngineAnswer, OrderOutcome},
    placement_query::PlacementQuestion,
    planner::{PlannedOrder, Planner},
    start::StartState,
    stream_records::{StreamRecord, StreamRecords},
};

/// Interval between ticks, which advance the clock of the log and plan orders.
const TICK_INTERVAL: Duration = Duration::from_millis(10);
/// Interval between messages to entry processes about the load of the backend servers.
const BACKEND_LOADS_INTERVAL_MS: u64 = 250;
/// Interval between messages to all entry processes for each of them, where that is longer.
const BROADCAST_INTERVAL_MS_PER_LINK: u64 = 3;
/// Interval between such messages that include engines. Entry processes select engines by them only
/// while there is no coordinator.
const ENGINE_LOADS_INTERVAL_MS: u64 = 1_000;
/// Size of the load of one engine in such a message.
const ENGINE_LOAD_BYTES: u64 = 12;
/// Traffic of these messages to all entry processes beyond which the interval grows.
const MAX_ENGINE_LOAD_BYTES_PER_MS: u64 = 300;
/// Shortest interval between messages to entry processes about changes of model locations. They place
/// requests by these only while there is no coordinator.
const LOCATION_CHANGES_INTERVAL_MS: u64 = 300;
/// Size of a change of a model location, and the traffic of changes to each entry process beyond which the interval
/// grows.
const LOCATION_CHANGE_BYTES: u64 = 30;
const MAX_LOCATION_BYTES_PER_S: u64 = 2_000;
/// Changes in one message.
const MAX_LOCATION_CHANGES: usize = 1_000;
/// Time without a message of a leader after which a process reports it, reads its seeds again and asks to join the log:
/// longer than an election takes.
const MISSING_LEADER_MS: u64 = 2_000;
/// Interval between requests to join the log.
const JOIN_INTERVAL_MS: u64 = 250;
/// A leader transfers leadership when a write takes longer than this.
const SLOW_WRITE_MS: u64 = 400;
/// Interval between a slow leader's attempts to transfer leadership.
const LEADERSHIP_TRANSFER_INTERVAL_MS: u64 = 2_000;
/// Shortest time of leadership after which an overloaded leader transfers it, so that a load which is too
/// high for every core process doesn't make them take turns.
const MIN_LEADERSHIP_MS: u64 = 1_500;
/// Interval between checks for idle connections to engines.
const IDLE_CHECK_INTERVAL_MS: u64 = 1_000;
/// Interval between log lines about the traffic on links.
const TRAFFIC_LOG_INTERVAL_MS: u64 = 10_000;

/// An event that the driver handles.
#[derive(Debug)]
pub(super) enum DriverEvent {
    /// A message arrived on an accepted link.
    MessageReceived { link: u64, sender: LinkSender, message: FleetMessage },
    /// An accepted link was closed.
    LinkClosed { link: u64 },
    /// A link to another core process was established.
    CoreConnected { address: SocketAddr, sender: LinkSender },
    /// A message arrived on an outgoing link to another core process.
    CoreMessageReceived { address: SocketAddr, message: FleetMessage },
    /// An operator's request that only the leader can answer.
    OperatorRequest { request: LeaderRequest, reply: oneshot::Sender<LeaderResponse> },
    /// An operator asks where a request would be placed.
    PlacementQuestion(PlacementQuestion),
    /// The platform's list of backend servers was fetched.
    BackendsListed(Vec<BackendEntry>),
    /// A report request ended; `None` if it failed.
    ReportFetched { engine: BackendKey, answer: EngineAnswer<Option<EngineReport>> },
    /// An order was answered or timed out.
    OrderFinished { epoch: Term, order: PlannedOrder, answer: EngineAnswer<OrderOutcome> },
    /// The settings file names seeds with these link addresses.
    SeedsRead(Vec<SocketAddr>),
    /// The process is shutting down.
    Stopping,
    /// A write to the log's storage ended.
    WriteFinished { storage: Box<Storage>, write: WriteId, result: Result<(), StorageError> },
}

/// Where the response to a leader request is sent.
#[derive(Debug)]
enum ResponseSender {
    Local(oneshot::Sender<LeaderResponse>),
    Remote { sender: LinkSender, id: u64 },
}

impl ResponseSender {
    fn respond(self, response: LeaderResponse) {
        match self {
            // The operator may have disconnected.
            ResponseSender::Local(sender) => drop(sender.send(response)),
            ResponseSender::Remote { sender, id } => {
                sender.send(&FleetMessage::LeaderResponse { id, response });
            }
        }
    }
}

/// The parts of a core process that its tasks share.
pub(super) struct DriverContext {
    pub(super) dialect: &'static Dialect,
    pub(super) clock: Clock,
    pub(super) metrics: Arc<Metrics>,
    /// Tells the other tasks whether this process is the coordinator.
    pub(super) coordinator_state: watch::Sender<bool>,
    pub(super) stream_records: StreamRecords,
    /// Tells whether the log needs this process no longer as a voter while it shuts down.
    pub(super) is_replaced: watch::Sender<bool>,
    /// Tells whether this process has heard no leader for a while.
    pub(super) lacks_leader: watch::Sender<bool>,
}

/// The state of a core process.
pub(super) struct Driver {
    settings: ProcessSettings,
    dialect: &'static Dialect,
    coordinator_state: watch::Sender<bool>,
    clock: Clock,
    metrics: Arc<Metrics>,
    own_link: SocketAddr,
    events: mpsc::Sender<DriverEvent>,
    client: Arc<HttpClient>,
    replica: Replica,
    /// `None` while a write is in progress.
    storage: Option<Storage>,
    write_started_ms: u64,
    state: FleetState,
    applied_index: Index,
    applied_term: Term,
    table: Option<Arc<RouteTable>>,
    /// Whether the configuration is withheld from entry processes, because a newer one may be committed.
    withholds_configuration: bool,
    started_ms: u64,
    is_joining: bool,
    join_due_ms: u64,
    cores: CoreLinks,
    core_addresses: BTreeMap<u32, SocketAddr>,
    /// Time of the last message of each core process.
    last_message_ms: HashMap<u32, u64>,
    /// Time at which each core process announced last that it stops.
    stop_announced_ms: HashMap<u32, u64>,
    leader_since_ms: u64,
    entries: EntryLinks,
    compressed_configuration: CompressedConfiguration,
    proposals: BTreeMap<Index, (Term, ResponseSender)>,
    reads: HashMap<ReadId, ResponseSender>,
    ready_reads: Vec<(Index, ResponseSender)>,
    forwarded_requests: HashMap<u64, oneshot::Sender<LeaderResponse>>,
    next_request_id: u64,
    /// The backend list as it was fetched last.
    listed_backends: Vec<Backend>,
    unrecorded_versions: UnrecordedVersions,
    backends: AnnouncedBackends,
    software_versions: SoftwareVersions,
    stream_records: StreamRecords,
    quarantine: Quarantine,
    /// Earliest time of the next proposals to end quarantines.
    quarantine_ends_due_ms: u64,
    /// Earliest time of the next question for complete answers.
    watch_due_ms: u64,
    /// The caps of customers, if the settings have any.
    caps: Option<CustomerCaps>,
    /// The time of the last message of the leader of the log.
    leader_heard_ms: Option<u64>,
    planner: Option<(Term, Planner)>,
    former_coordinator: FormerCoordinator,
    /// Whether the process is shutting down and no longer acts as coordinator.
    is_stopping: bool,
    stop_announcement_due_ms: u64,
    log_reports: LogReports,
    /// Tells whether this process has heard no leader for a while.
    lacks_leader: watch::Sender<bool>,
    /// Earliest time of the next proposals to record the addresses of members.
    addresses_due_ms: u64,
    /// Tells whether the log needs this process no longer as a voter while it shuts down.
    is_replaced: watch::Sender<bool>,
    lag: TimerLag,
    /// Earliest time of the next attempt to transfer leadership.
    leadership_transfer_due_ms: u64,
    backend_loads_due_ms: u64,
    engine_loads_due_ms: u64,
    /// The model locations that entry processes know, and the epoch of the coordinator that announced them last.
    locations: AnnouncedLocations,
    locations_epoch: Term,
    location_changes_due_ms: u64,
    idle_check_due_ms: u64,
    traffic_log_due_ms: u64,
}

impl Driver {
    pub(super) fn new(
        settings: ProcessSettings,
        context: DriverContext,
        own_link: SocketAddr,
        start_state: StartState,
        recorded_streams: &[StreamRecord],
        events: mpsc::Sender<DriverEvent>,
    ) -> Driver {
        let DriverContext {
            dialect,
            clock,
            metrics,
            coordinator_state,
            stream_records,
            is_replaced,
            lacks_leader,
        } = context;
        let mut driver = Driver {
            dialect,
            coordinator_state,
            clock,
            metrics,
            own_link,
            events,
            client: HttpClient::new(dialect.headers.request_id.clone()),
            replica: start_state.replica,
            storage: Some(start_state.storage),
            write_started_ms: 0,
            state: start_state.state,
            applied_index: 0,
            applied_term: 0,
            table: None,
            withholds_configuration: true,
            started_ms: clock.now_ms(),
            is_joining: start_state.is_joining,
            join_due_ms: 0,
            cores: CoreLinks::default(),
            core_addresses: start_state.core_addresses,
            last_message_ms: HashMap::new(),
            stop_announced_ms: HashMap::new(),
            leader_since_ms: 0,
            entries: EntryLinks::default(),
            compressed_configuration: CompressedConfiguration::default(),
            proposals: BTreeMap::new(),
            reads: HashMap::new(),
            ready_reads: Vec::new(),
            forwarded_requests: HashMap::new(),
            next_request_id: 0,
            listed_backends: Vec::new(),
            unrecorded_versions: UnrecordedVersions::default(),
            backends: AnnouncedBackends::default(),
            software_versions: SoftwareVersions::default(),
            stream_records,
            quarantine: Quarantine::default(),
            quarantine_ends_due_ms: 0,
            watch_due_ms: 0,
            caps: settings.caps.map(|bounds| CustomerCaps::new(clock.now_ms(), bounds)),
            leader_heard_ms: None,
            planner: None,
            former_coordinator: FormerCoordinator {
                last_heard_ms: (!start_state.is_new_fleet).then(|| clock.now_ms()),
                ..FormerCoordinator::default()
            },
            lag: TimerLag::default(),
            leadership_transfer_due_ms: 0,
            is_stopping: false,
            stop_announcement_due_ms: 0,
            log_reports: LogReports::new(clock.now_ms()),
            lacks_leader,
            addresses_due_ms: 0,
            is_replaced,
            backend_loads_due_ms: 0,
            engine_loads_due_ms: 0,
            locations: AnnouncedLocations::default(),
            locations_epoch: 0,
            location_changes_due_ms: 0,
            idle_check_due_ms: 0,
            traffic_log_due_ms: TRAFFIC_LOG_INTERVAL_MS,
            settings,
        };
        driver.load_configuration();
        driver.remember_streams(recorded_streams);
        driver.update_quarantine();
        driver.announce_software_versions();
        driver
    }

    /// Handles events until writing the log fails.
    pub(super) async fn run(
        mut self,
        mut received: mpsc::Receiver<DriverEvent>,
    ) -> Result<(), FleetError> {
        for seed in self.settings.seeds.clone() {
            self.dial(SocketAddr::new(seed.ip(), self.settings.link_port));
        }
        for address in self.core_addresses.clone().into_values() {
            self.dial(address);
        }
        let mut ticks = tokio::time::interval(TICK_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                _ = ticks.tick() => self.tick(),
                event = received.recv() => {
                    let Some(event) = event else { return Ok(()) };
                    self.handle(event)?;
                    // Events that arrived in the meantime share the next write and the next
                    // planning pass.
                    while let Ok(event) = received.try_recv() {
                        self.handle(event)?;
                    }
                }
            }
            self.process_effects();
        }
    }

    fn now_ms(&self) -> u64 {
        self.clock.now_ms()
    }

    fn dial_all(&mut self, addresses: &[SocketAddr]) {
        for address in addresses {
            self.dial(*address);
        }
    }

    /// Keeps a link to another core process.
    fn dial(&mut self, address: SocketAddr) {
        if address != self.own_link && self.cores.add(address) {
            let own = (self.replica.id(), self.own_link);
            let (events, metrics) = (self.events.clone(), Arc::clone(&self.metrics));
            tasks::spawn_restarting("core link", move || {
                links::dial(address, own, events.clone(), Arc::clone(&metrics))
            });
        }
    }

    fn handle(&mut self, event: DriverEvent) -> Result<(), FleetError> {
        match event {
            DriverEvent::MessageReceived { link, sender, message } => {
                self.handle_message(link, sender, message);
            }
            DriverEvent::LinkClosed { link } => self.handle_link_closed(link),
            DriverEvent::CoreConnected { address, sender } => {
                log::info!("core: connected to the core process at {address}");
                sender.send(&FleetMessage::ModelLocationsRequest);
                sender.send(&self.core_addresses_message());
                self.cores.connected(address, sender);
                self.pass_on_address(address);
                self.join_due_ms = 0;
            }
            DriverEvent::CoreMessageReceived { address, message } => {
                self.handle_core_message(address, message);
            }
            DriverEvent::OperatorRequest { request, reply } => {
                self.handle_operator_request(request, reply);
            }
            DriverEvent::PlacementQuestion(question) => self.answer_placement_question(question),
            DriverEvent::BackendsListed(entries) => self.handle_backend_list(entries),
            DriverEvent::ReportFetched { engine, answer } => {
                let now_ms = self.now_ms();
                self.set_answered_limit(engine, answer.request_limit);
                if let Some((_, planner)) = &mut self.planner {
                    if answer.is_leaving {
                        planner.engine_leaving(engine);
                    }
                    let is_first = !planner.has_reported(engine);
                    planner.engine_report(now_ms, engine, answer.result);
                    if is_first && planner.has_reported(engine) {
                        self.locations.confirm(engine, |model| planner.is_loaded(engine, model));
                    }
                }
            }
            DriverEvent::OrderFinished { epoch, order, answer } => {
                let now_ms = self.now_ms();
                let outcome = answer.result;
                self.set_answered_limit(order.engine, answer.request_limit);
                log::log!(
                    if order.is_for_base_model() { log::Level::Info } else { log::Level::Debug },
                    "coordinator: {order:?} ended: {outcome:?}"
                );
                self.metrics.record_order(outcome.code());
                if outcome == OrderOutcome::Fenced {
                    log::warn!(
                        "coordinator: the engine has seen a higher fencing token: {order:?}"
                    );
                }
                if let Some((planned_epoch, planner)) = &mut self.planner {
                    if answer.is_leaving {
                        planner.engine_leaving(order.engine);
                    }
                    // The planner of a later epoch may have another order to this engine in flight.
                    if *planned_epoch == epoch {
                        planner.order_finished(now_ms, &order, outcome);
                    }
                }
            }
            DriverEvent::SeedsRead(links) => links.into_iter().for_each(|link| self.dial(link)),
            DriverEvent::Stopping => {
                let now_ms = self.now_ms();
                if self.planner.take().is_some() {
                    self.cores.send_all(&FleetMessage::CoordinatorStopping);
                }
                self.is_stopping = true;
                if let Ok(to) = self.replica.transfer_leadership(None, now_ms) {
                    log::info!("core: transferring leadership to replica {to}");
                }
            }
            DriverEvent::WriteFinished { storage, write, result } => {
                if let Err(error) = result {
                    self.replica.halt();
                    log::error!("core: cannot write the log: {error}; the process exits");
                    return Err(error.into());
                }
                self.storage = Some(*storage);
                self.replica.persisted(write);
            }
        }
        Ok(())
    }

    fn tick(&mut self) {
        let now_ms = self.now_ms();
        self.lag.tick(now_ms, TICK_INTERVAL);
        self.replica.tick(now_ms);
        self.ask_to_join(now_ms);
        self.update_membership(now_ms);
        self.warn_of_missing_leader(now_ms);
        self.report_margin(now_ms);
        self.announce_withheld_configuration(now_ms);
        if self.is_stopping {
            self.announce_stop(now_ms);
        }
        self.transfer_leadership_when_slow(now_ms);
        self.ask_for_engine_reach(now_ms);
        self.coordinate(now_ms);
        self.end_quarantines(now_ms);
        self.propose_software_versions(now_ms);
        self.entries.tick(now_ms);
        self.tick_caps(now_ms);
        if self.traffic_log_due_ms <= now_ms {
            self.traffic_log_due_ms = now_ms + TRAFFIC_LOG_INTERVAL_MS;
            log::info!("core: bytes sent on links by kind: {:?}", self.metrics.link_bytes());
        }
        if self.idle_check_due_ms <= now_ms {
            self.idle_check_due_ms = now_ms + IDLE_CHECK_INTERVAL_MS;
            self.client.close_expired();
        }
    }

    fn is_current_leader(&self) -> bool {
        self.replica.is_leader() && self.applied_term == self.replica.term()
    }

    /// Carries out the effects that the replica requests, unless a write is in progress.
    fn process_effects(&mut self) {
        while self.storage.is_some() {
            let mut effects = self.replica.take_effects();
            if effects.is_empty() {
                break;
            }
            for outgoing in effects.messages.drain(..) {
                self.send_log_message(outgoing.to, &outgoing.message);
            }
            if let Some(snapshot) = effects.restore.take() {
                self.restore(&snapshot.data, snapshot.index, snapshot.term);
            }
            let committed = std::mem::take(&mut effects.committed);
            let reads = std::mem::take(&mut effects.reads);
            if let Some(write) = effects.write {
                self.start_write(write, effects);
            }
            self.apply(committed);
            for read in reads {
                let Some(response_sender) = self.reads.remove(&read.id) else { continue };
                match read.index {
                    Some(index) => self.ready_reads.push((index, response_sender)),
                    None => response_sender.respond(LeaderResponse::Unconfirmed),
                }
            }
        }
        self.log_members();
        self.respond_to_reads();
        self.follow_leadership();
        if self.replica.snapshot_due() {
            self.replica.compact(self.replica.applied_index(), self.state.snapshot());
        }
        let now_ms = self.now_ms();
        self.plan(now_ms);
    }

    fn send_log_message(&mut self, to: ReplicaId, message: &LogMessage) {
        let Some(address) = self.core_addresses.get(&to.0) else { return };
        match message.encode() {
            Ok(message) => {
                let from = self.replica.id();
                self.cores.send(*address, &FleetMessage::Log { from, to, message });
            }
            Err(error) => log::error!("core: cannot encode a message to replica {to}: {error}"),
        }
    }

    fn start_write(&mut self, write: WriteId, effects: Effects) {
        let Some(mut storage) = self.storage.take() else { return };
        self.write_started_ms = self.now_ms();
        let events = self.events.clone();
        tokio::task::spawn_blocking(move || {
            let result = storage.save(&effects);
            let finished = DriverEvent::WriteFinished { storage: Box::new(storage), write, result };
            // The driver ends only with the process.
            let _ = events.blocking_send(finished);
        });
    }

    fn restore(&mut self, snapshot: &[u8], index: Index, term: Term) {
        match FleetState::restore(snapshot) {
            Ok(state) => {
                self.state = state;
                self.applied_index = index;
                self.applied_term = term;
                self.update_core_addresses();
                self.announce_configuration();
                self.tell_versions();
                self.update_quarantine();
                self.update_recorded_versions();
            }
            Err(error) => {
                log::error!("core: cannot restore the snapshot: {error}");
                self.replica.halt();
            }
        }
    }

    /// Applies committed log entries, sends the resulting changes to the entry processes, and then
    /// responds to the senders of the proposals.
    ///
    /// After a start many log entries are committed at once, and only the newest configuration
    /// matters.
    fn apply(&mut self, committed: Vec<Entry>) {
        let mut has_new_configuration = false;
        let mut has_new_versions = false;
        let mut responses = Vec::new();
        for entry in committed {
            self.applied_index = entry.index;
            self.applied_term = entry.term;
            if let EntryKind::Data(data) = &entry.kind {
                match postcard::from_bytes::<StateCommand>(data) {
                    Ok(command) => match self.state.apply(entry.index, command) {
                        StateChange::Configuration => has_new_configuration = true,
                        StateChange::Version => has_new_versions = true,
                        StateChange::Core => self.update_core_addresses(),
                        StateChange::Quarantine => self.update_quarantine(),
                        StateChange::SoftwareVersions => self.update_recorded_versions(),
                        StateChange::Nothing => {}
                    },
                    Err(error) => {
                        log::error!("core: cannot decode log entry {}: {error}", entry.index);
                        self.replica.halt();
                    }
                }
            }
            if let Some((term, response_sender)) = self.proposals.remove(&entry.index) {
                let response = if term == entry.term {
                    self.log_acknowledgement(&entry);
                    LeaderResponse::Committed
                } else {
                    LeaderResponse::Unconfirmed
                };
                responses.push((response_sender, response));
            }
        }
        if has_new_configuration {
            self.announce_configuration();
        }
        if has_new_versions {
            self.tell_versions();
            if let Some((_, planner)) = &mut self.planner {
                planner.set_versions(&self.state.versions);
            }
        }
        for (response_sender, response) in responses {
            response_sender.respond(response);
        }
    }
}
