//! Whether this process reaches the servers of each service.

use std::collections::HashMap;

use smallvec::SmallVec;

use crate::ids::BackendKey;

/// Servers that must fail in a row, or all of a smaller service, before the path to a service counts as lost.
const MIN_FAILED_SERVERS: usize = 3;
/// Time for which a server may leave a request unanswered, without any data from other servers of its service,
/// before it is checked whether servers accept connections.
const DOUBT_SILENCE_MS: u64 = 500;
/// The same before it counts as failed. A sound server may be silent for a second.
const FAILED_SILENCE_MS: u64 = 1_200;
/// Interval between checks while the path is in doubt.
const DOUBT_CHECK_INTERVAL_MS: u64 = 400;
/// Interval between checks while the path is lost.
const LOST_CHECK_INTERVAL_MS: u64 = 300;
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
pub(super) struct PathCheck {
    pub(super) service: Box<str>,
    /// Servers of which the result is known.
    pub(super) failed: SmallVec<[BackendKey; 4]>,
    /// Whether servers must answer as well; while the path is in doubt, it is enough that they accept a
    /// connection.
    pub(super) needs_answer: bool,
}

/// The path from this process to the servers of one service.
#[derive(Debug, Default)]
struct ServicePath {
    /// The servers at which connections have failed since the last one that was accepted.
    refusing: SmallVec<[BackendKey; 4]>,
    /// The servers that have sent nothing since they got a request, with its time. Data from any server of the
    /// service shows that this process is not cut off.
    unanswered: SmallVec<[(BackendKey, u64); 4]>,
    /// Whether no new connections are accepted.
    accepts_none: bool,
    /// Whether nothing is heard on any connection.
    is_silent: bool,
    lost_since_ms: Option<u64>,
    check_due_ms: u64,
}

impl ServicePath {
    fn is_in_doubt(&self, now_ms: u64) -> bool {
        !self.refusing.is_empty() || self.unanswered_for(now_ms, DOUBT_SILENCE_MS) > 0
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
                let failed_servers = self.refusing.len().max(self.unanswered.len());
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

/// Returns how many of a service's servers must fail before the path counts as lost.
fn min_failed(servers: usize) -> usize {
    servers.clamp(1, MIN_FAILED_SERVERS)
}

/// The paths from this process to the servers of each service.
///
/// Answers a cut between some entry processes and all servers. For one that is cut off, every server looks as if
/// it had ended; only what other servers do tells the difference.
#[derive(Debug, Default)]
pub(super) struct ServerPaths {
    services: HashMap<Box<str>, ServicePath>,
}

impl ServerPaths {
    fn path(&mut self, service: &str) -> &mut ServicePath {
        if !self.services.contains_key(service) {
            self.services.insert(service.into(), ServicePath::default());
        }
        self.services.get_mut(service).expect("the entry was just inserted")
    }

    /// Records that a request was sent to a server.
    pub(super) fn sent(&mut self, now_ms: u64, service: &str, server: BackendKey) {
        let path = self.path(service);
        if !path.unanswered.iter().any(|(unanswered, _)| *unanswered == server) {
            path.unanswered.push((server, now_ms));
        }
    }

    /// Records that a server has sent something.
    pub(super) fn heard(&mut self, now_ms: u64, service: &str) -> Option<PathChange> {
        let path = self.path(service);
        path.unanswered.clear();
        path.is_silent = false;
        path.take_change(now_ms)
    }

    /// Records that a server has accepted a connection.
    pub(super) fn connected(&mut self, now_ms: u64, service: &str) -> Option<PathChange> {
        let path = self.path(service);
        path.refusing.clear();
        path.accepts_none = false;
        path.take_change(now_ms)
    }

    /// Records that a connection to a server has failed; the service has `servers` servers.
    pub(super) fn failed(
        &mut self,
        now_ms: u64,
        service: &str,
        server: BackendKey,
        servers: usize,
    ) -> Option<PathChange> {
        let path = self.path(service);
        if path.refusing.is_empty() {
            path.check_due_ms = path.check_due_ms.min(now_ms);
        }
        if !path.refusing.contains(&server) {
            path.refusing.push(server);
        }
        path.accepts_none |= path.refusing.len() >= min_failed(servers);
        path.take_change(now_ms)
    }

    /// Looks whether a service of `servers` servers has fallen silent.
    pub(super) fn check_silence(
        &mut self,
        now_ms: u64,
        service: &str,
        servers: usize,
    ) -> Option<PathChange> {
        let path = self.services.get_mut(service)?;
        path.is_silent |= path.unanswered_for(now_ms, FAILED_SILENCE_MS) >= min_failed(servers);
        path.take_change(now_ms)
    }

    /// Returns the services to which requests were sent.
    pub(super) fn services(&self) -> Vec<Box<str>> {
        self.services.keys().cloned().collect()
    }

    /// Returns whether requests to a service must go another way.
    pub(super) fn is_lost(&self, service: &str) -> bool {
        self.services.get(service).is_some_and(|path| path.lost_since_ms.is_some())
    }

    /// Returns what must be checked now.
    pub(super) fn take_due_checks(&mut self, now_ms: u64) -> Vec<PathCheck> {
        let due = self.services.iter_mut().filter_map(|(service, path)| {
            let is_lost = path.lost_since_ms.is_some();
            if now_ms < path.check_due_ms || !(is_lost || path.is_in_doubt(now_ms)) {
                return None;
            }
            let interval_ms =
                if is_lost { LOST_CHECK_INTERVAL_MS } else { DOUBT_CHECK_INTERVAL_MS };
            path.check_due_ms = now_ms + interval_ms;
            // While the path is lost, the servers that failed are as good as any.
            let failed = if is_lost { SmallVec::new() } else { path.refusing.clone() };
            Some(PathCheck { service: service.clone(), failed, needs_answer: path.is_silent })
        });
        due.collect()
    }
}

#[cfg(test)]
mod tests;
