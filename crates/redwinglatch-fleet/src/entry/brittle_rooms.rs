//! Requests of this process to servers that fall over when they must turn requests away.

use std::collections::HashMap;

use crate::{
    brittle_services::{BrittleService, BrittleServices},
    ids::BackendKey,
};

/// Part of the room that all processes together use while they reach no coordinator. They don't know of each
/// other's requests, so several may meet at a server.
const SHARED_PART: f64 = 0.25;
/// Duration of a request that is assumed until one has ended.
const DEFAULT_DURATION_MS: f64 = 500.0;
/// Weight of the last request in the mean duration.
const DURATION_WEIGHT: f64 = 0.1;
/// Longest interval between two requests of this process to a server.
const MAX_INTERVAL_MS: f64 = 60_000.0;

/// The brittle services, and this process's part of the room at their servers.
#[derive(Debug, Default)]
pub(super) struct BrittleRooms {
    pub(super) services: BrittleServices,
    denied_until_ms: HashMap<BackendKey, u64>,
    /// Start of this process's next turn at each server without a coordinator.
    turns_ms: HashMap<BackendKey, u64>,
    /// Mean durations of requests by service.
    durations_ms: HashMap<Box<str>, f64>,
}

impl BrittleRooms {
    /// Records the duration of a request.
    pub(super) fn record_duration(&mut self, service: &str, duration_ms: u64) {
        let duration_ms = duration_ms as f64;
        match self.durations_ms.get_mut(service) {
            Some(mean_ms) => *mean_ms += (duration_ms - *mean_ms) * DURATION_WEIGHT,
            None => drop(self.durations_ms.insert(service.into(), duration_ms)),
        }
    }

    /// Records that no request may be sent to a server before `until_ms`.
    pub(super) fn deny_until(&mut self, server: BackendKey, until_ms: u64) {
        self.denied_until_ms.insert(server, until_ms);
    }

    /// Returns until when no request may be sent to a server.
    pub(super) fn denied_until_ms(&self, now_ms: u64, server: BackendKey) -> Option<u64> {
        let until_ms = *self.denied_until_ms.get(&server)?;
        (now_ms < until_ms).then_some(until_ms)
    }

    /// Takes over what a process has told, and returns whether it is new.
    pub(super) fn set(&mut self, now_ms: u64, brittle: &BrittleService) -> bool {
        if brittle.max_rejections_per_s.is_none() {
            self.denied_until_ms.clear();
            self.turns_ms.clear();
        }
        self.services.set(now_ms, brittle)
    }

    /// Takes one of the requests that this process may send to a server without a coordinator.
    ///
    /// Answers the loss of the coordinator: each of `processes` processes sends a request now and then, at random
    /// and one at a time, so that they rarely meet more requests than the server has slots.
    ///
    /// # Errors
    ///
    /// Returns the time until the next one.
    pub(super) fn try_take_turn(
        &mut self,
        now_ms: u64,
        service: &str,
        server: BackendKey,
        slots: u32,
        processes: usize,
    ) -> Result<(), u64> {
        let duration_ms = self.durations_ms.get(service).copied().unwrap_or(DEFAULT_DURATION_MS);
        let room = f64::from(slots.max(1)) * SHARED_PART;
        let interval_ms = (duration_ms * processes as f64 / room).clamp(1.0, MAX_INTERVAL_MS);
        let draw = || now_ms + (fastrand::f64() * 2.0 * interval_ms) as u64;
        let turn_ms = *self.turns_ms.entry(server).or_insert_with(draw);
        if now_ms < turn_ms {
            return Err(turn_ms - now_ms);
        }
        self.turns_ms.insert(server, draw());
        // Turns without a request aren't saved up.
        if turn_ms as f64 + interval_ms < now_ms as f64 {
            return Err(1);
        }
        Ok(())
    }
}

#[cfg(test)]
mod tests;
