//! The task that owns the state of a core process.

mod calls;
mod coordinate;
mod entries;
mod members;

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
    sync::{mpsc, oneshot},
    time::MissedTickBehavior,
};

use crate::{
    BackendEntry, Dialect, EngineReport, FleetError, ProcessSettings,
    clock::{Clock, Lag},
    http::HttpClient,
    ids::BackendKey,
    link::LinkSender,
    message::{Backend, EntryHello, FleetMessage, LeaderRequest, LeaderResponse},
    metrics::Metrics,
    state::{Applied, Command, FleetState},
};

use super::{
    links::{self, CoreLinks},
    orders::OrderOutcome,
    planner::{PlannedOrder, Planner},
    start::Started,
};

/// How often the clock of the log advances and orders are planned.
const TICK: Duration = Duration::from_millis(10);
/// How often entry processes learn how busy the backend servers are.
const LOADS_INTERVAL_MS: u64 = 250;
/// How often entry processes learn which adapters have come or gone. They place requests by this only
/// without a coordinator.
const HOLDINGS_INTERVAL_MS: u64 = 100;
/// How often a process that isn't a member of the log asks to become one.
const JOIN_INTERVAL_MS: u64 = 250;
/// A leader whose disk takes longer than this hands over to another replica.
const SLOW_WRITE_MS: u64 = 400;
/// How often a slow leader tries to hand over.
const TRANSFER_INTERVAL_MS: u64 = 2_000;
/// A former leader that was silent for this long was stopped or cut off.
const FORMER_LEADER_MS: u64 = 500;
/// A voter that is silent this long makes way for a newcomer.
const LOST_VOTER_MS: u64 = 1_500;
/// A voter that is silent this long counts as gone; machines without power are back before.
const LONG_LOST_VOTER_MS: u64 = 20_000;
/// The smallest number of voters that bears the loss of one.
const MIN_VOTERS: usize = 3;
/// How often idle connections to engines are looked through.
const IDLE_CHECK_INTERVAL_MS: u64 = 1_000;

/// What the driver reacts to.
#[derive(Debug)]
pub(super) enum Input {
    /// A message on an accepted link.
    Received { link: u64, sender: LinkSender, message: FleetMessage },
    /// An accepted link ended.
    LinkEnded { link: u64 },
    /// A link to another core process works.
    Dialed { address: SocketAddr, sender: LinkSender },
    /// A message on a dialed link.
    Answered { message: FleetMessage },
    /// An operator's call.
    Call { call: LeaderRequest, reply: oneshot::Sender<LeaderResponse> },
    /// The platform's list.
    Listed(Vec<BackendEntry>),
    /// An engine's report, if it sent one.
    Reported { engine: BackendKey, report: Option<EngineReport> },
    /// The answer to an order.
    OrderDone { order: PlannedOrder, outcome: OrderOutcome },
    /// The process ends shortly.
    Stopping,
    /// The end of a write.
    Written { storage: Box<Storage>, write: WriteId, result: Result<(), StorageError> },
}

/// Who waits for the answer to a call.
#[derive(Debug)]
enum Caller {
    Local(oneshot::Sender<LeaderResponse>),
    Remote { sender: LinkSender, id: u64 },
}

impl Caller {
    fn answer(self, response: LeaderResponse) {
        match self {
            // The operator's connection may be gone.
            Caller::Local(sender) => drop(sender.send(response)),
            Caller::Remote { sender, id } => {
                sender.send(FleetMessage::LeaderResponse { id, response });
            }
        }
    }
}

struct EntryLink {
    sender: LinkSender,
    hello: EntryHello,
    ready: bool,
}

/// The state of a core process.
pub(super) struct Driver {
    settings: ProcessSettings,
    dialect: &'static Dialect,
    clock: Clock,
    metrics: Arc<Metrics>,
    own_link: SocketAddr,
    inputs: mpsc::Sender<Input>,
    client: Arc<HttpClient>,
    replica: Replica,
    /// `None` while a write is under way.
    storage: Option<Storage>,
    write_started_ms: u64,
    state: FleetState,
    applied_index: Index,
    applied_term: Term,
    table: Option<Arc<RouteTable>>,
    joining: bool,
    join_due_ms: u64,
    cores: CoreLinks,
    core_addresses: BTreeMap<u32, SocketAddr>,
    /// When each core process was last heard of, and when it asked to join.
    heard_ms: HashMap<u32, u64>,
    joined_ms: HashMap<u32, u64>,
    leads_since_ms: u64,
    entries: HashMap<u64, EntryLink>,
    proposals: BTreeMap<Index, (Term, Caller)>,
    reads: HashMap<ReadId, Caller>,
    ready_reads: Vec<(Index, Caller)>,
    remote_calls: HashMap<u64, oneshot::Sender<LeaderResponse>>,
    next_call: u64,
    backends: Vec<Backend>,
    backends_digest: u64,
    planner: Option<(Term, Planner)>,
    /// When another process was last known to lead.
    other_holder_ms: Option<u64>,
    /// When another process said that it gives no more orders.
    holder_stopped_ms: Option<u64>,
    /// The process ends shortly and coordinates nothing any more.
    stopping: bool,
    lag: Lag,
    /// When the lead may be handed over again.
    transfer_due_ms: u64,
    loads_due_ms: u64,
    holdings_due_ms: u64,
    idle_check_due_ms: u64,
}

