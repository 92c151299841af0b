//! Resolution of entry process addresses for callers, and the readiness check for the platform.

use std::{net::SocketAddr, sync::Arc};

use hyper::{
    Request, Response, StatusCode,
    body::Incoming,
    header::{CONTENT_TYPE, HeaderValue},
};

use crate::http::Body;

use super::{EntryContext, refusal::full_body};

/// Time for which callers may cache the addresses.
const KEEP_FOR_S: u64 = 2;
/// Maximum number of addresses that callers accept.
const MAX_ADDRESSES: usize = 64;

/// Serves the readiness check.
pub(crate) async fn ready(
    context: Arc<EntryContext>,
    _request: Request<Incoming>,
) -> Response<Body> {
    let mut response = Response::new(full_body(bytes::Bytes::new()));
    if !context.fleet_view().is_ready() {
        *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    }
    response
}

/// Serves the addresses of the entry processes that are ready, in random order.
pub(crate) async fn resolve(
    context: Arc<EntryContext>,
    request: Request<Incoming>,
) -> Response<Body> {
    if request.uri().path() != context.dialect.directory_path {
        let mut response =
            Response::new(full_body((context.dialect.encode_error)("no such call").into()));
        *response.status_mut() = StatusCode::NOT_FOUND;
        return response;
    }
    let mut addresses: Vec<SocketAddr> = context.fleet_view().ready_entry_addresses();
    fastrand::shuffle(&mut addresses);
    addresses.truncate(MAX_ADDRESSES);
    let mut response =
        Response::new(full_body((context.dialect.encode_addresses)(&addresses, KEEP_FOR_S).into()));
    if addresses.is_empty() {
        *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    }
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    response
}
