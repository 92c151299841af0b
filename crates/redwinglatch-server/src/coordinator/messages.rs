//! The messages that a coordinator's task takes.

use std::net::SocketAddr;

use redwinglatch_backends::{BackendError, EngineEvents, EngineReport};
use redwinglatch_core::prelude::*;
use redwinglatch_operators::EngineStatus;
use redwinglatch_placement::{LoadFailure, LoadId, PlaceRequest, Release, ReportedPin, RequestKey};

/// Places a request; the channel gets the answer.
pub(crate) struct Place(pub(crate) PlaceRequest);

/// Withdraws a request that waits, or ends the pin of a placement whose answer was lost.
pub(crate) struct Withdraw(pub(crate) RequestKey);

/// Ends a pin; false when this instance does not coordinate the cell.
pub(crate) struct EndPin {
    pub(crate) pin: PinId,
    pub(crate) release: Release,
}

/// A backend server of the cell, from the settings or the platform's list.
#[derive(Debug, Clone)]
pub(crate) struct ListedEngine {
    pub(crate) pool: Box<str>,
    pub(crate) address: SocketAddr,
    pub(crate) data_centre: Box<str>,
    pub(crate) leaving: bool,
}

/// The engines of the cell, whole.
pub(crate) struct UpdateEngines(pub(crate) Vec<ListedEngine>);

/// What the operators' status shows of a cell.
pub(crate) struct CellStatus {
    pub(crate) cell: CellId,
    pub(crate) epoch: Option<Epoch>,
    /// Empty while another instance coordinates.
    pub(crate) engines: Vec<EngineStatus>,
    pub(crate) waiting: usize,
    pub(crate) loads_in_flight: usize,
}

/// Reads [`CellStatus`].
pub(crate) struct ReadCellStatus;

pub(super) struct Tick;

pub(super) struct ReportRead {
    pub(super) engine: EngineId,
    pub(super) asked_ms: u64,
    pub(super) result: Result<EngineReport, BackendError>,
}

pub(super) struct EventsRead {
    pub(super) engine: EngineId,
    pub(super) after: u64,
    pub(super) result: Result<EngineEvents, BackendError>,
}

pub(super) struct LoadEnded {
    pub(super) load: LoadId,
    pub(super) adapter: AdapterVersion,
    pub(super) result: Result<(), LoadFailure>,
}

pub(super) struct CancelEnded {
    pub(super) request: RequestKey,
    pub(super) acknowledged: bool,
}

pub(super) struct PinsRead {
    pub(super) epoch: Epoch,
    pub(super) instance: InstanceId,
    pub(super) incarnation: Incarnation,
    pub(super) pins: Vec<ReportedPin>,
}
