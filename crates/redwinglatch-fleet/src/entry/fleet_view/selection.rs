//! Selection of backend servers.

use std::{net::SocketAddr, sync::Arc};

use smallvec::SmallVec;
use tokio::sync::Notify;

use super::{BackendState, FleetView};
use crate::ids::{BackendKey, ModelName, SoftwareVersion};

/// Load per slot that is added to servers in other data centres, so that they are selected only if
/// they are that much less loaded.
const REMOTE_DATA_CENTRE_PENALTY: f64 = 0.02;
/// Time for which requests wait for an engine that wants no requests, instead of a further copy of their
/// adapter on another engine, which takes about as long to load.
const SHORT_HOLD_MS: u64 = 300;

/// A backend server that is selected for a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct SelectedBackend {
    pub(crate) key: BackendKey,
    pub(crate) id: Box<str>,
    pub(crate) address: SocketAddr,
    /// The version of the adapter that the server must have, if the adapter has versions.
    pub(crate) version: Option<u64>,
    /// The version of the server's software.
    pub(crate) software_version: Box<str>,
    /// The key of that version.
    pub(crate) software: SoftwareVersion,
}

/// Result of selecting a backend server.
#[derive(Debug)]
pub(crate) enum BackendSelection {
    /// The request can be sent to this server.
    Selected(SelectedBackend),
    /// The adapter must be loaded first; the notification fires once it is.
    AwaitLoad(Arc<Notify>),
    /// The servers that can take the request want no requests from this process before this time.
    OnHold { until_ms: u64 },
    /// No server can take the request.
    Unavailable,
}

impl BackendState {
    /// Returns whether the server is about to stop, by the backend list or by its own answers.
    pub(super) fn is_leaving(&self) -> bool {
        self.backend.leaving || self.health.is_leaving()
    }
}

impl FleetView {
    /// Selects a server of a service without engines.
    pub(crate) fn select_plain_backend(
        &self,
        now_ms: u64,
        service: &str,
        data_centre: &str,
        excluded: &[BackendKey],
    ) -> BackendSelection {
        let candidates = || self.usable_backends(service, excluded);
        if let Some(key) = self.least_loaded(now_ms, candidates(), data_centre) {
            return self.selection(key, None);
        }
        match self.earliest_hold_end_ms(now_ms, candidates()) {
            Some(until_ms) => BackendSelection::OnHold { until_ms },
            None => BackendSelection::Unavailable,
        }
    }

    /// Returns the engine that the coordinator selected, if this process knows it and it takes requests.
    pub(crate) fn placed_engine(
        &self,
        now_ms: u64,
        key: BackendKey,
        version: Option<u64>,
    ) -> BackendSelection {
        match self.backends.get(&key) {
            Some(state) if !state.is_leaving() => match state.health.hold_end_ms(now_ms) {
                Some(until_ms) => BackendSelection::OnHold { until_ms },
                None => self.selection(key, version),
            },
            _ => BackendSelection::Unavailable,
        }
    }

    /// Returns the engines of a service on which the coordinator shouldn't place requests of this process:
    /// those that announced their stop to it, want no requests from it for some time, or accept none of its
    /// connections.
    pub(crate) fn unusable_engines(&self, now_ms: u64, service: &str) -> SmallVec<[BackendKey; 4]> {
        let is_unusable = |state: &BackendState| {
            let hold_end_ms = state.health.hold_end_ms(now_ms);
            state.health.is_leaving()
                || hold_end_ms.is_some_and(|until_ms| now_ms + SHORT_HOLD_MS < until_ms)
        };
        let keys = self.services.get(service).map(Vec::as_slice).unwrap_or_default();
        let mut unusable: SmallVec<[BackendKey; 4]> = keys
            .iter()
            .filter(|key| self.backends.get(*key).is_some_and(is_unusable))
            .copied()
            .collect();
        unusable.extend(self.server_paths.failed_servers(now_ms, service));
        unusable
    }

