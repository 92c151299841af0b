//! The coordinator of a cell: routing, slots and pins, load queue, popularity, engine reports and
//! prefix cache.
//!
//! The crate has no sockets and no clock: every call takes the time as `now_ms`, and what is to be
//! sent comes back from [`Coordinator::take_effects`].
//!
//! ```
//! use redwinglatch_core::{AdapterVersion, Epoch, Incarnation, InstanceId, RequestId};
//! use redwinglatch_placement::{
//!     Coordinator, Effect, EngineInfo, Fencing, PlaceRequest, Release, Report, Settings, TakeOver,
//! };
//!
//! let mut coordinator = Coordinator::new(Settings::stalls_first(), fastrand::Rng::with_seed(1));
//! let engine = coordinator.engine_added(0, EngineInfo {
//!     address: "127.0.0.1:9001".parse().unwrap(),
//!     model: "base".into(),
//!     data_centre: "hall-a".into(),
//!     fencing: Fencing::Honoured,
//! });
//! coordinator.take_over(0, TakeOver {
//!     epoch: Epoch(1),
//!     settle_ms: 0,
//!     lease_until_ms: 4_000,
//!     live: Vec::new(),
//! });
//! coordinator.engine_report(1, engine, Report {
//!     asked_ms: 1,
//!     boot_id: "b1".into(),
//!     sequence: 1,
//!     running: 0,
//!     waiting: 0,
//!     leaving: false,
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
//!     excluded: Default::default(),
//! });
//! let effects = coordinator.take_effects();
//! let [Effect::Load(order)] = &effects[..] else { panic!("{effects:?}") };
//!
//! coordinator.load_finished(335, order.load, Ok(()));
//! let effects = coordinator.take_effects();
//! let [Effect::Answer { answer: Ok(placed), .. }] = &effects[..] else { panic!("{effects:?}") };
//! assert_eq!(placed.stall_ms, 333);
//! coordinator.release(2_000, placed.pin, Release::Finished);
//! ```
//!
//! What the coordinator expects from its caller:
//!
//! - Each load order ends with [`Coordinator::load_finished`], at the latest after a timeout.
//! - An instance sends a request within a second of its placement, or releases the pin as
//!   [`Release::NotSent`].
//! - An instance that reported its pins to a new epoch ignores placements of older epochs. Pins
//!   that it reported keep their ids.
//! - [`Coordinator::instance_lost`] is called only when the instance's serving lease has certainly
//!   expired.
//!
//! Decisions that follow from the design:
//!
//! - A request waits only while it can still be served in time. A new request is refused if the
//!   load would end too late, or if it would make an accepted one late.
//! - The step cost of an engine is its step time for each request in the batch, so a fuller batch
//!   is cheaper until it is full.
//! - Evicting costs the expected requests of the adapter within the popularity's half-life, times
//!   the load time and the weight of stalls.
//!
//! Tried in the bench and dropped (figures are in the commit bodies):
//!
//! - A shorter half-life of popularity follows shifts faster, but keeps worse adapters while
//!   popularity is steady.
//! - Moving the weight of recency by misses alone ends with recency only when the store is at its
//!   limit, which makes stalls several times longer.
//! - Starting loads in steps of slack of one load time, or always for the most waiting requests,
//!   makes stalls longer or lets accepted requests become late.
//! - Counting more engine steps against a stall raises batch efficiency further, but more requests
//!   are lost after a shift of popularity.

mod adapters;
mod coordinator;
mod customers;
mod effect;
mod engine;
mod keys;
mod pin;
mod popularity;
mod prefixes;
mod queue;
mod report;
mod request;
mod settings;
mod waiting;

pub use coordinator::{Coordinator, TakeOver};
pub use effect::{Effect, LoadFailure, LoadId, LoadOrder};
pub use report::{
    CacheEvent, CacheEventKind, CacheEvents, EngineInfo, Fencing, Report, SlotReport,
};
pub use request::{ParseRequestKeyError, PlaceRequest, Placed, Release, ReportedPin, RequestKey};
pub use settings::Settings;
