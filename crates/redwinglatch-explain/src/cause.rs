//! Finds the log line that decided the outcome of a request.

use crate::LogLine;

/// Share of the time to the first event above which a stream was late because of the wait for its
/// placement.
const PLACEMENT_WAIT_SHARE: f64 = 0.5;

/// The deciding line and its meaning.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Cause {
    /// Index among the lines of the request.
    pub(crate) line: usize,
    pub(crate) meaning: &'static str,
}

/// Finds the cause of the last failure among the lines of one request, which are sorted by time.
pub(crate) fn find(lines: &[LogLine]) -> Option<Cause> {
    let end = lines.iter().rposition(|line| line.value("outcome").is_some() || is_late(line))?;
    let last_before_end = |matches_line: fn(&LogLine) -> bool| {
        lines[..end].iter().rposition(matches_line).filter(|at| *at < end)
    };
    let outcome = lines[end].value("outcome").unwrap_or_default();
    let backend_line = match outcome {
        "refused_by_backends" => last_before_end(is_refusal),
        // Failed attempts exclude their backend servers, which can leave none.
        "no_backend" => last_before_end(|line| is_refusal(line) || is_failure(line)),
        "failed" | "broken_off" => last_before_end(is_failure),
        "timed_out" => last_before_end(|line| is_failure(line) || is_placement(line)),
        _ => None,
    };
    if let Some(line) = backend_line {
        let meaning = if is_placement(&lines[line]) {
            "the request was sent to this backend server, and no response arrived in time"
        } else {
            meaning_at_backend(&lines[line])
        };
        return Some(Cause { line, meaning });
    }
    if is_late(&lines[end]) || is_status(outcome) {
        return Some(cause_of_lateness(lines, end));
    }
    let meaning = match lines[end].value("cause") {
        Some(cause) => meaning_of_refusal(cause),
        None => meaning_of_outcome(outcome),
    };
    Some(Cause { line: end, meaning })
}

/// Returns the meaning of the cause for which the coordinator refused a request.
fn meaning_of_refusal(cause: &str) -> &'static str {
    match cause {
        "load_too_late" => {
            "the adapter could not be loaded (load_ms) before the caller would leave (patience_ms); \
             loads at load_limit mean that the weight store is the bottleneck"
        }
        "not_loaded_in_time" => {
            "the adapter was not loaded in time; loads below load_limit mean that engines lost orders \
             or no coordinator was there for a while"
        }
        "engines_busy" => {
            "the engines that have the adapter (engines) had no room before the caller would leave"
        }
        "engines_limited" => {
            "all engines had named request limits (milli_per_s together), and the requests before this \
             one (waiting) took what was left of them"
        }
        "quarantined" => {
            "servers ended under this request before, or engines under others with a prompt part of it"
        }
        _ => "the coordinator could not place the request in time",
    }
}

fn cause_of_lateness(lines: &[LogLine], end: usize) -> Cause {
    let line = &lines[end];
    if line.number("spent_ms").is_some_and(|spent_ms| spent_ms > 0) {
        let meaning = "the caller had spent that much of its time (spent_ms) on earlier attempts";
        return Cause { line: end, meaning };
    }
    let total_ms = line.number("first_event_ms").or_else(|| line.number("after_ms"));
    let placement = lines[..end].iter().rposition(is_placement);
    let waited_ms = placement.and_then(|placement| lines[placement].number("after_ms"));
    if let (Some(placement), Some(waited_ms), Some(total_ms)) = (placement, waited_ms, total_ms)
        && waited_ms as f64 > total_ms as f64 * PLACEMENT_WAIT_SHARE
    {
        let meaning =
            "the request waited that long (after_ms) for its adapter or for a free engine";
        return Cause { line: placement, meaning };
    }
    let meaning = match line.value("outcome") {
        Some(status) if !status.starts_with('2') => "the backend server responded with an error",
        _ => "the backend server was slow; check its other work at that time",
    };
    Cause { line: end, meaning }
}

fn meaning_at_backend(line: &LogLine) -> &'static str {
    if is_refusal(line) {
        "the backend server reported that it did not run the request"
    } else if line.value("resumable").is_some() {
        "the backend server closed the stream or became unresponsive"
    } else {
        "the backend server sent no usable response; the request may have run"
    }
}

fn meaning_of_outcome(outcome: &str) -> &'static str {
    match outcome {
        "no_configuration" => "the process had no configuration yet",
        "no_route" => "no route of the configuration matches this host and path",
        "unknown_model" => "the service has no such model or adapter",
        "does_not_fit" => "the adapter and its base model are larger than the memory of an engine",
        "malformed" => "the head of the request is invalid, or its body was cut off",
        "too_large" => "the body is larger than the configuration allows",
        "no_room" => "the bodies that the process held in memory left no room for this one",
        "body_incomplete" => "the body did not arrive in time",
        "draining" => {
            "the process was draining, and the stream could not have ended before it stopped"
        }
        "no_backend" => "the backend list contained no server that accepts new work",
        "not_loaded" => "the adapter was not loaded on any engine, and no coordinator responded",
        "overloaded" => "the coordinator could not place the request in time",
        "quarantined" => {
            "servers ended under this request before, or engines under others with a prompt part of it"
        }
        "backends_on_hold" => {
            "all servers had asked for a pause (Retry-After), too long to wait for"
        }
        "backends_limited" => "all servers had named request limits, and these were used up",
        "unknown_key" => {
            "the request carried no API key that a customer of the configuration holds"
        }
        "over_cap" => {
            "the customer's usage over all processes was beyond its cap; the cap has room for these \
             tokens after retry_after_ms"
        }
        "no_grant" => {
            "no core process granted units of the customer's cap, and the part that this process may \
             use without one did not suffice for these tokens"
        }
        "refused_by_backends" => "no backend server accepted the request",
        "failed" => "the request may have run, and no response arrived",
        "timed_out" => "the timeout of the route or of the caller expired",
        "broken_off" => {
            "the stream ended without its last event and could not be resumed on another server"
        }
        _ => "the request ended with this line",
    }
}

fn is_late(line: &LogLine) -> bool {
    line.message.contains(" late first_event_ms=")
}

fn is_status(outcome: &str) -> bool {
    outcome.len() == 3 && outcome.bytes().all(|byte| byte.is_ascii_digit())
}

fn is_placement(line: &LogLine) -> bool {
    line.value("by").is_some()
}

fn is_refusal(line: &LogLine) -> bool {
    line.value("refused").is_some()
}

fn is_failure(line: &LogLine) -> bool {
    line.message.contains(" failed: ") || line.value("resumable").is_some()
}
