//! Explains requests from the logs of a run in which core processes were killed and engines
//! executed orders late.

use redwinglatch_explain::{Explanation, LogLine};

/// Returns the logs of the run, reduced to these requests and the events of a few seconds.
fn logs() -> Vec<(Box<str>, String)> {
    let folder = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/logs");
    let mut logs: Vec<(Box<str>, String)> = std::fs::read_dir(folder)
        .expect("the logs of the run")
        .map(|entry| {
            let path = entry.expect("an entry").path();
            let name = path.file_stem().expect("a name").to_string_lossy();
            (name.into(), std::fs::read_to_string(&path).expect("a log"))
        })
        .collect();
    logs.sort();
    logs
}

fn log(lines: &[&str]) -> Vec<(Box<str>, String)> {
    vec![("entry-1".into(), lines.join("\n"))]
}

fn deciding_line(logs: &[(Box<str>, String)], request_id: &str) -> (String, &'static str) {
    let explanation = Explanation::of(request_id, logs).expect("the logs name the request");
    let line = explanation.deciding_line().expect("a deciding line");
    (line.message.to_string(), explanation.meaning().expect("a meaning"))
}

#[test]
fn a_request_refused_because_of_overload() {
    let (line, meaning) = deciding_line(&logs(), "999011f20c3cd608");
    assert!(line.ends_with("outcome=overloaded after_ms=146"), "{line}");
    assert!(meaning.contains("could not place"), "{meaning}");
}

#[test]
fn a_stream_that_broke_off() {
    let logs = logs();
    let (line, meaning) = deciding_line(&logs, "8f080e204b1139b5");
    assert!(line.ends_with("stream broke off, resumable=false"), "{line}");
    assert!(meaning.contains("closed the stream"), "{meaning}");
    let explanation = Explanation::of("8f080e204b1139b5", &logs).expect("an explanation");
    let nearby = explanation.nearby();
    assert!(nearby.iter().any(|line| line.message.starts_with("entry: lost the core process")));
    assert!(nearby.iter().any(|line| *line.process != *explanation.lines()[0].process));
    assert!(nearby.is_sorted_by_key(|line| &line.time));
}

#[test]
fn a_late_stream_of_a_caller_whose_earlier_attempts_were_refused() {
    let (line, meaning) = deciding_line(&logs(), "9207b3b1e2cfa906");
    assert!(line.contains("spent_ms=1950"), "{line}");
    assert!(meaning.contains("earlier attempts"), "{meaning}");
}

#[test]
fn a_request_that_timed_out_at_its_backend_server() {
    let (line, meaning) = deciding_line(&logs(), "cd1528ebe9fb8062");
    assert!(line.contains("backend=i-b01b85b2d9 by=entry"), "{line}");
    assert!(meaning.contains("no response arrived in time"), "{meaning}");
}

#[test]
fn an_error_response_of_a_backend_server() {
    let (line, meaning) = deciding_line(&logs(), "4a36bfa0fed3930d");
    assert!(line.contains("outcome=500"), "{line}");
    assert!(meaning.contains("responded with an error"), "{meaning}");
}

#[test]
fn a_request_that_no_coordinator_could_place() {
    let (line, meaning) = deciding_line(&logs(), "a7dd403dff73c35a");
    assert!(line.contains("outcome=not_loaded"), "{line}");
    assert!(meaning.contains("no coordinator"), "{meaning}");
}

#[test]
fn the_line_of_the_refusing_backend_server_decides() {
    let logs = log(&[
        "[2026-01-01T00:00:00.001Z INFO  x] request: id=r1 backend=b refused=503 model=None",
        "[2026-01-01T00:00:00.002Z INFO  x] request: id=r1 route=r model=- \
         outcome=refused_by_backends after_ms=2",
    ]);
    let (line, meaning) = deciding_line(&logs, "r1");
    assert!(line.contains("refused=503"), "{line}");
    assert!(meaning.contains("did not run"), "{meaning}");
}

