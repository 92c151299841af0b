//! Idle connections and limits for each address.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{
        Arc, Mutex, MutexGuard,
        atomic::{AtomicUsize, Ordering},
    },
};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Request, Response, body::Incoming};
use redwinglatch_core::RetryReason;
use tokio::{
    sync::{OwnedSemaphorePermit, Semaphore},
    time::{Duration, Instant, timeout, timeout_at},
};

use crate::{
    BackendError, BackendErrorKind, BackendSettings,
    connection::{Connection, SendFailure},
    counts::RetryCounters,
};

/// Pooled connections that are tried before a request goes to a new one.
const POOLED_ATTEMPTS: usize = 3;

/// Which limit a connection counts against.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Lane {
    /// Completions, resumes and service calls.
    Work = 0,
    /// Orders, reports and events.
    Control = 1,
}

/// Whether a request may use an idle connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Reuse {
    /// An idle connection may be used.
    Allowed,
    /// A new connection is opened.
    Never,
}

#[derive(Debug)]
struct LanePool {
    idle: Vec<Connection>,
    permits: Arc<Semaphore>,
    /// Requests that wait for a permit.
    waiting: Arc<AtomicUsize>,
}

/// Counts a request as waiting until dropped.
struct Waiting(Arc<AtomicUsize>);

impl Waiting {
    fn begin(waiting: &Arc<AtomicUsize>) -> Waiting {
        waiting.fetch_add(1, Ordering::SeqCst);
        Waiting(waiting.clone())
    }
}

impl Drop for Waiting {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::SeqCst);
    }
}

#[derive(Debug)]
struct AddressPool {
    lanes: [LanePool; 2],
}

#[derive(Debug)]
pub(crate) struct Pool {
    pub(crate) settings: BackendSettings,
    pub(crate) retries: RetryCounters,
    addresses: Mutex<HashMap<SocketAddr, AddressPool>>,
}

impl Pool {
    pub(crate) fn new(settings: BackendSettings) -> Pool {
        Pool { settings, retries: RetryCounters::new(), addresses: Mutex::default() }
    }

    /// Sends a request and waits for the response head, at most `head_limit` and until `deadline`.
    ///
    /// A request that was surely not written goes to another connection.
    pub(crate) async fn send(
        &self,
        address: SocketAddr,
        lane: Lane,
        reuse: Reuse,
        mut request: Request<Full<Bytes>>,
        head_limit: Duration,
        deadline: Instant,
    ) -> Result<(Connection, Response<Incoming>), BackendError> {
        for attempt in 0..=POOLED_ATTEMPTS {
            let reuse = if attempt == POOLED_ATTEMPTS { Reuse::Never } else { reuse };
            let Ok(checkout) = timeout_at(deadline, self.checkout(address, lane, reuse)).await
            else {
                let detail = format!("{address}: no connection before the deadline");
                return Err(BackendError::not_run(BackendErrorKind::ConnectFailed, detail));
            };
            let mut connection = checkout?;
            let until = deadline.min(Instant::now() + head_limit);
            match connection.send(request, until).await {
                Ok(response) => return Ok((connection, response)),
                Err(SendFailure::NotSent(unsent)) => {
                    self.retries.count(RetryReason::StaleConnection);
                    request = *unsent;
                }
                Err(SendFailure::Unknown(error)) => {
                    if error.kind == BackendErrorKind::Silent {
                        self.drop_suspects(address);
                    }
                    return Err(error);
                }
            }
        }
        Err(BackendError::not_run(BackendErrorKind::NotSent, address.to_string()))
    }

    /// Puts a connection whose last exchange is complete back for reuse.
    pub(crate) fn release(&self, address: SocketAddr, lane: Lane, mut connection: Connection) {
        if connection.is_closed() {
            return;
        }
        connection.note_proof();
        let mut addresses = self.addresses();
        let pool = &mut self.address_pool(&mut addresses, address).lanes[lane as usize];
        // An idle connection keeps its permit, so one that others wait for is closed instead.
        let wanted = pool.waiting.load(Ordering::SeqCst) > 0;
        if !wanted && pool.idle.len() < self.settings.idle_per_address {
            pool.idle.push(connection);
        }
    }

