//! Messages between the processes of the fleet.

use std::{fmt, net::SocketAddr};

use redwinglatch_admission::CreditDecision;
use redwinglatch_core::ReplicaId;
use serde::{Deserialize, Serialize};

use crate::{
    BackendEntry,
    brittle_services::BrittleService,
    ids::{BackendKey, ModelName, SoftwareVersion, StreamKey},
    limited_servers::RequestLimit,
    quarantine::QuarantinedKey,
    state::StateCommand,
    suspects::{FailedRequest, Suspect},
};

/// A message on a link between two processes.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) enum FleetMessage {
    /// The first message of an entry process.
    EntryHello(EntryHello),
    /// The first message of a core process; `link` is the address at which it accepts links. As an answer to another
    /// core process it shows that the sender understands `CoreStopping`.
    CoreHello { replica: ReplicaId, link: SocketAddr },
    /// Keep-alive message on an idle link.
    Ping,
    /// The current state of an entry process.
    EntryStatus(EntryStatus),
    /// Requests that the coordinator place a request on a model engine.
    Place { id: u64, request: PlaceRequest },
    /// Reports that the first event of a placed request has arrived.
    FirstEvent { id: u64 },
    /// Ends the placement of a request, whether it was executed or abandoned.
    Release { id: u64 },
    /// Reports that an engine rejected a request because the model or adapter is not loaded there.
    ModelNotLoaded { engine: BackendKey, model: ModelName },
    /// The coordinator's decision on a `Place` message.
    PlaceReply { id: u64, reply: PlaceReply },
    /// Requests the configuration in force.
    ConfigurationRequest,
    /// Requests the backend list.
    BackendsRequest,
    /// Requests the models and adapters that are loaded on all engines.
    ModelLocationsRequest,
    /// Announces the version of the sender's configuration.
    ConfigurationNotice { version: u64 },
    /// The sender's configuration.
    Configuration { version: u64, document: Vec<u8> },
    /// The newest versions of adapters and base models.
    Versions(Vec<(ModelName, u64)>),
    /// Announces the digest of the backend list that the sender fetched last.
    BackendsNotice { digest: u64 },
    /// The same as `VersionedBackends`, from core processes of older versions.
    Backends { digest: u64, entries: Vec<Backend> },
    /// The entry processes that are connected to the sender.
    EntryEndpoints(Vec<EntryEndpoint>),
    /// The link addresses of core processes that the sender knows. Each process sends them on a new link to a core
    /// process or answers with them, so that core processes with different seeds find each other; an entry process shows
    /// so that it understands `LogProgress`.
    CoreAddresses(Vec<SocketAddr>),
    /// The models and adapters loaded on all engines, as known to the coordinator.
    ModelLocations { epoch: u64, locations: Vec<ModelLocation> },
    /// Changes to the model locations since the previous message of the same epoch.
    ModelLocationChanges { epoch: u64, changes: Vec<ModelLocationChange> },
    /// The number of requests that all entry processes together have in flight at some of the backend
    /// servers, and the servers that do not respond to the coordinator. `store_limit` is the number
    /// of concurrent loads that the weight store sustains, or 0 while the sender has no estimate;
    /// entry processes pass it on to the next coordinator.
    BackendLoads {
        in_flight: Vec<(BackendKey, u32)>,
        unresponsive: Vec<BackendKey>,
        store_limit: u32,
    },
    /// A message of the replicated log.
    Log { from: ReplicaId, to: ReplicaId, message: Vec<u8> },
    /// Requests that a core process be added to the members of the replicated log.
    Join { replica: ReplicaId, link: SocketAddr },
    /// The sender was the coordinator, is shutting down and sends no more orders.
    CoordinatorStopping,
    /// A request that only the leader of the replicated log can serve.
    LeaderRequest { id: u64, request: LeaderRequest },
    /// The response to a `LeaderRequest`.
    LeaderResponse { id: u64, response: LeaderResponse },
    /// The data centre of the sending core process; its first message to an entry process. To another core process
    /// it shows that the sender understands all messages up to `ReachReply`.
    CoreDataCentre(Box<str>),
    /// Changes to the sender's entry processes since its previous message about them.
    EntryEndpointChanges(EntryEndpointChanges),
    /// The sender's configuration, compressed with deflate.
    CompressedConfiguration { version: u64, document: Vec<u8> },
    /// The same as `VersionedBackendChanges`, from core processes of older versions.
    BackendChanges(BackendChanges),
    /// The prompt parts and digests whose requests are refused.
    Quarantine(Vec<QuarantinedKey>),
    /// The same as `RequestBrokeOff`, from entry processes of older versions.
    PromptFailed { engine: BackendKey, parts: Vec<u64> },
    /// Reports the shared prompt parts of requests with complete answers since the last such message, or the
    /// digests that a `WatchedRequests` message asked for.
    RequestsCompleted(Vec<u64>),
    /// Request limits of backend servers that are new or have ended. A core process sends all limits first
    /// to every entry process, which shows that it understands all messages up to `RequestFailed`.
    RequestLimits(Vec<RequestLimit>),
    /// Requests the coordinator's grant for a request to a backend server with a limit, or of a brittle service.
    /// A grant of the latter ends with a `Release` message.
    GrantRequest { id: u64, server: BackendKey },
    /// The coordinator's decision on a `GrantRequest`; an error is the time until one may be granted.
    GrantReply { id: u64, granted: Result<(), u64> },
    /// Asks which of the requests with these digests had complete answers recently. The coordinator
    /// sends it when servers have ended under them.
    WatchedRequests(Vec<u64>),
    /// The same as `RequestBrokeOff`, from entry processes of older versions.
    RequestFailed { server: BackendKey, suspect: Suspect, has_ended: bool },
    /// The backend list that the sender fetched last, with the software version of each entry.
    VersionedBackends { digest: u64, entries: Vec<Backend>, versions: Vec<Box<str>> },
    /// The changes since the list that the sender sent last on this link, with the software versions of the
    /// changed entries.
    VersionedBackendChanges { changes: BackendChanges, versions: Vec<Box<str>> },
    /// The software versions of each service under which streams in progress may have begun. A core process
    /// sends all of them first to every entry process, which shows that it understands all messages up to
    /// `RequestBrokeOff`.
    SoftwareVersions(Vec<(Box<str>, Vec<Box<str>>)>),
    /// The software versions that began streams, from an entry process while a service has several.
    StreamsBegan(Vec<(StreamKey, SoftwareVersion)>),
    /// Asks a core process which software version began a stream.
    StreamVersionRequest { id: u64, stream: StreamKey },
    /// The answer to a `StreamVersionRequest`.
    StreamVersionReply { id: u64, reply: StreamVersionReply },
    /// The same as `Place`, for a stream that goes on at engines of one software version.
    PlaceAtVersion { id: u64, request: PlaceRequest, version: SoftwareVersion },
    /// Services whose servers have become brittle or no longer are. The coordinator sends all that are first to
    /// every entry process.
    BrittleServices(Vec<BrittleService>),
    /// Reports that a brittle server has rejected a request for want of room.
    ServerFull { server: BackendKey },
    /// Reports a request that broke off this long ago.
    RequestBrokeOff { age_ms: u64, request: FailedRequest },
    /// Asks a core process which of these engines answer it, from a coordinator that doesn't reach them.
    ReachRequest { engines: Vec<BackendKey> },
    /// The answer to a `ReachRequest`: those that answer.
    ReachReply { replica: ReplicaId, reached: Vec<BackendKey> },
    /// The first message about caps of a core process with caps, on a new link. It shows that the sender understands
    /// a `CustomerCreditRequest`.
    CustomerGrants,
    /// Requests units of a customer's cap: those that a request needs, and those that the sender will need soon. A
    /// core process passes the request of an entry process on to the leader.
    CustomerCreditRequest { id: u64, customer: Box<str>, needed: u64, ahead: u64 },
    /// The decision on a `CustomerCreditRequest`.
    CustomerCreditReply { id: u64, reply: CreditReply },
    /// The sender, a voter of the replicated log, is shutting down.
    CoreStopping { replica: ReplicaId },
    /// The progress of a core process in the replicated log. It is sent only to entry processes that have sent
    /// `CoreAddresses`, because older versions can't decode it.
    LogProgress(LogProgress),
}

