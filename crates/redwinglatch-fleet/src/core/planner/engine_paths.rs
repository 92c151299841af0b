//! Whether the coordinator reaches the engines.

use crate::{ids::BackendKey, server_paths::PathChange};

use super::{Planner, engine::Engine};

impl Planner {
    /// Records whether an engine answered a report request.
    ///
    /// Answers a cut between the coordinator and the engines, which entry processes still reach: requests are placed
    /// by what the engines reported last.
    pub(super) fn record_path(&mut self, now_ms: u64, key: BackendKey, is_answered: bool) {
        let Some(engine) = self.engines.get(&key) else { return };
        let service = engine.backend.service.clone();
        let engines = self.engines_of(&service).filter(|engine| !engine.is_leaving()).count();
        match self.paths.tried(now_ms, &service, key, is_answered, engines) {
            Some(PathChange::Lost { failed_servers }) => log::warn!(
                "coordinator: engines of {service} answer no report requests; {failed_servers} of \
                 {engines} were asked"
            ),
            Some(PathChange::Found { lost_ms }) => {
                log::info!("coordinator: engines of {service} answer again after {lost_ms} ms");
            }
            None => return,
        }
        let is_path_lost = self.paths.is_lost(&service);
        for engine in self.engines.values_mut().filter(|engine| engine.backend.service == service) {
            engine.is_path_lost = is_path_lost;
        }
    }

    fn engines_of(&self, service: &str) -> impl Iterator<Item = &Engine> {
        self.engines.values().filter(move |engine| *engine.backend.service == *service)
    }
}