    /// Drops every idle connection to an address of which one connection was silent.
    ///
    /// Whatever silenced one established connection has probably silenced the others too.
    pub(crate) fn drop_suspects(&self, address: SocketAddr) {
        if let Some(pool) = self.addresses().get_mut(&address) {
            pool.lanes.iter_mut().for_each(|lane| lane.idle.clear());
        }
    }

    async fn checkout(
        &self,
        address: SocketAddr,
        lane: Lane,
        reuse: Reuse,
    ) -> Result<Connection, BackendError> {
        let settings = &self.settings;
        let probe_timeout = Duration::from_millis(settings.probe_timeout_ms);
        while reuse == Reuse::Allowed
            && let Some(mut connection) = self.take_idle(address, lane)
        {
            let idle_ms = connection.proven_at().elapsed().as_millis();
            let works = if idle_ms < u128::from(settings.probe_after_ms) {
                connection.is_ready_within(probe_timeout).await
            } else {
                connection.probe(address, probe_timeout).await
            };
            if works {
                return Ok(connection);
            }
            self.retries.count(RetryReason::StaleConnection);
            if !connection.is_closed() {
                self.drop_suspects(address);
            }
        }
        let permit = self.permit(address, lane).await?;
        let connect_timeout = Duration::from_millis(settings.connect_timeout_ms);
        Connection::open(address, permit, connect_timeout).await
    }

    /// Takes the most recently used idle connection that is not closed or too old.
    fn take_idle(&self, address: SocketAddr, lane: Lane) -> Option<Connection> {
        let mut addresses = self.addresses();
        let idle = &mut addresses.get_mut(&address)?.lanes[lane as usize].idle;
        let idle_limit = Duration::from_millis(self.settings.idle_limit_ms);
        while let Some(connection) = idle.pop() {
            if !connection.is_closed() && connection.proven_at().elapsed() < idle_limit {
                return Some(connection);
            }
        }
        None
    }

    /// Waits for the right to open one more connection, at the cost of an idle one if need be.
    async fn permit(
        &self,
        address: SocketAddr,
        lane: Lane,
    ) -> Result<OwnedSemaphorePermit, BackendError> {
        let (permits, _waiting) = {
            let mut addresses = self.addresses();
            let pool = &mut self.address_pool(&mut addresses, address).lanes[lane as usize];
            if pool.permits.available_permits() == 0 && !pool.idle.is_empty() {
                pool.idle.remove(0);
            }
            (pool.permits.clone(), Waiting::begin(&pool.waiting))
        };
        let limit = Duration::from_millis(self.settings.connect_timeout_ms);
        match timeout(limit, permits.acquire_owned()).await {
            Ok(Ok(permit)) => Ok(permit),
            _ => Err(BackendError::not_run(BackendErrorKind::PoolFull, address.to_string())),
        }
    }

    fn address_pool<'a>(
        &self,
        addresses: &'a mut HashMap<SocketAddr, AddressPool>,
        address: SocketAddr,
    ) -> &'a mut AddressPool {
        let settings = &self.settings;
        if !addresses.contains_key(&address) {
            // The map grows only here, so addresses that are no longer used are forgotten here.
            let idle_limit = Duration::from_millis(settings.idle_limit_ms);
            let limits =
                [settings.connections_per_address, settings.control_connections_per_address];
            addresses.retain(|_, pool| {
                pool.lanes.iter_mut().zip(limits).any(|(lane, limit)| {
                    lane.idle.retain(|idle| {
                        !idle.is_closed() && idle.proven_at().elapsed() < idle_limit
                    });
                    lane.permits.available_permits() < limit
                })
            });
        }
        addresses.entry(address).or_insert_with(|| {
            let lane = |limit| LanePool {
                idle: Vec::new(),
                permits: Arc::new(Semaphore::new(limit)),
                waiting: Arc::default(),
            };
            let work = lane(settings.connections_per_address);
            AddressPool { lanes: [work, lane(settings.control_connections_per_address)] }
        })
    }

    fn addresses(&self) -> MutexGuard<'_, HashMap<SocketAddr, AddressPool>> {
        self.addresses.lock().expect("the pool's lock is sound")
    }
}
