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
    /// Traffic of the replicated log; one-way.
    Log {
        /// The sending replica.
        from: ReplicaId,
        /// The receiving replica.
        to: ReplicaId,
        /// The message.
        message: LogMessage,
    },
    /// Asks the control leader to renew a serving lease.
    Renew(Renewal),
    /// Answers [`PeerMessage::Renew`]; `None` when the renewal was older than one answered before.
    Renewed(Result<Option<RenewalReply>, ControlRefusal>),
    /// Asks the control leader to commit a command.
    Propose(ControlCommand),
    /// Answers [`PeerMessage::Propose`]. An accepted contract change is answered once it is in
    /// force everywhere.
    Proposed(Result<CommandOutcome, ControlRefusal>),
    /// Asks the control leader for contracts.
    ReadContracts(ContractQuery),
    /// Answers [`PeerMessage::ReadContracts`].
    Contracts(Result<Vec<ContractHistoryEntry>, ControlRefusal>),
    /// Asks the control leader whether there is a record of an idempotency key.
    FindKey {
        /// The customer.
        customer: Box<str>,
        /// The key.
        key: Box<str>,
    },
    /// Answers [`PeerMessage::FindKey`].
    KeyFound(Result<bool, ControlRefusal>),
    /// Asks a cell's coordinator for a placement.
    Place {
        /// The cell.
        cell: CellId,
        /// The request.
        request: PlaceRequest,
    },
    /// Answers [`PeerMessage::Place`].
    Placed(Result<Placement, Refusal>),
    /// Withdraws a request that may wait for its placement, and ends its pin if it has one;
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
        /// Why it ends.
        release: Release,
    },
    /// Answers [`PeerMessage::Release`]: whether this instance coordinates the cell.
    Released(bool),
    /// Asks an instance for the pins it holds in a cell, on behalf of a new coordinator.
    ReportPins {
        /// The cell.
        cell: CellId,
        /// The new coordinator's epoch; placements of older epochs are void from now on.
        epoch: Epoch,
    },
    /// Answers [`PeerMessage::ReportPins`].
    Pins {
        /// The process that holds the pins.
        incarnation: Incarnation,
        /// The pins.
        pins: Vec<ReportedPin>,
    },
    /// Asks an instance to drain and stop.
    Stop,
    /// Answers [`PeerMessage::Stop`].
    Stopping,
}

/// Which contracts an operator wants to read.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum ContractQuery {
    /// All current contracts.
    All,
    /// The current contract of a customer.
    Current(Box<str>),
    /// The kept history of a customer, oldest first.
    History(Box<str>),
}

/// Why the control part of an instance did not do what was asked.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ControlRefusal {
    /// Another instance leads; ask it, if it is known. Nothing was done.
    NotLeader(Option<InstanceId>),
    /// The leader has too much to do; ask again later. Nothing was done.
    Busy,
    /// Leadership was lost before the outcome was known. Ask again; commands are idempotent.
    OutcomeUnknown,
}
