//! The names that a platform uses, and the types that its messages are decoded into.

use std::net::SocketAddr;

use hyper::{
    HeaderMap, Method,
    header::{HeaderName, HeaderValue},
};
use redwinglatch_routing::Configuration;

use crate::{PlacementAnswer, request_rate::RequestRate};

/// The names and message formats of a platform.
#[derive(Debug)]
pub struct Dialect {
    /// The names of headers.
    pub headers: HeaderNames,
    /// The path of an engine's report.
    pub report_path: &'static str,
    /// The path to which orders to an engine are posted.
    pub order_path: &'static str,
    /// The path at which callers resolve addresses of entry processes.
    pub directory_path: &'static str,
    /// Returns the path and query of one page of the backend list.
    pub list_path: fn(page: Option<&str>) -> String,
    /// Identifies the operation that an operator requests, if the method and path are known.
    pub control_call: fn(&Method, path: &str) -> Option<ControlCall>,
    /// Decodes a configuration.
    pub decode_configuration: fn(&[u8]) -> Result<Configuration, Box<str>>,
    /// Decodes a new version of an adapter or model.
    pub decode_version_change: fn(&[u8]) -> Result<VersionChange, Box<str>>,
    /// Decodes one page of the backend list.
    pub decode_backends: fn(&[u8]) -> Result<BackendPage, Box<str>>,
    /// Decodes an engine's report.
    pub decode_report: fn(&[u8]) -> Result<EngineReport, Box<str>>,
    /// Encodes an order.
    pub encode_order: fn(&Order) -> Vec<u8>,
    /// Encodes the addresses for callers and the time for which callers may cache them.
    pub encode_addresses: fn(&[SocketAddr], keep_for_s: u64) -> Vec<u8>,
    /// Returns how long a caller waits for the first event of a stream, by the route's objectives for
    /// the first event and for the gaps between events, all in milliseconds.
    pub caller_patience_ms: fn(objective_ms: u64, gap_objective_ms: u64) -> u64,
    /// Encodes the body of an error response.
    pub encode_error: fn(message: &str) -> Vec<u8>,
    /// Encodes the answer to the question where a request would be placed.
    pub encode_placement: fn(answer: &PlacementAnswer) -> Vec<u8>,
}

/// The names of request and response headers.
#[derive(Debug)]
pub struct HeaderNames {
    /// The id of a request.
    pub request_id: HeaderName,
    /// The remaining time of the request in milliseconds.
    pub deadline_ms: HeaderName,
    /// The response stamp, which proves that a backend server produced the response.
    pub response_stamp: HeaderName,
    /// The id of the backend server that the request is meant for.
    pub expected_backend: HeaderName,
    /// States that the request was not executed.
    pub not_run: HeaderName,
    /// States with the value `1` that the backend server is about to stop.
    pub leaving: HeaderName,
    /// The requests per second that the backend server takes from all processes together, in each response
    /// for as long as it needs the limit.
    pub request_limit: HeaderName,
    /// Names the rejections in a second that a backend server bears, if it falls over beyond these.
    pub brittle: HeaderName,
    /// The model or adapter that the request uses.
    pub model: HeaderName,
    /// The priority of a request at an engine, where lower numbers are more urgent.
    pub priority: HeaderName,
    /// The version of the adapter that the engine must serve.
    pub expected_version: HeaderName,
    /// The number of prompt tokens and the maximum number of output tokens.
    pub tokens: HeaderName,
    /// The expected number of output tokens.
    pub length_hint: HeaderName,
    /// The prompt parts with their token counts.
    pub prompt_parts: HeaderName,
    /// The name of the customer that sends a request.
    pub customer: HeaderName,
    /// The id of the last event that the caller has received.
    pub last_event_id: HeaderName,
    /// The id of the caller's attempt that brought the first event of the stream which the request takes up.
    pub resumes: HeaderName,
    /// Headers that only redwinglatch may set; they are removed from callers' requests.
    pub reserved: Vec<HeaderName>,
}

impl HeaderNames {
    /// Returns whether a response states that its backend server is about to stop.
    pub(crate) fn announce_stop(&self, headers: &HeaderMap) -> bool {
        headers.get(&self.leaving).is_some_and(|value| value.as_bytes().trim_ascii() == b"1")
    }

