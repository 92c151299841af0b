//! Finds the line that decided the end of a request.

use crate::LogLine;

/// The share of the time to the first event above which the wait before placing made a stream late.
const WAITED_SHARE: f64 = 0.5;

/// The deciding line, as an index, and what it says.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Cause {
    pub(crate) line: usize,
    pub(crate) meaning: &'static str,
}

/// Finds the cause of the last failure among the lines of one request, which are in order.
pub(crate) fn find(lines: &[LogLine]) -> Option<Cause> {
    let end = lines.iter().rposition(|line| line.value("outcome").is_some() || is_late(line))?;
    let last_before_end =
        |fits: fn(&LogLine) -> bool| lines[..end].iter().rposition(fits).filter(|at| *at < end);
    let outcome = lines[end].value("outcome").unwrap_or_default();
    let at_backend = match outcome {
        "refused_by_backends" => last_before_end(is_refusal),
        // Servers that were tried aren't asked again.
        "no_backend" => last_before_end(|line| is_refusal(line) || is_failure(line)),
        "failed" | "broken_off" => last_before_end(is_failure),
        "timed_out" => last_before_end(|line| is_failure(line) || is_placed(line)),
        _ => None,
    };
    if let Some(line) = at_backend {
        let meaning = if is_placed(&lines[line]) {
            "the request was sent there, and no answer came in time"
        } else {
            meaning_at_backend(&lines[line])
        };
        return Some(Cause { line, meaning });
    }
    if is_late(&lines[end]) || is_status(outcome) {
        return Some(why_late(lines, end));
    }
    Some(Cause { line: end, meaning: meaning_of(outcome) })
}

fn why_late(lines: &[LogLine], end: usize) -> Cause {
    let line = &lines[end];
    if line.number("spent_ms").is_some_and(|spent_ms| spent_ms > 0) {
        let meaning = "the caller had used that part of its time on earlier attempts";
        return Cause { line: end, meaning };
    }
    let total_ms = line.number("first_event_ms").or_else(|| line.number("after_ms"));
    let placed = lines[..end].iter().rposition(is_placed);
    let waited_ms = placed.and_then(|placed| lines[placed].number("after_ms"));
    if let (Some(placed), Some(waited_ms), Some(total_ms)) = (placed, waited_ms, total_ms)
        && waited_ms as f64 > total_ms as f64 * WAITED_SHARE
    {
        let meaning = "the request waited that long for its adapter or for a free engine";
        return Cause { line: placed, meaning };
    }
    let meaning = match line.value("outcome") {
        Some(status) if !status.starts_with('2') => "the backend server answered with an error",
        _ => "the backend server was slow; look at what else it did at that time",
    };
    Cause { line: end, meaning }
}

fn meaning_at_backend(line: &LogLine) -> &'static str {
    if is_refusal(line) {
        "the backend server said that it did not run the request"
    } else if line.value("resumable").is_some() {
        "the backend server closed the stream or fell silent"
    } else {
        "the backend server gave no usable answer; the request may have run"
    }
}

fn meaning_of(outcome: &str) -> &'static str {
    match outcome {
        "no_configuration" => "the process had no configuration yet",
        "no_route" => "no route of the configuration fits this host and path",
        "unknown_model" => "the service has no such model or adapter",
        "malformed" => "the head can't be used, or the body broke off",
        "too_large" => "the body is larger than the configuration allows",
        "body_incomplete" => "the body did not arrive in time",
        "draining" => "the process was about to stop, and the stream could not have ended before",
        "no_backend" => "the list named no backend server that takes work",
        "not_loaded" => "no engine held the adapter, and no coordinator answered",
        "overloaded" => "the coordinator could not place the request in time",
        "refused_by_backends" => "no backend server took the request",
        "failed" => "the request may have run and has no answer",
        "timed_out" => "the time of the route or of the caller was over",
        "broken_off" => "the stream ended without its last event and could not go on elsewhere",
        _ => "the request ended with this line",
    }
}

fn is_late(line: &LogLine) -> bool {
    line.message.contains(" late first_event_ms=")
}

fn is_status(outcome: &str) -> bool {
    outcome.len() == 3 && outcome.bytes().all(|byte| byte.is_ascii_digit())
}

fn is_placed(line: &LogLine) -> bool {
    line.value("by").is_some()
}

fn is_refusal(line: &LogLine) -> bool {
    line.value("refused").is_some()
}

fn is_failure(line: &LogLine) -> bool {
    line.message.contains(" failed: ") || line.value("resumable").is_some()
}
