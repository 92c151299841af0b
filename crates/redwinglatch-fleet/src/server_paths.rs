//! Whether a process reaches the servers of each service.

use std::collections::HashMap;

use smallvec::SmallVec;

use crate::ids::BackendKey;

/// Servers that must fail, or all of a smaller service, before the path to a service counts as lost.
const MIN_FAILED_SERVERS: usize = 3;
/// Part of the servers tried lately that must fail for that, and the part up to which the path counts as found
/// again. A process that reaches one server of many is as good as cut off.
const LOST_SHARE: f64 = 0.66;
const FOUND_SHARE: f64 = 0.5;
/// Time for which the outcome of a connection attempt counts.
const OUTCOME_MS: u64 = 2_000;
/// Time for which a server may leave a request unanswered, without any data from other servers of its service,
/// before it is checked whether servers accept connections.
const DOUBT_SILENCE_MS: u64 = 500;
/// The same before it counts as failed. A sound server may be silent for a second.
const FAILED_SILENCE_MS: u64 = 1_200;
/// Interval between checks while the path is in doubt.
const DOUBT_CHECK_INTERVAL_MS: u64 = 400;
/// Interval between checks while the path is lost, and the part of it for each process. Hundreds of them lose the
/// path together when the servers have ended, and these must come back in spite of the checks.
const LOST_CHECK_INTERVAL_MS: u64 = 300;
const LOST_CHECK_INTERVAL_MS_PER_PROCESS: u64 = 5;
/// Time since the last data from a server for which kept connections count as sound while no new ones are
/// accepted.
const SOUND_CONNECTIONS_MS: u64 = 700;

/// A change of the path to a service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum PathChange {
    /// None of the last servers that were tried has accepted a connection or answered.
    Lost { failed_servers: usize },
    /// Servers accept connections and answer again.
    Found { lost_ms: u64 },
}

/// What must be checked of the path to a service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct PathCheck {
    pub(crate) service: Box<str>,
    /// Servers of which the result is known.
    pub(crate) failed: SmallVec<[BackendKey; 4]>,
    /// Servers must answer as well. While the path is in doubt, it is enough that they accept a
    /// connection.
    pub(crate) needs_answer: bool,
}

/// The path from this process to the servers of one service.
#[derive(Debug, Default)]
struct ServicePath {
    /// The last connection attempt at each server: its time, and whether it was accepted.
    attempts: HashMap<BackendKey, (u64, bool)>,
    /// The servers that have sent nothing since they got a request, with its time. Data from any server of the
    /// service shows that this process is not cut off.
    unanswered: SmallVec<[(BackendKey, u64); 4]>,
    heard_ms: u64,
    /// Whether no new connections are accepted.
    accepts_none: bool,
    /// Whether nothing is heard on any connection.
    is_silent: bool,
    lost_since_ms: Option<u64>,
    check_due_ms: u64,
}

impl ServicePath {
    fn is_in_doubt(&self, now_ms: u64) -> bool {
        let (failed, tried) = self.recent_attempts(now_ms);
        let was_checked = failed as f64 <= tried as f64 * FOUND_SHARE;
        !was_checked || self.unanswered_for(now_ms, DOUBT_SILENCE_MS) > 0
    }

    /// Returns how many servers have failed lately, and how many were tried.
    fn recent_attempts(&self, now_ms: u64) -> (usize, usize) {
        let recent = self.attempts.values().filter(|(at_ms, _)| now_ms <= at_ms + OUTCOME_MS);
        recent.fold((0, 0), |(failed, tried), (_, is_accepted)| {
            (failed + usize::from(!is_accepted), tried + 1)
        })
    }

    /// Returns the servers that have failed lately.
    fn failed(&self, now_ms: u64) -> impl Iterator<Item = BackendKey> {
        let failed = self
            .attempts
            .iter()
            .filter(move |(_, (at_ms, is_accepted))| !is_accepted && now_ms <= at_ms + OUTCOME_MS);
        failed.map(|(server, _)| *server)
    }

