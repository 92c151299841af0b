//! HTTP client of the platform's list of live and leaving instances.
//!
//! The list lags and may be out of reach, so [`PlatformClient`] keeps the last good list and
//! reports its age.
//!
//! ```
//! use redwinglatch_backends::{BackendClient, BackendSettings};
//! use redwinglatch_fakes::{FakePlatform, InstanceState, PlatformSettings};
//! use redwinglatch_platform::{MemberState, PlatformClient};
//!
//! # #[tokio::main(flavor = "current_thread")]
//! # async fn main() -> Result<(), Box<dyn std::error::Error>> {
//! let platform = FakePlatform::start(PlatformSettings::new())?;
//! platform.set("scope-writer", "10.0.0.7:8000".parse()?, "hall-a", InstanceState::Live);
//!
//! let client = BackendClient::new(BackendSettings::default());
//! let mut list = PlatformClient::new(client, platform.address());
//! list.refresh().await?;
//! assert_eq!(list.pool("scope-writer").next().map(|member| member.state), Some(MemberState::Live));
//! # Ok(())
//! # }
//! ```

mod client;
mod member;

pub use client::PlatformClient;
pub use member::{Member, MemberState};
