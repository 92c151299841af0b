//! Digests that tell whether requests with different ids are the same.

use std::net::IpAddr;

use bytes::Bytes;
use hyper::{Method, Uri};
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// The digests of a request. The content itself isn't kept.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct RequestDigests {
    /// Digest of the method, the host, the path with its query, and the body.
    pub(crate) content: u64,
    /// Digest of these and the caller's address.
    pub(crate) content_and_caller: u64,
}

impl RequestDigests {
    pub(crate) fn of(
        method: &Method,
        host: &str,
        uri: &Uri,
        body: &Bytes,
        caller: IpAddr,
    ) -> RequestDigests {
        let mut hasher = Sha256::new();
        let target = uri.path_and_query().map_or("/", |target| target.as_str());
        for field in [method.as_str().as_bytes(), host.as_bytes(), target.as_bytes(), body] {
            // The lengths keep apart fields of which one ends where the other begins.
            hasher.update((field.len() as u64).to_le_bytes());
            hasher.update(field);
        }
        let content = first_bytes(hasher.clone());
        hasher.update(caller.to_string());
        RequestDigests { content, content_and_caller: first_bytes(hasher) }
    }

    /// Returns both digests, the wider one first.
    pub(crate) fn both(self) -> [u64; 2] {
        [self.content, self.content_and_caller]
    }
}

fn first_bytes(hasher: Sha256) -> u64 {
    let bytes = hasher.finalize();
    let mut first = [0; 8];
    first.copy_from_slice(&bytes[..8]);
    u64::from_le_bytes(first)
}

#[cfg(test)]
mod tests;
