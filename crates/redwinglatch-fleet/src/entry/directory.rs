//! Tells callers which addresses to use, and the platform whether this process is ready.

use std::{net::SocketAddr, sync::Arc};

use hyper::{
    Request, Response, StatusCode,
    body::Incoming,
    header::{CONTENT_TYPE, HeaderValue},
};

use crate::http::Body;

use super::{App, refusal::whole};

/// How long callers may keep the addresses.
const KEEP_FOR_S: u64 = 2;
/// Callers take no more addresses than this.
const MAX_ADDRESSES: usize = 64;

/// Answers whether this process takes requests.
pub(crate) async fn ready(app: Arc<App>, _request: Request<Incoming>) -> Response<Body> {
    let mut response = Response::new(whole(bytes::Bytes::new()));
    if !app.view().is_ready() {
        *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    }
    response
}

/// Answers with the addresses of entry processes that take requests.
pub(crate) async fn resolve(app: Arc<App>, request: Request<Incoming>) -> Response<Body> {
    if request.uri().path() != app.dialect.directory_path {
        let mut response = Response::new(whole((app.dialect.encode_error)("no such call").into()));
        *response.status_mut() = StatusCode::NOT_FOUND;
        return response;
    }
    let mut addresses: Vec<SocketAddr> = app.view().usable_entries();
    fastrand::shuffle(&mut addresses);
    addresses.truncate(MAX_ADDRESSES);
    let mut response =
        Response::new(whole((app.dialect.encode_addresses)(&addresses, KEEP_FOR_S).into()));
    if addresses.is_empty() {
        *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    }
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    response
}
