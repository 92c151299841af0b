//! Finds prompt parts that make engines end.

use std::collections::{HashMap, HashSet, VecDeque};

use smallvec::SmallVec;

use crate::ids::BackendKey;

/// Ends of engines under requests with a part, without a complete answer to one since the first of them,
/// after which the part counts as fatal.
const FATAL_ENDS: usize = 3;
/// The same for a part of which an earlier answer is known to be complete.
const FATAL_ENDS_AFTER_COMPLETION: usize = 5;
/// Time for which ends and complete answers are remembered.
const EVIDENCE_MS: u64 = 300_000;
/// Engines that end within this time have a common cause, such as a loss of power.
const COMMON_CAUSE_MS: u64 = 60;
/// Time for which a failed request waits for the confirmation that its engine has ended.
const CONFIRMATION_MS: u64 = 5_000;
/// Maximum number of remembered ends, and of failed requests that wait for a confirmation.
const MAX_FAILURES: usize = 512;
/// Maximum number of parts whose requests are counted; beyond it counting starts anew.
const MAX_COUNTED_PARTS: usize = 16_384;

type Parts = SmallVec<[u64; 4]>;

/// A request that broke off before or soon after its first event.
#[derive(Debug)]
struct Failure {
    engine: BackendKey,
    failed_ms: u64,
    parts: Parts,
}

/// The end of one engine, or of several with a common cause.
#[derive(Debug)]
struct EngineEnd {
    at_ms: u64,
    /// The parts of the requests that broke off.
    parts: Parts,
}

/// The evidence against prompt parts, and the decision which of them are fatal.
///
/// Answers requests with one part in common that end every engine on which their answers begin, while
/// other requests share all their other parts. The requests that broke off early at the end of an engine
/// are suspects, and complete answers exonerate. Only ends of engines count, because requests break off
/// together for many other reasons.
#[derive(Debug, Default)]
pub(super) struct FatalParts {
    /// Failed requests whose engines may have ended.
    failures: Vec<Failure>,
    /// Ends, the oldest first.
    ends: VecDeque<EngineEnd>,
    /// The time of the last complete answer for each part.
    completed_ms: HashMap<u64, u64>,
    /// Requests by part.
    requests: HashMap<u64, u32>,
    /// Parts that have been fatal before; one more end is enough for them.
    former: HashSet<u64>,
}

impl FatalParts {
    /// Counts a request.
    pub(super) fn count_request(&mut self, parts: impl IntoIterator<Item = u64>) {
        if self.requests.len() > MAX_COUNTED_PARTS {
            self.requests.clear();
        }
        for part in parts {
            *self.requests.entry(part).or_default() += 1;
        }
    }

    /// Records complete answers to requests with these parts.
    pub(super) fn record_completions(&mut self, now_ms: u64, parts: &[u64]) {
        if self.completed_ms.len() > MAX_COUNTED_PARTS {
            self.completed_ms.retain(|_, at_ms| now_ms < *at_ms + EVIDENCE_MS);
        }
        for part in parts {
            self.completed_ms.insert(*part, now_ms);
        }
    }

    /// Records a request that broke off before or soon after its first event.
    pub(super) fn record_failure(&mut self, now_ms: u64, engine: BackendKey, parts: &[u64]) {
        self.failures.retain(|failure| now_ms < failure.failed_ms + CONFIRMATION_MS);
        if self.failures.len() < MAX_FAILURES {
            let parts = parts.iter().copied().collect();
            self.failures.push(Failure { engine, failed_ms: now_ms, parts });
        }
    }

    /// Returns whether the end of the engine would be evidence.
    pub(super) fn is_suspected(&self, engine: BackendKey) -> bool {
        self.failures.iter().any(|failure| failure.engine == engine)
    }

    /// Records that the engine has answered a question that was asked at `asked_ms`, so that the requests
    /// that failed before did not end it.
    pub(super) fn engine_answered(&mut self, engine: BackendKey, asked_ms: u64) {
        self.failures.retain(|failure| failure.engine != engine || asked_ms < failure.failed_ms);
    }

    /// Records that the engine has ended by `asked_ms`, and returns the part that counts as fatal by this
    /// end.
    pub(super) fn engine_ended(&mut self, engine: BackendKey, asked_ms: u64) -> Option<u64> {
        let is_evidence =
            |failure: &Failure| failure.engine == engine && failure.failed_ms <= asked_ms;
        let at_ms = self.failures.iter().filter(|failure| is_evidence(failure));
        let at_ms = at_ms.map(|failure| failure.failed_ms).min()?;
        let mut suspects = Parts::new();
        self.failures.retain(|failure| {
            if is_evidence(failure) {
                suspects.extend(failure.parts.iter().copied());
            }
            !is_evidence(failure)
        });
        self.add_end(at_ms, suspects.clone());
        let fatal = self.find_fatal(at_ms, &suspects)?;
        // These ends are explained and say nothing of the other parts.
        self.ends.retain(|end| !end.parts.contains(&fatal));
        self.former.insert(fatal);
        Some(fatal)
    }

    fn add_end(&mut self, at_ms: u64, parts: Parts) {
        while self.ends.len() >= MAX_FAILURES
            || self.ends.front().is_some_and(|end| end.at_ms + EVIDENCE_MS < at_ms)
        {
            self.ends.pop_front();
        }
        let common = self.ends.iter_mut().rfind(|end| at_ms.abs_diff(end.at_ms) <= COMMON_CAUSE_MS);
        match common {
            Some(end) => end.parts.extend(parts),
            None => self.ends.push_back(EngineEnd { at_ms, parts }),
        }
    }

    /// Returns the suspect that counts as fatal; of several the one with the fewest requests, and of these
    /// the last in its prompt, because the parts before it are shared more widely.
    fn find_fatal(&self, now_ms: u64, suspects: &[u64]) -> Option<u64> {
        let fatal = suspects.iter().enumerate().filter(|(_, part)| self.is_fatal(now_ms, **part));
        let requests = |part: &u64| self.requests.get(part).copied().unwrap_or_default();
        let rarest = fatal.min_by_key(|(at, part)| (requests(part), std::cmp::Reverse(*at)))?;
        Some(*rarest.1)
    }

    fn is_fatal(&self, now_ms: u64, part: u64) -> bool {
        let completed_ms = self.completed_ms.get(&part).copied();
        let completed_ms = completed_ms.filter(|at_ms| now_ms < at_ms + EVIDENCE_MS);
        let is_after = |end: &&EngineEnd| completed_ms.is_none_or(|at_ms| at_ms < end.at_ms);
        let ends =
            self.ends.iter().filter(is_after).filter(|end| end.parts.contains(&part)).count();
        let needed = match completed_ms {
            _ if self.former.contains(&part) => 1,
            Some(_) => FATAL_ENDS_AFTER_COMPLETION,
            None => FATAL_ENDS,
        };
        ends >= needed
    }
}

#[cfg(test)]
mod tests;