impl Driver {
    pub(super) fn new(
        settings: ProcessSettings,
        dialect: &'static Dialect,
        (clock, metrics): (Clock, Arc<Metrics>),
        own_link: SocketAddr,
        started: Started,
        inputs: mpsc::Sender<Input>,
    ) -> Driver {
        let mut driver = Driver {
            dialect,
            clock,
            metrics,
            own_link,
            inputs,
            client: HttpClient::new(),
            replica: started.replica,
            storage: Some(started.storage),
            write_started_ms: 0,
            state: started.state,
            applied_index: 0,
            applied_term: 0,
            table: None,
            joining: started.joining,
            join_due_ms: 0,
            cores: CoreLinks::default(),
            core_addresses: started.known_cores,
            heard_ms: HashMap::new(),
            joined_ms: HashMap::new(),
            leads_since_ms: 0,
            entries: HashMap::new(),
            proposals: BTreeMap::new(),
            reads: HashMap::new(),
            ready_reads: Vec::new(),
            remote_calls: HashMap::new(),
            next_call: 0,
            backends: Vec::new(),
            backends_digest: 0,
            planner: None,
            other_holder_ms: (!started.fleet_is_new).then(|| clock.now_ms()),
            lag: Lag::default(),
            transfer_due_ms: 0,
            holder_stopped_ms: None,
            stopping: false,
            loads_due_ms: 0,
            holdings_due_ms: 0,
            idle_check_due_ms: 0,
            settings,
        };
        driver.read_configuration();
        driver
    }

