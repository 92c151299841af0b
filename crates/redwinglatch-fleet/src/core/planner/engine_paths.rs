//! Whether the coordinator reaches the engines.

use crate::{ids::BackendKey, server_paths::PathChange};

use super::Planner;

impl Planner {
    /// Records whether an engine answered a report request.
    pub(super) fn record_path(&mut self, now_ms: u64, key: BackendKey, is_answered: bool) {
        let Some(engine) = self.engines.get(&key) else { return };
        let service = engine.backend.service.clone();
        let of_service = self
            .engines
            .values()
            .filter(|engine| engine.backend.service == service && !engine.is_leaving());
        let engines = of_service.count();
        match self.paths.tried(now_ms, &service, key, is_answered, engines) {
            Some(PathChange::Lost { failed_servers }) => log::warn!(
                "coordinator: engines of {service} answer no report requests; {failed_servers} of \
                 {engines} were asked"
            ),
            Some(PathChange::Found { lost_ms }) => {
                log::info!("coordinator: engines of {service} answer again after {lost_ms} ms");
            }
            None => {}
        }
    }
}
