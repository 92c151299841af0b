//! Requests placements from the coordinator.

use std::{sync::Arc, time::Duration};

use tokio::{sync::mpsc, time::timeout};

use crate::{
    ids::{BackendKey, SoftwareVersion},
    message::{FleetMessage, PlaceReply, PlaceRequest, RefusalCause},
};

use super::EntryContext;

/// Time limit for the coordinator's first reply, after which this process decides itself.
pub(super) const FIRST_REPLY_TIMEOUT: Duration = Duration::from_millis(80);
/// Time after a queued request's caller has left at which it is given up; the coordinator normally
/// rejects it earlier.
const QUEUED_TIMEOUT_MARGIN: Duration = Duration::from_millis(200);
/// Time for which nothing is requested from a coordinator that did not reply.
pub(super) const COORDINATOR_SUSPECT_MS: u64 = 400;
/// Maximum number of replies to a placement request: `Queued` and the decision.
const MAX_REPLIES: usize = 2;

/// The coordinator's decision.
pub(crate) enum PlacementDecision {
    /// The request is placed on this engine until the guard is dropped.
    Placed { engine: BackendKey, version: Option<u64>, placement: PlacementGuard },
    /// The request is rejected.
    Refused { retry_after_ms: u64, cause: Option<RefusalCause> },
    /// No coordinator is connected or responsive.
    NoCoordinator,
}

/// Keeps a placement; dropping it notifies the coordinator that the request has ended.
pub(crate) struct PlacementGuard {
    context: Arc<EntryContext>,
    id: u64,
    epoch: u64,
}

impl PlacementGuard {
    /// Keeps the coordinator's grant for a request that this process places.
    pub(super) fn of_grant(context: &Arc<EntryContext>, id: u64) -> PlacementGuard {
        PlacementGuard { context: Arc::clone(context), id, epoch: 0 }
    }

    /// Notifies the coordinator that the engine has processed the prompt.
    pub(crate) fn first_event(&self) {
        self.context.fleet_view().send_to_coordinator(&FleetMessage::FirstEvent { id: self.id });
    }

    /// The coordinator's epoch, or 0 if this process has placed the request.
    pub(crate) fn epoch(&self) -> u64 {
        self.epoch
    }
}

impl Drop for PlacementGuard {
    fn drop(&mut self) {
        let mut view = self.context.fleet_view();
        view.end_placement(self.id);
        view.send_to_coordinator(&FleetMessage::Release { id: self.id });
    }
}

/// Requests an engine for a request from the coordinator, one of a software version if one is given, and waits
/// for its decision.
pub(crate) async fn request_placement(
    context: &Arc<EntryContext>,
    request: PlaceRequest,
    version: Option<SoftwareVersion>,
) -> PlacementDecision {
    let (sender, mut replies) = mpsc::channel(MAX_REPLIES);
    let queued_timeout = Duration::from_millis(request.patience_ms) + QUEUED_TIMEOUT_MARGIN;
    let started = context.fleet_view().start_placement(context.now_ms(), sender, request, version);
    let Some((id, epoch)) = started else { return PlacementDecision::NoCoordinator };
    let placement = PlacementGuard { context: Arc::clone(context), id, epoch };
    let mut limit = FIRST_REPLY_TIMEOUT;
    loop {
        match timeout(limit, replies.recv()).await {
            Ok(Some(PlaceReply::Queued)) => limit = queued_timeout,
            Ok(Some(PlaceReply::Placed { engine, version })) => {
                return PlacementDecision::Placed { engine, version, placement };
            }
            Ok(Some(PlaceReply::Refused { retry_after_ms })) => {
                return PlacementDecision::Refused { retry_after_ms, cause: None };
            }
            Ok(Some(PlaceReply::RefusedFor { retry_after_ms, cause })) => {
                return PlacementDecision::Refused { retry_after_ms, cause: Some(cause) };
            }
            Ok(None) => return PlacementDecision::NoCoordinator,
            Err(_) => {
                let now_ms = context.now_ms();
                log::info!("entry: the coordinator does not respond; requests are placed locally");
                context.fleet_view().suspect_coordinator_until(now_ms + COORDINATOR_SUSPECT_MS);
                return PlacementDecision::NoCoordinator;
            }
        }
    }
}
