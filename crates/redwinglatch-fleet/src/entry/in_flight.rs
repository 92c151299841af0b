//! Guards that count requests in flight for as long as they exist.

use std::sync::Arc;

use crate::ids::{BackendKey, ModelName};

use super::{EntryContext, placement::PlacementGuard};

/// Counts one request that is in flight at a backend server.
pub(crate) struct InFlight {
    context: Arc<EntryContext>,
    backend: BackendKey,
    model: Option<ModelName>,
    /// The epoch of the coordinator that placed the request, or 0 if this process placed it.
    epoch: u64,
    placement: Option<PlacementGuard>,
    started_ms: u64,
}

impl InFlight {
    pub(crate) fn start(
        context: &Arc<EntryContext>,
        backend: BackendKey,
        model: Option<ModelName>,
        placement: Option<PlacementGuard>,
    ) -> InFlight {
        let epoch = placement.as_ref().map_or(0, PlacementGuard::epoch);
        context.fleet_view().backend_request_started(backend, model.as_ref(), epoch);
        let started_ms = context.now_ms();
        if model.is_some() && placement.is_none() {
            context.fleet_view().stream_sent(started_ms, backend);
        }
        InFlight { context: Arc::clone(context), backend, model, epoch, placement, started_ms }
    }

    /// Reports to the coordinator that the first event of the stream has arrived.
    pub(crate) fn first_event(&self) {
        if let Some(placement) = &self.placement {
            placement.first_event();
        } else if self.model.is_some() {
            self.context.fleet_view().stream_started(self.started_ms, self.backend);
        }
    }

    pub(crate) fn backend(&self) -> BackendKey {
        self.backend
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        let duration_ms = self.context.now_ms().saturating_sub(self.started_ms);
        let mut view = self.context.fleet_view();
        if self.model.is_some() && self.placement.is_none() {
            view.stream_started(self.started_ms, self.backend);
        }
        view.backend_request_ended(self.backend, self.model.as_ref(), self.epoch);
        view.record_duration(self.backend, duration_ms);
    }
}

/// Counts one request of a caller, whether or not it is at a backend server.
pub(crate) struct CallerRequest {
    context: Arc<EntryContext>,
}

impl CallerRequest {
    pub(crate) fn start(context: &Arc<EntryContext>) -> CallerRequest {
        context.fleet_view().caller_request_started();
        CallerRequest { context: Arc::clone(context) }
    }
}

impl Drop for CallerRequest {
    fn drop(&mut self) {
        self.context.fleet_view().caller_request_ended();
    }
}
