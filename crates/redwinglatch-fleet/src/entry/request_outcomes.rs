//! Outcomes of requests, as the coordinator is told of them.

use std::{
    collections::{BTreeSet, VecDeque},
    io::ErrorKind,
    net::SocketAddr,
    time::Duration,
};

use tokio::{net::TcpStream, time::timeout};

use crate::{
    request_digests::RequestDigests,
    suspects::{FailedRequest, Suspect},
};

/// Maximum number of parts whose answers are reported together; further ones are reported with the next
/// requests that have them.
const MAX_COMPLETED_PARTS: usize = 1_024;
/// Time for which complete answers are remembered by the digests of their requests.
const RECENT_MS: u64 = 30_000;
/// Maximum number of requests whose complete answers are remembered.
const MAX_RECENT: usize = 2_048;
/// Maximum number of failed requests that wait for a coordinator.
const MAX_UNREPORTED: usize = 64;
/// Time for which they wait.
const MAX_UNREPORTED_MS: u64 = 10_000;
/// Events of an answer up to which a part of the prompt may have ended its engine. Engines send some events
/// before the process notices.
const MAX_EVENTS_OF_PART: u64 = 3;
/// Events of an answer up to which the request as a whole may have ended its server. Only one that comes again
/// counts, so that many others at the same end do no harm.
const MAX_EVENTS_OF_REQUEST: u64 = 16;
/// Time limit of the check whether a server accepts connections.
const CHECK_TIMEOUT: Duration = Duration::from_millis(400);

/// Prompt parts with complete answers that the coordinator has not been told yet.
#[derive(Debug, Default)]
pub(super) struct CompletedParts {
    parts: BTreeSet<u64>,
}

impl CompletedParts {
    /// Records a complete answer to a request with these parts, given with their token counts.
    pub(super) fn record(&mut self, parts: &[(u64, u32)]) {
        for (part, _) in parts {
            if self.parts.len() < MAX_COMPLETED_PARTS {
                self.parts.insert(*part);
            }
        }
    }

    /// Returns the recorded parts, and forgets them.
    pub(super) fn take(&mut self) -> Vec<u64> {
        std::mem::take(&mut self.parts).into_iter().collect()
    }
}

/// The digests of requests with recent complete answers.
///
/// Only suspects matter to the coordinator, and which requests are is known only after servers have ended.
#[derive(Debug, Default)]
pub(super) struct RecentCompletions {
    requests: VecDeque<(u64, RequestDigests)>,
}

impl RecentCompletions {
    pub(super) fn record(&mut self, now_ms: u64, digests: RequestDigests) {
        let is_old = |(at_ms, _): &(u64, RequestDigests)| at_ms + RECENT_MS < now_ms;
        while self.requests.len() >= MAX_RECENT || self.requests.front().is_some_and(is_old) {
            self.requests.pop_front();
        }
        self.requests.push_back((now_ms, digests));
    }

    /// Removes the requests with one of these digests, and returns those of the digests that they have.
    pub(super) fn take(&mut self, now_ms: u64, wanted: &[u64]) -> Vec<u64> {
        let mut found = BTreeSet::new();
        self.requests.retain(|(at_ms, digests)| {
            let matching = digests.both().into_iter().filter(|digest| wanted.contains(digest));
            let count_before = found.len();
            if at_ms + RECENT_MS >= now_ms {
                found.extend(matching);
            }
            found.len() == count_before
        });
        found.into_iter().collect()
    }
}

/// Failed requests that no coordinator has been told of.
#[derive(Debug, Default)]
pub(super) struct UnreportedFailures {
    failures: VecDeque<(u64, FailedRequest)>,
}

impl UnreportedFailures {
    pub(super) fn add(&mut self, failed_ms: u64, request: FailedRequest) {
        if self.failures.len() >= MAX_UNREPORTED {
            self.failures.pop_front();
        }
        self.failures.push_back((failed_ms, request));
    }

    /// Returns the recent failures with their times, and forgets all.
    pub(super) fn take(
        &mut self,
        now_ms: u64,
    ) -> impl Iterator<Item = (u64, FailedRequest)> + use<> {
        let failures = std::mem::take(&mut self.failures).into_iter();
        failures.filter(move |(failed_ms, _)| now_ms <= failed_ms + MAX_UNREPORTED_MS)
    }
}

/// Returns the suspect that a request is which broke off after this many events, if it is one. The parts are
/// given with their token counts.
pub(super) fn suspect(
    events: u64,
    parts: &[(u64, u32)],
    digests: impl FnOnce() -> RequestDigests,
) -> Option<Suspect> {
    let parts = if events <= MAX_EVENTS_OF_PART { parts } else { &[] };
    (events <= MAX_EVENTS_OF_REQUEST).then(|| Suspect {
        parts: parts.iter().map(|(part, _)| *part).collect(),
        digests: digests().both().to_vec(),
    })
}

/// What an attempt to connect to a server shows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ConnectionCheck {
    Accepted,
    /// The process of the server has ended, or this process is cut off from it.
    Refused,
    /// The server can't be reached, and may go on.
    Unknown,
}

/// Tries to connect to a server.
pub(super) async fn check_connection(address: SocketAddr) -> ConnectionCheck {
    match timeout(CHECK_TIMEOUT, TcpStream::connect(address)).await {
        Ok(Ok(_)) => ConnectionCheck::Accepted,
        Ok(Err(error))
            if matches!(
                error.kind(),
                ErrorKind::ConnectionRefused | ErrorKind::ConnectionReset
            ) =>
        {
            ConnectionCheck::Refused
        }
        Ok(Err(_)) | Err(_) => ConnectionCheck::Unknown,
    }
}

#[cfg(test)]
mod tests;
