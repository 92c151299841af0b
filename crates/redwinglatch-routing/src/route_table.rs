//! The validated configuration with an index of its routes.

use std::{collections::HashMap, fmt};

use smallvec::SmallVec;
use thiserror::Error;

use crate::{
    Configuration, CustomerKey, CustomerSpec, EngineSpec, Route, ServiceSpec,
    customer_index::CustomerIndex,
};

/// The position of a route in its configuration.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct RouteKey(u32);

/// The position of a service in its configuration.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct ServiceKey(u32);

/// The reason for which a configuration is rejected.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[non_exhaustive]
pub enum InvalidConfiguration {
    /// A route names a service that the configuration lacks.
    #[error("route {route:?} names the service {service:?}, which is not declared; declare it")]
    UnknownService {
        /// The route.
        route: Box<str>,
        /// The service.
        service: Box<str>,
    },
    /// Two routes have the same host and prefix.
    #[error("route {route:?} has the host and prefix of another route; remove one of the two")]
    DuplicateRoute {
        /// The later route.
        route: Box<str>,
    },
    /// All services of a route have a weight of 0.
    #[error("the weights of route {route:?} add up to 0; give one service a weight")]
    ZeroWeight {
        /// The route.
        route: Box<str>,
    },
    /// The timeout of a route is 0.
    #[error("the timeout of route {route:?} is 0 ms; set a longer one")]
    ZeroTimeout {
        /// The route.
        route: Box<str>,
    },
    /// Two customers have the same API key.
    #[error("the customers {other:?} and {customer:?} share an API key; give each its own")]
    SharedKey {
        /// The later customer.
        customer: Box<str>,
        /// The earlier customer.
        other: Box<str>,
    },
    /// The prefix of a route lacks a slash at its beginning or end.
    #[error("the prefix of route {route:?} must begin and end with a slash")]
    MalformedPrefix {
        /// The route.
        route: Box<str>,
    },
}

/// A valid configuration with an index of its routes and API keys.
pub struct RouteTable {
    configuration: Configuration,
    routes_by_host: HashMap<Box<str>, HashMap<Box<str>, RouteKey>>,
    services: HashMap<Box<str>, ServiceKey>,
    /// The services of each route with their cumulative weights.
    weighted_services: Vec<SmallVec<[(ServiceKey, u64); 2]>>,
    /// The customers by their keys, if requests must carry keys.
    customers: Option<CustomerIndex>,
}

impl fmt::Debug for RouteTable {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.debug_struct("RouteTable").field("configuration", &self.configuration).finish()
    }
}

impl RouteTable {
    /// Validates and indexes a configuration.
    ///
    /// # Errors
    ///
    /// Returns the first problem found.
    pub fn new(configuration: Configuration) -> Result<RouteTable, InvalidConfiguration> {
        let services: HashMap<_, _> = (0u32..)
            .zip(&configuration.services)
            .map(|(position, service)| (service.name.clone(), ServiceKey(position)))
            .collect();
        let mut routes_by_host: HashMap<Box<str>, HashMap<Box<str>, RouteKey>> = HashMap::new();
        let mut weighted_services = Vec::with_capacity(configuration.routes.len());
        for (position, route) in (0u32..).zip(&configuration.routes) {
            weighted_services.push(check_route(route, &services)?);
            let prefixes =
                routes_by_host.entry(route.host.to_ascii_lowercase().into()).or_default();
            if prefixes.insert(route.prefix.clone(), RouteKey(position)).is_some() {
                return Err(InvalidConfiguration::DuplicateRoute { route: route.name.clone() });
            }
        }
        let customers = configuration.customers.as_deref().map(CustomerIndex::new).transpose()?;
        Ok(RouteTable { configuration, routes_by_host, services, weighted_services, customers })
    }

    /// Returns the configuration.
    #[must_use]
    pub fn configuration(&self) -> &Configuration {
        &self.configuration
    }

