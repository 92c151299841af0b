//! The client that keeps the last good list.

use std::net::SocketAddr;

use redwinglatch_backends::{BackendClient, BackendError};
use tokio::time::Instant;

use crate::{Member, member::WireList};

/// Fetches the platform's list and keeps the last good one.
#[derive(Debug)]
pub struct PlatformClient {
    client: BackendClient,
    address: SocketAddr,
    members: Vec<Member>,
    skipped: usize,
    fetched_at: Option<Instant>,
}

impl PlatformClient {
    /// Creates a client of the platform at `address`, with no list yet.
    #[must_use]
    pub fn new(client: BackendClient, address: SocketAddr) -> PlatformClient {
        PlatformClient { client, address, members: Vec::new(), skipped: 0, fetched_at: None }
    }

    /// Fetches the list and returns whether it changed.
    ///
    /// # Errors
    ///
    /// Fails when the platform can't be reached, does not answer in time, or answers in another
    /// form. The last good list is kept.
    pub async fn refresh(&mut self) -> Result<bool, BackendError> {
        // The age counts from before the request, because the answer may be as old as that.
        let asked_at = Instant::now();
        let list: WireList = self.client.get_json(self.address, "/instances").await?;
        let (members, skipped) = list.into_members();
        if skipped > 0 && skipped != self.skipped {
            log::warn!("platform: {skipped} entries of the list are malformed and left out");
        }
        self.skipped = skipped;
        self.fetched_at = Some(asked_at);
        let changed = members != self.members;
        self.members = members;
        Ok(changed)
    }

    /// The entries of the last good list, ordered by pool and address.
    #[must_use]
    pub fn members(&self) -> &[Member] {
        &self.members
    }

    /// The entries of one pool.
    pub fn pool<'a>(&'a self, pool: &'a str) -> impl Iterator<Item = &'a Member> {
        self.members.iter().filter(move |member| *member.pool == *pool)
    }

    /// How many entries of the last good list were malformed and left out.
    #[must_use]
    pub fn skipped(&self) -> usize {
        self.skipped
    }

    /// The age of the last good list, or `None` before the first one.
    #[must_use]
    pub fn age_ms(&self) -> Option<u64> {
        self.fetched_at.map(|at| u64::try_from(at.elapsed().as_millis()).unwrap_or(u64::MAX))
    }
}
