//! The routing configuration of a deployment: the service of each request, and its limits.
//!
//! A [`Configuration`] is plain data. [`RouteTable::new`] validates it and indexes its routes;
//! [`RouteTable::find`] selects the route with the longest prefix of a request's path.

mod configuration;
mod customer;
mod customer_index;
mod route_table;

pub use configuration::{
    Configuration, EngineSpec, ModelSpec, RequestKind, RequestLimits, Route, ServiceSpec,
    WeightedService,
};
pub use customer::{ApiKey, CustomerSpec, UsageLimit, UsageUnit};
pub use customer_index::CustomerKey;
pub use route_table::{InvalidConfiguration, RouteKey, RouteTable, ServiceKey};
