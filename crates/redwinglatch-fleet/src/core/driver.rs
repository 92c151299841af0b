//! The task that owns the state of a core process.

use std::{
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};

use redwinglatch_core::ReplicaId;
use redwinglatch_log::{
    Effects, Entry, EntryKind, Index, LogMessage, MembershipChange, ReadId, Replica, Storage,
    StorageError, Term, WriteId,
};
use redwinglatch_routing::RouteTable;
use tokio::{
    sync::{mpsc, oneshot},
    time::MissedTickBehavior,
};

use crate::{
    BackendEntry, Dialect, EngineReport, FleetError, Order, ProcessSettings,
    clock::{Clock, Lag},
    http::HttpClient,
    ids::{BackendKey, Fnv},
    link::LinkSender,
    message::{
        Backend, CoreCall, CoreReply, EntryHello, EntryReport, FleetMessage, HoldingChange, Member,
        PlaceReply,
    },
    metrics::Metrics,
    state::{Applied, Command, FleetState},
};

use super::{
    links::{self, CoreLinks},
    orders::{self, EngineAddress, OrderOutcome},
    planner::{EngineLimits, PlaceAnswer, PlannedOrder, Planner},
    start::Started,
};

/// How often the clock of the log advances and orders are planned.
const TICK: Duration = Duration::from_millis(10);
/// How often entry processes learn how busy the backend servers are.
const LOADS_INTERVAL_MS: u64 = 250;
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
    Call { call: CoreCall, reply: oneshot::Sender<CoreReply> },
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
    Local(oneshot::Sender<CoreReply>),
    Remote { sender: LinkSender, id: u64 },
}

