//! HTTP client for the platform's list of live and leaving backend servers.
//!
//! The list may lag behind the real state and may be unreachable, so [`PlatformClient`] keeps
//! the last good list and reports its age.
//!
//! ```
//! use redwinglatch_backends::{BackendClient, BackendSettings};
//! use redwinglatch_fakes::{FakePlatform, InstanceState, PlatformSettings};
//! use redwinglatch_platform::{ListedBackendState, PlatformClient};
//!
//! # #[tokio::main(flavor = "current_thread")]
//! # async fn main() -> Result<(), Box<dyn std::error::Error>> {
//! let platform = FakePlatform::start(PlatformSettings::new())?;
//! platform.set("scope-writer", "10.0.0.7:8000".parse()?, "hall-a", InstanceState::Live);
//!
//! let client = BackendClient::new(BackendSettings::default());
//! let mut list = PlatformClient::new(client, platform.address());
//! list.refresh().await?;
//! let state = list.pool("scope-writer").next().map(|backend| backend.state);
//! assert_eq!(state, Some(ListedBackendState::Live));
//! # Ok(())
//! # }
//! ```

mod client;
mod listed_backend;

pub use client::PlatformClient;
pub use listed_backend::{ListedBackend, ListedBackendState};
