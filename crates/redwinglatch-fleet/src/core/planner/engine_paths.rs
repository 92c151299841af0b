//! Whether the coordinator reaches the engines.

use smallvec::SmallVec;

use crate::{
    ids::BackendKey,
    message::{PlaceReply, RefusalCause},
    server_paths::PathChange,
};

use super::{Planner, RETRY_AFTER_RANGE_MS, engine::Engine, waiting_request::WaitingRequest};

/// Part of the engines of a service that must leave reports unanswered before the path to them counts as lost, and the
/// most that must. Engines that have crashed fail at once, before others have answered.
const MIN_UNANSWERED_PART: usize = 3;
const MAX_MIN_UNANSWERED: usize = 40;
/// Fewest engines for that, unless the service has fewer.
const MIN_UNANSWERED: usize = 3;
/// Time for which the path must be lost before a coordinator that knows no engine takes no requests.
const UNKNOWN_AFTER_MS: u64 = 400;
/// Interval between questions to the other core processes about engines that the coordinator doesn't reach.
const QUESTION_INTERVAL_MS: u64 = 500;
/// Engines of each service about which they are asked.
const ENGINES_PER_QUESTION: usize = 4;

/// Returns how many of a service's engines must leave reports unanswered before the path to them counts as lost.
pub(super) fn min_unanswered(engines: usize) -> usize {
    let least = engines.clamp(1, MIN_UNANSWERED);
    (engines / MIN_UNANSWERED_PART).clamp(least, MAX_MIN_UNANSWERED)
}

/// The question to the other core processes about the engines that answer them.
#[derive(Debug, Default)]
pub(super) struct ReachQuestion {
    due_ms: u64,
    /// The engines of each service.
    asked: Vec<SmallVec<[BackendKey; ENGINES_PER_QUESTION]>>,
}

impl ReachQuestion {
    /// Returns whether a process that reaches these engines reaches at least half of those of each service.
    fn is_satisfied_by(&self, reached: &[BackendKey]) -> bool {
        let is_reached = |engines: &SmallVec<[BackendKey; ENGINES_PER_QUESTION]>| {
            let answered = engines.iter().filter(|engine| reached.contains(engine)).count();
            answered * 2 >= engines.len()
        };
        !self.asked.is_empty() && self.asked.iter().all(is_reached)
    }
}

impl Planner {
    /// Records whether an engine answered a report request.
    ///
    /// Answers a cut between the coordinator and the engines, which entry processes still reach: requests are placed
    /// by what the engines reported last.
    pub(super) fn record_path(&mut self, now_ms: u64, key: BackendKey, is_answered: bool) {
        let Some(engine) = self.engines.get(&key) else { return };
        if !is_answered && engine.failed_reports > 0 && !engine.is_path_lost {
            // Engines that have ended are asked again and again, and tell nothing of the path to the others.
            return;
        }
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

    /// Returns whether no engine of a service can be reached, and none has reported to this coordinator yet.
    ///
    /// Answers a coordinator that begins while it is cut off: placement requests get no reply, so that entry processes
    /// choose engines by what earlier coordinators told them.
    pub(super) fn knows_no_engine(&self, now_ms: u64, service: &str) -> bool {
        self.paths.lost_for_ms(now_ms, service).is_some_and(|lost_ms| lost_ms >= UNKNOWN_AFTER_MS)
            && self.engines_of(service).all(|engine| !engine.has_reported())
    }

    /// Refuses the requests that wait for services of which no engine is known.
    pub(super) fn refuse_unknown_services(&mut self, now_ms: u64) {
        if !self.is_any_path_lost() {
            return;
        }
        let waiting = std::mem::take(&mut self.waiting);
        let is_unknown =
            |waiting: &WaitingRequest| self.knows_no_engine(now_ms, &waiting.request.service);
        let (refused, waiting): (Vec<_>, Vec<_>) = waiting.into_iter().partition(is_unknown);
        self.waiting = waiting;
        let cause = RefusalCause::NotLoadedInTime { loads_in_flight: 0, load_limit: 0 };
        for waiting in &refused {
            let retry_after_ms = fastrand::u64(RETRY_AFTER_RANGE_MS);
            self.push_reply(waiting, PlaceReply::RefusedFor { retry_after_ms, cause });
        }
    }

    /// Returns the engines of the question that is due to the other core processes, while the path to a service is
    /// lost.
    ///
    /// Answers a cut between the coordinator and the engines that other core processes reach: without reports and
    /// orders nothing is loaded. All services are asked about, so that leadership doesn't go to a process that
    /// reaches others only.
    pub(in crate::core) fn take_due_reach_question(
        &mut self,
        now_ms: u64,
    ) -> Option<Vec<BackendKey>> {
        if now_ms < self.reach_question.due_ms || !self.is_any_path_lost() {
            return None;
        }
        let asked = self.services.keys().map(|service| {
            // Engines that have crashed tell nothing of the path to the others.
            let is_sound = |engine: &&Engine| {
                !engine.is_leaving() && (engine.is_path_lost || engine.failed_reports == 0)
            };
            let mut engines: Vec<BackendKey> = self
                .engines_of(service)
                .filter(is_sound)
                .map(|engine| engine.backend.key)
                .collect();
            fastrand::shuffle(&mut engines);
            engines.into_iter().take(ENGINES_PER_QUESTION).collect()
        });
        let asked: Vec<SmallVec<_>> =
            asked.filter(|engines: &SmallVec<_>| !engines.is_empty()).collect();
        let engines = asked.iter().flatten().copied().collect();
        self.reach_question = ReachQuestion { due_ms: now_ms + QUESTION_INTERVAL_MS, asked };
        Some(engines)
    }

    /// Returns whether the path to a service is lost, and a process that reaches these engines of the last question
    /// reaches all services.
    pub(in crate::core) fn is_reached_better(&self, reached: &[BackendKey]) -> bool {
        self.is_any_path_lost() && self.reach_question.is_satisfied_by(reached)
    }

    fn is_any_path_lost(&self) -> bool {
        self.services.keys().any(|service| self.paths.is_lost(service))
    }

    fn engines_of(&self, service: &str) -> impl Iterator<Item = &Engine> {
        self.engines.values().filter(move |engine| *engine.backend.service == *service)
    }
}
