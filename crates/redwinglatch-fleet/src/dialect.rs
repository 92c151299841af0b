//! What a platform calls things, and the types that its messages are decoded into.

use std::net::SocketAddr;

use hyper::{Method, header::HeaderName};
use redwinglatch_routing::Configuration;

/// The names and message formats of a platform.
#[derive(Debug)]
pub struct Dialect {
    /// The names of headers.
    pub headers: HeaderNames,
    /// The path of an engine's report.
    pub report_path: &'static str,
    /// The path to which orders for an engine are posted.
    pub order_path: &'static str,
    /// The path at which callers ask for addresses.
    pub directory_path: &'static str,
    /// The path and query of one page of the list of backend servers.
    pub list_path: fn(page: Option<&str>) -> String,
    /// Finds out what an operator asks for.
    pub control_call: fn(&Method, path: &str) -> Option<ControlCall>,
    /// Reads a configuration.
    pub decode_configuration: fn(&[u8]) -> Result<Configuration, Box<str>>,
    /// Reads a new version of an adapter.
    pub decode_version_change: fn(&[u8]) -> Result<VersionChange, Box<str>>,
    /// Reads one page of the list of backend servers.
    pub decode_backends: fn(&[u8]) -> Result<BackendPage, Box<str>>,
    /// Reads an engine's report.
    pub decode_report: fn(&[u8]) -> Result<EngineReport, Box<str>>,
    /// Writes an order.
    pub encode_order: fn(&Order) -> Vec<u8>,
    /// Writes the addresses for callers and how long they may be kept.
    pub encode_addresses: fn(&[SocketAddr], keep_for_s: u64) -> Vec<u8>,
    /// Writes the body of a refusal.
    pub encode_error: fn(message: &str) -> Vec<u8>,
}

/// The names of the headers of requests and answers.
#[derive(Debug)]
pub struct HeaderNames {
    /// The id of a request.
    pub request_id: HeaderName,
    /// How many milliseconds the caller or the system waits.
    pub deadline_ms: HeaderName,
    /// The proof that a backend server made the answer.
    pub stamp: HeaderName,
    /// The backend server that the request is for.
    pub expected_backend: HeaderName,
    /// Says that the request did not run.
    pub not_run: HeaderName,
    /// The model and adapter.
    pub model: HeaderName,
    /// The rank of a request at an engine.
    pub priority: HeaderName,
    /// The version that the adapter must have.
    pub expected_version: HeaderName,
    /// The number of prompt tokens and the largest number of output tokens.
    pub tokens: HeaderName,
    /// The likely number of output tokens.
    pub length_hint: HeaderName,
    /// The parts of the prompt.
    pub prompt_parts: HeaderName,
    /// The last event that the caller has.
    pub last_event_id: HeaderName,
    /// Headers that only the system may set; they are removed from callers' requests.
    pub reserved: Vec<HeaderName>,
}

/// What an operator asks for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ControlCall {
    /// Replace the configuration.
    PutConfiguration,
    /// Read the configuration.
    GetConfiguration,
    /// Name a new version of an adapter.
    PutVersion,
}

/// A new version of an adapter or, without one, of a model.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct VersionChange {
    /// The model.
    pub model: Box<str>,
    /// The adapter.
    pub adapter: Option<Box<str>>,
    /// The version.
    pub version: u64,
}

/// One page of the list of backend servers.
#[derive(Debug, Clone, Default)]
pub struct BackendPage {
    /// The valid entries.
    pub entries: Vec<BackendEntry>,
    /// How many entries were malformed and left out.
    pub skipped: usize,
    /// The token of the next page.
    pub next: Option<Box<str>>,
}

/// One backend server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BackendEntry {
    /// Its id.
    pub id: Box<str>,
    /// Its service.
    pub service: Box<str>,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its data centre.
    pub data_centre: Box<str>,
    /// How many requests it runs at once.
    pub slots: u32,
    /// Whether it is leaving.
    pub leaving: bool,
    /// The Unix time of its start, 0 if it doesn't say.
    pub started_unix_ms: u64,
    /// What it holds, if it is an engine.
    pub models: Vec<LoadedModel>,
}

/// A model that an engine holds.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LoadedModel {
    /// The name of the model.
    pub name: Box<str>,
    /// Its adapters.
    pub adapters: Vec<LoadedAdapter>,
}

/// An adapter that an engine holds or loads.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LoadedAdapter {
    /// The name of the adapter.
    pub name: Box<str>,
    /// Its version.
    pub version: u64,
}

/// How busy an engine was.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ReportedLoad {
    /// Requests that wait.
    pub queued: u32,
    /// Requests that run.
    pub running: u32,
    /// Tokens in memory that can't be evicted.
    pub used_tokens: u64,
}

/// What an engine says of itself.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct EngineReport {
    /// The Unix time of its start, 0 if it doesn't say.
    pub started_unix_ms: u64,
    /// How many orders it has accepted.
    pub sequence: u64,
    /// Whether an order is under way.
    pub busy: bool,
    /// How busy it is.
    pub load: ReportedLoad,
    /// What it holds.
    pub models: Vec<LoadedModel>,
    /// What it loads, as MODEL/ADAPTER with a version.
    pub loading: Vec<LoadedAdapter>,
}

/// What an engine is told to do with an adapter.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum OrderKind {
    /// Load the newest version.
    Load,
    /// Unload it.
    Unload,
}

/// An order to an engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Order {
    /// What to do.
    pub kind: OrderKind,
    /// The model.
    pub model: Box<str>,
    /// The adapter; without one the order concerns the model.
    pub adapter: Option<Box<str>>,
    /// The number of orders that the engine must have accepted before.
    pub expected_sequence: Option<u64>,
    /// Who gives the order.
    pub holder: Box<str>,
    /// The fencing token of the holder.
    pub fencing_token: u64,
}
