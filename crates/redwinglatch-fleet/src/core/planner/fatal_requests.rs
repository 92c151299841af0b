//! Finds requests, and prompt parts of requests, that make backend servers end.

use std::collections::{HashMap, HashSet, VecDeque};

use crate::{
    ids::BackendKey,
    suspects::{self, ServerEnd, Suspect},
};

/// Ends of servers under a request or prompt part, without a complete answer since the first of them, after
/// which it counts as fatal.
const FATAL_ENDS: usize = 3;
/// The same for one of which an earlier answer is known to be complete.
const FATAL_ENDS_AFTER_COMPLETION: usize = 5;
/// Time for which ends and complete answers are remembered.
const EVIDENCE_MS: u64 = 300_000;
/// Servers that end within this time have a common cause, such as a loss of power.
const COMMON_CAUSE_MS: u64 = 60;
/// The same if the same request was in progress at each of them.
const COMMON_CAUSE_OF_REQUEST_MS: u64 = 10;
/// Time within which several processes report the same end of a server. One that starts again may keep its
/// key, and takes longer to end again.
const REPORTS_OF_END_MS: u64 = 800;
/// Ends for which those under a fatal request count against its prompt parts.
const ENDS_OF_FATAL_REQUEST: usize = 2;
/// Time for which a failed request waits for the confirmation that its server has ended.
const CONFIRMATION_MS: u64 = 5_000;
/// Maximum number of remembered ends, and of failed requests that wait for a confirmation.
const MAX_FAILURES: usize = 512;
/// Maximum number of requests of one end that are remembered.
const MAX_SUSPECTS: usize = 64;
/// Maximum number of parts whose requests are counted; beyond it counting starts anew.
const MAX_COUNTED_PARTS: usize = 16_384;
/// Maximum number of digests of suspects for whose complete answers entry processes are asked.
const MAX_WATCHED: usize = 32;

/// A request that broke off before or soon after its first event.
#[derive(Debug)]
struct Failure {
    server: BackendKey,
    /// Time of the failure; negative if that was before this process started.
    failed_ms: i64,
    recorded_ms: u64,
    suspect: Suspect,
}

/// The end of one server.
#[derive(Debug)]
struct End {
    server: BackendKey,
    /// Time of the end; negative if that was before this process started.
    at_ms: i64,
    /// The number of ends for which it counts.
    count: usize,
    /// The requests that broke off.
    suspects: Vec<Suspect>,
}

impl End {
    fn has(&self, key: u64) -> bool {
        self.suspects.iter().any(|suspect| suspect.has(key))
    }
}

/// The evidence against requests and prompt parts, and the decision which of them are fatal.
///
/// Answers requests that end every server that runs them: one request that comes again under other ids, or
/// many requests with one prompt part in common, while sound requests have the same path, or share all other
/// parts. The requests that broke off early at the end of a server are suspects, and complete answers
/// exonerate. Only ends of servers count, because requests break off together for many other reasons.
#[derive(Debug, Default)]
pub(super) struct FatalRequests {
    /// Failed requests whose servers may have ended.
    failures: Vec<Failure>,
    /// Ends, the oldest first.
    ends: VecDeque<End>,
    /// Ends since [`FatalRequests::take_new_ends`] was called.
    new_ends: Vec<ServerEnd>,
    /// The time of the last recorded end, as that of an [`End`].
    last_recorded_ms: Option<i64>,
    /// The time of the last complete answer for each part or watched digest.
    completed_ms: HashMap<u64, u64>,
    /// Requests by part.
    requests: HashMap<u64, u32>,
    /// Keys that have been fatal before; one more end is enough for them.
    former: HashSet<u64>,
    /// Fatal keys since [`FatalRequests::take_fatal`] was called.
    fatal: Vec<u64>,
    /// Parts and digests of suspects without a complete answer since the last end with one.
    unanswered: HashSet<u64>,
    /// Those of them with complete answers since [`FatalRequests::take_exonerated`] was called.
    exonerated: Vec<u64>,
    has_watched_changed: bool,
}

impl FatalRequests {
    /// Takes over the ends that an earlier coordinator has recorded. Times aren't replicated: the last of
    /// them counts as that of now.
    pub(super) fn restore(
        &mut self,
        now_ms: u64,
        ends: impl DoubleEndedIterator<Item = ServerEnd>,
    ) {
        let mut at_ms = signed(now_ms);
        self.last_recorded_ms = Some(at_ms);
        for ServerEnd { server, since_previous_ms, suspects } in ends.rev() {
            let is_same = |end: &&mut End| {
                end.server == server
                    && end.at_ms <= at_ms.saturating_add_unsigned(REPORTS_OF_END_MS)
            };
            self.add_unanswered(&suspects);
            match self.ends.iter_mut().find(is_same) {
                Some(end) => end.suspects.extend(suspects),
                None => self.ends.push_front(End { server, at_ms, count: 1, suspects }),
            }
            at_ms = at_ms.saturating_sub_unsigned(since_previous_ms);
        }
        self.has_watched_changed = true;
    }

