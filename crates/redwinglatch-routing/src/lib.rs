//! The routing configuration of a deployment: which request goes to which service, and how.
//!
//! A [`Configuration`] is plain data. [`RouteTable::new`] checks it and indexes its routes;
//! [`RouteTable::find`] selects the route with the longest prefix of a request's path.

mod configuration;
mod route_table;

pub use configuration::{
    Configuration, EngineSpec, ModelSpec, RequestKind, RequestLimits, Route, ServiceSpec, Target,
};
pub use route_table::{InvalidConfiguration, RouteKey, RouteTable, ServiceKey};
