//! Requests and answers of plain services.

use bytes::Bytes;
use hyper::{HeaderMap, Method, StatusCode, header::HeaderName};

/// Headers that belong to one connection and are not passed on.
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
    /// The method.
    pub method: Method,
    /// The path with its query.
    pub path: Box<str>,
    /// The headers; those that belong to a connection are left out.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
    /// How long the whole call may take.
    pub timeout_ms: u64,
}

impl ServiceRequest {
    /// Describes a request without headers and body that may take 10 s.
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

    /// Sets how long the whole call may take.
    #[must_use]
    pub fn timeout_ms(mut self, timeout_ms: u64) -> ServiceRequest {
        self.timeout_ms = timeout_ms;
        self
    }
}

/// The answer of a plain service, whatever its status.
#[derive(Debug, Clone)]
pub struct ServiceResponse {
    /// The status.
    pub status: StatusCode,
    /// The headers without those that belong to a connection.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
}

/// Removes the headers that belong to one connection, and those that `connection` names.
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
