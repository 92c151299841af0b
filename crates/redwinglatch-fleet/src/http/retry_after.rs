//! The `Retry-After` header of responses.

use hyper::{
    StatusCode,
    header::{HeaderMap, RETRY_AFTER},
};

/// Longest time that is honoured; a server that states more is asked again after it.
const MAX_RETRY_AFTER_MS: u64 = 3_600_000;

/// Returns for how long a server wants no further requests: the `Retry-After` of a response with status
/// 503, in seconds with an optional fraction.
///
/// The form with a date isn't supported, because decisions don't use the time of day.
pub(crate) fn unavailable_for_ms(status: StatusCode, headers: &HeaderMap) -> Option<u64> {
    if status != StatusCode::SERVICE_UNAVAILABLE {
        return None;
    }
    let text = headers.get(RETRY_AFTER)?.to_str().ok()?.trim();
    let is_number = text.bytes().all(|byte| byte.is_ascii_digit() || byte == b'.');
    let seconds: f64 = text.parse().ok().filter(|_| is_number)?;
    Some(((seconds * 1_000.0).ceil() as u64).min(MAX_RETRY_AFTER_MS))
}

#[cfg(test)]
mod tests;