    /// Records that these keys have been fatal before.
    pub(super) fn add_former(&mut self, keys: impl IntoIterator<Item = u64>) {
        self.former.extend(keys);
    }

    /// Counts a request.
    pub(super) fn count_request(&mut self, parts: impl IntoIterator<Item = u64>) {
        if self.requests.len() > MAX_COUNTED_PARTS {
            self.requests.clear();
        }
        for part in parts {
            *self.requests.entry(part).or_default() += 1;
        }
    }

    /// Records complete answers to requests with these parts or digests.
    pub(super) fn record_completions(&mut self, now_ms: u64, keys: &[u64]) {
        if self.completed_ms.len() > MAX_COUNTED_PARTS {
            self.completed_ms.retain(|_, at_ms| now_ms < *at_ms + EVIDENCE_MS);
        }
        for key in keys {
            self.completed_ms.insert(*key, now_ms);
            if self.unanswered.remove(key) {
                self.exonerated.push(*key);
            }
        }
    }

    /// Records a request that broke off this long ago.
    pub(super) fn record_failure(
        &mut self,
        now_ms: u64,
        age_ms: u64,
        server: BackendKey,
        suspect: Suspect,
    ) {
        self.failures.retain(|failure| now_ms < failure.recorded_ms + CONFIRMATION_MS);
        if self.failures.len() < MAX_FAILURES {
            let failed_ms = signed(now_ms).saturating_sub_unsigned(age_ms);
            self.failures.push(Failure { server, failed_ms, recorded_ms: now_ms, suspect });
        }
    }

    /// Returns whether the end of the server would be evidence.
    pub(super) fn is_suspected(&self, server: BackendKey) -> bool {
        self.failures.iter().any(|failure| failure.server == server)
    }

    /// Records that the server has answered a question that was asked at `asked_ms`, so that the requests
    /// that failed before did not end it.
    pub(super) fn server_answered(&mut self, server: BackendKey, asked_ms: u64) {
        let asked_ms = signed(asked_ms);
        self.failures.retain(|failure| failure.server != server || asked_ms < failure.failed_ms);
    }

    /// Records that the server has ended by `asked_ms`, and decides which of the requests that broke off
    /// are fatal.
    pub(super) fn server_ended(&mut self, server: BackendKey, asked_ms: u64) {
        let asked_ms = signed(asked_ms);
        let is_evidence =
            |failure: &Failure| failure.server == server && failure.failed_ms <= asked_ms;
        let at_ms = self.failures.iter().filter(|failure| is_evidence(failure));
        let Some(at_ms) = at_ms.map(|failure| failure.failed_ms).min() else { return };
        let failures = std::mem::take(&mut self.failures);
        let (evidence, others): (Vec<Failure>, Vec<Failure>) =
            failures.into_iter().partition(|failure| is_evidence(failure));
        self.failures = others;
        let suspects: Vec<Suspect> = evidence.into_iter().map(|failure| failure.suspect).collect();
        self.add_end(at_ms, server, &suspects);
        if !self.find_fatal_requests(at_ms, &suspects) {
            self.find_fatal_part(at_ms, &suspects);
        }
    }

    /// Returns the requests and parts that have become fatal since the last call.
    pub(super) fn take_fatal(&mut self) -> Vec<u64> {
        std::mem::take(&mut self.fatal)
    }

    /// Returns the suspects with complete answers since the last call.
    pub(super) fn take_exonerated(&mut self) -> Vec<u64> {
        std::mem::take(&mut self.exonerated)
    }

    /// Returns the ends since the last call.
    pub(super) fn take_new_ends(&mut self) -> Vec<ServerEnd> {
        std::mem::take(&mut self.new_ends)
    }

    /// Returns the digests of the last suspects if there are others than at the last call.
    pub(super) fn take_watched_change(&mut self) -> Option<Vec<u64>> {
        std::mem::take(&mut self.has_watched_changed).then(|| self.watched())
    }

    /// Returns the digests of the last suspects.
    fn watched(&self) -> Vec<u64> {
        let suspects = self.ends.iter().rev().flat_map(|end| &end.suspects);
        let mut watched: Vec<u64> = Vec::new();
        for digest in suspects.flat_map(|suspect| &suspect.digests) {
            if watched.len() < MAX_WATCHED && !watched.contains(digest) {
                watched.push(*digest);
            }
        }
        watched
    }

