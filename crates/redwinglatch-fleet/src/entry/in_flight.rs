//! Counts a request as in flight for as long as it is.

use std::sync::Arc;

use crate::ids::{BackendKey, ModelName};

use super::App;

/// One request at a backend server.
pub(crate) struct InFlight {
    app: Arc<App>,
    backend: BackendKey,
    model: Option<ModelName>,
}

impl InFlight {
    pub(crate) fn start(app: &Arc<App>, backend: BackendKey, model: Option<ModelName>) -> InFlight {
        app.view().request_sent(backend, model.as_ref());
        InFlight { app: Arc::clone(app), backend, model }
    }

    pub(crate) fn backend(&self) -> BackendKey {
        self.backend
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.app.view().request_ended(self.backend, self.model.as_ref());
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
