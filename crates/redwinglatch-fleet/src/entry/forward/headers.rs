//! Headers of forwarded requests and responses.

use hyper::{
    HeaderMap, Uri,
    header::{
        AUTHORIZATION, CONNECTION, CONTENT_LENGTH, EXPECT, HeaderName, HeaderValue,
        PROXY_AUTHENTICATE, PROXY_AUTHORIZATION, TE, TRAILER, TRANSFER_ENCODING, UPGRADE,
    },
};

use redwinglatch_routing::{CustomerKey, RouteTable};

use crate::HeaderNames;

/// Prompt parts of a request that are kept apart; further ones count towards the last. A legal head has room for
/// thousands, which would take several times its memory for as long as the request lasts.
const MAX_PROMPT_PARTS: usize = 64;

const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");
const PROXY_CONNECTION: HeaderName = HeaderName::from_static("proxy-connection");

/// Removes hop-by-hop headers, including those that the `Connection` header names.
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

/// Returns the headers of a caller's request that are forwarded to a backend server: the name of the
/// customer takes the place of its API key.
pub(super) fn for_backend(
    headers: &HeaderMap,
    names: &HeaderNames,
    table: &RouteTable,
    customer: Option<CustomerKey>,
) -> HeaderMap {
    let mut headers = headers.clone();
    remove_connection_headers(&mut headers);
    headers.remove(EXPECT);
    for name in &names.reserved {
        headers.remove(name);
    }
    if table.has_customers() {
        headers.remove(AUTHORIZATION);
        headers.remove(&names.customer);
    }
    if let Some(customer) = customer {
        let name = &table.customer(customer).name;
        match HeaderValue::from_str(name) {
            Ok(name) => drop(headers.insert(&names.customer, name)),
            Err(error) => log::error!("request: the customer name {name:?} is unusable: {error}"),
        }
    }
    headers
}

/// Returns the headers of a backend server's response that are forwarded to the caller.
pub(crate) fn for_caller(mut headers: HeaderMap) -> HeaderMap {
    remove_connection_headers(&mut headers);
    headers
}

/// Returns the URI in origin form: path and query only.
pub(super) fn origin_form(uri: &Uri) -> Uri {
    match uri.path_and_query() {
        Some(path) => Uri::from(path.clone()),
        None => Uri::from_static("/"),
    }
}

/// Numbers of tokens that a request states.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(super) struct Tokens {
    pub(super) prompt: u32,
    /// The maximum number of output tokens.
    pub(super) max_output: Option<u32>,
    /// The number of output tokens that the caller expects, or else the maximum.
    pub(super) expected_output: Option<u32>,
    /// The sum of the prompt tokens and the maximum number of output tokens, if the request states them.
    pub(super) stated: Option<u64>,
}

/// Parses the token counts of a request; an invalid or missing prompt count is 0.
pub(super) fn tokens(headers: &HeaderMap, names: &HeaderNames) -> Tokens {
    let text = |name| headers.get(name).and_then(|value| value.to_str().ok());
    let stated = text(&names.tokens).unwrap_or_default();
    let (prompt, most) = stated.split_once(',').unwrap_or((stated, ""));
    let max_output: Option<u32> = most.trim().parse().ok();
    let hint: Option<u32> = text(&names.length_hint).and_then(|hint| hint.trim().parse().ok());
    let expected_output = match (hint, max_output) {
        (Some(hint), Some(most)) => Some(hint.min(most)),
        (hint, most) => hint.or(most),
    };
    let prompt: Option<u32> = prompt.trim().parse().ok();
    let is_stated = prompt.is_some() || max_output.is_some();
    let sum = u64::from(prompt.unwrap_or_default()) + u64::from(max_output.unwrap_or_default());
    Tokens {
        prompt: prompt.unwrap_or_default(),
        max_output,
        expected_output,
        stated: is_stated.then_some(sum),
    }
}

/// Parses the prompt parts in a header, as ids with token counts, up to the first malformed part.
pub(super) fn prompt_parts(headers: &HeaderMap, name: &HeaderName) -> Vec<(u64, u32)> {
    let value = headers.get(name).and_then(|value| value.to_str().ok());
    let parts = value.unwrap_or_default().split(',').map_while(|part| {
        let (id, tokens) = part.trim().split_once(':')?;
        Some((u64::from_str_radix(id, 16).ok()?, tokens.parse().ok()?))
    });
    let mut kept: Vec<(u64, u32)> = Vec::new();
    for (id, tokens) in parts {
        let is_full = kept.len() == MAX_PROMPT_PARTS;
        match kept.last_mut() {
            // The last part is that of the request itself.
            Some((last_id, last_tokens)) if is_full => {
                (*last_id, *last_tokens) = (id, last_tokens.saturating_add(tokens));
            }
            _ => kept.push((id, tokens)),
        }
    }
    kept
}

#[cfg(test)]
mod tests;