    /// Selects an engine on which the newest known version of `model` is loaded.
    pub(crate) fn select_engine(
        &mut self,
        now_ms: u64,
        service: &str,
        model: &ModelName,
        data_centre: &str,
        excluded: &[BackendKey],
    ) -> BackendSelection {
        let newest = self.versions.get(model).copied();
        let locations = self.model_locations.get(model).map(SmallVec::as_slice).unwrap_or_default();
        let candidates = || {
            let current = locations.iter().filter(|(key, version)| {
                newest.is_none_or(|newest| *version >= newest)
                    && self.backends.get(key).is_some_and(|state| {
                        *state.backend.service == *service && !state.is_leaving()
                    })
            });
            current.map(|(key, _)| *key).filter(|key| !excluded.contains(key))
        };
        let backlog_end_ms = |key: &BackendKey| {
            self.backends.get(key).and_then(|state| state.unstarted.backlog_end_ms(now_ms))
        };
        let ready = candidates().filter(|key| backlog_end_ms(key).is_none());
        if let Some(best) = self.least_loaded(now_ms, ready, data_centre) {
            let version =
                locations.iter().find(|(key, _)| *key == best).map(|(_, version)| *version);
            return self.selection(best, version.filter(|_| newest.is_some()));
        }
        if let Some(until_ms) = candidates().filter_map(|key| backlog_end_ms(&key)).min() {
            return BackendSelection::OnHold { until_ms };
        }
        if self.usable_backends(service, &[]).next().is_none() {
            return BackendSelection::Unavailable;
        }
        if let Some(until_ms) = self.earliest_hold_end_ms(now_ms, candidates()) {
            return BackendSelection::OnHold { until_ms };
        }
        BackendSelection::AwaitLoad(Arc::clone(
            self.load_notifiers.entry(model.clone()).or_default(),
        ))
    }

    /// Returns the time at which the first server of a service takes requests again, if all servers that
    /// aren't leaving want none.
    pub(crate) fn service_hold_end_ms(&self, now_ms: u64, service: &str) -> Option<u64> {
        let mut earliest_ms: Option<u64> = None;
        for key in self.usable_backends(service, &[]) {
            let hold_end_ms = self.backends.get(&key)?.health.hold_end_ms(now_ms)?;
            earliest_ms = Some(earliest_ms.map_or(hold_end_ms, |end_ms| end_ms.min(hold_end_ms)));
        }
        earliest_ms
    }

    /// Returns the time at which the first server of a service that denies requests now because of its limit
    /// may take one.
    pub(crate) fn service_denied_until_ms(&self, now_ms: u64, service: &str) -> Option<u64> {
        let servers = self.usable_backends(service, &[]);
        servers.filter_map(|key| self.denied_until_ms(now_ms, key)).min()
    }

    /// Returns the servers of a service that aren't leaving.
    pub(super) fn usable_backends(
        &self,
        service: &str,
        excluded: &[BackendKey],
    ) -> impl Iterator<Item = BackendKey> {
        let keys = self.services.get(service).map(Vec::as_slice).unwrap_or_default();
        keys.iter().copied().filter(|key| {
            let is_leaving = self.backends.get(key).is_none_or(BackendState::is_leaving);
            !is_leaving && !excluded.contains(key)
        })
    }

    /// Returns the first time at which one of the candidates takes requests again, if one is on hold.
    fn earliest_hold_end_ms(
        &self,
        now_ms: u64,
        candidates: impl Iterator<Item = BackendKey>,
    ) -> Option<u64> {
        candidates.filter_map(|key| self.backends.get(&key)?.health.hold_end_ms(now_ms)).min()
    }

    fn selection(&self, key: BackendKey, version: Option<u64>) -> BackendSelection {
        match self.backends.get(&key) {
            Some(state) => BackendSelection::Selected(SelectedBackend {
                key,
                id: state.backend.id.clone(),
                address: state.backend.address,
                version,
                software_version: state.backend.software_version.clone(),
                software: state.backend.software(),
            }),
            None => BackendSelection::Unavailable,
        }
    }

    /// Returns the candidate with the lowest number of requests per slot that takes requests.
    ///
    /// Unresponsive servers and those that failed recently are selected only if there is no other.
    fn least_loaded(
        &self,
        now_ms: u64,
        candidates: impl Iterator<Item = BackendKey>,
        data_centre: &str,
    ) -> Option<BackendKey> {
        let mut best: Option<((bool, f64), BackendKey)> = None;
        for key in candidates {
            let Some(state) = self.backends.get(&key) else { continue };
            let is_denied = self.denied_until_ms(now_ms, key).is_some();
            if is_denied || state.health.hold_end_ms(now_ms).is_some() {
                continue;
            }
            let is_avoided = state.is_unresponsive || state.health.is_avoided(now_ms);
            let in_flight = f64::from(state.own_in_flight + state.others_in_flight);
            let remote_penalty = if *state.backend.data_centre == *data_centre {
                0.0
            } else {
                REMOTE_DATA_CENTRE_PENALTY
            };
            // Noise below one request keeps entry processes that see the same counts from selecting
            // the same server.
            let noise = fastrand::f64() * 0.5;
            let cost = (in_flight + noise) / f64::from(state.backend.slots.max(1)) + remote_penalty;
            let rank = (is_avoided, cost);
            if best.as_ref().is_none_or(|(lowest, _)| rank < *lowest) {
                best = Some((rank, key));
            }
        }
        best.map(|(_, key)| key)
    }
}