impl Caller {
    fn answer(self, reply: CoreReply) {
        match self {
            // The operator's connection may be gone.
            Caller::Local(sender) => drop(sender.send(reply)),
            Caller::Remote { sender, id } => {
                sender.send(FleetMessage::CallReply { id, reply });
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
    heard_ms: HashMap<u32, u64>,
    entries: HashMap<u64, EntryLink>,
    proposals: BTreeMap<Index, (Term, Caller)>,
    reads: HashMap<ReadId, Caller>,
    ready_reads: Vec<(Index, Caller)>,
    remote_calls: HashMap<u64, oneshot::Sender<CoreReply>>,
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
                    planner.report(now_ms, engine, report);
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
                    planner.order_done(now_ms, &order, outcome);
                }
            }
            Input::Stopping => {
                let now_ms = self.now_ms();
                if self.planner.take().is_some() {
                    self.cores.send_all(&FleetMessage::HolderStops);
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

    fn received(&mut self, link: u64, sender: LinkSender, message: FleetMessage) {
        match message {
            FleetMessage::EntryHello(hello) => self.entry_connected(link, sender, hello),
            FleetMessage::CoreHello { replica, link } => {
                self.core_addresses.insert(replica.0, link);
                self.dial(link);
            }
            FleetMessage::EntryReport(report) => self.entry_report(link, report),
            FleetMessage::Place { id, request } => {
                let now_ms = self.now_ms();
                if let Some((_, planner)) = &mut self.planner {
                    planner.place(now_ms, link, id, request);
                }
            }
            FleetMessage::FirstEvent { id } => {
                if let Some((_, planner)) = &mut self.planner {
                    planner.first_event(link, id);
                }
            }
            FleetMessage::Release { id } => {
                let now_ms = self.now_ms();
                if let Some((_, planner)) = &mut self.planner {
                    planner.release(now_ms, link, id);
                }
            }
            FleetMessage::NotHeld { engine, model } => {
                let now_ms = self.now_ms();
                if let Some((_, planner)) = &mut self.planner {
                    planner.not_held(now_ms, engine, &model);
                }
            }
            FleetMessage::NeedConfiguration => {
                if self.state.version > 0 {
                    sender.send(self.configuration_message());
                    sender.send(self.versions_message());
                }
            }
            FleetMessage::NeedBackends => {
                sender.send(self.backends_message());
            }
            FleetMessage::NeedHoldings => {
                if let Some(message) = self.holdings_message() {
                    sender.send(message);
                }
            }
            FleetMessage::Log { from, to, message } if to == self.replica.id() => {
                let now_ms = self.now_ms();
                self.heard_ms.insert(from.0, now_ms);
                match LogMessage::decode(&message) {
                    Ok(message) => self.replica.step(from, message, now_ms),
                    Err(error) => log::warn!("core: a message of replica {from}: {error}"),
                }
            }
            FleetMessage::HolderStops => self.holder_stopped_ms = Some(self.now_ms()),
            FleetMessage::Join { replica, link } => self.join_asked(replica, link),
            FleetMessage::Call { id, call } => {
                self.lead_call(call, Caller::Remote { sender, id });
            }
            other => log::debug!("core: an unexpected message is ignored: {other:?}"),
        }
    }

    fn answered(&mut self, message: FleetMessage) {
        match message {
            FleetMessage::CallReply { id, reply } => {
                if let Some(waiting) = self.remote_calls.remove(&id) {
                    // The operator's connection may be gone.
                    let _ = waiting.send(reply);
                }
            }
            FleetMessage::Cores(addresses) => {
                for address in addresses {
                    self.dial(address);
                }
            }
            other => log::debug!("core: an unexpected answer is ignored: {other:?}"),
        }
    }

    fn entry_connected(&mut self, link: u64, sender: LinkSender, hello: EntryHello) {
        log::info!("core: the entry process at {} is connected", hello.front);
        // An older connection of the same process may not have ended yet.
        self.entries.retain(|_, entry| entry.hello.front != hello.front);
        sender.send(self.cores_message());
        if self.state.version > 0 {
            sender.send(FleetMessage::ConfigurationNotice { version: self.state.version });
        }
        sender.send(self.versions_message());
        sender.send(FleetMessage::BackendsNotice { digest: self.backends_digest });
        if let Some(message) = self.holdings_message() {
            sender.send(message);
        }
        self.entries.insert(link, EntryLink { sender, hello, ready: false });
        self.send_members();
    }

    fn link_ended(&mut self, link: u64) {
        let now_ms = self.now_ms();
        if let Some(entry) = self.entries.remove(&link) {
            log::info!("core: the entry process at {} is gone", entry.hello.front);
            if let Some((_, planner)) = &mut self.planner {
                planner.entry_gone(now_ms, link);
            }
            self.send_members();
        }
    }

    fn entry_report(&mut self, link: u64, report: EntryReport) {
        let now_ms = self.now_ms();
        let Some(entry) = self.entries.get_mut(&link) else { return };
        let ready = report.ready && !report.draining;
        let changed = entry.ready != ready;
        entry.ready = ready;
        if changed {
            self.send_members();
        }
        if let Some((_, planner)) = &mut self.planner {
            planner.entry_report(now_ms, link, report);
        }
    }

    fn send_members(&mut self) {
        let mut members: Vec<Member> = self
            .entries
            .values()
            .filter(|entry| entry.ready)
            .map(|entry| Member {
                front: entry.hello.front,
                data_centre: entry.hello.data_centre.clone(),
            })
            .collect();
        members.sort_unstable_by_key(|member| member.front);
        self.send_entries(&FleetMessage::Members(members));
    }

    fn send_entries(&self, message: &FleetMessage) {
        for entry in self.entries.values() {
            entry.sender.send(message.clone());
        }
    }

    fn cores_message(&self) -> FleetMessage {
        let mut addresses: Vec<_> = self.cores.addresses().collect();
        addresses.push(self.own_link);
        FleetMessage::Cores(addresses)
    }

    fn configuration_message(&self) -> FleetMessage {
        let (version, document) = (self.state.version, self.state.document.clone());
        FleetMessage::Configuration { version, document }
    }

    fn versions_message(&self) -> FleetMessage {
        let versions = self.state.versions.iter();
        FleetMessage::Versions(versions.map(|(model, version)| (model.clone(), *version)).collect())
    }

    fn backends_message(&self) -> FleetMessage {
        FleetMessage::Backends { digest: self.backends_digest, entries: self.backends.clone() }
    }

    fn holdings_message(&self) -> Option<FleetMessage> {
        let (epoch, planner) = self.planner.as_ref()?;
        Some(FleetMessage::Holdings { epoch: *epoch, held: planner.holdings() })
    }

    fn listed(&mut self, entries: Vec<BackendEntry>) {
        let now_ms = self.now_ms();
        let mut backends: Vec<Backend> = entries
            .into_iter()
            .map(|entry| Backend {
                key: BackendKey::new(&entry.id, entry.address, entry.born_ms),
                id: entry.id,
                service: entry.service,
                address: entry.address,
                data_centre: entry.data_centre,
                slots: entry.slots,
                leaving: entry.leaving,
            })
            .collect();
        backends.sort_unstable_by_key(|backend| backend.key);
        backends.dedup_by_key(|backend| backend.key);
        let mut digest = Fnv::new();
        digest.write(&postcard::to_allocvec(&backends).expect("the list encodes into memory"));
        self.backends_digest = digest.0;
        self.backends = backends;
        if let Some((_, planner)) = &mut self.planner {
            planner.set_backends(now_ms, &self.backends);
        }
        self.send_entries(&FleetMessage::BackendsNotice { digest: self.backends_digest });
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

    /// Hands the lead over when this machine can't keep up.
    fn leave_lead_when_slow(&mut self, now_ms: u64) {
        let stuck = self.storage.is_none() && self.write_started_ms + SLOW_WRITE_MS < now_ms;
        if !(stuck || self.lag.is_slow())
            || !self.replica.is_leader()
            || now_ms < self.transfer_due_ms
        {
            return;
        }
        self.transfer_due_ms = now_ms + TRANSFER_INTERVAL_MS;
        let reason = if stuck { "disk" } else { "process" };
        match self.replica.transfer_leadership(None, now_ms) {
            Ok(to) => log::warn!("core: the {reason} is slow; replica {to} takes over the lead"),
            Err(error) => log::warn!("core: the {reason} is slow, and no other leads: {error}"),
        }
    }

    fn join_asked(&mut self, replica: ReplicaId, link: SocketAddr) {
        self.core_addresses.insert(replica.0, link);
        self.dial(link);
        if !self.is_current_leader() {
            return;
        }
        let now_ms = self.now_ms();
        if self.state.cores.get(&replica.0).is_none_or(|(known, _)| *known != link) {
            self.propose(&Command::LocateCore { replica, link }, None);
        }
        let change = MembershipChange::AddLearner(replica);
        match self.replica.propose_membership(change, now_ms) {
            Ok(_) => log::info!("core: replica {replica} at {link} joins the log"),
            Err(error) => log::debug!("core: replica {replica} can't join yet: {error}"),
        }
    }

    /// Moves the members of the log towards the core processes that exist.
    fn lead_membership(&mut self, now_ms: u64) {
        if !self.is_current_leader() {
            return;
        }
        let own = self.replica.id();
        if !self.state.cores.contains_key(&own.0) {
            let link = self.own_link;
            if !self.proposals.values().any(|(term, _)| *term == self.replica.term()) {
                self.propose(&Command::LocateCore { replica: own, link }, None);
            }
        }
        let membership = self.replica.membership().clone();
        let change = if let Some(learner) = membership.learners().first() {
            let members: Vec<_> = membership.members().collect();
            match self.state.superseded(&members) {
                Some(old) if membership.is_learner(old) => MembershipChange::Remove(old),
                _ => MembershipChange::Promote(*learner),
            }
        } else if let Some(old) = self.state.superseded(membership.voters()) {
            MembershipChange::Remove(old)
        } else if let Some(lost) = self.lost_voter(now_ms, membership.voters()) {
            MembershipChange::Remove(lost)
        } else {
            return;
        };
        if self.replica.propose_membership(change, now_ms).is_ok() {
            log::info!("core: the members of the log change: {change:?}");
        }
    }

    /// A silent voter whose place a newcomer has taken.
    fn lost_voter(&self, now_ms: u64, voters: &[ReplicaId]) -> Option<ReplicaId> {
        let first = voters.iter().filter(|voter| voter.0 < super::start::FIRST_RANDOM_ID).count();
        // Pairs of machines at each place are not told apart, so only a log that grew beyond the
        // usual three voters gives one up.
        if voters.len() <= 3 || first == voters.len() || voters.len() % 2 == 1 {
            return None;
        }
        voters.iter().copied().find(|voter| {
            *voter != self.replica.id()
                && self.heard_ms.get(&voter.0).is_none_or(|heard| heard + LOST_VOTER_MS < now_ms)
        })
    }

    fn call(&mut self, call: CoreCall, reply: oneshot::Sender<CoreReply>) {
        if self.replica.is_leader() {
            return self.lead_call(call, Caller::Local(reply));
        }
        let leader = self.replica.leader().and_then(|id| self.core_addresses.get(&id.0).copied());
        self.remote_calls.retain(|_, waiting| !waiting.is_closed());
        let Some(address) = leader else {
            let _ = reply.send(CoreReply::Unsure);
            return;
        };
        let id = self.next_call;
        self.next_call += 1;
        if self.cores.send(address, FleetMessage::Call { id, call }) {
            self.remote_calls.insert(id, reply);
        } else {
            let _ = reply.send(CoreReply::Unsure);
        }
    }

    fn lead_call(&mut self, call: CoreCall, caller: Caller) {
        if !self.replica.is_leader() {
            return caller.answer(CoreReply::Unsure);
        }
        match call {
            CoreCall::Propose(mut command) => {
                if let Command::PutConfiguration { version, document } = &mut command
                    && *version <= self.state.version
                {
                    // It changes nothing; its commit still shows that this replica leads.
                    document.clear();
                }
                self.propose(&command, Some(caller));
            }
            CoreCall::ReadConfiguration => match self.replica.request_read(self.now_ms()) {
                Ok(read) => {
                    self.reads.insert(read, caller);
                }
                Err(_) => caller.answer(CoreReply::Unsure),
            },
        }
    }

    fn propose(&mut self, command: &Command, caller: Option<Caller>) {
        let data = postcard::to_allocvec(command).expect("commands encode into memory");
        let now_ms = self.now_ms();
        match self.replica.propose(data, now_ms) {
            Ok(index) => {
                if let Some(caller) = caller {
                    self.proposals.insert(index, (self.replica.term(), caller));
                }
            }
            Err(error) => {
                log::info!("core: a change can't be proposed: {error}");
                if let Some(caller) = caller {
                    caller.answer(CoreReply::Unsure);
                }
            }
        }
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
            for entry in committed {
                self.apply(entry);
            }
            for read in reads {
                let Some(caller) = self.reads.remove(&read.id) else { continue };
                match read.index {
                    Some(index) => self.ready_reads.push((index, caller)),
                    None => caller.answer(CoreReply::Unsure),
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

    fn apply(&mut self, entry: Entry) {
        self.applied_index = entry.index;
        self.applied_term = entry.term;
        if let EntryKind::Data(data) = &entry.kind {
            match postcard::from_bytes::<Command>(data) {
                Ok(command) => self.apply_command(entry.index, command),
                Err(error) => {
                    log::error!("core: entry {} can't be read: {error}", entry.index);
                    self.replica.halt();
                }
            }
        }
        if let Some((term, caller)) = self.proposals.remove(&entry.index) {
            let reply = if term == entry.term { CoreReply::Done } else { CoreReply::Unsure };
            caller.answer(reply);
        }
    }

    fn apply_command(&mut self, index: Index, command: Command) {
        match self.state.apply(index, command) {
            Applied::Configuration => self.configuration_changed(),
            Applied::Version => {
                self.send_entries(&self.versions_message());
                if let Some((_, planner)) = &mut self.planner {
                    planner.set_versions(&self.state.versions);
                }
            }
            Applied::Core => self.learn_cores(),
            Applied::Nothing => {}
        }
    }

    fn learn_cores(&mut self) {
        let cores: Vec<_> = self.state.cores.iter().map(|(id, (link, _))| (*id, *link)).collect();
        for (id, link) in cores {
            self.core_addresses.insert(id, link);
            self.dial(link);
        }
        self.send_entries(&self.cores_message());
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

    fn give_services(&mut self) {
        let now_ms = self.now_ms();
        let (Some(table), Some((_, planner))) = (&self.table, &mut self.planner) else { return };
        let services = table.engine_services().map(|(service, engine)| {
            let limits = EngineLimits {
                adapter_slots: engine.adapter_slots as usize,
                slots: engine.slots,
                cache_tokens: engine.cache_tokens,
            };
            (service.name.clone(), limits)
        });
        planner.set_services(services.collect());
        planner.set_backends(now_ms, &self.backends);
    }

    fn answer_reads(&mut self) {
        let applied = self.applied_index;
        let (ready, waiting): (Vec<_>, Vec<_>) = std::mem::take(&mut self.ready_reads)
            .into_iter()
            .partition(|(index, _)| *index <= applied);
        self.ready_reads = waiting;
        for (_, caller) in ready {
            let document = (self.state.version > 0).then(|| self.state.document.clone());
            caller.answer(CoreReply::Configuration(document));
        }
    }

    /// Starts and ends the coordinator with leadership.
    fn follow_role(&mut self) {
        let now_ms = self.now_ms();
        let term = self.replica.term();
        if !self.replica.is_leader() {
            for (_, (_, caller)) in std::mem::take(&mut self.proposals) {
                caller.answer(CoreReply::Unsure);
            }
            for (_, caller) in self.ready_reads.drain(..) {
                caller.answer(CoreReply::Unsure);
            }
            let leader = self.replica.leader().and_then(|leader| self.heard_ms.get(&leader.0));
            if let Some(heard_ms) = leader {
                self.other_holder_ms = Some(*heard_ms);
            }
        }
        let leads = self.is_current_leader();
        let planned_term = self.planner.as_ref().map(|(term, _)| *term);
        if leads && !self.stopping && planned_term != Some(term) {
            let from_ms = self.may_order_from_ms(now_ms);
            log::info!(
                "core: replica {} leads in term {term} and orders after {} ms",
                self.replica.id(),
                from_ms.saturating_sub(now_ms),
            );
            let mut planner = Planner::new(from_ms, self.other_holder_ms.is_none());
            planner.set_versions(&self.state.versions);
            self.planner = Some((term, planner));
            self.give_services();
        } else if !leads && self.planner.is_some() {
            log::info!("core: replica {} no longer leads", self.replica.id());
            self.planner = None;
        }
    }

    /// When this process may give orders, so that it takes no turns with the holder before.
    ///
    /// A holder that engines would recognise by its old fencing token, and that has said that it
    /// stops or has fallen silent, is not waited for.
    fn may_order_from_ms(&self, now_ms: u64) -> u64 {
        let Some(other_ms) = self.other_holder_ms else { return 0 };
        let lease_ms = self.settings.holder_lease_ms;
        let stopped = self.holder_stopped_ms.is_some_and(|at_ms| now_ms < at_ms + lease_ms);
        let fell_silent = other_ms + FORMER_LEADER_MS <= now_ms;
        if self.settings.engines_check_fencing && (stopped || fell_silent) {
            return now_ms;
        }
        other_ms + lease_ms
    }

    /// Gives orders and tells the entry processes what changed.
    fn plan(&mut self, now_ms: u64) {
        let Some((epoch, planner)) = &mut self.planner else { return };
        let epoch = *epoch;
        let orders = planner.plan(now_ms, self.replica.leader_lease_valid(now_ms));
        for PlaceAnswer { entry, id, reply } in planner.take_answers() {
            if matches!(reply, PlaceReply::Refused { .. }) {
                self.metrics.refused("not_placed");
            }
            if let Some(entry) = self.entries.get(&entry) {
                entry.sender.send(FleetMessage::PlaceReply { id, reply });
            }
        }
        let changes: Vec<HoldingChange> = planner.take_changes();
        for order in orders {
            self.give_order(epoch, order);
        }
        if !changes.is_empty() {
            self.send_entries(&FleetMessage::HoldingChanges { epoch, changes });
        }
    }

    /// Asks engines for reports and tells entry processes how busy the engines are.
    fn coordinate(&mut self, now_ms: u64) {
        let Some((_, planner)) = &mut self.planner else { return };
        let due: Vec<_> = planner
            .take_due_reports(now_ms)
            .into_iter()
            .filter_map(|key| planner.backend(key).map(|backend| (key, engine_address(backend))))
            .collect();
        let loads = (self.loads_due_ms <= now_ms).then(|| FleetMessage::Loads {
            in_flight: planner.in_flight(),
            silent: planner.silent(),
        });
        for (engine, address) in due {
            let (client, dialect) = (Arc::clone(&self.client), self.dialect);
            let inputs = self.inputs.clone();
            tokio::spawn(async move {
                let report = orders::report(&client, &address, dialect).await;
                // The driver ends only with the process.
                let _ = inputs.send(Input::Reported { engine, report }).await;
            });
        }
        if let Some(loads) = loads {
            self.loads_due_ms = now_ms + LOADS_INTERVAL_MS;
            self.send_entries(&loads);
        }
    }

    fn give_order(&mut self, epoch: Term, planned: PlannedOrder) {
        let backend =
            self.planner.as_ref().and_then(|(_, planner)| planner.backend(planned.engine));
        let Some(backend) = backend else { return };
        let address = engine_address(backend);
        let (model, adapter) = match planned.model.split_once('/') {
            Some((model, adapter)) => (model.into(), Some(adapter.into())),
            None => (planned.model.clone(), None),
        };
        let order = Order {
            kind: planned.kind,
            model,
            adapter,
            expected_sequence: None,
            holder: self.settings.name.clone(),
            fencing_token: epoch,
        };
        let (client, dialect) = (Arc::clone(&self.client), self.dialect);
        let inputs = self.inputs.clone();
        tokio::spawn(async move {
            let outcome = orders::send(&client, &address, &order, dialect).await;
            // The driver ends only with the process.
            let _ = inputs.send(Input::OrderDone { order: planned, outcome }).await;
        });
    }
}

fn engine_address(backend: &Backend) -> EngineAddress {
    EngineAddress { address: backend.address, id: backend.id.clone() }
}
