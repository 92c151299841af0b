//! Stand-ins for the outside systems of redwinglatch, over HTTP/1.1 on loopback.
//!
//! Each fake starts with `X::start(settings)` inside a tokio runtime, answers the protocol of
//! `docs/design.md` section 6.1, has controls that bring failures about, and keeps a record of what
//! ran so that a checker can decide afterwards.
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

mod answer;
mod caller;
mod engine;
mod engine_routes;
mod engine_settings;
mod engine_state;
mod engine_stream;
mod fetch;
mod link;
mod platform;
mod prefix_cache;
mod record;
mod report_log;
mod server;
mod service;
mod text;
mod wait;
mod weight_store;

pub use caller::{CallerRequest, CallerResponse, CallerStream, FakeCaller};
pub use engine::FakeEngine;
pub use engine_settings::{EngineSettings, Fencing};
pub use engine_stream::StreamFault;
pub use platform::{FakePlatform, InstanceState, PlatformSettings};
pub use record::{Eviction, OrderKind, OrderRecord, RunEnd, RunRecord};
pub use service::{FakeService, ServiceFault, ServiceRun, ServiceSettings};
pub use text::{expected_text, expected_token, prefix_hashes};
pub use weight_store::{FakeWeightStore, WeightStoreSettings};
