//! Placement decisions of a cell's coordinator: request routing, adapter slots and pins, the load
//! queue, popularity estimates, engine snapshots and prefix cache indexes.
//!
//! The crate uses no sockets and no clock: every call takes the current time as `now_ms`, and
//! [`Coordinator::take_effects`] returns the orders, reads and responses for the caller to send.
//!
//! ```
//! use redwinglatch_core::{AdapterVersion, Epoch, Incarnation, InstanceId, RequestId};
//! use redwinglatch_placement::{
//!     Coordinator, CoordinatorTakeover, Effect, EngineInfo, EngineSnapshot, FencingMode,
//!     PlaceRequest, PlacementSettings, Release,
//! };
//!
//! let mut coordinator =
//!     Coordinator::new(PlacementSettings::stalls_first(), fastrand::Rng::with_seed(1));
//! let engine = coordinator.engine_added(0, EngineInfo {
//!     address: "127.0.0.1:9001".parse().unwrap(),
//!     model: "base".into(),
//!     data_centre: "hall-a".into(),
//!     fencing: FencingMode::Honoured,
//! });
//! coordinator.take_over(0, CoordinatorTakeover {
//!     epoch: Epoch(1),
//!     settle_ms: 0,
//!     lease_until_ms: 4_000,
//!     live: Vec::new(),
//! });
//! coordinator.engine_report(1, engine, EngineSnapshot {
//!     requested_ms: 1,
//!     boot_id: "b1".into(),
//!     sequence: 1,
//!     running: 0,
//!     waiting: 0,
//!     is_leaving: false,
//!     slot_count: 8,
//!     max_batch: 16,
//!     slots: Default::default(),
//!     requests: Vec::new(),
//! });
//! coordinator.take_effects();
//!
//! coordinator.place(2, PlaceRequest {
//!     instance: InstanceId(1),
//!     incarnation: Incarnation(7),
//!     request: RequestId(1),
//!     model: "base".into(),
//!     adapter: AdapterVersion::new("walls", 3),
//!     customer: "lakeshore".into(),
//!     load_share_permille: 1_000,
//!     budget_ms: 10_000,
//!     priority: 5,
//!     max_tokens: 64,
//!     prefix_hashes: Default::default(),
//!     data_centre: "hall-a".into(),
//!     excluded_engines: Default::default(),
//! });
//! let effects = coordinator.take_effects();
//! let [Effect::Load(order)] = &effects[..] else { panic!("{effects:?}") };
//!
//! coordinator.load_finished(335, order.load, Ok(()));
//! let effects = coordinator.take_effects();
//! let [Effect::Respond { result: Ok(placement), .. }] = &effects[..] else {
//!     panic!("{effects:?}")
//! };
//! assert_eq!(placement.stall_ms, 333);
//! coordinator.release(2_000, placement.pin, Release::Finished);
//! ```
//!
//! Requirements on the caller:
//!
//! - Each load order ends with a call of [`Coordinator::load_finished`], at the latest after a
//!   timeout.
//! - An instance sends a request within a second of its placement, or releases the pin as
//!   [`Release::NotSent`].
//! - An instance that has reported its pins to a new epoch ignores placements of older epochs.
//!   Pins that it reported keep their ids.
//! - [`Coordinator::instance_lost`] is called only after the instance's serving lease has expired
//!   for certain.
//!
//! Design decisions:
//!
//! - A request waits only while it can still meet its deadline. A new request is refused if its
//!   load would end too late, or if its load would make an accepted request late.
//! - The step cost of an engine is its step time divided by the requests in the batch, so adding
//!   a request is cheaper on a fuller batch, until the batch is full.
//! - The cost of an eviction is the number of requests expected for the adapter within the
//!   popularity half-life, times the load time and the stall weight.
//!
//! Rejected alternatives (the commit messages have the benchmark results):
//!
//! - A shorter popularity half-life adapts to shifts faster, but retains worse adapters while
//!   popularity is steady.
//! - If only misses adjust the weight of recency, it ends at its maximum when the weight store is
//!   at its limit, which makes stalls several times longer.
//! - Starting loads in the order of slack in steps of one load time, or always in the order of the
//!   number of waiting requests, makes stalls longer or makes accepted requests late.
//! - Weighing more engine steps against a stall raises batch efficiency further, but more requests
//!   fail after a popularity shift.

mod adapters;
mod coordinator;
mod customers;
mod effect;
mod engine_state;
mod keys;
mod load_queue;
mod pin;
mod popularity;
mod prefix_index;
mod request;
mod settings;
mod snapshot;
mod waiting_request;

pub use coordinator::{Coordinator, CoordinatorTakeover};
pub use effect::{Effect, LoadFailure, LoadId, LoadOrder};
pub use request::{
    ParseRequestKeyError, PlaceRequest, Placement, Release, ReportedPin, RequestKey,
};
pub use settings::PlacementSettings;
pub use snapshot::{
    EngineInfo, EngineSnapshot, FencingMode, PrefixCacheEvent, PrefixCacheEventKind,
    PrefixCacheEvents, SlotSnapshot,
};
