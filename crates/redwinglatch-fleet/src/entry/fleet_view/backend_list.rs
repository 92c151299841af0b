//! The backend list in the view of an entry process, and what servers have shown of themselves.

use std::{collections::HashMap, net::SocketAddr};

use super::{BackendState, FleetView};
use crate::{
    entry::{backend_health::BackendHealth, unstarted_streams::UnstartedStreams},
    ids::BackendKey,
    message::{Backend, BackendChanges},
};

/// Maximum number of servers whose announcements are kept although they are no longer listed.
const MAX_UNLISTED: usize = 256;

impl FleetView {
    pub(crate) fn has_backends(&self) -> bool {
        !self.backends.is_empty()
    }

    pub(crate) fn backends_digest(&self) -> u64 {
        self.backends_digest
    }

    pub(crate) fn set_backends(&mut self, digest: u64, entries: Vec<Backend>) {
        self.backends_digest = digest;
        let mut previous = std::mem::take(&mut self.backends);
        self.services.clear();
        for backend in entries {
            let state = previous.remove(&backend.key);
            self.insert_backend(backend, state);
        }
        self.remember_unlisted(previous);
    }

    /// Applies changes of the backend list; returns false, and changes nothing, if they start from another
    /// list.
    pub(crate) fn change_backends(&mut self, changes: BackendChanges) -> bool {
        if changes.from != self.backends_digest {
            return false;
        }
        self.backends_digest = changes.digest;
        let replaced = changes.changed.iter().map(|backend| backend.key);
        let mut previous: HashMap<BackendKey, BackendState> = HashMap::new();
        for key in changes.removed.into_iter().chain(replaced) {
            let Some(state) = self.backends.remove(&key) else { continue };
            if let Some(keys) = self.services.get_mut(&state.backend.service) {
                keys.retain(|other| *other != key);
            }
            previous.insert(key, state);
        }
        for backend in changes.changed {
            let state = previous.remove(&backend.key);
            self.insert_backend(backend, state);
        }
        self.remember_unlisted(previous);
        true
    }

    /// Keeps what removed servers have announced.
    fn remember_unlisted(&mut self, removed: HashMap<BackendKey, BackendState>) {
        let announced = removed.into_iter().filter(|(_, state)| state.health.has_announcement());
        self.unlisted.extend(announced.map(|(key, state)| (key, state.health)));
        let surplus = self.unlisted.len().saturating_sub(MAX_UNLISTED);
        self.unlisted.drain(..surplus);
    }

    /// Returns what a server that is listed again has announced before.
    fn take_unlisted(&mut self, key: BackendKey) -> Option<BackendHealth> {
        let at = self.unlisted.iter().position(|(unlisted, _)| *unlisted == key)?;
        self.unlisted.remove(at).map(|(_, health)| health)
    }

    /// Adds a server, with its state if it was listed before.
    fn insert_backend(&mut self, backend: Backend, previous: Option<BackendState>) {
        let key = backend.key;
        self.services.entry(backend.service.clone()).or_default().push(key);
        let state = match previous {
            Some(state) => BackendState { backend, ..state },
            None => BackendState {
                backend,
                own_in_flight: 0,
                others_in_flight: 0,
                is_unresponsive: false,
                health: self.take_unlisted(key).unwrap_or_default(),
                unstarted: UnstartedStreams::default(),
            },
        };
        self.backends.insert(key, state);
    }

    /// Returns the address of a backend server while it is listed.
    pub(crate) fn backend_address(&self, key: BackendKey) -> Option<SocketAddr> {
        self.backends.get(&key).map(|state| state.backend.address)
    }

    /// Records that a backend server responded.
    pub(crate) fn record_response(&mut self, key: BackendKey) {
        if let Some(state) = self.backends.get_mut(&key) {
            state.health.record_response();
        }
    }

    /// Records that a backend server did not respond, and avoids it for some time.
    pub(crate) fn record_failure(&mut self, now_ms: u64, key: BackendKey) {
        if let Some(state) = self.backends.get_mut(&key) {
            state.health.record_failure(now_ms);
        }
    }

    /// Records that a backend server wants no requests from this process before `until_ms`.
    pub(crate) fn record_hold(&mut self, key: BackendKey, until_ms: u64) {
        if let Some(state) = self.backends.get_mut(&key) {
            state.health.record_hold(until_ms);
        }
    }

    /// Records that another server has taken over the address of a backend server.
    pub(crate) fn record_replacement(&mut self, now_ms: u64, key: BackendKey) {
        if let Some(state) = self.backends.get_mut(&key) {
            state.health.record_replacement(now_ms);
        }
    }

    /// Records that a backend server announced its stop; returns whether that is new.
    pub(crate) fn record_leaving(&mut self, key: BackendKey) -> bool {
        self.backends.get_mut(&key).is_some_and(|state| state.health.record_leaving())
    }
}
