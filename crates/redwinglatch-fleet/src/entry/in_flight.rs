//! Counts a request as in flight for as long as it is.

use std::sync::Arc;

use crate::ids::{BackendKey, ModelName};

use super::{App, placing::PlaceGuard};

/// One request at a backend server.
pub(crate) struct InFlight {
    app: Arc<App>,
    backend: BackendKey,
    model: Option<ModelName>,
    /// The coordinator's epoch if it placed the request, else 0.
    epoch: u64,
    place: Option<PlaceGuard>,
}

impl InFlight {
    pub(crate) fn start(
        app: &Arc<App>,
        backend: BackendKey,
        model: Option<ModelName>,
        place: Option<PlaceGuard>,
    ) -> InFlight {
        let epoch = place.as_ref().map_or(0, PlaceGuard::epoch);
        app.view().request_sent(backend, model.as_ref(), epoch);
        InFlight { app: Arc::clone(app), backend, model, epoch, place }
    }

    /// The first event of a stream has arrived.
    pub(crate) fn first_event(&self) {
        if let Some(place) = &self.place {
            place.first_event();
        }
    }

    pub(crate) fn backend(&self) -> BackendKey {
        self.backend
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.app.view().request_ended(self.backend, self.model.as_ref(), self.epoch);
    }
}

/// One request of a caller.
pub(crate) struct CallerRequest {
    app: Arc<App>,
}

impl CallerRequest {
    pub(crate) fn start(app: &Arc<App>) -> CallerRequest {
        app.view().request_received();
        CallerRequest { app: Arc::clone(app) }
    }
}

impl Drop for CallerRequest {
    fn drop(&mut self) {
        self.app.view().request_answered();
    }
}