impl FleetMessage {
    /// Returns the kind of the message, for counters.
    pub(crate) fn kind(&self) -> &'static str {
        match self {
            FleetMessage::EntryHello(_) => "entry_hello",
            FleetMessage::CoreHello { .. } => "core_hello",
            FleetMessage::Ping => "ping",
            FleetMessage::EntryStatus(_) => "entry_status",
            FleetMessage::Place { .. } | FleetMessage::PlaceAtVersion { .. } => "place",
            FleetMessage::FirstEvent { .. } => "first_event",
            FleetMessage::Release { .. } => "release",
            FleetMessage::ModelNotLoaded { .. } => "model_not_loaded",
            FleetMessage::PlaceReply { .. } => "place_reply",
            FleetMessage::ConfigurationRequest
            | FleetMessage::BackendsRequest
            | FleetMessage::ModelLocationsRequest => "state_request",
            FleetMessage::ConfigurationNotice { .. }
            | FleetMessage::BackendsNotice { .. }
            | FleetMessage::LogProgress(_) => "state_notice",
            FleetMessage::Configuration { .. } | FleetMessage::CompressedConfiguration { .. } => {
                "configuration"
            }
            FleetMessage::Versions(_) => "versions",
            FleetMessage::Backends { .. }
            | FleetMessage::BackendChanges(_)
            | FleetMessage::VersionedBackends { .. }
            | FleetMessage::VersionedBackendChanges { .. } => "backends",
            FleetMessage::EntryEndpoints(_) | FleetMessage::EntryEndpointChanges(_) => {
                "entry_endpoints"
            }
            FleetMessage::CoreAddresses(_) | FleetMessage::CoreDataCentre(_) => "core_addresses",
            FleetMessage::ModelLocations { .. } => "model_locations",
            FleetMessage::ModelLocationChanges { .. } => "model_location_changes",
            FleetMessage::BackendLoads { .. } => "backend_loads",
            FleetMessage::Log { .. } => "log",
            FleetMessage::Join { .. } => "join",
            FleetMessage::CoordinatorStopping => "coordinator_stopping",
            FleetMessage::CoreStopping { .. } => "core_stopping",
            FleetMessage::Quarantine(_) | FleetMessage::WatchedRequests(_) => "quarantine",
            FleetMessage::PromptFailed { .. }
            | FleetMessage::RequestFailed { .. }
            | FleetMessage::RequestBrokeOff { .. }
            | FleetMessage::RequestsCompleted(_) => "request_outcomes",
            FleetMessage::RequestLimits(_) => "request_limits",
            FleetMessage::SoftwareVersions(_) => "software_versions",
            FleetMessage::StreamsBegan(_)
            | FleetMessage::StreamVersionRequest { .. }
            | FleetMessage::StreamVersionReply { .. } => "stream_versions",
            FleetMessage::GrantRequest { .. }
            | FleetMessage::GrantReply { .. }
            | FleetMessage::BrittleServices(_)
            | FleetMessage::ServerFull { .. } => "grants",
            FleetMessage::CustomerGrants
            | FleetMessage::CustomerCreditRequest { .. }
            | FleetMessage::CustomerCreditReply { .. } => "customer_credits",
            FleetMessage::ReachRequest { .. } | FleetMessage::ReachReply { .. } => "reach",
            FleetMessage::LeaderRequest { .. } => "leader_request",
            FleetMessage::LeaderResponse { .. } => "leader_response",
        }
    }
}

