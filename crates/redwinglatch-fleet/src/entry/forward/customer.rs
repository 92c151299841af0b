//! The customer that sends a request.

use hyper::{
    header::{AUTHORIZATION, HeaderValue},
    http::request::Parts,
};
use redwinglatch_routing::{CustomerKey, RouteKey, RouteTable};

use crate::entry::{refusal::RefusalReason, relay::RequestOrigin};

/// The authentication scheme of API keys.
const SCHEME: &[u8] = b"bearer ";

/// The customer of a request that another process has passed on, as that process found it.
#[derive(Debug, Clone)]
pub(crate) struct PassedOnCustomer(pub(crate) Box<str>);

/// Returns the customer that sends a request, or `None` if the request needs none.
///
/// # Errors
///
/// Fails if the request must carry an API key and carries none that a customer holds.
pub(super) fn identify(
    table: &RouteTable,
    route: RouteKey,
    parts: &Parts,
    origin: RequestOrigin,
) -> Result<Option<CustomerKey>, RefusalReason> {
    if !table.has_customers() {
        return Ok(None);
    }
    let customer = match origin {
        RequestOrigin::Caller => {
            let key = parts.headers.get(AUTHORIZATION).and_then(bearer_key);
            key.and_then(|key| table.customer_with_key(key))
        }
        RequestOrigin::Process => {
            let name = parts.extensions.get::<PassedOnCustomer>();
            name.and_then(|PassedOnCustomer(name)| table.customer_named(name))
        }
    };
    if customer.is_none() && !table.route(route).is_anonymous {
        return Err(RefusalReason::UnknownKey);
    }
    Ok(customer)
}

/// Returns the key in the value of an `Authorization` header.
fn bearer_key(value: &HeaderValue) -> Option<&[u8]> {
    let (scheme, key) = value.as_bytes().split_at_checked(SCHEME.len())?;
    scheme.eq_ignore_ascii_case(SCHEME).then(|| key.trim_ascii())
}

#[cfg(test)]
mod tests;
