//! The configuration as plain data.

use smallvec::SmallVec;

use crate::CustomerSpec;

/// One version of everything that operators declare.
#[derive(Debug, Clone, PartialEq)]
pub struct Configuration {
    /// The version; the highest version is in force.
    pub version: u64,
    /// The routes.
    pub routes: Vec<Route>,
    /// The services that routes refer to.
    pub services: Vec<ServiceSpec>,
    /// Limits on callers.
    pub limits: RequestLimits,
    /// The customers whose API keys requests must carry; without a list requests carry no keys.
    pub customers: Option<Vec<CustomerSpec>>,
}

/// The handling of the requests to one host and path prefix.
#[derive(Debug, Clone, PartialEq)]
pub struct Route {
    /// The name of the route.
    pub name: Box<str>,
    /// The host name without a port.
    pub host: Box<str>,
    /// The path prefix; it begins and ends with a slash.
    pub prefix: Box<str>,
    /// The kind of request, which determines whether it may be repeated.
    pub kind: RequestKind,
    /// Maximum duration of a request.
    pub timeout_ms: u64,
    /// Latency objective: a response is late if it, or the first event of its stream, takes longer.
    pub objective_ms: u64,
    /// Latency objective for streams: a stream is late if a gap between two events is longer.
    pub gap_objective_ms: u64,
    /// Priority, where 0 is the most urgent.
    pub priority: u8,
    /// The services among which requests are split by weight.
    pub services: SmallVec<[WeightedService; 2]>,
    /// Maximum number of backend servers on which one request may run.
    pub max_attempts: u32,
    /// Whether requests need no API key.
    pub is_anonymous: bool,
}

/// A service of a route and its weight.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WeightedService {
    /// The name of the service.
    pub service: Box<str>,
    /// The share of the requests, relative to the weights of the other services of the route.
    pub weight: u32,
}

/// The kind of a request, which determines whether it may be repeated.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestKind {
    /// The request may run more than once.
    Idempotent,
    /// The request runs at most once.
    NotIdempotent,
    /// The response is a stream of events, which another backend server can resume if `resumable`.
    Stream {
        /// Whether another backend server can resume the stream after the last received event.
        resumable: bool,
    },
}

impl RequestKind {
    /// Whether a request that may have run may be retried.
    #[must_use]
    pub fn may_repeat(self) -> bool {
        matches!(self, RequestKind::Idempotent | RequestKind::Stream { resumable: true })
    }

    /// Whether the response is a stream of events.
    #[must_use]
    pub fn is_stream(self) -> bool {
        matches!(self, RequestKind::Stream { .. })
    }
}

/// A service that backend servers provide.
#[derive(Debug, Clone, PartialEq)]
pub struct ServiceSpec {
    /// The name of the service.
    pub name: Box<str>,
    /// Maximum number of connections that one backend server accepts from all instances together.
    pub max_connections: u32,
    /// The path of its health check, if it has one.
    pub health_path: Option<Box<str>>,
    /// The capacity of each backend server, if these are model engines.
    pub engine: Option<EngineSpec>,
}

/// The capacity of each engine of a service.
#[derive(Debug, Clone, PartialEq)]
pub struct EngineSpec {
    /// Maximum number of requests that one engine runs at once.
    pub slots: u32,
    /// Number of tokens that one engine keeps in its cache.
    pub cache_tokens: u64,
    /// Maximum number of adapters loaded on one engine.
    pub adapter_slots: u32,
    /// Memory of one engine for model weights and adapters together.
    pub weights_mb: f64,
    /// Maximum number of model loads per second from the weight store.
    pub loads_per_s: f64,
    /// The models that the engines serve.
    pub models: Vec<ModelSpec>,
}

impl EngineSpec {
    /// Whether the engines serve `name`, which is MODEL or MODEL/ADAPTER.
    ///
    /// Adapters are named a1, a2 and so on; a model whose number of adapters is 0 accepts any.
    #[must_use]
    pub fn serves(&self, name: &str) -> bool {
        let (model, adapter) = match name.split_once('/') {
            Some((model, adapter)) => (model, Some(adapter)),
            None => (name, None),
        };
        let Some(spec) = self.models.iter().find(|spec| *spec.name == *model) else {
            return false;
        };
        let number = adapter.and_then(|adapter| adapter.strip_prefix('a'));
        match (adapter, number) {
            (None, _) => true,
            (Some(_), _) if spec.adapters == 0 => true,
            (Some(_), Some(number)) if !number.starts_with(['0', '+']) => {
                number.parse().is_ok_and(|number: u32| number <= spec.adapters)
            }
            _ => false,
        }
    }

    /// Returns whether the model, or the adapter with its model, fits into the memory of one engine.
    #[must_use]
    pub fn fits(&self, name: &str) -> bool {
        let (model, adapter) = match name.split_once('/') {
            Some((model, adapter)) => (model, Some(adapter)),
            None => (name, None),
        };
        let spec = self.models.iter().find(|spec| *spec.name == *model);
        spec.is_some_and(|spec| {
            let adapter_mb = adapter.map_or(0.0, |_| spec.adapter_mb);
            spec.weights_mb + adapter_mb <= self.weights_mb
        })
    }
}

/// A base model.
#[derive(Debug, Clone, PartialEq)]
pub struct ModelSpec {
    /// The name of the model.
    pub name: Box<str>,
    /// The size of the weights.
    pub weights_mb: f64,
    /// The size of one adapter.
    pub adapter_mb: f64,
    /// The number of adapters; 0 accepts any adapter name.
    pub adapters: u32,
}

/// Limits on the size of requests and on the idle time of connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RequestLimits {
    /// Maximum size of the head of a request.
    pub header_bytes: usize,
    /// Maximum size of the body of a request.
    pub body_bytes: usize,
    /// Maximum time in which the head of a request must arrive.
    pub header_timeout_ms: u64,
    /// Maximum idle time of a connection.
    pub idle_timeout_ms: u64,
}

impl Default for RequestLimits {
    fn default() -> RequestLimits {
        RequestLimits {
            header_bytes: 16 << 10,
            body_bytes: 4 << 20,
            header_timeout_ms: 3_000,
            idle_timeout_ms: 15_000,
        }
    }
}
