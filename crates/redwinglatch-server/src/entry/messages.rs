//! The messages that the entry task takes.

use std::net::SocketAddr;

use redwinglatch_admission::{
    AttemptOutcome, BackendKind, Failure, ListedReplica, Permit, ReplicaKey, RequestTerms,
};
use redwinglatch_control::{Coordinator, InstanceRecord, RenewalReply, Share};
use redwinglatch_core::prelude::*;
use smallvec::SmallVec;

/// A pin that a request of this instance holds.
#[derive(Debug, Clone)]
pub(crate) struct HeldPin {
    pub(crate) cell: CellId,
    pub(crate) epoch: Epoch,
    pub(crate) pin: PinId,
    pub(crate) request: RequestId,
    pub(crate) engine: SocketAddr,
    pub(crate) model: Box<str>,
    pub(crate) adapter: AdapterVersion,
    pub(crate) deadline_ms: u64,
}

/// Makes the renewal to send now.
pub(crate) struct MakeRenewal;

/// Applies the leader's reply to a renewal.
pub(crate) struct ApplyReply(pub(crate) RenewalReply);

/// What the renewing task does next.
pub(crate) enum RenewalStep {
    Wait,
    RenewNow,
    Superseded,
}

/// Asks whether a request may run.
#[derive(Clone)]
pub(crate) struct Admit {
    pub(crate) customer: Box<str>,
    pub(crate) target: Target,
    /// When the request was first decided about; `None` the first time.
    pub(crate) waiting_since_ms: Option<u64>,
    pub(crate) arrived_at_ms: u64,
    pub(crate) deadline_ms: Option<u32>,
    pub(crate) priority: Option<u8>,
    /// 0 for a plain service.
    pub(crate) max_tokens: u32,
}

/// What a request wants to use.
#[derive(Clone)]
pub(crate) enum Target {
    Adapter(AdapterVersion),
    Service(Box<str>),
}

/// The answer to [`Admit`].
pub(crate) enum Admission {
    Admitted(Admitted),
    /// The instance holds no share for the customer; ask again after a renewal.
    AskForShare {
        waiting_since_ms: u64,
        until_ms: u64,
    },
    Refused(Refusal),
}

/// What follows from the contract for an admitted request.
#[derive(Debug)]
pub(crate) struct Admitted {
    pub(crate) terms: RequestTerms,
    pub(crate) load_share_permille: u16,
    pub(crate) permit: Permit,
}

/// Ends an admitted request that generated `tokens`.
pub(crate) struct Leave {
    pub(crate) permit: Permit,
    pub(crate) tokens: u32,
}

/// Counts a request's first attempt for the retry budgets.
pub(crate) struct CountAttempt {
    pub(crate) customer: Box<str>,
    pub(crate) backend: SocketAddr,
}

/// Asks what may follow a failed attempt.
pub(crate) struct DecideNext {
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
pub(crate) struct ReplicaEnded {
    pub(crate) service: Box<str>,
    pub(crate) replica: ReplicaKey,
    pub(crate) end: AttemptOutcome,
}

/// The replicas of a plain service, whole.
pub(crate) struct UpdateService {
    pub(crate) service: Box<str>,
    pub(crate) replicas: Vec<ListedReplica>,
}

/// Lists the instances that callers may use.
pub(crate) struct ListEntries;

/// Lists other instances, for a refusal.
pub(crate) struct ListOthers;

/// The coordinator of a cell and its epoch, as far as this instance knows.
pub(crate) struct FindCoordinator(pub(crate) CellId);

/// Holds a pin; false when a newer coordinator already asked for the pins, so that the placement
/// is void.
pub(crate) struct HoldPin(pub(crate) HeldPin);

/// Forgets a pin.
pub(crate) struct DropPin {
    pub(crate) cell: CellId,
    pub(crate) pin: PinId,
}

/// Reports the pins of a cell to the coordinator of `epoch`.
pub(crate) struct ListPins {
    pub(crate) cell: CellId,
    pub(crate) epoch: Epoch,
}

/// The right of this instance to coordinate `cell` now.
pub(crate) struct ReadGrant(pub(crate) CellId);

/// A right to coordinate.
pub(crate) struct Grant {
    pub(crate) epoch: Epoch,
    pub(crate) lease_until_ms: u64,
    pub(crate) live: Vec<(InstanceId, Incarnation)>,
}

/// Starts draining.
pub(crate) struct StartDraining;

/// Counts the requests in flight.
pub(crate) struct CountInFlight;

/// What the operators' status shows of this instance.
pub(crate) struct EntryStatus {
    pub(crate) serving: bool,
    pub(crate) draining: bool,
    pub(crate) lease_remaining_ms: u64,
    pub(crate) revision: Revision,
    pub(crate) in_flight: u64,
    /// Each customer's usable share and requests in flight.
    pub(crate) shares: Vec<(Box<str>, Share, u64)>,
    pub(crate) instances: Vec<InstanceRecord>,
    pub(crate) coordinators: Vec<Coordinator>,
}

/// Reads [`EntryStatus`].
pub(crate) struct ReadEntryStatus;
