//! The request limits that backend servers have named, as one entry process sees them.

use crate::{
    ids::BackendKey,
    limited_servers::{LimitedServers, RequestLimit},
    request_rate::RequestRate,
};

/// Part of a limit that all processes together use while they reach no coordinator. A part of them may
/// still reach one, which grants the whole limit to these.
const SHARED_PART: f64 = 0.5;
/// Time for which a process may use its turn. Turns of processes without load aren't saved up, because
/// all of these could use them at the same moment later.
const TURN_MS: u64 = 250;
/// Interval between reports of a limit that goes on.
const CONFIRMATION_INTERVAL_MS: u64 = 2_000;
/// Longest interval between two turns of a process.
const MAX_TURN_INTERVAL_MS: u64 = 3_600_000;

/// The requests that this process may send to a limited server.
#[derive(Debug, Default)]
struct OwnUse {
    /// The coordinator has refused requests until this time.
    denied_until_ms: u64,
    /// Start of this process's next turn without a coordinator.
    turn_ms: Option<u64>,
    /// Time at which an answer with the limit was last reported to the coordinator.
    reported_ms: u64,
}

/// The limits in force, and this process's part of them while no coordinator grants requests.
#[derive(Debug, Default)]
pub(super) struct RequestLimits {
    servers: LimitedServers<OwnUse>,
}

impl RequestLimits {
    /// Records the limit in an answer to a request that was sent at `sent_ms`, or that it names none;
    /// returns whether that is new.
    ///
    /// Only an answer to a request that was sent after the limit became known ends it: an older one may have
    /// been on its way when the server named the limit to another request.
    pub(super) fn record_answer(&mut self, now_ms: u64, sent_ms: u64, limit: RequestLimit) -> bool {
        let learned_ms = self.servers.get(limit.server).map(|server| server.learned_ms);
        let is_outdated =
            limit.rate.is_none() && learned_ms.is_none_or(|learned_ms| sent_ms <= learned_ms);
        !is_outdated && self.set(now_ms, limit)
    }

    /// Returns whether the coordinator should be told that an answer has named a limit that it knows.
    pub(super) fn take_confirmation(&mut self, now_ms: u64, key: BackendKey) -> bool {
        let Some(server) = self.servers.get_mut(key) else { return false };
        let is_due = server.state.reported_ms + CONFIRMATION_INTERVAL_MS <= now_ms;
        if is_due {
            server.state.reported_ms = now_ms;
        }
        is_due
    }

    /// Takes over a limit that the coordinator has announced, or an end; returns whether it is new.
    pub(super) fn set(&mut self, now_ms: u64, limit: RequestLimit) -> bool {
        self.servers.set(now_ms, limit)
    }

    pub(super) fn is_limited(&self, key: BackendKey) -> bool {
        self.servers.get(key).is_some()
    }

    /// Returns all limits.
    pub(super) fn limits(&self) -> Vec<RequestLimit> {
        self.servers.limits()
    }

    /// Records that no request may be sent to the server before `until_ms`.
    pub(super) fn deny_until(&mut self, key: BackendKey, until_ms: u64) {
        if let Some(server) = self.servers.get_mut(key) {
            server.state.denied_until_ms = until_ms;
        }
    }

    /// Returns until when no request may be sent to the server.
    pub(super) fn denied_until_ms(&self, now_ms: u64, key: BackendKey) -> Option<u64> {
        let until_ms = self.servers.get(key)?.state.denied_until_ms;
        (now_ms < until_ms).then_some(until_ms)
    }

    /// Takes one of the requests that this process may send to the server without a coordinator.
    ///
    /// Answers the loss of the coordinator while servers are in need: each of `processes` processes has a
    /// turn now and then, at random, so that all together stay within the limit without a message.
    ///
    /// # Errors
    ///
    /// Returns the time until the next turn.
    pub(super) fn try_take_turn(
        &mut self,
        now_ms: u64,
        key: BackendKey,
        processes: usize,
    ) -> Result<(), u64> {
        let Some(server) = self.servers.get_mut(key) else { return Ok(()) };
        let interval_ms = turn_interval_ms(server.rate, processes);
        let turn_ms = match server.state.turn_ms {
            Some(turn_ms) if now_ms < turn_ms + TURN_MS => turn_ms,
            _ => now_ms + fastrand::u64(0..=interval_ms),
        };
        server.state.turn_ms = Some(turn_ms);
        if now_ms < turn_ms {
            return Err(turn_ms - now_ms);
        }
        server.state.turn_ms = Some(now_ms + interval_ms);
        Ok(())
    }
}

/// Returns the interval between two turns of each of several processes.
fn turn_interval_ms(rate: RequestRate, processes: usize) -> u64 {
    let per_ms = rate.milli_per_s as f64 * SHARED_PART / 1_000_000.0;
    let interval_ms = processes as f64 / per_ms;
    if interval_ms.is_finite() {
        (interval_ms as u64).min(MAX_TURN_INTERVAL_MS)
    } else {
        MAX_TURN_INTERVAL_MS
    }
}

#[cfg(test)]
mod tests;
