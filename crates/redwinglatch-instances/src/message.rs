//! The messages between instances.

use redwinglatch_control::{
    CommandOutcome, ContractHistoryEntry, ControlCommand, Renewal, RenewalReply,
};
use redwinglatch_core::prelude::*;
use redwinglatch_log::LogMessage;
use redwinglatch_placement::{PlaceRequest, Placement, Release, ReportedPin, RequestKey};
use serde::{Deserialize, Serialize};

/// A message between instances, in either direction.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[non_exhaustive]
pub enum PeerMessage {
    /// A message of the replicated log; one-way.
    Log {
        /// The sending replica.
        from: ReplicaId,
        /// The receiving replica.
        to: ReplicaId,
        /// The message.
        message: LogMessage,
    },
    /// Requests the renewal of a serving lease from the control leader.
    Renew(Renewal),
    /// Reply to [`PeerMessage::Renew`]; `None` when a newer renewal was answered before.
    Renewed(Result<Option<RenewalReply>, ControlRefusal>),
    /// Requests that the control leader commit a command.
    Propose(ControlCommand),
    /// Reply to [`PeerMessage::Propose`]. The reply to an accepted contract change is sent once the
    /// change is in force on all instances.
    Proposed(Result<CommandOutcome, ControlRefusal>),
    /// Requests contracts from the control leader.
    ReadContracts(ContractQuery),
    /// Reply to [`PeerMessage::ReadContracts`].
    Contracts(Result<Vec<ContractHistoryEntry>, ControlRefusal>),
    /// Queries whether the control leader has a record of an idempotency key.
    FindIdempotencyKey {
        /// The customer.
        customer: Box<str>,
        /// The key.
        key: Box<str>,
    },
    /// Reply to [`PeerMessage::FindIdempotencyKey`].
    IdempotencyKeyFound(Result<bool, ControlRefusal>),
    /// Requests a placement from the coordinator of a cell.
    Place {
        /// The cell.
        cell: CellId,
        /// The request.
        request: PlaceRequest,
    },
    /// Reply to [`PeerMessage::Place`].
    Placed(Result<Placement, Refusal>),
    /// Withdraws a placement request that may still be waiting, and ends its pin if it has one;
    /// one-way.
    Withdraw {
        /// The cell.
        cell: CellId,
        /// The request.
        request: RequestKey,
    },
    /// Ends a pin at the cell's coordinator.
    Release {
        /// The cell.
        cell: CellId,
        /// The pin.
        pin: PinId,
        /// The reason why the pin ends.
        release: Release,
    },
    /// Reply to [`PeerMessage::Release`]: whether the replying instance coordinates the cell.
    Released(bool),
    /// Requests the pins that an instance has in a cell; sent by a new coordinator.
    ReportPins {
        /// The cell.
        cell: CellId,
        /// The new coordinator's epoch; placements of older epochs become invalid.
        epoch: Epoch,
    },
    /// Reply to [`PeerMessage::ReportPins`].
    Pins {
        /// The incarnation of the process that has the pins.
        incarnation: Incarnation,
        /// The pins.
        pins: Vec<ReportedPin>,
    },
    /// Requests that an instance drain and stop.
    Stop,
    /// Reply to [`PeerMessage::Stop`].
    Stopping,
}

/// Selects the contracts to read.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum ContractQuery {
    /// All current contracts.
    All,
    /// The current contract of a customer.
    Current(Box<str>),
    /// The stored contract history of a customer, oldest first.
    History(Box<str>),
}

/// The reason why the control part of an instance refused or could not complete a request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ControlRefusal {
    /// This instance is not the leader; nothing was done. Retry with the leader, which is given if it
    /// is known.
    NotLeader(Option<InstanceId>),
    /// The leader is overloaded. Nothing was done; retry later.
    Busy,
    /// Leadership was lost before the outcome was known. Retry; commands are idempotent.
    OutcomeUnknown,
}
