//! Answers where a request would be placed.

use redwinglatch_routing::{Route, RouteTable};

use crate::{
    core::placement_query::{AnsweredPlacement, PlacementError, PlacementQuery, PlacementQuestion},
    message::PlaceRequest,
};

use super::Driver;

impl Driver {
    /// Answers from the planner's present state, unless the operator's time limit has passed.
    pub(super) fn answer_placement_question(&mut self, question: PlacementQuestion) {
        if !question.reply.is_closed() {
            let answer = self.explain_placement(question.query);
            // The operator may have disconnected.
            let _ = question.reply.send(answer);
        }
    }

    fn explain_placement(
        &self,
        query: PlacementQuery,
    ) -> Result<AnsweredPlacement, PlacementError> {
        let Some((_, planner)) = &self.planner else {
            let leader = self.replica.leader().filter(|leader| *leader != self.replica.id());
            let leader = leader.and_then(|leader| self.core_addresses.get(&leader.0).copied());
            return Err(PlacementError::NotCoordinator { leader });
        };
        let table = self.table.as_deref().ok_or(PlacementError::NoConfiguration)?;
        let mut services = table.engine_services();
        let Some((_, spec)) = services.find(|(service, _)| service.name == query.service) else {
            return Err(PlacementError::UnknownService { services: engine_services(table) });
        };
        if !spec.serves(&query.model) {
            let models = spec.models.iter().map(|model| model.name.clone()).collect();
            return Err(PlacementError::UnknownModel { models });
        }
        if !spec.fits(&query.model) {
            return Err(PlacementError::DoesNotFit);
        }
        let route = route_of(table, &query.service).ok_or(PlacementError::NoRoute)?;
        let patience_ms =
            (self.dialect.caller_patience_ms)(route.objective_ms, route.gap_objective_ms);
        let request = PlaceRequest {
            service: query.service,
            model: query.model,
            priority: query.priority.unwrap_or(route.priority),
            objective_ms: route.objective_ms,
            spent_ms: 0,
            remaining_ms: route.timeout_ms,
            prompt_tokens: query.prompt_tokens,
            output_tokens: query.output_tokens,
            prompt_parts: query.prompt_parts,
            excluded_engines: Vec::new(),
            patience_ms: patience_ms.min(route.timeout_ms),
        };
        Ok(AnsweredPlacement {
            route: route.name.clone(),
            priority: request.priority,
            prompt_tokens: request.prompt_tokens,
            output_tokens: request.output_tokens,
            objective_ms: request.objective_ms,
            explanation: planner.explain(self.now_ms(), request),
        })
    }
}

fn engine_services(table: &RouteTable) -> Vec<Box<str>> {
    table.engine_services().map(|(service, _)| service.name.clone()).collect()
}

/// Returns the first route to a service.
fn route_of<'a>(table: &'a RouteTable, service: &str) -> Option<&'a Route> {
    let leads_there =
        |route: &&Route| route.services.iter().any(|weighted| *weighted.service == *service);
    table.configuration().routes.iter().find(leads_there)
}
