//! The configuration as plain data.

use smallvec::SmallVec;

/// Everything that operators declare, under one version.
#[derive(Debug, Clone, PartialEq)]
pub struct Configuration {
    /// The version; the highest one is in force.
    pub version: u64,
    /// The routes.
    pub routes: Vec<Route>,
    /// The services that routes refer to.
    pub services: Vec<ServiceSpec>,
    /// What a caller may send.
    pub limits: RequestLimits,
}

/// How requests of one host and path prefix are served.
#[derive(Debug, Clone, PartialEq)]
pub struct Route {
    /// The name of the route.
    pub name: Box<str>,
    /// The host, without a port.
    pub host: Box<str>,
    /// The path prefix; it begins and ends with a slash.
    pub prefix: Box<str>,
    /// What may be repeated.
    pub kind: RequestKind,
    /// The longest time that a request may take.
    pub timeout_ms: u64,
    /// The time within which an answer is on time.
    pub objective_ms: u64,
    /// The longest pause between the events of a stream that is on time.
    pub gap_objective_ms: u64,
    /// The rank, where 0 is the most urgent.
    pub priority: u8,
    /// The services that share the requests.
    pub targets: SmallVec<[Target; 2]>,
    /// On how many backend servers one request may run.
    pub max_attempts: u32,
}

/// One service of a route with its share of the requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Target {
    /// The name of the service.
    pub service: Box<str>,
    /// The share, relative to the weights of the route's other services.
    pub weight: u32,
}

/// What may be repeated.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestKind {
    /// The request may run more than once.
    Idempotent,
    /// The request runs at most once.
    NotIdempotent,
    /// The answer is a stream of events; it may go on at another backend server if `resumable`.
    Stream {
        /// Whether another backend server can go on after the last event.
        resumable: bool,
    },
}

impl RequestKind {
    /// Whether a request that may have run may be sent again.
    #[must_use]
    pub fn may_repeat(self) -> bool {
        matches!(self, RequestKind::Idempotent | RequestKind::Stream { resumable: true })
    }

    /// Whether the answer is a stream of events.
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
    /// How many connections one backend server accepts from all instances together.
    pub max_connections: u32,
    /// What its engines hold, if the backend servers are model engines.
    pub engine: Option<EngineSpec>,
}

/// The capacity of each engine of a service.
#[derive(Debug, Clone, PartialEq)]
pub struct EngineSpec {
    /// How many requests one engine runs at once.
    pub slots: u32,
    /// How many tokens one engine keeps in memory.
    pub cache_tokens: u64,
    /// How many adapters one engine holds.
    pub adapter_slots: u32,
    /// The memory for weights and adapters together.
    pub weights_mb: f64,
    /// How many loads of models per second the weight store allows.
    pub loads_per_s: f64,
    /// The models that the engines serve.
    pub models: Vec<ModelSpec>,
}

impl EngineSpec {
    /// Whether the engines serve `name`, a model or MODEL/ADAPTER.
    ///
    /// Adapters are named a1, a2 and so on; a model that states no number of them may have any.
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
}

/// A base model.
#[derive(Debug, Clone, PartialEq)]
pub struct ModelSpec {
    /// The name of the model.
    pub name: Box<str>,
    /// The size of its weights.
    pub weights_mb: f64,
    /// The size of one adapter.
    pub adapter_mb: f64,
    /// How many adapters the model has.
    pub adapters: u32,
}

/// What a caller may send, and how long a connection may be idle.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RequestLimits {
    /// The largest head of a request.
    pub header_bytes: usize,
    /// The largest body of a request.
    pub body_bytes: usize,
    /// How long the head of a request may take.
    pub header_timeout_ms: u64,
    /// How long a connection may be idle.
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
