//! The renewal of a serving lease and its reply.

use redwinglatch_core::prelude::*;
use serde::{Deserialize, Serialize};

use crate::{ContractChange, Coordinator, Share};

/// Renewal request that an instance sends to the control leader every `renew_interval_ms`.
///
/// Lists contain only changes since the last acknowledged renewal, unless `is_full` is set.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Renewal {
    /// The instance.
    pub instance: InstanceId,
    /// The process.
    pub incarnation: Incarnation,
    /// The term of the leader whose reply was applied last; 0 before the first.
    pub term: u64,
    /// The session that the leader of `term` opened with its last
    /// [`LeaseVerdict::NeedsFullRenewal`].
    pub session: u64,
    /// Sequence number of the renewal; each process counts from 1.
    pub sequence: u64,
    /// The sequence of the latest renewal whose reply was applied.
    pub applied_sequence: u64,
    /// Whether `profile`, `cells` and `shares` are complete.
    pub is_full: bool,
    /// The configuration revision in force.
    pub revision: Revision,
    /// Progress of a multi-part configuration update, if one is in progress.
    pub staged: Option<ConfigurationCursor>,
    /// The version of the coordinator list that the instance has.
    pub coordinators_version: u64,
    /// The version of the instance list that the instance has, as numbered by the leader of `term`.
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

/// Progress of an instance in receiving the configuration.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigurationCursor {
    /// The revision that the received parts reach.
    pub reached: Revision,
    /// The revision up to which the received parts are sure to include all removals: the revision
    /// in force before a delta, or the leader's revision at the start of a full copy. The copy must
    /// restart if the leader forgets a later removal before the copy is complete.
    pub base: Revision,
}

impl ConfigurationCursor {
    /// Creates the cursor of an instance that has the whole configuration up to `revision`.
    #[must_use]
    pub fn complete(revision: Revision) -> ConfigurationCursor {
        ConfigurationCursor { reached: revision, base: revision }
    }
}

/// Network addresses and location of an instance.
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
    /// The epoch, which is the fencing token of the coordinator's orders.
    pub epoch: Epoch,
}

/// An instance's demand and held share for one customer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShareReport {
    /// The customer.
    pub customer: Box<str>,
    /// The share that the instance could use now.
    pub demand: Share,
    /// The share that the instance holds.
    pub held: Share,
    /// The number of requests in flight if it is above the held share; otherwise 0.
    pub in_flight_if_over_share: u64,
}

/// The control leader's reply to a renewal.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RenewalReply {
    /// The leader's term.
    pub term: u64,
    /// The process to which the reply is addressed.
    pub incarnation: Incarnation,
    /// The session of the reply. Leader and instance agree on shares and grants only within one
    /// session; replies and renewals of an earlier session change nothing.
    pub session: u64,
    /// The sequence of the renewal to which this replies.
    pub sequence: u64,
    /// Result of the renewal.
    pub verdict: LeaseVerdict,
    /// The leader's configuration revision. The instance may serve once it has this revision in
    /// force.
    pub latest_revision: Revision,
    /// The configuration changes that the instance lacks, or a part of them.
    pub configuration: Option<ConfigurationUpdate>,
    /// The coordinators, if they changed.
    pub coordinators: Option<CoordinatorUpdate>,
    /// All cells that the instance may coordinate.
    pub cells: Vec<CellGrant>,
    /// The shares that changed.
    pub shares: Vec<ShareGrant>,
    /// The changes of the live instances, if there are any.
    pub instances: Option<InstanceListUpdate>,
}

/// Result of a lease renewal.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum LeaseVerdict {
    /// The lease is valid from the moment the renewal was sent.
    Granted {
        /// Duration of the lease, before the allowance for clock drift.
        lease_ms: u64,
    },
    /// The lease is not renewed, because the instance has not yet caught up or has received no
    /// reply for too long. The rest of the reply applies. The instance renews again at once.
    Withheld,
    /// The process has no session with this leader yet. The instance sends a full renewal at once.
    NeedsFullRenewal,
    /// A newer process with the same instance id has replaced this one. If both are meant to run,
    /// one of them needs another id in its settings.
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
    /// The version of the coordinator list.
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
    /// Whether `share` replaces the former share. Otherwise the smaller of both is in force,
    /// because the leader doesn't know the exact share that the instance holds after a contract was
    /// lowered.
    pub exact: bool,
}

/// A live instance.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceRecord {
    /// The instance.
    pub instance: InstanceId,
    /// The process.
    pub incarnation: Incarnation,
    /// Network addresses and location.
    pub profile: InstanceProfile,
    /// Whether the instance is draining.
    pub draining: bool,
}

/// Changes of the list of live instances.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceListUpdate {
    /// The version of the list after this update.
    pub version: u64,
    /// Whether `changed` is the complete list.
    pub is_full: bool,
    /// New and changed instances.
    pub changed: Vec<InstanceRecord>,
    /// Processes whose lease has expired.
    pub removed: Vec<(InstanceId, Incarnation)>,
}
