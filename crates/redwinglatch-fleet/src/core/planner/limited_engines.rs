//! Requests for engines that have named a request limit.

use std::{
    collections::{HashMap, HashSet},
    ops::RangeInclusive,
};

use crate::{
    ids::BackendKey,
    limited_servers::RequestLimit,
    message::{PlaceReply, RefusalCause},
};

use super::{Planner, engine::Engine, waiting_request::WaitingRequest};

/// Longest time after which a refused caller is asked to return.
const MAX_RETURN_MS: u64 = 8_000;
/// Time after which a caller is asked to return whose turn would come later than that.
const LATER_RETURN_MS: RangeInclusive<u64> = MAX_RETURN_MS / 2..=MAX_RETURN_MS;

/// Time after an answer with its limit for which an engine is spared loads. Without loads it may get no
/// requests, whose answers would show that the limit has ended.
const SPARE_MS: u64 = 10_000;

/// The engines of a service, all of which have a limit.
#[derive(Debug, Default)]
struct LimitedService {
    engines: u32,
    /// Requests that they take together, in thousandths of a request per second.
    rate_milli: u64,
    /// Requests that wait for them.
    waiting: u64,
}

impl LimitedService {
    /// Returns the time in which the engines take a number of requests.
    fn time_ms(&self, requests: u64) -> u64 {
        requests.saturating_mul(1_000_000) / self.rate_milli.max(1)
    }

    /// Returns the time by which the turn of one more request comes; the engines may all have taken a request
    /// just now.
    fn turn_ms(&self, now_ms: u64) -> u64 {
        now_ms + self.time_ms(self.waiting + u64::from(self.engines))
    }

    /// Returns whether a request may wait for its turn. Requests that are late wait behind all that can be on
    /// time, so they would wait in vain.
    fn takes(&self, now_ms: u64, waiting: &WaitingRequest) -> bool {
        !waiting.is_late(self.turn_ms(now_ms)) || self.waiting == 0 || waiting.is_admitted
    }

    /// Returns the time of the next return that is still free, the last one being at `last_ms`.
    fn return_ms(&self, now_ms: u64, last_ms: u64) -> u64 {
        last_ms.max(self.turn_ms(now_ms)) + self.time_ms(1)
    }

    fn cause(&self) -> RefusalCause {
        RefusalCause::EnginesLimited {
            engines: self.engines,
            milli_per_s: self.rate_milli,
            waiting: u32::try_from(self.waiting).unwrap_or(u32::MAX),
        }
    }
}

impl Planner {
    /// Sets whether this process is certain to be the only coordinator; only then it grants requests to
    /// limited and brittle servers.
    pub(in crate::core) fn set_granting(&mut self, now_ms: u64, is_granting: bool) {
        self.grants.set_active(is_granting);
        self.rooms.set_active(now_ms, is_granting);
    }

    /// Sets or ends the request limit of a backend server, and returns whether it had another.
    pub(in crate::core) fn set_request_limit(&mut self, now_ms: u64, limit: RequestLimit) -> bool {
        let is_new = self.grants.set_limit(now_ms, limit);
        if is_new {
            self.spared_engines = self.find_spared_engines(now_ms);
        }
        is_new
    }

    /// Returns the request limits of all backend servers.
    pub(in crate::core) fn request_limits(&self) -> Vec<RequestLimit> {
        self.grants.limits()
    }

    /// Takes a request to a backend server that an entry process selected.
    ///
    /// # Errors
    ///
    /// Returns the time until one may be granted.
    pub(in crate::core) fn take_grant(
        &mut self,
        now_ms: u64,
        key: BackendKey,
        holder: (u64, u64),
    ) -> Result<(), u64> {
        self.take_room(now_ms, key, holder)?;
        self.grants.take(now_ms, key).inspect_err(|_| self.rooms.release(holder))
    }

    /// Returns the limited engines that get no loads, because other engines of their service have no limit.
    pub(super) fn find_spared_engines(&self, now_ms: u64) -> HashSet<BackendKey> {
        if self.grants.is_empty() {
            return HashSet::new();
        }
        let is_limited = |key: &BackendKey| self.grants.rate_milli(*key).is_some();
        let available = || self.engines.iter().filter(|(_, engine)| engine.is_available());
        let unlimited_services: HashSet<&str> = available()
            .filter(|(key, _)| !is_limited(key))
            .map(|(_, engine)| &*engine.backend.service)
            .collect();
        available()
            .filter(|(key, engine)| {
                self.grants.is_confirmed(now_ms, **key, SPARE_MS)
                    && unlimited_services.contains(&*engine.backend.service)
            })
            .map(|(key, _)| *key)
            .collect()
    }

