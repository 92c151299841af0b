//! A connection pool with limits for each address.

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
    retry_counts::RetryCounters,
};

/// Number of pooled connections that are tried before a request is sent on a new one.
const POOLED_ATTEMPTS: usize = 3;

/// The class of traffic that a connection carries; each class has its own connection limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum TrafficClass {
    /// Completions, resumed streams and service calls.
    Request = 0,
    /// Orders, reports and events.
    Control = 1,
}

/// Whether a request may be sent on an idle connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ConnectionReuse {
    /// An idle connection may be used.
    Allowed,
    /// A new connection is opened.
    Never,
}

#[derive(Debug)]
struct ClassPool {
    idle: Vec<Connection>,
    permits: Arc<Semaphore>,
    /// Number of requests that wait for a permit.
    waiting_requests: Arc<AtomicUsize>,
}

/// Counts a request as waiting until the guard is dropped.
struct WaitingGuard(Arc<AtomicUsize>);

impl WaitingGuard {
    fn new(waiting_requests: &Arc<AtomicUsize>) -> WaitingGuard {
        waiting_requests.fetch_add(1, Ordering::SeqCst);
        WaitingGuard(waiting_requests.clone())
    }
}

impl Drop for WaitingGuard {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::SeqCst);
    }
}

#[derive(Debug)]
struct AddressPool {
    classes: [ClassPool; 2],
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

    /// Sends a request and waits for the response head, at most for `head_timeout` and until
    /// `deadline`.
    ///
    /// A request that was certainly not written is retried on another connection.
    pub(crate) async fn send(
        &self,
        address: SocketAddr,
        class: TrafficClass,
        reuse: ConnectionReuse,
        mut request: Request<Full<Bytes>>,
        head_timeout: Duration,
        deadline: Instant,
    ) -> Result<(Connection, Response<Incoming>), BackendError> {
        for attempt in 0..=POOLED_ATTEMPTS {
            let reuse = if attempt == POOLED_ATTEMPTS { ConnectionReuse::Never } else { reuse };
            let Ok(checkout) = timeout_at(deadline, self.checkout(address, class, reuse)).await
            else {
                let detail = format!("{address}: no connection before the deadline");
                return Err(BackendError::not_run(BackendErrorKind::ConnectFailed, detail));
            };
            let mut connection = checkout?;
            let head_deadline = deadline.min(Instant::now() + head_timeout);
            match connection.send(request, head_deadline).await {
                Ok(response) => return Ok((connection, response)),
                Err(SendFailure::NotSent(unsent)) => {
                    self.retries.increment(RetryReason::StaleConnection);
                    request = *unsent;
                }
                Err(SendFailure::Unknown(error)) => {
                    if error.kind == BackendErrorKind::Unresponsive {
                        self.drop_idle_connections(address);
                    }
                    return Err(error);
                }
            }
        }
        Err(BackendError::not_run(BackendErrorKind::NotSent, address.to_string()))
    }

    /// Returns a connection to the pool after a complete exchange.
    pub(crate) fn release(
        &self,
        address: SocketAddr,
        class: TrafficClass,
        mut connection: Connection,
    ) {
        if connection.is_closed() {
            return;
        }
        connection.mark_verified();
        let mut addresses = self.addresses();
        let pool = &mut self.address_pool(&mut addresses, address).classes[class as usize];
        // An idle connection keeps its permit, so the connection is closed if a request waits
        // for a permit.
        let has_waiting_requests = pool.waiting_requests.load(Ordering::SeqCst) > 0;
        if !has_waiting_requests && pool.idle.len() < self.settings.idle_per_address {
            pool.idle.push(connection);
        }
    }

    /// Drops every idle connection to an address after one of its connections was unresponsive.
    ///
    /// The fault that stopped one established connection has probably stopped the others too.
    pub(crate) fn drop_idle_connections(&self, address: SocketAddr) {
        if let Some(pool) = self.addresses().get_mut(&address) {
            pool.classes.iter_mut().for_each(|class| class.idle.clear());
        }
    }

    async fn checkout(
        &self,
        address: SocketAddr,
        class: TrafficClass,
        reuse: ConnectionReuse,
    ) -> Result<Connection, BackendError> {
        let settings = &self.settings;
        let probe_timeout = Duration::from_millis(settings.probe_timeout_ms);
        while reuse == ConnectionReuse::Allowed
            && let Some(mut connection) = self.take_idle(address, class)
        {
            let idle_ms = connection.verified_at().elapsed().as_millis();
            let is_usable = if idle_ms < u128::from(settings.probe_after_ms) {
                connection.is_ready_within(probe_timeout).await
            } else {
                connection.probe(address, probe_timeout).await
            };
            if is_usable {
                return Ok(connection);
            }
            self.retries.increment(RetryReason::StaleConnection);
            if !connection.is_closed() {
                self.drop_idle_connections(address);
            }
        }
        let permit = self.acquire_permit(address, class).await?;
        let connect_timeout = Duration::from_millis(settings.connect_timeout_ms);
        Connection::open(address, permit, connect_timeout).await
    }

    /// Takes the most recently used idle connection that is open and within the idle limit.
    fn take_idle(&self, address: SocketAddr, class: TrafficClass) -> Option<Connection> {
        let mut addresses = self.addresses();
        let idle = &mut addresses.get_mut(&address)?.classes[class as usize].idle;
        let idle_limit = Duration::from_millis(self.settings.idle_limit_ms);
        while let Some(connection) = idle.pop() {
            if !connection.is_closed() && connection.verified_at().elapsed() < idle_limit {
                return Some(connection);
            }
        }
        None
    }

    /// Waits for a permit to open a connection; closes an idle one if none is free.
    async fn acquire_permit(
        &self,
        address: SocketAddr,
        class: TrafficClass,
    ) -> Result<OwnedSemaphorePermit, BackendError> {
        let (permits, _waiting) = {
            let mut addresses = self.addresses();
            let pool = &mut self.address_pool(&mut addresses, address).classes[class as usize];
            if pool.permits.available_permits() == 0 && !pool.idle.is_empty() {
                pool.idle.remove(0);
            }
            (pool.permits.clone(), WaitingGuard::new(&pool.waiting_requests))
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
            // The map grows only here, so addresses without connections are removed here.
            let idle_limit = Duration::from_millis(settings.idle_limit_ms);
            let limits =
                [settings.connections_per_address, settings.control_connections_per_address];
            addresses.retain(|_, pool| {
                pool.classes.iter_mut().zip(limits).any(|(class, limit)| {
                    class.idle.retain(|idle| {
                        !idle.is_closed() && idle.verified_at().elapsed() < idle_limit
                    });
                    class.permits.available_permits() < limit
                })
            });
        }
        addresses.entry(address).or_insert_with(|| {
            let new_class = |limit| ClassPool {
                idle: Vec::new(),
                permits: Arc::new(Semaphore::new(limit)),
                waiting_requests: Arc::default(),
            };
            let requests = new_class(settings.connections_per_address);
            AddressPool { classes: [requests, new_class(settings.control_connections_per_address)] }
        })
    }

    fn addresses(&self) -> MutexGuard<'_, HashMap<SocketAddr, AddressPool>> {
        self.addresses.lock().expect("the pool lock is not poisoned")
    }
}