#[test]
fn the_placement_line_decides_if_a_late_stream_waited_for_it() {
    let logs = log(&[
        "[2026-01-01T00:00:01.000Z INFO  x] request: id=r1 backend=b by=coordinator after_ms=900",
        "[2026-01-01T00:00:02.000Z INFO  x] request: id=r1 late first_event_ms=1000 spent_ms=0",
    ]);
    assert!(deciding_line(&logs, "r1").0.contains("after_ms=900"));
}

#[test]
fn lines_of_all_processes_are_sorted_by_time() {
    let line = |time: &str, text: &str| {
        format!("[2026-01-01T00:00:{time}Z INFO  x] request: id=r1 {text}\n")
    };
    let logs = [
        ("b".into(), line("03.000", "third") + &line("01.000", "first")),
        ("a".into(), line("02.000", "second")),
    ];
    let explanation = Explanation::of("r1", &logs).expect("an explanation");
    let processes: Vec<&str> = explanation.lines().iter().map(|line| &*line.process).collect();
    assert_eq!(processes, ["b", "a", "b"]);
    assert_eq!(explanation.deciding_line(), None);
    assert!(explanation.to_string().contains("No line reports a failure"));
}

/// Guards against nearby events that match the time of day but not the date, as logs may span days.
#[test]
fn events_of_other_days_are_not_nearby() {
    let logs = log(&[
        "[2026-01-01T10:00:00.000Z WARN  x] core: the day before",
        "[2026-01-02T09:59:57.000Z WARN  x] core: too early",
        "[2026-01-02T09:59:59.000Z WARN  x] core: near",
        "[2026-01-02T10:00:00.000Z INFO  x] request: id=r1 outcome=overloaded after_ms=2",
        "[2026-01-03T09:59:59.500Z WARN  x] core: the day after",
    ]);
    let explanation = Explanation::of("r1", &logs).expect("an explanation");
    let nearby: Vec<&str> = explanation.nearby().iter().map(|line| &*line.message).collect();
    assert_eq!(nearby, ["core: near"]);
}

#[test]
fn an_id_does_not_match_longer_ids() {
    let logs = log(&["[2026-01-01T00:00:00.001Z INFO  x] request: id=r12 outcome=failed"]);
    assert_eq!(Explanation::of("r1", &logs), None);
}

#[test]
fn text_that_is_not_a_log_line_is_ignored() {
    for text in
        ["", "[", "] ", "[now INFO x] y", "[2026-01-01T00:00:00Z INFO] y", "thread panicked"]
    {
        assert_eq!(LogLine::parse("log", text), None, "{text:?}");
    }
    let line =
        LogLine::parse("log", "  1.5 a/core [2026-01-01T00:00:00.001Z WARN x] core: [y] z=1");
    let line = line.expect("a line");
    assert_eq!((&*line.process, &*line.level, &*line.message), ("a/core", "WARN", "core: [y] z=1"));
    assert_eq!(line.value("z"), Some("1"));
}

/// Guards against an explanation that says the same of all refusals of the coordinator.
#[test]
fn refusals_of_the_coordinator_are_explained_by_their_causes() {
    let causes = [
        ("load_too_late load_ms=1830 patience_ms=1400 loads=8 load_limit=8", "weight store"),
        ("not_loaded_in_time loads=2 load_limit=8", "lost orders"),
        ("engines_busy engines=2 waiting=40", "no room"),
        ("quarantined", "prompt part"),
    ];
    for (cause, expected) in causes {
        let log = format!(
            "[2026-01-02T10:00:00.000Z INFO  x] request: id=r1 outcome=overloaded after_ms=3 \
             retry_after_ms=900 cause={cause}\n"
        );
        let logs = [("entry".into(), log)];
        let explanation = Explanation::of("r1", &logs).expect("a line names the request");
        let text = explanation.to_string();
        assert!(text.contains(expected), "{cause}: {text}");
    }
}