    /// Returns whether requests should go elsewhere: other engines have no limit, and this one takes no
    /// request now.
    pub(super) fn is_spared(&self, now_ms: u64, key: BackendKey) -> bool {
        self.spared_engines.contains(&key) && !self.grants.may_take(now_ms, key)
    }

    /// Refuses the requests that can't be placed in time, because all engines of their service have limits.
    ///
    /// Answers a load above what the engines take together: requests wait if their turn comes in time for
    /// their objective, and all others are refused at once, with times of return that follow each other at
    /// the rate of the engines.
    pub(super) fn refuse_beyond_limits(&mut self, now_ms: u64) {
        let mut services = self.limited_services();
        if services.is_empty() {
            self.next_returns_ms.clear();
            return;
        }
        for waiting in std::mem::take(&mut self.waiting) {
            let Some(service) = services.get_mut(&waiting.request.service) else {
                self.waiting.push(waiting);
                continue;
            };
            if service.takes(now_ms, &waiting) {
                service.waiting += 1;
                self.waiting.push(waiting);
            } else {
                self.refuse_until_turn(now_ms, service, &waiting);
            }
        }
    }

    /// Returns when the caller of a new request returns and why, if the request is refused because all engines
    /// of its service have limits.
    pub(super) fn limit_refusal(
        &self,
        now_ms: u64,
        new: &WaitingRequest,
    ) -> Option<(RangeInclusive<u64>, RefusalCause)> {
        let mut services = self.limited_services();
        let service = services.get_mut(&new.request.service)?;
        let ahead = self.waiting.iter().filter(|waiting| {
            waiting.request.service == new.request.service
                && waiting.rank(now_ms) <= new.rank(now_ms)
        });
        service.waiting = ahead.count() as u64;
        if service.takes(now_ms, new) {
            return None;
        }
        let last_ms = self.next_returns_ms.get(&new.request.service).copied().unwrap_or_default();
        let return_ms = service.return_ms(now_ms, last_ms);
        let retry_after_ms = if return_ms <= now_ms + MAX_RETURN_MS {
            return_ms - now_ms..=return_ms - now_ms
        } else {
            LATER_RETURN_MS
        };
        Some((retry_after_ms, service.cause()))
    }

    /// Refuses a request with the time of the next return that is still free.
    fn refuse_until_turn(
        &mut self,
        now_ms: u64,
        service: &LimitedService,
        waiting: &WaitingRequest,
    ) {
        let turn_ms = service.turn_ms(now_ms);
        let next_ms =
            self.next_returns_ms.entry(waiting.request.service.clone()).or_insert(turn_ms);
        let return_ms = service.return_ms(now_ms, *next_ms);
        let retry_after_ms = if return_ms <= now_ms + MAX_RETURN_MS {
            *next_ms = return_ms;
            return_ms - now_ms
        } else {
            fastrand::u64(LATER_RETURN_MS)
        };
        let cause = service.cause();
        self.push_reply(waiting, PlaceReply::RefusedFor { retry_after_ms, cause });
    }

    /// Returns the services of which all available engines have a limit.
    fn limited_services(&self) -> HashMap<Box<str>, LimitedService> {
        let mut services: HashMap<Box<str>, LimitedService> = HashMap::new();
        if self.grants.is_empty() {
            return services;
        }
        let mut unlimited: HashSet<&str> = HashSet::new();
        let available = |engine: &&Engine| engine.is_available();
        for engine in self.engines.values().filter(available) {
            let service = &engine.backend.service;
            match self.grants.rate_milli(engine.backend.key) {
                Some(rate_milli) => {
                    let limited = services.entry(service.clone()).or_default();
                    limited.engines += 1;
                    limited.rate_milli += rate_milli;
                }
                None => drop(unlimited.insert(service)),
            }
        }
        services.retain(|service, _| !unlimited.contains(&**service));
        services
    }
}
