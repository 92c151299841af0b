use super::{
    BackendKey, DOUBT_CHECK_INTERVAL_MS, DOUBT_SILENCE_MS, FAILED_SILENCE_MS,
    LOST_CHECK_INTERVAL_MS, OUTCOME_MS, PathChange, SOUND_CONNECTIONS_MS, ServerPaths,
};

const SERVICE: &str = "writer";

fn failed(paths: &mut ServerPaths, now_ms: u64, server: u64, servers: usize) -> Option<PathChange> {
    paths.tried(now_ms, SERVICE, BackendKey(server), false, servers)
}

fn accepted(
    paths: &mut ServerPaths,
    now_ms: u64,
    server: u64,
    servers: usize,
) -> Option<PathChange> {
    paths.tried(now_ms, SERVICE, BackendKey(server), true, servers)
}

#[test]
fn path_is_lost_after_several_servers_and_found_when_others_accept_connections() {
    let mut paths = ServerPaths::default();
    assert_eq!(failed(&mut paths, 100, 1, 12), None);
    assert_eq!(failed(&mut paths, 200, 1, 12), None, "the same server");
    assert_eq!(failed(&mut paths, 300, 2, 12), None);
    assert!(!paths.is_lost(SERVICE));
    assert_eq!(failed(&mut paths, 400, 3, 12), Some(PathChange::Lost { failed_servers: 3 }));
    assert!(paths.is_lost(SERVICE) && !paths.is_lost("desk"));
    assert!(paths.are_all_lost([SERVICE, "unused"].into_iter()));
    paths.tried(450, "desk", BackendKey(20), true, 3);
    assert!(!paths.are_all_lost([SERVICE, "desk"].into_iter()));
    assert_eq!(failed(&mut paths, 500, 4, 12), None);
    for server in 5..=7 {
        assert_eq!(accepted(&mut paths, 900, server, 12), None);
    }
    assert_eq!(accepted(&mut paths, 900, 8, 12), Some(PathChange::Found { lost_ms: 500 }));
    assert!(!paths.is_lost(SERVICE));
    assert_eq!(paths.failed_servers(900, SERVICE).count(), 4);
    assert_eq!(paths.failed_servers(401 + OUTCOME_MS, SERVICE).count(), 1);
}

/// Some servers have crashed while others accept connections.
#[test]
fn servers_that_end_do_not_cut_a_process_off() {
    let mut paths = ServerPaths::default();
    for server in 1..=9 {
        assert_eq!(failed(&mut paths, server, server, 20), None);
        assert_eq!(accepted(&mut paths, server, 10 + server, 20), None);
    }
}

/// A process reaches one server of twelve.
#[test]
fn one_server_that_accepts_connections_is_not_enough() {
    let mut paths = ServerPaths::default();
    let mut changes = 0;
    for now_ms in (0..10_000).step_by(100) {
        let server = now_ms / 100 % 12;
        let change = if server == 0 {
            accepted(&mut paths, now_ms, server, 12)
        } else {
            failed(&mut paths, now_ms, server, 12)
        };
        changes += usize::from(change.is_some());
    }
    assert_eq!(changes, 1, "the path is lost once");
    assert!(paths.is_lost(SERVICE));
}

#[test]
fn all_servers_of_a_small_service_must_fail() {
    let mut paths = ServerPaths::default();
    assert_eq!(failed(&mut paths, 1, 1, 2), None);
    assert_eq!(failed(&mut paths, 2, 2, 2), Some(PathChange::Lost { failed_servers: 2 }));
    let mut paths = ServerPaths::default();
    assert!(failed(&mut paths, 1, 1, 1).is_some());
}

/// Old connections live on while new ones are refused.
#[test]
fn kept_connections_are_sound_while_anything_is_heard_on_them() {
    let mut paths = ServerPaths::default();
    for server in 1..=3 {
        failed(&mut paths, 1_000, server, 3);
    }
    assert_eq!(paths.heard(1_100, SERVICE), None);
    assert!(paths.is_lost(SERVICE));
    assert!(paths.has_sound_connections(1_100 + SOUND_CONNECTIONS_MS, SERVICE));
    assert!(!paths.has_sound_connections(1_101 + SOUND_CONNECTIONS_MS, SERVICE));
}

