//! Headers of forwarded requests and answers.

use hyper::{
    HeaderMap, Uri,
    header::{
        CONNECTION, CONTENT_LENGTH, EXPECT, HeaderName, PROXY_AUTHENTICATE, PROXY_AUTHORIZATION,
        TE, TRAILER, TRANSFER_ENCODING, UPGRADE,
    },
};

use crate::HeaderNames;

const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");
const PROXY_CONNECTION: HeaderName = HeaderName::from_static("proxy-connection");

/// Removes what concerns one connection only.
fn remove_connection_headers(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in named {
        headers.remove(name);
    }
    for name in [
        CONNECTION,
        KEEP_ALIVE,
        PROXY_CONNECTION,
        PROXY_AUTHENTICATE,
        PROXY_AUTHORIZATION,
        TE,
        TRAILER,
        TRANSFER_ENCODING,
        UPGRADE,
        CONTENT_LENGTH,
    ] {
        headers.remove(name);
    }
}

/// The headers of a caller's request that a backend server gets.
pub(super) fn for_backend(headers: &HeaderMap, names: &HeaderNames) -> HeaderMap {
    let mut headers = headers.clone();
    remove_connection_headers(&mut headers);
    headers.remove(EXPECT);
    for name in &names.reserved {
        headers.remove(name);
    }
    headers
}

/// The headers of a backend server's answer that the caller gets.
pub(super) fn for_caller(mut headers: HeaderMap) -> HeaderMap {
    remove_connection_headers(&mut headers);
    headers
}

/// Path and query, as a request to a server states them.
pub(super) fn origin_form(uri: &Uri) -> Uri {
    match uri.path_and_query() {
        Some(path) => Uri::from(path.clone()),
        None => Uri::from_static("/"),
    }
}
