use super::isolated_poll_interval;

/// Guards against polls of the backend list by all processes of a large fleet, beyond the platform's limit.
#[test]
fn processes_without_core_processes_share_the_calls_for_the_backend_list() {
    const MAX_CALLS_PER_S: f64 = 10.0;
    for entries in [0, 1, 2, 12, 50, 300] {
        let interval_s = isolated_poll_interval(entries).as_secs_f64();
        assert!(interval_s >= 1.0);
        let calls_per_s = entries as f64 / interval_s;
        assert!(calls_per_s <= MAX_CALLS_PER_S, "{entries} processes: {calls_per_s} calls/s");
    }
}
