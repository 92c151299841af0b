//! The checked configuration with an index of its routes.

use std::collections::HashMap;

use smallvec::SmallVec;
use thiserror::Error;

use crate::{Configuration, EngineSpec, Route, ServiceSpec};

/// The position of a route in its configuration.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct RouteKey(u32);

/// The position of a service in its configuration.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct ServiceKey(u32);

/// Why a configuration is refused.
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
    SamePlace {
        /// The later route.
        route: Box<str>,
    },
    /// No service of a route has a weight.
    #[error("the weights of route {route:?} add up to 0; give one service a weight")]
    NoWeight {
        /// The route.
        route: Box<str>,
    },
    /// The timeout of a route is 0.
    #[error("the timeout of route {route:?} is 0 ms; set a longer one")]
    NoTimeout {
        /// The route.
        route: Box<str>,
    },
    /// The prefix of a route lacks a slash.
    #[error("the prefix of route {route:?} must begin and end with a slash")]
    MalformedPrefix {
        /// The route.
        route: Box<str>,
    },
}

/// A valid configuration with an index of its routes.
#[derive(Debug)]
pub struct RouteTable {
    configuration: Configuration,
    hosts: HashMap<Box<str>, HashMap<Box<str>, RouteKey>>,
    services: HashMap<Box<str>, ServiceKey>,
    /// The services of each route with their weights added up to each position.
    splits: Vec<SmallVec<[(ServiceKey, u64); 2]>>,
}

impl RouteTable {
    /// Checks and indexes a configuration.
    ///
    /// # Errors
    ///
    /// Returns the first fault that is found.
    pub fn new(configuration: Configuration) -> Result<RouteTable, InvalidConfiguration> {
        let services: HashMap<_, _> = (0u32..)
            .zip(&configuration.services)
            .map(|(position, service)| (service.name.clone(), ServiceKey(position)))
            .collect();
        let mut hosts: HashMap<Box<str>, HashMap<Box<str>, RouteKey>> = HashMap::new();
        let mut splits = Vec::with_capacity(configuration.routes.len());
        for (position, route) in (0u32..).zip(&configuration.routes) {
            splits.push(check_route(route, &services)?);
            let prefixes = hosts.entry(route.host.to_ascii_lowercase().into()).or_default();
            if prefixes.insert(route.prefix.clone(), RouteKey(position)).is_some() {
                return Err(InvalidConfiguration::SamePlace { route: route.name.clone() });
            }
        }
        Ok(RouteTable { configuration, hosts, services, splits })
    }

    /// The configuration.
    #[must_use]
    pub fn configuration(&self) -> &Configuration {
        &self.configuration
    }

    /// The route with the longest prefix of `path` among the routes of `host`.
    #[must_use]
    pub fn find(&self, host: &str, path: &str) -> Option<RouteKey> {
        let prefixes = match self.hosts.get(host) {
            Some(prefixes) => prefixes,
            None => self.hosts.get(&*host.to_ascii_lowercase())?,
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

    /// A route of this table.
    #[must_use]
    pub fn route(&self, key: RouteKey) -> &Route {
        &self.configuration.routes[key.0 as usize]
    }

    /// A service of this table.
    #[must_use]
    pub fn service(&self, key: ServiceKey) -> &ServiceSpec {
        &self.configuration.services[key.0 as usize]
    }

    /// The service of that name.
    #[must_use]
    pub fn service_named(&self, name: &str) -> Option<&ServiceSpec> {
        self.services.get(name).map(|key| self.service(*key))
    }

    /// Draws one of the services of a route by their weights.
    pub fn draw_service(&self, route: RouteKey, rng: &mut fastrand::Rng) -> ServiceKey {
        let split = &self.splits[route.0 as usize];
        let (last, total) = split[split.len() - 1];
        if split.len() == 1 {
            return last;
        }
        let drawn = rng.u64(0..total);
        split.iter().find(|(_, upto)| drawn < *upto).map_or(last, |(service, _)| *service)
    }

    /// The services whose backend servers are model engines.
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
        return Err(InvalidConfiguration::NoTimeout { route: name() });
    }
    if !route.prefix.starts_with('/') || !route.prefix.ends_with('/') {
        return Err(InvalidConfiguration::MalformedPrefix { route: name() });
    }
    let mut split = SmallVec::new();
    let mut total = 0;
    for target in &route.targets {
        let Some(key) = services.get(&target.service) else {
            return Err(InvalidConfiguration::UnknownService {
                route: name(),
                service: target.service.clone(),
            });
        };
        total += u64::from(target.weight);
        split.push((*key, total));
    }
    if total == 0 {
        return Err(InvalidConfiguration::NoWeight { route: name() });
    }
    Ok(split)
}