/// The progress of a core process in the replicated log.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct LogProgress {
    /// The last entry that is applied, and its term.
    pub(crate) index: u64,
    pub(crate) term: u64,
    /// Time since the last message of a leader; 0 for a leader, and `None` before the first one.
    pub(crate) leader_age_ms: Option<u64>,
}

/// A core process's decision on units of a customer's cap.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum CreditReply {
    /// The units may be used.
    Granted(u64),
    /// The request is beyond the cap; it may be sent again after this time.
    OverCap { retry_after_ms: u64 },
    /// The sender has just begun to grant; the request may be within the cap, and units are there after this time.
    Starting { retry_after_ms: u64 },
    /// The sender grants nothing now.
    NotGranting,
}

impl From<CreditDecision> for CreditReply {
    fn from(decision: CreditDecision) -> CreditReply {
        match decision {
            CreditDecision::Granted(units) => CreditReply::Granted(units),
            CreditDecision::OverCap { retry_after_ms } => CreditReply::OverCap { retry_after_ms },
            CreditDecision::Starting { retry_after_ms } => CreditReply::Starting { retry_after_ms },
            CreditDecision::NotGranting => CreditReply::NotGranting,
        }
    }
}

/// Entry processes that have become ready, and addresses of those that no longer are.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct EntryEndpointChanges {
    pub(crate) added: Vec<EntryEndpoint>,
    pub(crate) removed: Vec<SocketAddr>,
}

