//! Messages between the processes of the fleet.

use std::net::SocketAddr;

use redwinglatch_core::ReplicaId;
use serde::{Deserialize, Serialize};

use crate::{
    ids::{BackendKey, ModelName},
    state::Command,
};

/// A message on a link.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) enum FleetMessage {
    /// The first message of an entry process.
    EntryHello(EntryHello),
    /// The first message of a core process; `link` is where it accepts connections.
    CoreHello { replica: ReplicaId, link: SocketAddr },
    /// Shows that the link works.
    Ping,
    /// What an entry process does at the moment.
    EntryReport(EntryReport),
    /// A request for a model engine is to be placed.
    Place { id: u64, request: PlaceRequest },
    /// The first event of a placed request has arrived.
    FirstEvent { id: u64 },
    /// A request that was to be placed has ended.
    Release { id: u64 },
    /// An engine refused a request because it doesn't hold the adapter.
    NotHeld { engine: BackendKey, model: ModelName },
    /// Where a request goes.
    PlaceReply { id: u64, reply: PlaceReply },
    /// Asks for the configuration in force.
    NeedConfiguration,
    /// Asks for the list of backend servers.
    NeedBackends,
    /// Asks for what the engines hold.
    NeedHoldings,
    /// The version of the configuration that the sender holds.
    ConfigurationNotice { version: u64 },
    /// The configuration that the sender holds.
    Configuration { version: u64, document: Vec<u8> },
    /// The newest versions of adapters.
    Versions(Vec<(ModelName, u64)>),
    /// The digest of the list that the sender has just fetched.
    BackendsNotice { digest: u64 },
    /// The list that the sender has fetched.
    Backends { digest: u64, entries: Vec<Backend> },
    /// The entry processes that are connected to the sender.
    Members(Vec<Member>),
    /// Where core processes accept connections.
    Cores(Vec<SocketAddr>),
    /// All that the engines hold, as known to the coordinator.
    Holdings { epoch: u64, held: Vec<Held> },
    /// What changed since the last message of the same epoch.
    HoldingChanges { epoch: u64, changes: Vec<HoldingChange> },
    /// How many requests of all entry processes each backend server has in flight, and which
    /// servers do not answer the coordinator. Entry processes hand `store_limit`, the loads that the
    /// weight store serves at a time, to the next coordinator; 0 while the sender doesn't know.
    Loads { in_flight: Vec<(BackendKey, u32)>, silent: Vec<BackendKey>, store_limit: u32 },
    /// A message of the replicated log.
    Log { from: ReplicaId, to: ReplicaId, message: Vec<u8> },
    /// A core process that isn't a member of the log asks to become one.
    Join { replica: ReplicaId, link: SocketAddr },
    /// The sender gives no more orders, because its process stops.
    HolderStops,
    /// A call that only the leader of the log can answer.
    Call { id: u64, call: CoreCall },
    /// The answer to a call.
    CallReply { id: u64, reply: CoreReply },
}

/// An entry process.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct EntryHello {
    /// Random for each start.
    pub(crate) incarnation: u64,
    pub(crate) front: SocketAddr,
    pub(crate) data_centre: Box<str>,
}

/// An entry process that callers may use.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Member {
    pub(crate) front: SocketAddr,
    pub(crate) data_centre: Box<str>,
}

/// What an entry process does at the moment.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub(crate) struct EntryReport {
    pub(crate) draining: bool,
    /// Whether it has a configuration and so can serve.
    pub(crate) ready: bool,
    /// Requests in flight at each backend server.
    pub(crate) in_flight: Vec<(BackendKey, u32)>,
    /// Adapters in use at each engine by requests that the coordinator has not placed.
    pub(crate) in_use: Vec<(BackendKey, ModelName)>,
    /// Loads that the weight store serves at a time, as the last coordinator said; 0 if none did.
    pub(crate) store_limit: u32,
}

/// A request for a model engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct PlaceRequest {
    pub(crate) service: Box<str>,
    pub(crate) model: ModelName,
    /// The rank, where 0 is the most urgent.
    pub(crate) priority: u8,
    /// The time within which the first event is on time, and how much of it has passed.
    pub(crate) objective_ms: u64,
    pub(crate) spent_ms: u64,
    /// How long the caller still waits.
    pub(crate) left_ms: u64,
    pub(crate) prompt_tokens: u32,
    pub(crate) output_tokens: u32,
    /// The parts of the prompt, in order; the last one belongs to the request itself.
    pub(crate) parts: Vec<(u64, u32)>,
    /// Engines that must not get the request.
    pub(crate) tried: Vec<BackendKey>,
}

impl PlaceRequest {
    /// Tokens that the request may take in an engine's memory.
    pub(crate) fn tokens(&self) -> u64 {
        u64::from(self.prompt_tokens) + u64::from(self.output_tokens)
    }

    /// The parts that other requests have too.
    pub(crate) fn shared_parts(&self) -> &[(u64, u32)] {
        self.parts.split_last().map_or(&[], |(_, shared)| shared)
    }
}

/// Where a request goes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum PlaceReply {
    /// It waits; another reply follows.
    Queued,
    /// To this engine, whose adapter has this version if versions matter.
    Placed { engine: BackendKey, version: Option<u64> },
    /// Nowhere; the caller may come back.
    Refused { retry_after_ms: u64 },
}

/// A backend server on the list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Backend {
    pub(crate) key: BackendKey,
    pub(crate) id: Box<str>,
    pub(crate) service: Box<str>,
    pub(crate) address: SocketAddr,
    pub(crate) data_centre: Box<str>,
    pub(crate) slots: u32,
    pub(crate) leaving: bool,
}

/// An adapter or model in place at an engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Held {
    pub(crate) engine: BackendKey,
    pub(crate) model: ModelName,
    pub(crate) version: u64,
}

/// A change of what an engine holds.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum HoldingChange {
    /// Requests may go there.
    Ready(Held),
    /// Requests may not go there.
    Gone { engine: BackendKey, model: ModelName },
}

/// A call that only the leader can answer.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) enum CoreCall {
    Propose(Command),
    ReadConfiguration,
}

/// The answer to a call.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum CoreReply {
    /// The command is durable.
    Done,
    /// The configuration in force.
    Configuration(Option<Vec<u8>>),
    /// The receiver doesn't lead, or can't be sure; the command may or may not take effect.
    Unsure,
}
