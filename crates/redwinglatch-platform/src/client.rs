//! A client that keeps the last good backend list.

use std::net::SocketAddr;

use redwinglatch_backends::{BackendClient, BackendError};
use tokio::time::Instant;

use crate::{ListedBackend, listed_backend::BackendListDocument};

/// Fetches the platform's backend list and keeps the last good one.
#[derive(Debug)]
pub struct PlatformClient {
    client: BackendClient,
    address: SocketAddr,
    backends: Vec<ListedBackend>,
    malformed_entries: usize,
    fetched_at: Option<Instant>,
}

impl PlatformClient {
    /// Creates a client of the platform at `address`, with no list yet.
    #[must_use]
    pub fn new(client: BackendClient, address: SocketAddr) -> PlatformClient {
        PlatformClient {
            client,
            address,
            backends: Vec::new(),
            malformed_entries: 0,
            fetched_at: None,
        }
    }

    /// Fetches the backend list and returns whether it changed.
    ///
    /// # Errors
    ///
    /// Fails when the platform can't be reached, does not respond in time, or sends a malformed
    /// list. The last good list is kept.
    pub async fn refresh(&mut self) -> Result<bool, BackendError> {
        // The age counts from before the request, because the response may be as old as
        // the request.
        let requested_at = Instant::now();
        let list: BackendListDocument = self.client.get_json(self.address, "/instances").await?;
        let (backends, malformed_entries) = list.into_backends();
        if malformed_entries > 0 && malformed_entries != self.malformed_entries {
            log::warn!(
                "platform: ignored {malformed_entries} malformed entries of the backend list"
            );
        }
        self.malformed_entries = malformed_entries;
        self.fetched_at = Some(requested_at);
        let changed = backends != self.backends;
        self.backends = backends;
        Ok(changed)
    }

    /// Returns the backend servers of the last good list, ordered by pool and address.
    #[must_use]
    pub fn backends(&self) -> &[ListedBackend] {
        &self.backends
    }

    /// Returns the backend servers of one pool.
    pub fn pool<'a>(&'a self, pool: &'a str) -> impl Iterator<Item = &'a ListedBackend> {
        self.backends.iter().filter(move |backend| *backend.pool == *pool)
    }

    /// Returns the number of malformed entries of the last good list, which were ignored.
    #[must_use]
    pub fn malformed_entries(&self) -> usize {
        self.malformed_entries
    }

    /// Returns the age of the last good list, or `None` before the first one.
    #[must_use]
    pub fn age_ms(&self) -> Option<u64> {
        self.fetched_at.map(|at| u64::try_from(at.elapsed().as_millis()).unwrap_or(u64::MAX))
    }
}
