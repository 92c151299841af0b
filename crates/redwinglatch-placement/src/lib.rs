//! The coordinator of a cell: routing, slots and pins, load queue, popularity, engine reports and
//! prefix cache.
//!
//! The crate has no sockets and no clock: every call takes the time as `now_ms`, and what is to be
//! sent comes back from [`Coordinator::take_effects`].

mod coordinator;
mod effect;
mod report;
mod request;
mod settings;

pub use coordinator::{Coordinator, TakeOver};
pub use effect::{Effect, LoadFailure, LoadId, LoadOrder};
pub use report::{
    CacheEvent, CacheEventKind, CacheEvents, EngineInfo, Fencing, Report, SlotReport,
};
pub use request::{ParseRequestKeyError, PlaceRequest, Placed, Release, ReportedPin, RequestKey};
pub use settings::Settings;
