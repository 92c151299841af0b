//! Requests with prompt parts under which engines end.

use super::*;
use crate::message::RefusalCause;
use crate::quarantine::{Quarantine, QuarantinedPart};

fn request_with(parts: &[u64]) -> PlaceRequest {
    let prompt_parts = parts.iter().chain(&[999]).map(|part| (*part, 100)).collect();
    PlaceRequest { prompt_parts, ..request("m") }
}

/// Engines end soon after requests with a part are placed on them, while sound requests are served; the
/// report that follows each failure shows that the engine is gone.
#[test]
fn part_under_which_engines_end_is_found_by_their_reports() {
    let mut simulation = Simulation::new(6);
    simulation.run(500);
    let mut fatal = Vec::new();
    for id in 0..4 {
        simulation.planner.prompts_completed(simulation.now_ms, &[1, 2]);
        simulation.place(id, request_with(&[1, 666]));
        simulation.run(100);
        let Some(key) = simulation.engine_of(id) else { break };
        simulation.planner.prompt_failed(simulation.now_ms, key, &[1, 666]);
        assert_eq!(simulation.planner.take_due_reports(simulation.now_ms), [key]);
        simulation.planner.engine_report(simulation.now_ms, key, None);
        fatal.extend(simulation.planner.take_fatal_parts());
        simulation.planner.release(simulation.now_ms, 1, id);
        simulation.run(900);
    }
    assert_eq!(fatal, [666, 666], "found at the third end, and confirmed by the fourth");
}

#[test]
fn quarantined_requests_are_refused_whether_they_wait_or_arrive() {
    let mut simulation = Simulation::new(1);
    simulation.place(1, PlaceRequest { model: "m/a1".into(), ..request_with(&[1, 666]) });
    simulation.place(2, PlaceRequest { model: "m/a1".into(), ..request_with(&[1, 2]) });
    let mut quarantine = Quarantine::default();
    quarantine.add(simulation.now_ms, QuarantinedPart { part: 666, remaining_ms: 60_000 });
    simulation.planner.set_quarantine(simulation.now_ms, &quarantine);
    simulation.place(3, request_with(&[666]));
    simulation.run(5);
    let cause = RefusalCause::Quarantined;
    let refused = PlaceReply::RefusedFor { retry_after_ms: 60_000, cause };
    assert_eq!((&simulation.replies[&1], &simulation.replies[&3]), (&refused, &refused));
    simulation.run(LOAD_MS + 100);
    assert!(simulation.engine_of(2).is_some());
}
