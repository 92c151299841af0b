//! Requests to plain services and their responses.

use bytes::Bytes;
use hyper::{HeaderMap, Method, StatusCode, header::HeaderName};

/// Headers that apply to one connection only and are not forwarded.
const CONNECTION_HEADERS: [&str; 10] = [
    "connection",
    "content-length",
    "host",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// A request to a plain service.
#[derive(Debug, Clone)]
pub struct ServiceRequest {
    /// The HTTP method.
    pub method: Method,
    /// The path and query.
    pub path: Box<str>,
    /// The headers; those that apply to one connection only are not sent.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
    /// Time limit for the whole call.
    pub timeout_ms: u64,
}

impl ServiceRequest {
    /// Creates a request without headers and body, with a time limit of 10 s.
    #[must_use]
    pub fn new(method: Method, path: impl Into<Box<str>>) -> ServiceRequest {
        ServiceRequest {
            method,
            path: path.into(),
            headers: HeaderMap::new(),
            body: Bytes::new(),
            timeout_ms: 10_000,
        }
    }

    /// Sets the headers.
    #[must_use]
    pub fn headers(mut self, headers: HeaderMap) -> ServiceRequest {
        self.headers = headers;
        self
    }

    /// Sets the body.
    #[must_use]
    pub fn body(mut self, body: impl Into<Bytes>) -> ServiceRequest {
        self.body = body.into();
        self
    }

    /// Sets the time limit for the whole call.
    #[must_use]
    pub fn timeout_ms(mut self, timeout_ms: u64) -> ServiceRequest {
        self.timeout_ms = timeout_ms;
        self
    }
}

/// The response of a plain service, with any status.
#[derive(Debug, Clone)]
pub struct ServiceResponse {
    /// The HTTP status.
    pub status: StatusCode,
    /// The headers, without those that apply to one connection only.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
}

/// Removes the headers that apply to one connection only, including those that the `connection`
/// header names.
pub(crate) fn strip_connection_headers(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all("connection")
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in named {
        headers.remove(name);
    }
    for name in CONNECTION_HEADERS {
        headers.remove(name);
    }
}