/// Requests wait on kept connections that hang, so no connection attempt fails.
#[test]
fn path_is_lost_when_several_servers_are_silent() {
    let mut paths = ServerPaths::default();
    for server in 1..=3 {
        paths.sent(1_000 * server, SERVICE, BackendKey(server));
        paths.heard(1_000 * server + 10, SERVICE);
    }
    for server in 1..=3 {
        paths.sent(4_000 + server, SERVICE, BackendKey(server));
        paths.sent(4_500, SERVICE, BackendKey(server));
    }
    assert!(paths.take_due_checks(4_000 + DOUBT_SILENCE_MS, 12).is_empty());
    assert_eq!(paths.take_due_checks(4_001 + DOUBT_SILENCE_MS, 12).len(), 1);
    assert!(paths.services_with_silence(4_000 + FAILED_SILENCE_MS).is_empty());
    assert_eq!(paths.services_with_silence(4_001 + FAILED_SILENCE_MS), [SERVICE.into()]);
    assert_eq!(paths.check_silence(4_002 + FAILED_SILENCE_MS, SERVICE, 12), None);
    let lost = paths.check_silence(4_003 + FAILED_SILENCE_MS, SERVICE, 12);
    assert_eq!(lost, Some(PathChange::Lost { failed_servers: 3 }));
    let accepted = accepted(&mut paths, 6_000, 1, 12);
    assert_eq!(accepted, None, "servers that accept may still not answer");
    assert!(paths.take_due_checks(6_000, 12)[0].needs_answer);
    assert!(matches!(paths.heard(6_100, SERVICE), Some(PathChange::Found { .. })));
}

/// A sound server falls silent for a second or so while others answer, or while it is the only one.
#[test]
fn silence_of_one_server_does_not_cut_a_process_off() {
    let mut paths = ServerPaths::default();
    for now_ms in (0..5_000).step_by(100) {
        paths.sent(now_ms, SERVICE, BackendKey(1));
        paths.sent(now_ms, SERVICE, BackendKey(2));
        assert_eq!(paths.check_silence(now_ms, SERVICE, 2), None);
        assert_eq!(paths.heard(now_ms + 10, SERVICE), None);
    }
    paths.sent(5_000, SERVICE, BackendKey(1));
    assert_eq!(paths.check_silence(6_000, SERVICE, 1), None);
}

#[test]
fn failure_is_checked_at_other_servers_at_once_and_a_lost_path_again_and_again() {
    let mut paths = ServerPaths::default();
    failed(&mut paths, 1_000, 1, 3);
    let checks = paths.take_due_checks(1_000, 12);
    assert_eq!(checks[0].failed.as_slice(), [BackendKey(1)]);
    assert!(paths.take_due_checks(999 + DOUBT_CHECK_INTERVAL_MS, 12).is_empty());
    failed(&mut paths, 1_400, 2, 3);
    failed(&mut paths, 1_400, 3, 3);
    for round in 1..5 {
        let now_ms = 1_000 + DOUBT_CHECK_INTERVAL_MS + round * LOST_CHECK_INTERVAL_MS;
        let checks = paths.take_due_checks(now_ms, 12);
        assert!(checks[0].failed.is_empty(), "all servers may be tried");
        assert!(checks[0].needs_answer, "a connection that is accepted may be reset at once");
    }
}

/// The servers of a service have ended, and hundreds of processes wait for them to come back.
#[test]
fn many_processes_check_a_lost_path_more_rarely() {
    let mut paths = ServerPaths::default();
    for server in 1..=3 {
        failed(&mut paths, 1_000, server, 3);
    }
    let checks = (1_000..11_000).filter(|now_ms| !paths.take_due_checks(*now_ms, 200).is_empty());
    assert_eq!(checks.count(), 10);
}