/// Identifies an entry process when it connects.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct EntryHello {
    /// A random number that is drawn at each start of the process.
    pub(crate) incarnation: u64,
    /// The address at which it serves callers.
    pub(crate) front: SocketAddr,
    pub(crate) data_centre: Box<str>,
}

/// An entry process that callers may use.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct EntryEndpoint {
    pub(crate) front: SocketAddr,
    pub(crate) data_centre: Box<str>,
}

/// The current state of an entry process.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub(crate) struct EntryStatus {
    pub(crate) draining: bool,
    /// Whether the process has a configuration and can serve callers.
    pub(crate) ready: bool,
    /// Number of this process's requests in flight at each backend server.
    pub(crate) in_flight: Vec<(BackendKey, u32)>,
    /// Adapters that requests use at each engine without a placement by the current coordinator.
    pub(crate) in_use: Vec<(BackendKey, ModelName)>,
    /// The number of concurrent loads that the weight store sustains, as last announced by a
    /// coordinator; 0 if no coordinator has announced it.
    pub(crate) store_limit: u32,
}

impl EntryStatus {
    /// Returns the status for core processes that don't coordinate.
    pub(crate) fn without_usage(&self) -> EntryStatus {
        EntryStatus { in_flight: Vec::new(), in_use: Vec::new(), ..*self }
    }
}

/// Returns the parts of a prompt that other requests may share: all but the last.
pub(crate) fn shared_parts(prompt_parts: &[(u64, u32)]) -> &[(u64, u32)] {
    prompt_parts.split_last().map_or(&[], |(_, shared)| shared)
}

/// A request that the coordinator is asked to place on a model engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct PlaceRequest {
    pub(crate) service: Box<str>,
    pub(crate) model: ModelName,
    /// The priority, where 0 is the most urgent.
    pub(crate) priority: u8,
    /// The latency objective of the first event.
    pub(crate) objective_ms: u64,
    /// The part of the latency objective that has already elapsed.
    pub(crate) spent_ms: u64,
    /// The remaining time until the caller's deadline.
    pub(crate) remaining_ms: u64,
    pub(crate) prompt_tokens: u32,
    pub(crate) output_tokens: u32,
    /// The id and token count of each prompt part, in order; only the last part is specific to
    /// this request.
    pub(crate) prompt_parts: Vec<(u64, u32)>,
    /// Engines that must not receive the request.
    pub(crate) excluded_engines: Vec<BackendKey>,
    /// The remaining time until the caller leaves unless the first event has arrived.
    pub(crate) patience_ms: u64,
}

impl PlaceRequest {
    /// The maximum number of tokens that the request occupies in an engine's KV cache.
    pub(crate) fn tokens(&self) -> u64 {
        u64::from(self.prompt_tokens) + u64::from(self.output_tokens)
    }

    /// The prompt parts that other requests may share.
    pub(crate) fn shared_parts(&self) -> &[(u64, u32)] {
        shared_parts(&self.prompt_parts)
    }
}

/// The coordinator's decision on a [`PlaceRequest`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum PlaceReply {
    /// The request is queued; another reply follows.
    Queued,
    /// The request is placed on this engine. If a version is given, the engine must serve that
    /// version of the adapter.
    Placed { engine: BackendKey, version: Option<u64> },
    /// The request is rejected; the caller may retry after this time. Sent by older versions.
    Refused { retry_after_ms: u64 },
    /// The request is rejected for this reason; the caller may retry after this time.
    RefusedFor { retry_after_ms: u64, cause: RefusalCause },
}

/// Why the coordinator rejects a request, with what decided it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum RefusalCause {
    /// The adapter can't be loaded before the caller leaves.
    LoadTooLate { load_ms: u64, patience_ms: u64, loads_in_flight: u32, load_limit: u32 },
    /// The adapter was not loaded before the caller would leave.
    NotLoadedInTime { loads_in_flight: u32, load_limit: u32 },
    /// The engines with the adapter had no room before the caller would leave.
    EnginesBusy { engines: u32, waiting: u32 },
    /// The request, or those with one of its prompt parts, are quarantined.
    Quarantined,
    /// All engines have named request limits, and those that wait already take what is left of them.
    EnginesLimited { engines: u32, milli_per_s: u64, waiting: u32 },
}