    /// Returns the route of `host` with the longest prefix of `path`.
    #[must_use]
    pub fn find(&self, host: &str, path: &str) -> Option<RouteKey> {
        let prefixes = match self.routes_by_host.get(host) {
            Some(prefixes) => prefixes,
            None => self.routes_by_host.get(&*host.to_ascii_lowercase())?,
        };
        let mut rest = path;
        while let Some(slash) = rest.rfind('/') {
            if let Some(route) = prefixes.get(&rest[..=slash]) {
                return Some(*route);
            }
            rest = &rest[..slash];
        }
        None
    }

    /// Returns a route of this table.
    #[must_use]
    pub fn route(&self, key: RouteKey) -> &Route {
        &self.configuration.routes[key.0 as usize]
    }

    /// Returns a service of this table.
    #[must_use]
    pub fn service(&self, key: ServiceKey) -> &ServiceSpec {
        &self.configuration.services[key.0 as usize]
    }

    /// Returns the service with this name.
    #[must_use]
    pub fn service_named(&self, name: &str) -> Option<&ServiceSpec> {
        self.services.get(name).map(|key| self.service(*key))
    }

    /// Returns whether requests carry API keys.
    #[must_use]
    pub fn has_customers(&self) -> bool {
        self.customers.is_some()
    }

    /// Returns the customer that holds an API key.
    #[must_use]
    pub fn customer_with_key(&self, key: &[u8]) -> Option<CustomerKey> {
        self.customers.as_ref()?.find(key)
    }

    /// Returns the customer with this name.
    #[must_use]
    pub fn customer_named(&self, name: &str) -> Option<CustomerKey> {
        let customers = self.configuration.customers.as_deref().unwrap_or_default();
        let position = customers.iter().position(|customer| *customer.name == *name)?;
        u32::try_from(position).ok().map(CustomerKey)
    }

    /// Returns a customer of this table.
    #[must_use]
    pub fn customer(&self, key: CustomerKey) -> &CustomerSpec {
        &self.configuration.customers.as_deref().unwrap_or_default()[key.0 as usize]
    }

    /// Draws one of the services of a route at random, in proportion to their weights.
    pub fn draw_service(&self, route: RouteKey, rng: &mut fastrand::Rng) -> ServiceKey {
        let services = &self.weighted_services[route.0 as usize];
        let (last, total) = services[services.len() - 1];
        if services.len() == 1 {
            return last;
        }
        let drawn = rng.u64(0..total);
        services
            .iter()
            .find(|(_, weight_up_to)| drawn < *weight_up_to)
            .map_or(last, |(service, _)| *service)
    }

    /// Returns the services whose backend servers are model engines.
    pub fn engine_services(&self) -> impl Iterator<Item = (&ServiceSpec, &EngineSpec)> {
        let services = self.configuration.services.iter();
        services.filter_map(|service| service.engine.as_ref().map(|engine| (service, engine)))
    }
}

fn check_route(
    route: &Route,
    services: &HashMap<Box<str>, ServiceKey>,
) -> Result<SmallVec<[(ServiceKey, u64); 2]>, InvalidConfiguration> {
    let name = || route.name.clone();
    if route.timeout_ms == 0 {
        return Err(InvalidConfiguration::ZeroTimeout { route: name() });
    }
    if !route.prefix.starts_with('/') || !route.prefix.ends_with('/') {
        return Err(InvalidConfiguration::MalformedPrefix { route: name() });
    }
    let mut weighted_services = SmallVec::new();
    let mut total = 0;
    for weighted in &route.services {
        let Some(key) = services.get(&weighted.service) else {
            return Err(InvalidConfiguration::UnknownService {
                route: name(),
                service: weighted.service.clone(),
            });
        };
        total += u64::from(weighted.weight);
        weighted_services.push((*key, total));
    }
    if total == 0 {
        return Err(InvalidConfiguration::ZeroWeight { route: name() });
    }
    Ok(weighted_services)
}
