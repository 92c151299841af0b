//! The renewal of a serving lease and its reply.

use redwinglatch_core::prelude::*;
use serde::{Deserialize, Serialize};

use crate::{ContractChange, Coordinator, Share};

/// What an instance sends to the control leader each `renew_interval_ms`.
///
/// Lists hold only what changed since the last acknowledged renewal, unless `is_full` is set.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Renewal {
    /// The instance.
    pub instance: InstanceId,
    /// The process.
    pub incarnation: Incarnation,
    /// The term of the leader whose reply was applied last; 0 before the first.
    pub term: u64,
    /// The session that the leader of `term` opened with its last `NeedsFullRenewal`.
    pub session: u64,
    /// Numbers the renewals of this process from 1.
    pub sequence: u64,
    /// The sequence of the latest renewal whose reply was applied.
    pub applied_sequence: u64,
    /// Whether profile, cells and shares are complete.
    pub is_full: bool,
    /// The revision of configuration in force.
    pub revision: Revision,
    /// How far an update of the configuration in several parts has been received.
    pub staged: Option<ConfigurationCursor>,
    /// The version of the known coordinators.
    pub coordinators_version: u64,
    /// The version of the known instance list, as numbered by the leader of `term`.
    pub instances_version: u64,
    /// Whether the instance is draining.
    pub draining: bool,
    /// Addresses and data centre, in a full renewal.
    pub profile: Option<InstanceProfile>,
    /// The cells that this instance may coordinate, with their epochs.
    pub cells: Vec<CellGrant>,
    /// Demand and held shares.
    pub shares: Vec<ShareReport>,
}

/// How far an instance has received the configuration.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigurationCursor {
    /// The revision that the received parts reach.
    pub reached: Revision,
    /// The revision whose removals the received parts surely reflect: what was in force before
    /// an update, or the leader's revision when a full copy began. A copy whose later removals
    /// are forgotten meanwhile must start again.
    pub base: Revision,
}

impl ConfigurationCursor {
    /// The cursor of an instance that has everything up to `revision`.
    #[must_use]
    pub fn complete(revision: Revision) -> ConfigurationCursor {
        ConfigurationCursor { reached: revision, base: revision }
    }
}

/// Where an instance is.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceProfile {
    /// The addresses for callers, as `ip:port`.
    pub addresses: Vec<Box<str>>,
    /// The data centre.
    pub data_centre: Box<str>,
}

/// The right to coordinate a cell while the serving lease lasts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct CellGrant {
    /// The cell.
    pub cell: CellId,
    /// The epoch, which is the fencing token of every order.
    pub epoch: Epoch,
}

/// An instance's demand for one customer and what it holds.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShareReport {
    /// The customer.
    pub customer: Box<str>,
    /// What the instance could use now.
    pub demand: Share,
    /// What the instance holds.
    pub held: Share,
    /// The requests in flight, if they are more than the held share allows; otherwise 0.
    pub in_flight_if_over_share: u64,
}

/// The control leader's answer to a renewal.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RenewalReply {
    /// The leader's term.
    pub term: u64,
    /// The process that the reply is for.
    pub incarnation: Incarnation,
    /// The session that the reply belongs to. Leader and instance agree on shares and grants only
    /// within one session; replies and renewals of an earlier one change nothing.
    pub session: u64,
    /// The sequence of the renewal that is answered.
    pub sequence: u64,
    /// Whether the lease was renewed.
    pub verdict: LeaseVerdict,
    /// The leader's revision of configuration. The instance may serve once it has reached it.
    pub latest_revision: Revision,
    /// The changes that the instance lacks, or a part of them.
    pub configuration: Option<ConfigurationUpdate>,
    /// The coordinators, when they changed.
    pub coordinators: Option<CoordinatorUpdate>,
    /// All cells that the instance may coordinate.
    pub cells: Vec<CellGrant>,
    /// The shares that changed.
    pub shares: Vec<ShareGrant>,
    /// The live instances, when they changed.
    pub instances: Option<InstanceListUpdate>,
}

/// Whether a lease was renewed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum LeaseVerdict {
    /// The lease is valid from the moment the renewal was sent.
    Granted {
        /// For how long, before the allowance for clock drift.
        lease_ms: u64,
    },
    /// The lease is not renewed by this reply, but the rest of it holds: the instance has not yet
    /// caught up, or has received no reply for long. Renew again at once.
    Withheld,
    /// The leader doesn't know this process yet; send a full renewal at once.
    NeedsFullRenewal,
    /// Another process with the same instance id has taken over. Give this instance another id in
    /// its settings if both are meant to run.
    Superseded,
}

/// A part of the configuration.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigurationUpdate {
    /// The revision after which the part starts; 0 for the start of a full copy.
    pub from: Revision,
    /// The revision that the part reaches.
    pub to: Revision,
    /// Whether the part starts a full copy, which replaces everything.
    pub is_full: bool,
    /// The latest state of each customer that changed after `from`, in the order of revisions.
    pub changes: Vec<ContractChange>,
}

/// The coordinators of all cells.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CoordinatorUpdate {
    /// The version of the list.
    pub version: u64,
    /// The coordinators.
    pub coordinators: Vec<Coordinator>,
}

/// A share set by the leader.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShareGrant {
    /// The customer.
    pub customer: Box<str>,
    /// The new share.
    pub share: Share,
    /// Whether `share` replaces the former one. Otherwise the smaller of both is in force: the
    /// leader doesn't know exactly what the instance holds after a contract was lowered.
    pub exact: bool,
}

/// A live instance.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceRecord {
    /// The instance.
    pub instance: InstanceId,
    /// The process.
    pub incarnation: Incarnation,
    /// Where it is.
    pub profile: InstanceProfile,
    /// Whether it is draining.
    pub draining: bool,
}

/// Changes of the list of live instances.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceListUpdate {
    /// The version that the list reaches.
    pub version: u64,
    /// Whether `changed` is the whole list.
    pub is_full: bool,
    /// New and changed instances.
    pub changed: Vec<InstanceRecord>,
    /// Instances that are surely gone.
    pub removed: Vec<(InstanceId, Incarnation)>,
}