    /// Records the outcome of a connection attempt; `min_failed` servers must fail for a loss of the path.
    fn record_attempt(
        &mut self,
        now_ms: u64,
        server: BackendKey,
        is_accepted: bool,
        min_failed: usize,
    ) {
        self.attempts.retain(|_, (at_ms, _)| now_ms <= *at_ms + OUTCOME_MS);
        self.attempts.insert(server, (now_ms, is_accepted));
        let (failed, tried) = self.recent_attempts(now_ms);
        let share = failed as f64 / tried as f64;
        if failed >= min_failed && share > LOST_SHARE {
            self.accepts_none = true;
        } else if is_accepted && share <= FOUND_SHARE {
            self.accepts_none = false;
        }
    }

    /// Returns the number of servers that have left a request unanswered for some time.
    fn unanswered_for(&self, now_ms: u64, for_ms: u64) -> usize {
        self.unanswered.iter().filter(|(_, sent_ms)| sent_ms + for_ms <= now_ms).count()
    }

    /// Compares the path with what it was before, after a change.
    fn take_change(&mut self, now_ms: u64) -> Option<PathChange> {
        let is_lost = self.accepts_none || self.is_silent;
        match (is_lost, self.lost_since_ms) {
            (true, None) => {
                self.lost_since_ms = Some(now_ms);
                let failed_servers = self.failed(now_ms).count().max(self.unanswered.len());
                Some(PathChange::Lost { failed_servers })
            }
            (false, Some(since_ms)) => {
                self.lost_since_ms = None;
                Some(PathChange::Found { lost_ms: now_ms.saturating_sub(since_ms) })
            }
            _ => None,
        }
    }
}

/// Returns how many of a service's servers must fail before the path counts as lost, unless the process tries all
/// of them together.
fn min_failed_servers(servers: usize) -> usize {
    servers.clamp(1, MIN_FAILED_SERVERS)
}

/// The paths from this process to the servers of each service.
///
/// Answers a cut between some entry processes and all servers. For one that is cut off, every server looks as if
/// it had ended; only what other servers do tells the difference.
#[derive(Debug)]
pub(crate) struct ServerPaths {
    services: HashMap<Box<str>, ServicePath>,
    /// Returns how many of a service's servers must fail before the path counts as lost.
    min_failed: fn(usize) -> usize,
}

impl Default for ServerPaths {
    fn default() -> ServerPaths {
        ServerPaths::new(min_failed_servers)
    }
}

impl ServerPaths {
    /// Creates paths that count as lost when `min_failed` of the servers of a service have failed, and most of those
    /// that were tried.
    pub(crate) fn new(min_failed: fn(usize) -> usize) -> ServerPaths {
        ServerPaths { services: HashMap::new(), min_failed }
    }

    fn path(&mut self, service: &str) -> &mut ServicePath {
        if !self.services.contains_key(service) {
            self.services.insert(service.into(), ServicePath::default());
        }
        self.services.get_mut(service).expect("the entry was just inserted")
    }

    /// Records that a request was sent to a server.
    pub(crate) fn sent(&mut self, now_ms: u64, service: &str, server: BackendKey) {
        let path = self.path(service);
        if !path.unanswered.iter().any(|(unanswered, _)| *unanswered == server) {
            path.unanswered.push((server, now_ms));
        }
    }

    /// Records that a server has sent something.
    pub(crate) fn heard(&mut self, now_ms: u64, service: &str) -> Option<PathChange> {
        let path = self.path(service);
        path.heard_ms = now_ms;
        path.unanswered.clear();
        path.is_silent = false;
        path.take_change(now_ms)
    }

