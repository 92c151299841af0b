//! JSON documents for the state of instances, leases, coordinators and engines.

use std::net::SocketAddr;

use redwinglatch_core::{AdapterVersion, Epoch, Incarnation, InstanceId, ReplicaId, Revision};
use serde::{Deserialize, Serialize};

/// The state of an instance and its view of the deployment.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StatusDocument {
    /// The instance that responds.
    pub instance: InstanceId,
    /// The incarnation of its process.
    pub incarnation: Incarnation,
    /// Its data centre.
    pub data_centre: Box<str>,
    /// Its region.
    pub region: Box<str>,
    /// Whether it is draining.
    pub is_draining: bool,
    /// Requests that are accepted and not yet finished.
    pub requests_in_flight: u64,
    /// The configuration revision that it applies.
    pub revision: Revision,
    /// Its serving lease.
    pub lease: LeaseStatus,
    /// The control leader, if known.
    pub leader: Option<LeaderStatus>,
    /// Its log replica, if it has one.
    pub replica: Option<ReplicaStatus>,
    /// The instances.
    #[serde(default)]
    pub instances: Vec<InstanceStatus>,
    /// The coordinators.
    #[serde(default)]
    pub coordinators: Vec<CoordinatorStatus>,
    /// The engines of the cells that it coordinates.
    #[serde(default)]
    pub engines: Vec<EngineStatus>,
    /// The load queues of the cells that it coordinates.
    #[serde(default)]
    pub stores: Vec<StoreStatus>,
    /// Its shares of the customers' limits.
    #[serde(default)]
    pub shares: Vec<ShareStatus>,
    /// Changes that are committed and not yet in force; only the leader reports them.
    #[serde(default)]
    pub pending_changes: Vec<PendingChangeStatus>,
}

/// A serving lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseStatus {
    /// Whether the lease is valid.
    pub is_valid: bool,
    /// Time until it expires.
    pub remaining_ms: u64,
}

/// The control leader.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaderStatus {
    /// The leader's instance.
    pub instance: InstanceId,
    /// The term of its leadership.
    pub term: u64,
}

/// The current role of a log replica.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
#[non_exhaustive]
pub enum ReplicaRole {
    /// Is the leader of the log.
    Leader,
    /// Follows a leader.
    Follower,
    /// Requests votes.
    Candidate,
    /// Copies the log and does not vote yet.
    Learner,
    /// Stopped voting after a failed sync or a full disk.
    Stopped,
}

/// A log replica.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicaStatus {
    /// The replica.
    pub id: ReplicaId,
    /// Its current role.
    pub role: ReplicaRole,
    /// Its term.
    pub term: u64,
    /// The index of the last log entry that it knows to be committed.
    pub commit_index: u64,
    /// The index of the last log entry on its disk.
    pub last_index: u64,
    /// The voters according to its log.
    pub voters: Vec<ReplicaId>,
    /// The learners according to its log.
    pub learners: Vec<ReplicaId>,
}

/// The state of an instance as the leader sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
#[non_exhaustive]
pub enum InstanceState {
    /// Has a serving lease.
    Live,
    /// Has a serving lease and accepts no new requests.
    Draining,
    /// Its serving lease has expired.
    Lost,
    /// The leader has received nothing from it since the last election.
    Unknown,
}

/// An instance of the deployment.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceStatus {
    /// The instance.
    pub id: InstanceId,
    /// Its data centre.
    pub data_centre: Box<str>,
    /// Its state as the leader sees it.
    pub state: InstanceState,
    /// The address for callers.
    pub callers_address: SocketAddr,
    /// The address for operators.
    pub operators_address: SocketAddr,
    /// The incarnation of its process, if known.
    pub incarnation: Option<Incarnation>,
    /// The revision that it applies, if known.
    pub revision: Option<Revision>,
    /// Time until its lease expires, if known.
    pub lease_remaining_ms: Option<u64>,
}

/// All instances, sorted by id.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct InstanceListDocument {
    /// The instances.
    pub instances: Vec<InstanceStatus>,
}

/// The response to a request for a planned stop (status 202).
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StopDocument {
    /// The instance that stops.
    pub instance: InstanceId,
    /// Requests that are still in flight on it, if known.
    pub requests_in_flight: Option<u64>,
}

/// The coordinator of a cell.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CoordinatorStatus {
    /// The cell's name.
    pub cell: Box<str>,
    /// The instance of the coordinator.
    pub instance: InstanceId,
    /// The epoch of the coordinator, which is the fencing token of its orders.
    pub epoch: Epoch,
    /// Whether it is still rebuilding its state from the engines and evicts nothing yet.
    pub is_rebuilding: bool,
}

/// An adapter slot in use.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SlotStatus {
    /// The adapter and its version.
    pub adapter: AdapterVersion,
    /// Requests that pin the adapter in its slot.
    pub pins: u32,
    /// Whether the adapter is still loading.
    pub is_loading: bool,
}

/// An engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineStatus {
    /// Its pool.
    pub pool: Box<str>,
    /// Its address.
    pub address: SocketAddr,
    /// Its data centre, if the platform's backend list names it.
    pub data_centre: Option<Box<str>>,
    /// Whether it is about to stop and accepts no new requests.
    pub is_leaving: bool,
    /// The age of its last report, if there is one.
    pub report_age_ms: Option<u64>,
    /// Requests that are running on it.
    pub running: u32,
    /// Requests that are waiting on it.
    pub waiting: u32,
    /// How many adapters can be loaded at once.
    pub slot_count: u32,
    /// The slots in use.
    pub slots: Vec<SlotStatus>,
    /// Mean fraction of a step's batch capacity in use, in thousandths.
    pub batch_efficiency_permille: Option<u32>,
}

/// The load queue of a cell's weight store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoreStatus {
    /// The cell's name.
    pub cell: Box<str>,
    /// Loads that are waiting.
    pub waiting_loads: u32,
    /// Loads that the store is serving.
    pub loads_in_flight: u32,
    /// How long the first load of the queue has waited.
    pub oldest_wait_ms: Option<u64>,
}

/// An instance's share of a customer's limits.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShareStatus {
    /// The customer.
    pub customer: Box<str>,
    /// Maximum requests per second.
    pub request_rate_per_s: u32,
    /// Maximum requests in flight.
    pub concurrent_requests: u32,
    /// Maximum tokens per second.
    pub token_rate_per_s: u32,
    /// Requests that are in flight now.
    pub requests_in_flight: u32,
}

/// A committed change that is not in force on every instance yet.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PendingChangeStatus {
    /// The customer.
    pub customer: Box<str>,
    /// The change's revision.
    pub revision: Revision,
    /// The instances that have not acknowledged it and whose leases have not expired.
    pub waiting_for: Vec<InstanceId>,
}
