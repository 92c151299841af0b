//! Requests with prompt parts under which engines end.

use super::*;
use crate::message::RefusalCause;
use crate::{
    quarantine::{Quarantine, QuarantinedKey},
    suspects::{FailedRequest, Suspect},
};

fn request_with(parts: &[u64]) -> PlaceRequest {
    let prompt_parts = parts.iter().chain(&[999]).map(|part| (*part, 100)).collect();
    PlaceRequest { prompt_parts, ..request("m") }
}

fn failed(server: BackendKey, suspect: &Suspect, has_ended: bool) -> FailedRequest {
    FailedRequest { server, suspect: suspect.clone(), has_ended }
}

/// Engines end soon after requests with a part are placed on them, while sound requests are served; the
/// report that follows each failure shows that the engine is gone.
#[test]
fn part_under_which_engines_end_is_found_by_their_reports() {
    let mut simulation = Simulation::new(6);
    simulation.run(500);
    let mut fatal = Vec::new();
    for id in 0..4 {
        simulation.planner.requests_completed(simulation.now_ms, &[1, 2]);
        simulation.place(id, request_with(&[1, 666]));
        simulation.run(100);
        let Some(key) = simulation.engine_of(id) else { break };
        let suspect = Suspect { parts: vec![1, 666], digests: Vec::new() };
        simulation.planner.request_failed(simulation.now_ms, 0, failed(key, &suspect, false));
        assert_eq!(simulation.planner.take_due_reports(simulation.now_ms), [key]);
        simulation.planner.engine_report(simulation.now_ms, key, None);
        fatal.extend(simulation.planner.take_fatal());
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
    quarantine.add(simulation.now_ms, QuarantinedKey { key: 666, remaining_ms: 60_000 });
    simulation.planner.set_quarantine(simulation.now_ms, &quarantine);
    simulation.place(3, request_with(&[666]));
    simulation.run(5);
    let cause = RefusalCause::Quarantined;
    let refused = PlaceReply::RefusedFor { retry_after_ms: 60_000, cause };
    assert_eq!((&simulation.replies[&1], &simulation.replies[&3]), (&refused, &refused));
    simulation.run(LOAD_MS + 100);
    assert!(simulation.engine_of(2).is_some());
}

/// A server without an engine refuses connections after a request broke off there, or is gone from the
/// backend list.
#[test]
fn request_under_which_servers_without_engines_end_is_found() {
    let mut simulation = Simulation::new(1);
    let plain = |number| Backend { service: "desk".into(), ..backend(number) };
    let suspect = Suspect { parts: Vec::new(), digests: vec![666, 667] };
    let planner = &mut simulation.planner;
    let listed = |numbers: std::ops::Range<u16>| -> Vec<Backend> {
        std::iter::once(backend(0)).chain(numbers.map(plain)).collect()
    };
    planner.set_backends(1_000, &listed(10..14));
    planner.request_failed(1_000, 0, failed(plain(10).key, &suspect, true));
    planner.request_failed(2_000, 0, failed(plain(11).key, &suspect, true));
    // This one accepts connections, so it may go on.
    planner.request_failed(3_000, 0, failed(plain(12).key, &suspect, false));
    assert!(planner.take_fatal().is_empty());
    planner.request_failed(3_200, 0, failed(plain(13).key, &suspect, false));
    planner.set_backends(4_000, &listed(10..13));
    assert_eq!(planner.take_fatal(), [666]);
}

/// Guards against evidence that is lost because a new coordinator has no backend list yet, while entry processes
/// have one of another core process.
#[test]
fn ends_of_servers_count_before_the_backend_list_is_known() {
    let mut planner = Planner::new(0);
    let suspect = Suspect { parts: Vec::new(), digests: vec![666, 667] };
    for number in 10..13 {
        let now_ms = u64::from(number) * 100;
        planner.request_failed(now_ms, 0, failed(backend(number).key, &suspect, true));
    }
    assert_eq!(planner.take_fatal(), [666]);
}

/// Servers that end at once are reported one after the other, because some are found to have ended later, and
/// ends at different times are reported together to a new coordinator.
#[test]
fn ends_of_servers_count_by_their_own_times() {
    let suspect = Suspect { parts: Vec::new(), digests: vec![666, 667] };
    let mut planner = Planner::new(0);
    for (number, age_ms) in (10..).zip([0, 100, 600]) {
        let request = failed(backend(number).key, &suspect, true);
        planner.request_failed(1_000 + age_ms, age_ms, request);
    }
    assert!(planner.take_fatal().is_empty(), "they have one cause");
    let mut planner = Planner::new(0);
    for (number, age_ms) in (10..).zip([2_000, 600, 100]) {
        planner.request_failed(500, age_ms, failed(backend(number).key, &suspect, true));
    }
    assert_eq!(planner.take_fatal(), [666]);
}
