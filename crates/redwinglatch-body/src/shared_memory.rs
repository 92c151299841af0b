//! The memory accountant of several tasks.

use std::{
    collections::HashMap,
    net::IpAddr,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
};

use tokio::{sync::Notify, time::Instant};

use crate::{
    memory_accountant::{BodyAccount, ConnectionId, MemoryAccountant, MemoryBounds, NoRoom},
    progress::{Activity, ProgressLimits},
};

/// What the tasks of one connection share with the accountant.
#[derive(Debug, Default)]
struct ConnectionSignals {
    close: Notify,
    /// Whether the body that is arriving is refused for lack of room.
    is_refused: AtomicBool,
    refuse: Notify,
    /// Whether the process lacks room for the body that is arriving, so that its sender isn't to blame.
    is_waiting: AtomicBool,
}

#[derive(Debug)]
struct State {
    accountant: MemoryAccountant,
    connections: HashMap<ConnectionId, Arc<ConnectionSignals>>,
}

impl State {
    fn close_named(&mut self) {
        for id in self.accountant.take_named() {
            if let Some(signals) = self.connections.get(&id) {
                signals.close.notify_one();
            }
        }
        for id in self.accountant.take_refused() {
            if let Some(signals) = self.connections.get(&id) {
                signals.is_refused.store(true, Ordering::Relaxed);
                signals.refuse.notify_one();
            }
        }
    }
}

/// A [`MemoryAccountant`] that several tasks use, and that tells connections to close.
#[derive(Debug, Clone)]
pub struct SharedMemory {
    state: Arc<Mutex<State>>,
    started_at: Instant,
}

impl SharedMemory {
    /// Creates the accountant.
    #[must_use]
    pub fn new(bounds: MemoryBounds) -> SharedMemory {
        let accountant = MemoryAccountant::new(bounds);
        let state = State { accountant, connections: HashMap::new() };
        SharedMemory { state: Arc::new(Mutex::new(state)), started_at: Instant::now() }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        // The accountant only counts, so a poisoned lock is usable.
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn now_ms(&self) -> u64 {
        u64::try_from(self.started_at.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    /// Returns the memory that is counted and the number of connections.
    #[must_use]
    pub fn usage(&self) -> (usize, usize) {
        let state = self.state();
        (state.accountant.used_bytes(), state.accountant.connections())
    }

    /// Opens a connection of a peer whose heads may have up to `head_bytes`.
    ///
    /// # Errors
    ///
    /// Fails while there is no room for it.
    pub fn open(
        &self,
        peer: IpAddr,
        limits: ProgressLimits,
        head_bytes: usize,
    ) -> Result<ConnectionMemory, NoRoom> {
        let now_ms = self.now_ms();
        let mut state = self.state();
        let opened = state.accountant.open(now_ms, peer, limits, head_bytes);
        state.close_named();
        let id = opened?;
        let signals = Arc::<ConnectionSignals>::default();
        state.connections.insert(id, Arc::clone(&signals));
        Ok(ConnectionMemory { memory: self.clone(), id, signals })
    }

    /// Records what connections do, and returns those that make too little progress to stay open.
    pub fn observe(
        &self,
        activities: impl Iterator<Item = (ConnectionId, Activity)>,
    ) -> Vec<ConnectionId> {
        let now_ms = self.now_ms();
        let mut state = self.state();
        let mut expired = Vec::new();
        for (id, activity) in activities {
            let is_waiting = matches!(activity, Activity::Body { .. })
                && state
                    .connections
                    .get(&id)
                    .is_some_and(|signals| signals.is_waiting.load(Ordering::Relaxed));
            let activity = if is_waiting { Activity::Serving } else { activity };
            if state.accountant.observe(now_ms, id, activity) {
                expired.push(id);
            }
        }
        state.accountant.relieve(now_ms);
        state.close_named();
        expired
    }

    /// Closes some connections without progress, because no file descriptors are free.
    pub fn shed(&self) {
        let now_ms = self.now_ms();
        let mut state = self.state();
        state.accountant.shed(now_ms);
        state.close_named();
    }

    /// Tells a connection to close.
    pub fn close(&self, id: ConnectionId) {
        if let Some(signals) = self.state().connections.get(&id) {
            signals.close.notify_one();
        }
    }

    /// Returns the memory of a body that is empty so far.
    #[must_use]
    pub fn body(&self, connection: Option<ConnectionId>) -> BodyMemory {
        let state = self.state();
        let account = state.accountant.body(connection);
        let signals = connection.and_then(|id| state.connections.get(&id)).cloned();
        drop(state);
        if let Some(signals) = &signals {
            signals.is_refused.store(false, Ordering::Relaxed);
        }
        BodyMemory { memory: self.clone(), account, signals }
    }
}

/// The memory of a connection; it is counted until this is dropped.
#[derive(Debug)]
pub struct ConnectionMemory {
    memory: SharedMemory,
    id: ConnectionId,
    signals: Arc<ConnectionSignals>,
}

impl ConnectionMemory {
    /// Returns the id of the connection.
    #[must_use]
    pub fn id(&self) -> ConnectionId {
        self.id
    }

    /// Waits until the connection must be closed, for lack of memory or of progress.
    pub async fn must_close(&self) {
        self.signals.close.notified().await;
    }
}

impl Drop for ConnectionMemory {
    fn drop(&mut self) {
        let mut state = self.memory.state();
        state.accountant.close(self.id);
        state.connections.remove(&self.id);
    }
}

/// The memory of a body; it is counted until this is dropped.
#[derive(Debug)]
pub struct BodyMemory {
    memory: SharedMemory,
    account: BodyAccount,
    signals: Option<Arc<ConnectionSignals>>,
}

impl BodyMemory {
    /// Takes memory for `bytes` in all.
    ///
    /// # Errors
    ///
    /// Fails while there is no room.
    pub fn grow(&mut self, bytes: usize) -> Result<(), NoRoom> {
        let now_ms = self.memory.now_ms();
        let mut state = self.memory.state();
        let grown = state.accountant.grow(now_ms, &mut self.account, bytes);
        state.close_named();
        grown
    }

    /// Waits until the body is refused in favour of others, which never happens to one of no connection.
    pub(crate) fn refused(&self) -> impl Future<Output = ()> + use<> {
        let signals = self.signals.clone();
        async move {
            let Some(signals) = signals else { return std::future::pending().await };
            // A notification may be left from an earlier body of the connection.
            while !signals.is_refused.load(Ordering::Relaxed) {
                signals.refuse.notified().await;
            }
        }
    }

    /// States whether the process lacks room for the body.
    pub(crate) fn set_waiting(&self, is_waiting: bool) {
        if let Some(signals) = &self.signals {
            signals.is_waiting.store(is_waiting, Ordering::Relaxed);
        }
    }
}

impl Drop for BodyMemory {
    fn drop(&mut self) {
        self.memory.state().accountant.release(self.account);
    }
}
