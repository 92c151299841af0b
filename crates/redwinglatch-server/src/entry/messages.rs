//! Messages to the entry task.

use std::net::SocketAddr;

use redwinglatch_admission::{
    AttemptOutcome, BackendKind, Failure, ListedReplica, Permit, ReplicaKey, RequestTerms,
};
use redwinglatch_control::{Coordinator, InstanceRecord, RenewalReply, Share};
use redwinglatch_core::prelude::*;
use smallvec::SmallVec;

/// The pin of one of this instance's requests.
#[derive(Debug, Clone)]
pub(crate) struct RequestPin {
    pub(crate) cell: CellId,
    pub(crate) epoch: Epoch,
    pub(crate) pin: PinId,
    pub(crate) request: RequestId,
    pub(crate) engine: SocketAddr,
    pub(crate) model: Box<str>,
    pub(crate) adapter: AdapterVersion,
    pub(crate) deadline_ms: u64,
}

/// Builds the next lease renewal.
pub(crate) struct BuildRenewal;

/// Applies the leader's reply to a renewal.
pub(crate) struct ApplyRenewalReply(pub(crate) RenewalReply);

/// The next step of the lease renewal task.
pub(crate) enum RenewalStep {
    Wait,
    RenewNow,
    Superseded,
}

/// Decides whether a request may run.
#[derive(Clone)]
pub(crate) struct AdmitRequest {
    pub(crate) customer: Box<str>,
    pub(crate) target: RequestTarget,
    /// The time of the first decision about this request; `None` for that first decision.
    pub(crate) waiting_since_ms: Option<u64>,
    pub(crate) arrived_at_ms: u64,
    pub(crate) deadline_ms: Option<u32>,
    pub(crate) priority: Option<u8>,
    /// 0 for a plain service.
    pub(crate) max_tokens: u32,
}

/// The adapter or plain service that a request uses.
#[derive(Clone)]
pub(crate) enum RequestTarget {
    Adapter(AdapterVersion),
    Service(Box<str>),
}

/// The result of [`AdmitRequest`].
pub(crate) enum Admission {
    Admitted(Admitted),
    /// The instance has no share for the customer yet; retry after a lease renewal.
    AwaitShare {
        waiting_since_ms: u64,
        until_ms: u64,
    },
    Refused(Refusal),
}

/// The terms and permit of an admitted request.
#[derive(Debug)]
pub(crate) struct Admitted {
    pub(crate) terms: RequestTerms,
    pub(crate) load_share_permille: u16,
    pub(crate) permit: Permit,
}

/// Ends an admitted request that generated `tokens` tokens.
pub(crate) struct FinishRequest {
    pub(crate) permit: Permit,
    pub(crate) tokens: u32,
}

/// Counts a request's first attempt for the retry budgets.
pub(crate) struct CountFirstAttempt {
    pub(crate) customer: Box<str>,
    pub(crate) backend: SocketAddr,
}

/// Decides whether and how to retry after a failed attempt.
pub(crate) struct DecideRetry {
    pub(crate) failure: Failure,
    pub(crate) customer: Box<str>,
    pub(crate) backend: SocketAddr,
    pub(crate) kind: BackendKind,
    pub(crate) at_most_once: bool,
    pub(crate) may_have_run: bool,
    pub(crate) failed_attempts: u32,
    pub(crate) deadline_ms: u64,
}

/// Chooses a replica of a plain service for one attempt.
pub(crate) struct ChooseReplica {
    pub(crate) service: Box<str>,
    pub(crate) avoid: SmallVec<[ReplicaKey; 2]>,
}

/// Reports the end of an attempt at a replica.
pub(crate) struct ReplicaAttemptEnded {
    pub(crate) service: Box<str>,
    pub(crate) replica: ReplicaKey,
    pub(crate) end: AttemptOutcome,
}

/// Replaces the replica list of a plain service.
pub(crate) struct UpdateServiceReplicas {
    pub(crate) service: Box<str>,
    pub(crate) replicas: Vec<ListedReplica>,
}

/// Lists the instances to which callers may send requests.
pub(crate) struct ListEntries;

/// Lists the other instances, for use in a refusal.
pub(crate) struct ListOtherEntries;

/// Finds the coordinator of a cell and its epoch, as last reported to this instance.
pub(crate) struct FindCoordinator(pub(crate) CellId);

/// Registers a pin; returns false when a newer coordinator has already collected the pins, which
/// makes the placement invalid.
pub(crate) struct RegisterPin(pub(crate) RequestPin);

/// Removes a registered pin.
pub(crate) struct UnregisterPin {
    pub(crate) cell: CellId,
    pub(crate) pin: PinId,
}

/// Lists the pins of a cell for the coordinator of `epoch`.
pub(crate) struct ListPins {
    pub(crate) cell: CellId,
    pub(crate) epoch: Epoch,
}

/// Reads whether this instance may coordinate a cell now.
pub(crate) struct ReadCoordinationGrant(pub(crate) CellId);

/// The right to coordinate a cell in `epoch` until the lease ends.
pub(crate) struct CoordinationGrant {
    pub(crate) epoch: Epoch,
    pub(crate) lease_until_ms: u64,
    pub(crate) live: Vec<(InstanceId, Incarnation)>,
}

/// Marks this instance as draining, here and in its lease renewals.
pub(crate) struct StartDraining;

/// Counts the requests in flight.
pub(crate) struct CountInFlight;

/// The status of the entry task, as shown to operators.
pub(crate) struct EntryStatus {
    pub(crate) is_serving: bool,
    pub(crate) is_draining: bool,
    pub(crate) lease_remaining_ms: u64,
    pub(crate) revision: Revision,
    pub(crate) in_flight: u64,
    /// The customer, its usable share and its requests in flight.
    pub(crate) shares: Vec<(Box<str>, Share, u64)>,
    pub(crate) instances: Vec<InstanceRecord>,
    pub(crate) coordinators: Vec<Coordinator>,
}

/// Reads [`EntryStatus`].
pub(crate) struct ReadEntryStatus;
