//! JSON documents about the state of instances, leases, coordinators and engines.

use std::net::SocketAddr;

use redwinglatch_core::{AdapterVersion, Epoch, Incarnation, InstanceId, ReplicaId, Revision};
use serde::{Deserialize, Serialize};

/// What an instance knows about itself and the deployment.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StatusDocument {
    /// The instance that answers.
    pub instance: InstanceId,
    /// The life of its process.
    pub incarnation: Incarnation,
    /// Its data centre.
    pub data_centre: Box<str>,
    /// Its region.
    pub region: Box<str>,
    /// Whether it drains.
    pub is_draining: bool,
    /// Requests accepted and not yet answered.
    pub requests_in_flight: u64,
    /// The revision of configuration that it applies.
    pub revision: Revision,
    /// Its serving lease.
    pub lease: LeaseStatus,
    /// The control leader, if it knows one.
    pub leader: Option<LeaderStatus>,
    /// Its log replica, if it holds one.
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
    /// The limit shares that it holds.
    #[serde(default)]
    pub shares: Vec<ShareStatus>,
    /// Changes that are committed and not yet in force; only the leader knows them.
    #[serde(default)]
    pub pending_changes: Vec<PendingChangeStatus>,
}

/// A serving lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseStatus {
    /// Whether the lease is valid.
    pub is_valid: bool,
    /// How long it lasts from now on.
    pub remaining_ms: u64,
}

/// The control leader.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaderStatus {
    /// The leader's instance.
    pub instance: InstanceId,
    /// The term in which it leads.
    pub term: u64,
}

/// What a log replica is at the moment.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
#[non_exhaustive]
pub enum ReplicaRole {
    /// Leads the log.
    Leader,
    /// Follows a leader.
    Follower,
    /// Asks for votes.
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
    /// What it is at the moment.
    pub role: ReplicaRole,
    /// Its term.
    pub term: u64,
    /// The last entry that it knows to be committed.
    pub commit_index: u64,
    /// The last entry on its disk.
    pub last_index: u64,
    /// The voters, as its log has them.
    pub voters: Vec<ReplicaId>,
    /// The learners, as its log has them.
    pub learners: Vec<ReplicaId>,
}

/// What the leader takes an instance for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
#[non_exhaustive]
pub enum InstanceState {
    /// Holds a lease.
    Live,
    /// Holds a lease and takes no new work.
    Draining,
    /// Its lease has expired.
    Lost,
    /// Nothing is known since the last election.
    Unknown,
}

/// An instance of the deployment.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceStatus {
    /// The instance.
    pub id: InstanceId,
    /// Its data centre.
    pub data_centre: Box<str>,
    /// What it is taken for.
    pub state: InstanceState,
    /// Where callers connect.
    pub callers_address: SocketAddr,
    /// Where operators connect.
    pub operators_address: SocketAddr,
    /// The life of its process, if known.
    pub incarnation: Option<Incarnation>,
    /// The revision that it applies, if known.
    pub revision: Option<Revision>,
    /// How long its lease lasts from now on, if known.
    pub lease_remaining_ms: Option<u64>,
}

/// All instances, by id.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct InstanceListDocument {
    /// The instances.
    pub instances: Vec<InstanceStatus>,
}

/// The answer to a planned stop that has begun (status 202).
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StopDocument {
    /// The instance that stops.
    pub instance: InstanceId,
    /// Requests that it still has to answer, if known.
    pub requests_in_flight: Option<u64>,
}

/// The coordinator of a cell.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CoordinatorStatus {
    /// The cell's name.
    pub cell: Box<str>,
    /// The instance that coordinates it.
    pub instance: InstanceId,
    /// Its epoch, which is the fencing token of its orders.
    pub epoch: Epoch,
    /// Whether it still reads back what the engines hold and evicts nothing.
    pub is_rebuilding: bool,
}

/// An adapter slot in use.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SlotStatus {
    /// The adapter and its version.
    pub adapter: AdapterVersion,
    /// Requests that hold the adapter in its slot.
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
    /// Its data centre, if the platform's list names it.
    pub data_centre: Option<Box<str>>,
    /// Whether it takes no new work.
    pub is_leaving: bool,
    /// The age of its last report, if it has sent one.
    pub report_age_ms: Option<u64>,
    /// Requests that run on it.
    pub running: u32,
    /// Requests that wait on it.
    pub waiting: u32,
    /// How many adapters it holds at once.
    pub slot_count: u32,
    /// The slots in use.
    pub slots: Vec<SlotStatus>,
    /// Mean share of a step in use, in thousandths.
    pub batch_efficiency_permille: Option<u32>,
}

/// The load queue of a cell's weight store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoreStatus {
    /// The cell's name.
    pub cell: Box<str>,
    /// Loads that wait.
    pub waiting_loads: u32,
    /// Loads that the store serves.
    pub loads_in_flight: u32,
    /// How long the first of the queue has waited.
    pub oldest_wait_ms: Option<u64>,
}

/// A limit share.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShareStatus {
    /// The customer.
    pub customer: Box<str>,
    /// Requests per second.
    pub request_rate_per_s: u32,
    /// Requests in flight.
    pub concurrent_requests: u32,
    /// Tokens per second.
    pub token_rate_per_s: u32,
    /// Requests in flight now.
    pub requests_in_flight: u32,
}

/// A committed change that some instance does not apply yet.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PendingChangeStatus {
    /// The customer.
    pub customer: Box<str>,
    /// The change's revision.
    pub revision: Revision,
    /// The instances that have neither acknowledged it nor lost their lease.
    pub waiting_for: Vec<InstanceId>,
}