/// Writes the cause as fields of a log line.
impl fmt::Display for RefusalCause {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            RefusalCause::LoadTooLate { load_ms, patience_ms, loads_in_flight, load_limit } => {
                write!(
                    formatter,
                    "cause=load_too_late load_ms={load_ms} patience_ms={patience_ms} \
                     loads={loads_in_flight} load_limit={load_limit}"
                )
            }
            RefusalCause::NotLoadedInTime { loads_in_flight, load_limit } => write!(
                formatter,
                "cause=not_loaded_in_time loads={loads_in_flight} load_limit={load_limit}"
            ),
            RefusalCause::EnginesBusy { engines, waiting } => {
                write!(formatter, "cause=engines_busy engines={engines} waiting={waiting}")
            }
            RefusalCause::Quarantined => write!(formatter, "cause=quarantined"),
            RefusalCause::EnginesLimited { engines, milli_per_s, waiting } => write!(
                formatter,
                "cause=engines_limited engines={engines} milli_per_s={milli_per_s} waiting={waiting}"
            ),
        }
    }
}

/// A backend server on the backend list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Backend {
    pub(crate) key: BackendKey,
    pub(crate) id: Box<str>,
    pub(crate) service: Box<str>,
    pub(crate) address: SocketAddr,
    pub(crate) data_centre: Box<str>,
    pub(crate) slots: u32,
    pub(crate) leaving: bool,
    /// The version of its software. Messages carry it beside the entries, because core processes of older
    /// versions don't send it.
    #[serde(skip)]
    pub(crate) software_version: Box<str>,
}

impl From<BackendEntry> for Backend {
    fn from(entry: BackendEntry) -> Backend {
        Backend {
            key: BackendKey::new(&entry.id, entry.address, entry.started_unix_ms),
            id: entry.id,
            service: entry.service,
            address: entry.address,
            data_centre: entry.data_centre,
            slots: entry.slots,
            leaving: entry.leaving,
            software_version: entry.software_version,
        }
    }
}

impl Backend {
    /// Returns the key of its software version.
    pub(crate) fn software(&self) -> SoftwareVersion {
        SoftwareVersion::new(&self.service, &self.software_version)
    }

    /// Adds the software versions that a message carries beside its entries.
    pub(crate) fn with_versions(
        entries: Vec<Backend>,
        versions: impl IntoIterator<Item = Box<str>>,
    ) -> Vec<Backend> {
        let versioned = entries.into_iter().zip(versions);
        versioned
            .map(|(backend, software_version)| Backend { software_version, ..backend })
            .collect()
    }

    /// Returns the software versions of a list, in its order.
    pub(crate) fn versions(entries: &[Backend]) -> Vec<Box<str>> {
        entries.iter().map(|backend| backend.software_version.clone()).collect()
    }
}

/// The difference between two backend lists.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct BackendChanges {
    /// The digest of the list to which the changes apply.
    pub(crate) from: u64,
    /// The digest of the list that they lead to.
    pub(crate) digest: u64,
    /// Servers that are new or differ.
    pub(crate) changed: Vec<Backend>,
    pub(crate) removed: Vec<BackendKey>,
}

/// A model or adapter that is loaded on an engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct ModelLocation {
    pub(crate) engine: BackendKey,
    pub(crate) model: ModelName,
    pub(crate) version: u64,
}

/// A change to the models and adapters that are loaded on an engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum ModelLocationChange {
    /// The engine serves requests for the model.
    Added(ModelLocation),
    /// The engine no longer serves requests for the model.
    Removed { engine: BackendKey, model: ModelName },
}

/// What a core process knows of the software version that began a stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct StreamVersionReply {
    pub(crate) began: Option<SoftwareVersion>,
    /// Whether the sender knows all versions under which streams in progress may have begun: it is in contact
    /// with the leader of the log and has a backend list.
    pub(crate) is_current: bool,
}

/// A request that only the leader of the replicated log can serve.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) enum LeaderRequest {
    Propose(StateCommand),
    ReadConfiguration,
}

/// The response to a [`LeaderRequest`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum LeaderResponse {
    /// The command is committed.
    Committed,
    /// The configuration in force.
    Configuration(Option<Vec<u8>>),
    /// The receiver is not the leader or could not confirm the result. A proposed command may
    /// still take effect.
    Unconfirmed,
}

#[cfg(test)]
mod tests;
