//! Messages to a coordinator task.

use std::net::SocketAddr;

use redwinglatch_backends::{BackendError, EngineEvents, EngineReport};
use redwinglatch_core::prelude::*;
use redwinglatch_operators::EngineStatus;
use redwinglatch_placement::{LoadFailure, LoadId, PlaceRequest, Release, ReportedPin, RequestKey};

/// Places a request; the returned channel receives the result.
pub(crate) struct PlaceCompletion(pub(crate) PlaceRequest);

/// Withdraws a waiting request, or ends the pin of a placement whose result was not delivered.
pub(crate) struct WithdrawRequest(pub(crate) RequestKey);

/// Ends a pin; returns false when this instance does not coordinate the cell.
pub(crate) struct ReleasePin {
    pub(crate) pin: PinId,
    pub(crate) release: Release,
}

/// An engine of the cell, from the settings or the platform's backend list.
#[derive(Debug, Clone)]
pub(crate) struct ListedEngine {
    pub(crate) pool: Box<str>,
    pub(crate) address: SocketAddr,
    pub(crate) data_centre: Box<str>,
    pub(crate) is_leaving: bool,
}

/// Replaces the list of the cell's engines.
pub(crate) struct UpdateEngines(pub(crate) Vec<ListedEngine>);

/// The status of a cell, as shown to operators.
pub(crate) struct CellStatus {
    pub(crate) cell: CellId,
    pub(crate) epoch: Option<Epoch>,
    /// Empty while another instance coordinates the cell.
    pub(crate) engines: Vec<EngineStatus>,
    pub(crate) waiting_requests: usize,
    pub(crate) loads_in_flight: usize,
}

/// Reads [`CellStatus`].
pub(crate) struct ReadCellStatus;

/// Periodic wake-up for leases, engine reports and timeouts.
pub(super) struct Tick;

/// The outcome of reading an engine's report.
pub(super) struct ReportRead {
    pub(super) engine: EngineId,
    pub(super) requested_ms: u64,
    pub(super) result: Result<EngineReport, BackendError>,
}

/// The outcome of reading an engine's prefix cache events.
pub(super) struct EventsRead {
    pub(super) engine: EngineId,
    pub(super) after: u64,
    pub(super) result: Result<EngineEvents, BackendError>,
}

/// The outcome of a load order.
pub(super) struct LoadEnded {
    pub(super) load: LoadId,
    pub(super) adapter: AdapterVersion,
    pub(super) result: Result<(), LoadFailure>,
}

/// The outcome of a cancel order.
pub(super) struct CancelEnded {
    pub(super) request: RequestKey,
    pub(super) acknowledged: bool,
}

/// The pins that an instance reported after a takeover.
pub(super) struct PinsRead {
    pub(super) epoch: Epoch,
    pub(super) instance: InstanceId,
    pub(super) incarnation: Incarnation,
    pub(super) pins: Vec<ReportedPin>,
}