    fn add_end(&mut self, at_ms: i64, server: BackendKey, suspects: &[Suspect]) {
        while self.ends.len() >= MAX_FAILURES
            || self
                .ends
                .front()
                .is_some_and(|end| end.at_ms.saturating_add_unsigned(EVIDENCE_MS) < at_ms)
        {
            self.ends.pop_front();
        }
        let since_previous_ms =
            self.last_recorded_ms.and_then(|recorded_ms| u64::try_from(at_ms - recorded_ms).ok());
        let since_previous_ms = since_previous_ms.unwrap_or_default();
        self.last_recorded_ms = self.last_recorded_ms.max(Some(at_ms));
        let recorded = suspects.iter().take(MAX_SUSPECTS).cloned().collect();
        self.new_ends.push(ServerEnd { server, since_previous_ms, suspects: recorded });
        let is_same = |end: &End| {
            end.server == server && at_ms <= end.at_ms.saturating_add_unsigned(REPORTS_OF_END_MS)
        };
        let index = self.ends.iter().rposition(is_same);
        let index = index.unwrap_or_else(|| {
            self.ends.push_back(End { server, at_ms, count: 1, suspects: Vec::new() });
            self.ends.len() - 1
        });
        self.add_unanswered(suspects);
        let known = &mut self.ends[index].suspects;
        known.extend_from_slice(suspects);
        known.truncate(MAX_SUSPECTS);
        self.has_watched_changed = true;
    }

    fn add_unanswered(&mut self, suspects: &[Suspect]) {
        if self.unanswered.len() > MAX_COUNTED_PARTS {
            self.unanswered.clear();
        }
        for suspect in suspects {
            self.unanswered.extend(suspect.parts.iter().chain(&suspect.digests));
        }
    }

    /// Finds the suspects that are fatal as a whole, and returns whether there is one.
    ///
    /// Of a request that other callers send too, only those of the caller under whose requests servers end
    /// are fatal.
    fn find_fatal_requests(&mut self, now_ms: i64, suspects: &[Suspect]) -> bool {
        let mut is_found = false;
        for suspect in suspects {
            let is_fatal =
                |digest: &&u64| self.is_fatal(now_ms, **digest, COMMON_CAUSE_OF_REQUEST_MS);
            let Some(fatal) = suspect.digests.iter().find(is_fatal).copied() else { continue };
            is_found = true;
            if self.add_fatal(fatal) {
                // Its ends are explained by the request as a whole, but it may be one of several that share
                // a fatal part.
                self.ends.push_back(End {
                    server: BackendKey(fatal),
                    at_ms: now_ms,
                    count: ENDS_OF_FATAL_REQUEST,
                    suspects: vec![Suspect { parts: suspect.parts.clone(), digests: Vec::new() }],
                });
            }
        }
        is_found
    }

    /// Finds the part that is fatal: of several the one with the fewest requests, and of these the last in
    /// its prompt, because the parts before it are shared more widely.
    fn find_fatal_part(&mut self, now_ms: i64, suspects: &[Suspect]) {
        let parts = suspects.iter().flat_map(|suspect| &suspect.parts).enumerate();
        let fatal = parts.filter(|(_, part)| self.is_fatal(now_ms, **part, COMMON_CAUSE_MS));
        let requests = |part: &u64| self.requests.get(part).copied().unwrap_or_default();
        let rarest = fatal.min_by_key(|(at, part)| (requests(part), std::cmp::Reverse(*at)));
        let fatal = rarest.map(|(_, part)| *part);
        if let Some(part) = fatal {
            self.add_fatal(part);
        }
    }

    /// Adds a fatal key, and returns whether it is fatal for the first time. The ends that it explains say
    /// nothing of others.
    fn add_fatal(&mut self, key: u64) -> bool {
        for end in &mut self.ends {
            suspects::explain(&mut end.suspects, key);
        }
        self.ends.retain(|end| !end.suspects.is_empty());
        if !self.fatal.contains(&key) {
            self.fatal.push(key);
        }
        self.former.insert(key)
    }

    fn is_fatal(&self, now_ms: i64, key: u64, common_cause_ms: u64) -> bool {
        let completed_ms = self.completed_ms.get(&key).copied();
        let completed_ms = completed_ms.filter(|at_ms| now_ms < signed(at_ms + EVIDENCE_MS));
        let is_after =
            |end: &&End| completed_ms.is_none_or(|completed_ms| signed(completed_ms) < end.at_ms);
        let ends = self.ends.iter().filter(is_after).filter(|end| end.has(key));
        let needed = match completed_ms {
            _ if self.former.contains(&key) => 1,
            Some(_) => FATAL_ENDS_AFTER_COMPLETION,
            None => FATAL_ENDS,
        };
        count_causes(ends, common_cause_ms) >= needed
    }
}

fn signed(time_ms: u64) -> i64 {
    i64::try_from(time_ms).unwrap_or(i64::MAX)
}

/// Counts ends; those that follow another one within `common_cause_ms` have the same cause.
fn count_causes<'a>(ends: impl Iterator<Item = &'a End>, common_cause_ms: u64) -> usize {
    let mut times: Vec<(i64, usize)> = ends.map(|end| (end.at_ms, end.count)).collect();
    times.sort_unstable();
    let mut count = 0;
    let mut cause_ms: Option<i64> = None;
    for (at_ms, ends) in times {
        if cause_ms.is_none_or(|cause_ms| cause_ms.saturating_add_unsigned(common_cause_ms) < at_ms)
        {
            cause_ms = Some(at_ms);
            count += ends;
        }
    }
    count
}

#[cfg(test)]
mod tests;