    /// Returns the request limit that a response names, if it names one.
    ///
    /// # Errors
    ///
    /// Returns a limit that can't be read.
    pub(crate) fn request_limit<'a>(
        &self,
        headers: &'a HeaderMap,
    ) -> Result<Option<RequestRate>, &'a HeaderValue> {
        let Some(value) = headers.get(&self.request_limit) else { return Ok(None) };
        value.to_str().ok().and_then(RequestRate::parse).map(Some).ok_or(value)
    }

    /// Returns the rejections in a second that the backend server bears, if its response says that it falls over
    /// beyond these.
    ///
    /// # Errors
    ///
    /// Returns a number that can't be read.
    pub(crate) fn max_rejections_per_s<'a>(
        &self,
        headers: &'a HeaderMap,
    ) -> Result<Option<u32>, &'a HeaderValue> {
        let Some(value) = headers.get(&self.brittle) else { return Ok(None) };
        let rate = value.to_str().ok().and_then(RequestRate::parse).ok_or(value)?;
        Ok(Some(u32::try_from(rate.milli_per_s / 1_000).unwrap_or(u32::MAX)))
    }
}

/// An operation that an operator requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ControlCall {
    /// Replace the configuration.
    PutConfiguration,
    /// Read the configuration.
    GetConfiguration,
    /// Announce a new version of an adapter or model.
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

/// One page of the backend list.
#[derive(Debug, Clone, Default)]
pub struct BackendPage {
    /// The valid entries.
    pub entries: Vec<BackendEntry>,
    /// The number of malformed entries, which are skipped.
    pub skipped: usize,
    /// The token of the next page, if there is one.
    pub next: Option<Box<str>>,
}

/// A backend server as the platform lists it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BackendEntry {
    /// Its id.
    pub id: Box<str>,
    /// Its service.
    pub service: Box<str>,
    /// The address at which it serves requests.
    pub address: SocketAddr,
    /// Its data centre.
    pub data_centre: Box<str>,
    /// The version of its software.
    pub software_version: Box<str>,
    /// The number of requests that it executes concurrently.
    pub slots: u32,
    /// Whether it is about to stop and takes no new requests.
    pub leaving: bool,
    /// The Unix time of its start, or 0 if unknown.
    pub started_unix_ms: u64,
    /// The models that are loaded on it, if it is an engine.
    pub models: Vec<LoadedModel>,
}

/// A model that is loaded on an engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LoadedModel {
    /// The name of the model.
    pub name: Box<str>,
    /// Its version, or 0 if unknown.
    pub version: u64,
    /// The adapters of the model that are loaded.
    pub adapters: Vec<LoadedAdapter>,
}

/// An adapter that is loaded or loading on an engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LoadedAdapter {
    /// The name of the adapter.
    pub name: Box<str>,
    /// Its version.
    pub version: u64,
}

/// The load that an engine reports.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ReportedLoad {
    /// Number of queued requests.
    pub queued: u32,
    /// Number of running requests.
    pub running: u32,
    /// Number of tokens in the KV cache that cannot be evicted.
    pub used_tokens: u64,
}

/// An engine's report of its state.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct EngineReport {
    /// The Unix time of its start, or 0 if unknown.
    pub started_unix_ms: u64,
    /// The number of orders that it has accepted.
    pub sequence: u64,
    /// Whether it is executing an order.
    pub busy: bool,
    /// Its current load.
    pub load: ReportedLoad,
    /// The models that are loaded.
    pub models: Vec<LoadedModel>,
    /// The adapters that are loading; their names have the form MODEL/ADAPTER.
    pub loading: Vec<LoadedAdapter>,
    /// The models of which the engine has a copy in its own memory or on its disk, so that it need not
    /// load them from the weight store.
    pub local_copies: Vec<Box<str>>,
}

/// The kind of an order to an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum OrderKind {
    /// Load the newest version of the model or adapter.
    Load,
    /// Unload the model or adapter.
    Unload,
}

/// An order to an engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Order {
    /// The kind of the order.
    pub kind: OrderKind,
    /// The model.
    pub model: Box<str>,
    /// The adapter; without one, the order applies to the model.
    pub adapter: Option<Box<str>>,
    /// The number of orders that the engine must have accepted before this one.
    pub expected_sequence: Option<u64>,
    /// The name of the coordinator that sends the order.
    pub holder: Box<str>,
    /// The fencing token of the holder.
    pub fencing_token: u64,
}