    /// Records whether one of a service's `servers` servers has accepted a connection.
    pub(crate) fn tried(
        &mut self,
        now_ms: u64,
        service: &str,
        server: BackendKey,
        is_accepted: bool,
        servers: usize,
    ) -> Option<PathChange> {
        let min_failed = (self.min_failed)(servers);
        let path = self.path(service);
        if !is_accepted && path.failed(now_ms).next().is_none() {
            path.check_due_ms = path.check_due_ms.min(now_ms);
        }
        path.record_attempt(now_ms, server, is_accepted, min_failed);
        path.take_change(now_ms)
    }

    /// Returns the servers of a service at which connections have failed lately.
    pub(crate) fn failed_servers(
        &self,
        now_ms: u64,
        service: &str,
    ) -> impl Iterator<Item = BackendKey> {
        self.services.get(service).into_iter().flat_map(move |path| path.failed(now_ms))
    }

    /// Returns the services of which a server has been silent for so long that it counts as failed.
    pub(crate) fn services_with_silence(&self, now_ms: u64) -> Vec<Box<str>> {
        let silent = self.services.iter().filter(|(_, path)| {
            !path.is_silent && path.unanswered_for(now_ms, FAILED_SILENCE_MS) > 0
        });
        silent.map(|(service, _)| service.clone()).collect()
    }

    /// Looks whether a service of `servers` servers has fallen silent.
    pub(crate) fn check_silence(
        &mut self,
        now_ms: u64,
        service: &str,
        servers: usize,
    ) -> Option<PathChange> {
        let min_failed = (self.min_failed)(servers);
        let path = self.services.get_mut(service)?;
        path.is_silent |= path.unanswered_for(now_ms, FAILED_SILENCE_MS) >= min_failed;
        path.take_change(now_ms)
    }

    /// Returns whether requests to a service must go another way.
    pub(crate) fn is_lost(&self, service: &str) -> bool {
        self.services.get(service).is_some_and(|path| path.lost_since_ms.is_some())
    }

    /// Returns for how long the path to a service has been lost, if it is.
    pub(crate) fn lost_for_ms(&self, now_ms: u64, service: &str) -> Option<u64> {
        let since_ms = self.services.get(service)?.lost_since_ms?;
        Some(now_ms.saturating_sub(since_ms))
    }

    /// Returns whether requests may still be sent on kept connections, although no new ones are accepted.
    pub(crate) fn has_sound_connections(&self, now_ms: u64, service: &str) -> bool {
        self.services
            .get(service)
            .is_some_and(|path| !path.is_silent && now_ms <= path.heard_ms + SOUND_CONNECTIONS_MS)
    }

    /// Returns whether the paths to all of some services are lost, and there are any.
    pub(crate) fn are_all_lost<'a>(&self, services: impl Iterator<Item = &'a str>) -> bool {
        let mut used = services.filter(|service| self.services.contains_key(*service)).peekable();
        used.peek().is_some() && used.all(|service| self.is_lost(service))
    }

    /// Returns what must be checked now by one of `processes` processes.
    pub(crate) fn take_due_checks(&mut self, now_ms: u64, processes: usize) -> Vec<PathCheck> {
        let lost_interval_ms =
            LOST_CHECK_INTERVAL_MS.max(processes as u64 * LOST_CHECK_INTERVAL_MS_PER_PROCESS);
        let due = self.services.iter_mut().filter_map(|(service, path)| {
            let is_lost = path.lost_since_ms.is_some();
            if now_ms < path.check_due_ms || !(is_lost || path.is_in_doubt(now_ms)) {
                return None;
            }
            let interval_ms = if is_lost { lost_interval_ms } else { DOUBT_CHECK_INTERVAL_MS };
            path.check_due_ms = now_ms + interval_ms;
            // While the path is lost, the servers that failed are as good as any.
            let failed = if is_lost { SmallVec::new() } else { path.failed(now_ms).collect() };
            Some(PathCheck { service: service.clone(), failed, needs_answer: is_lost })
        });
        due.collect()
    }
}

#[cfg(test)]
mod tests;
