//! Grants requests to backend servers that have named a request limit.

use redwinglatch_admission::TokenBucket;

use crate::{
    ids::BackendKey,
    limited_servers::{LimitedServers, RequestLimit},
    request_rate::RequestRate,
};

/// Lowest rate at which requests are granted, in thousandths of a request per second. An answer shows that
/// a limit has ended, so there must be requests at times.
const MIN_RATE_MILLI: u64 = 250;
/// Delay after which a request may be asked for again while nothing is granted.
const INACTIVE_RETRY_MS: u64 = 100;

/// The limits in force and the requests granted within them.
///
/// Answers servers in need whose load comes through many processes, more through one than through another:
/// the coordinator alone counts, so that no part of a limit is left to a process without load, and none is
/// used twice.
#[derive(Debug, Default)]
pub(super) struct RequestGrants {
    servers: LimitedServers<TokenBucket>,
    /// This process is certain that no other one is the coordinator.
    is_active: bool,
}

impl RequestGrants {
    pub(super) fn set_active(&mut self, is_active: bool) {
        self.is_active = is_active;
    }

    /// Sets or ends the limit of a server, and returns whether it had another.
    pub(super) fn set_limit(&mut self, now_ms: u64, limit: RequestLimit) -> bool {
        let is_new = self.servers.set(now_ms, limit);
        if let (Some(rate), Some(server)) = (limit.rate, self.servers.get_mut(limit.server)) {
            server.state.set_rate(now_ms, granted_milli(rate));
        }
        is_new
    }

    /// Returns all limits.
    pub(super) fn limits(&self) -> Vec<RequestLimit> {
        self.servers.limits()
    }

    pub(super) fn is_empty(&self) -> bool {
        self.servers.is_empty()
    }

    /// Returns the rate at which requests to the server are granted, in thousandths of a request per
    /// second, if it has a limit.
    pub(super) fn rate_milli(&self, key: BackendKey) -> Option<u64> {
        self.servers.get(key).map(|server| granted_milli(server.rate))
    }

    /// Returns whether an answer of the server named its limit in the last `for_ms`.
    pub(super) fn is_confirmed(&self, now_ms: u64, key: BackendKey, for_ms: u64) -> bool {
        self.servers.get(key).is_some_and(|server| now_ms <= server.learned_ms + for_ms)
    }

    /// Returns whether a request to the server would be granted.
    pub(super) fn may_take(&self, now_ms: u64, key: BackendKey) -> bool {
        let Some(server) = self.servers.get(key) else { return true };
        self.is_active && server.state.clone().take(now_ms, 1).is_ok()
    }

    /// Takes a request to the server.
    ///
    /// # Errors
    ///
    /// Returns the time until one may be granted.
    pub(super) fn take(&mut self, now_ms: u64, key: BackendKey) -> Result<(), u64> {
        let Some(server) = self.servers.get_mut(key) else { return Ok(()) };
        if !self.is_active {
            return Err(INACTIVE_RETRY_MS);
        }
        server.state.take(now_ms, 1).map_err(|wait_ms| wait_ms.map_or(INACTIVE_RETRY_MS, u64::from))
    }
}

fn granted_milli(rate: RequestRate) -> u64 {
    rate.milli_per_s.max(MIN_RATE_MILLI)
}

#[cfg(test)]
mod tests;