    /// Reacts to inputs until the disk fails.
    pub(super) async fn run(
        mut self,
        mut received: mpsc::Receiver<Input>,
    ) -> Result<(), FleetError> {
        for seed in self.settings.seeds.clone() {
            self.dial(SocketAddr::new(seed.ip(), self.settings.link_port));
        }
        for address in self.core_addresses.clone().into_values() {
            self.dial(address);
        }
        let mut ticks = tokio::time::interval(TICK);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                _ = ticks.tick() => self.tick(),
                input = received.recv() => {
                    let Some(input) = input else { return Ok(()) };
                    self.handle(input)?;
                    // What arrived meanwhile shares the next write and the next planning.
                    while let Ok(input) = received.try_recv() {
                        self.handle(input)?;
                    }
                }
            }
            self.drive();
        }
    }

    fn now_ms(&self) -> u64 {
        self.clock.now_ms()
    }

    fn dial(&mut self, address: SocketAddr) {
        if address != self.own_link && self.cores.add(address) {
            let own = (self.replica.id(), self.own_link);
            tokio::spawn(links::dial(address, own, self.inputs.clone()));
        }
    }

    fn handle(&mut self, input: Input) -> Result<(), FleetError> {
        match input {
            Input::Received { link, sender, message } => self.received(link, sender, message),
            Input::LinkEnded { link } => self.link_ended(link),
            Input::Dialed { address, sender } => {
                log::info!("core: connected to the core process at {address}");
                self.cores.connected(address, sender);
                self.join_due_ms = 0;
            }
            Input::Answered { message } => self.answered(message),
            Input::Call { call, reply } => self.call(call, reply),
            Input::Listed(entries) => self.listed(entries),
            Input::Reported { engine, report } => {
                let now_ms = self.now_ms();
                if let Some((_, planner)) = &mut self.planner {
                    planner.engine_report(now_ms, engine, report);
                }
            }
            Input::OrderDone { order, outcome } => {
                let now_ms = self.now_ms();
                log::debug!("coordinator: {order:?} ends: {outcome:?}");
                self.metrics.ordered(outcome.code());
                if outcome == OrderOutcome::Fenced {
                    log::warn!("coordinator: an engine has seen a higher fencing token: {order:?}");
                }
                if let Some((_, planner)) = &mut self.planner {
                    planner.order_finished(now_ms, &order, outcome);
                }
            }
            Input::Stopping => {
                let now_ms = self.now_ms();
                if self.planner.take().is_some() {
                    self.cores.send_all(&FleetMessage::CoordinatorStopping);
                }
                self.stopping = true;
                if let Ok(to) = self.replica.transfer_leadership(None, now_ms) {
                    log::info!("core: replica {to} takes over the lead");
                }
            }
            Input::Written { storage, write, result } => {
                if let Err(error) = result {
                    self.replica.halt();
                    log::error!("core: the log can't be written: {error}; the process ends");
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
        self.lag.tick(now_ms, TICK);
        self.replica.tick(now_ms);
        if self.joining && self.join_due_ms <= now_ms {
            self.join_due_ms = now_ms + JOIN_INTERVAL_MS;
            let membership = self.replica.membership();
            if membership.is_voter(self.replica.id()) {
                log::info!("core: replica {} votes now", self.replica.id());
                self.joining = false;
            } else {
                let message =
                    FleetMessage::Join { replica: self.replica.id(), link: self.own_link };
                self.cores.send_all(&message);
            }
        }
        self.lead_membership(now_ms);
        self.leave_lead_when_slow(now_ms);
        self.coordinate(now_ms);
        if self.idle_check_due_ms <= now_ms {
            self.idle_check_due_ms = now_ms + IDLE_CHECK_INTERVAL_MS;
            self.client.close_old();
        }
    }

    fn is_current_leader(&self) -> bool {
        self.replica.is_leader() && self.applied_term == self.replica.term()
    }

    /// Performs what the replica asks for, unless a write is under way.
    fn drive(&mut self) {
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
                let Some(caller) = self.reads.remove(&read.id) else { continue };
                match read.index {
                    Some(index) => self.ready_reads.push((index, caller)),
                    None => caller.answer(LeaderResponse::Unconfirmed),
                }
            }
        }
        self.answer_reads();
        self.follow_role();
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
                self.cores.send(*address, FleetMessage::Log { from, to, message });
            }
            Err(error) => log::error!("core: a message to replica {to} can't be sent: {error}"),
        }
    }

    fn start_write(&mut self, write: WriteId, effects: Effects) {
        let Some(mut storage) = self.storage.take() else { return };
        self.write_started_ms = self.now_ms();
        let inputs = self.inputs.clone();
        tokio::task::spawn_blocking(move || {
            let result = storage.save(&effects);
            let written = Input::Written { storage: Box::new(storage), write, result };
            // The driver ends only with the process.
            let _ = inputs.blocking_send(written);
        });
    }

    fn restore(&mut self, snapshot: &[u8], index: Index, term: Term) {
        match FleetState::restore(snapshot) {
            Ok(state) => {
                self.state = state;
                self.applied_index = index;
                self.applied_term = term;
                self.learn_cores();
                self.configuration_changed();
                self.send_entries(&self.versions_message());
            }
            Err(error) => {
                log::error!("core: the snapshot can't be restored: {error}");
                self.replica.halt();
            }
        }
    }

    /// Applies committed entries, tells the entry processes of what they change, and then answers
    /// their callers.
    ///
    /// After a start many entries come at once, and only the newest configuration matters.
    fn apply(&mut self, committed: Vec<Entry>) {
        let mut configuration = false;
        let mut versions = false;
        let mut answers = Vec::new();
        for entry in committed {
            self.applied_index = entry.index;
            self.applied_term = entry.term;
            if let EntryKind::Data(data) = &entry.kind {
                match postcard::from_bytes::<Command>(data) {
                    Ok(command) => match self.state.apply(entry.index, command) {
                        Applied::Configuration => configuration = true,
                        Applied::Version => versions = true,
                        Applied::Core => self.learn_cores(),
                        Applied::Nothing => {}
                    },
                    Err(error) => {
                        log::error!("core: entry {} can't be read: {error}", entry.index);
                        self.replica.halt();
                    }
                }
            }
            if let Some((term, caller)) = self.proposals.remove(&entry.index) {
                let reply = if term == entry.term {
                    LeaderResponse::Committed
                } else {
                    LeaderResponse::Unconfirmed
                };
                answers.push((caller, reply));
            }
        }
        if configuration {
            self.configuration_changed();
        }
        if versions {
            self.send_entries(&self.versions_message());
            if let Some((_, planner)) = &mut self.planner {
                planner.set_versions(&self.state.versions);
            }
        }
        for (caller, reply) in answers {
            caller.answer(reply);
        }
    }

    fn configuration_changed(&mut self) {
        self.read_configuration();
        if self.state.version == 0 {
            return;
        }
        log::info!("core: configuration {} is in force", self.state.version);
        // The leader sends the whole configuration; the others only tell that they have it.
        let message = if self.replica.is_leader() {
            self.configuration_message()
        } else {
            FleetMessage::ConfigurationNotice { version: self.state.version }
        };
        self.send_entries(&message);
    }

    fn read_configuration(&mut self) {
        if self.state.version == 0 {
            return;
        }
        let table =
            (self.dialect.decode_configuration)(&self.state.document).and_then(|configuration| {
                RouteTable::new(configuration).map_err(|fault| fault.to_string().into())
            });
        match table {
            Ok(table) => self.table = Some(Arc::new(table)),
            Err(error) => log::error!("core: the stored configuration can't be read: {error}"),
        }
        self.give_services();
    }
}
