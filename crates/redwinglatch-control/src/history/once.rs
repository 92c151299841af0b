//! Check of requests that must run at most once.

use std::collections::{BTreeMap, HashMap, HashSet};

/// An event of a recorded history. An attempt is one request of a caller; several attempts may
/// share a key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OnceEvent {
    /// A caller sent a request.
    Called {
        /// The attempt.
        attempt: u64,
        /// The customer and idempotency key.
        key: Box<str>,
        /// Whether the request is marked at-most-once.
        at_most_once: bool,
        /// Time of the event.
        at: u64,
    },
    /// A backend server began to run the request of an attempt.
    RunStarted {
        /// The attempt.
        attempt: u64,
        /// A digest of the response that this run produces, different for each run.
        digest: u64,
        /// Time of the event.
        at: u64,
    },
    /// The caller received a response.
    Replied {
        /// The attempt.
        attempt: u64,
        /// The response.
        reply: OnceReply,
        /// Time of the event.
        at: u64,
    },
}

/// The response to an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OnceReply {
    /// A response with this digest.
    Answered(u64),
    /// The request did not run for this attempt.
    NotRun,
    /// The request may have run.
    Unknown,
}

/// A part of a history of requests that a correct system can't produce.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("key `{key}`: {problem}")]
pub struct OnceViolation {
    /// The customer and idempotency key.
    pub key: Box<str>,
    /// Description of the violation.
    pub problem: String,
}

#[derive(Debug, Default)]
struct KeyHistory {
    /// The attempts that were marked at-most-once.
    marked_attempts: HashSet<u64>,
    /// Response digest, attempt and start of each run.
    runs: Vec<(u64, u64, u64)>,
    replies: Vec<(u64, OnceReply, u64)>,
}

/// Checks that a run of a request marked at-most-once is the only run of its key, that no attempt
/// with the response "not run" ran, and that a run of the same key produced every other response.
///
/// # Errors
///
/// Returns the first violation found.
pub fn check_once(events: &[OnceEvent]) -> Result<(), OnceViolation> {
    let mut key_by_attempt: HashMap<u64, &str> = HashMap::new();
    let mut keys: BTreeMap<&str, KeyHistory> = BTreeMap::new();
    for event in events {
        if let OnceEvent::Called { attempt, key, at_most_once, .. } = event {
            key_by_attempt.insert(*attempt, key);
            let key = keys.entry(key).or_default();
            if *at_most_once {
                key.marked_attempts.insert(*attempt);
            }
        }
    }
    for event in events {
        let (OnceEvent::RunStarted { attempt, .. } | OnceEvent::Replied { attempt, .. }) = event
        else {
            continue;
        };
        let Some(key) = key_by_attempt.get(attempt).and_then(|key| keys.get_mut(key)) else {
            let problem = format!("attempt {attempt} has no request");
            return Err(OnceViolation { key: "".into(), problem });
        };
        match event {
            OnceEvent::RunStarted { digest, at, .. } => key.runs.push((*digest, *attempt, *at)),
            OnceEvent::Replied { reply, at, .. } => key.replies.push((*attempt, *reply, *at)),
            OnceEvent::Called { .. } => {}
        }
    }
    for (name, key) in keys {
        check_key(&key).map_err(|problem| OnceViolation { key: name.into(), problem })?;
    }
    Ok(())
}

fn check_key(key: &KeyHistory) -> Result<(), String> {
    let marked_run = key.runs.iter().any(|(_, attempt, _)| key.marked_attempts.contains(attempt));
    if marked_run && key.runs.len() > 1 {
        let attempts: Vec<u64> = key.runs.iter().map(|(_, attempt, _)| *attempt).collect();
        return Err(format!("it must run at most once but ran for attempts {attempts:?}"));
    }
    let ran: HashSet<u64> = key.runs.iter().map(|(_, attempt, _)| *attempt).collect();
    for (attempt, reply, at) in &key.replies {
        match reply {
            OnceReply::NotRun if ran.contains(attempt) => {
                return Err(format!("attempt {attempt} ran but was answered \"not run\""));
            }
            OnceReply::Answered(digest) => {
                let run = key.runs.iter().find(|(produced, ..)| produced == digest);
                if run.is_none_or(|(_, _, start)| start > at) {
                    return Err(format!(
                        "attempt {attempt} got a response that no run had produced"
                    ));
                }
            }
            OnceReply::NotRun | OnceReply::Unknown => {}
        }
    }
    Ok(())
}
