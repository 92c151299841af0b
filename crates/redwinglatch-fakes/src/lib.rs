//! Fakes of the external systems of redwinglatch, served over HTTP/1.1 on loopback.
//!
//! Each fake is started with `X::start(settings)` inside a tokio runtime and implements the
//! protocol of `docs/design.md` section 6.1. It has methods that inject failures, and it records
//! what ran so that a test can check the record afterwards.
//!
//! ```
//! use redwinglatch_fakes::{EngineSettings, FakeEngine, FakeWeightStore, WeightStoreSettings};
//!
//! # #[tokio::main(flavor = "current_thread")]
//! # async fn main() -> std::io::Result<()> {
//! let store = FakeWeightStore::start(WeightStoreSettings::new().adapter("scope", 1))?;
//! let engine = FakeEngine::start(
//!     EngineSettings::new("base").slots(4).max_batch(8).weight_store(store.address()),
//! )?;
//! engine.preload("scope", 1);
//! assert!(engine.runs().is_empty());
//! engine.stop();
//! store.stop();
//! # Ok(())
//! # }
//! ```

mod caller;
mod connection_control;
mod engine;
mod engine_routes;
mod engine_settings;
mod engine_state;
mod engine_stream;
mod http_get;
mod platform;
mod prefix_cache;
mod record;
mod report_log;
mod response;
mod server;
mod service;
mod text;
mod time_limit;
mod weight_store;

pub use caller::{CallerRequest, CallerResponse, CallerStream, FakeCaller};
pub use engine::FakeEngine;
pub use engine_settings::{EngineSettings, FencingMode};
pub use engine_stream::StreamFault;
pub use platform::{FakePlatform, InstanceState, PlatformSettings};
pub use record::{Eviction, OrderKind, OrderRecord, RunEnd, RunRecord};
pub use service::{FakeService, ServiceFault, ServiceRun, ServiceSettings};
pub use text::{expected_text, expected_token, prefix_hashes};
pub use weight_store::{FakeWeightStore, WeightStoreSettings};
