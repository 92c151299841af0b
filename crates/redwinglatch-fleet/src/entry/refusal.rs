//! Error responses of the entry process.

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{
    Response, StatusCode,
    header::{CONTENT_TYPE, HeaderValue, RETRY_AFTER, WWW_AUTHENTICATE},
};

use crate::{Dialect, http::Body, message::RefusalCause};

/// The reason why a request is answered by the entry process instead of a backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RefusalReason {
    /// The process has not received a configuration.
    NoConfiguration,
    /// No route matches the host and path.
    NoRoute,
    /// The request carries no API key that a customer holds.
    UnknownKey,
    /// The service has no such model or adapter.
    UnknownModel,
    /// The adapter and its base model are larger than the memory of an engine.
    DoesNotFit,
    /// The request is malformed.
    Malformed,
    /// The request body exceeds the limit.
    TooLarge,
    /// The request body did not arrive completely in time.
    BodyIncomplete,
    /// The request bodies in memory leave no room for this one.
    NoRoom,
    /// The process is about to stop.
    Draining,
    /// No backend server can take the request.
    NoBackend,
    /// The adapter is loaded on no engine, and no coordinator can order a load.
    NotLoaded,
    /// The engines are too busy to serve the request in time.
    Overloaded {
        /// The delay after which the caller should retry.
        retry_after_ms: u64,
        /// The cause, unless an older coordinator sent the refusal.
        cause: Option<RefusalCause>,
    },
    /// Engines have ended under requests with a prompt part of this one.
    Quarantined {
        /// The delay after which such requests are tried again.
        retry_after_ms: u64,
    },
    /// All backend servers want no requests for some time.
    BackendsOnHold {
        /// The delay after which one of them takes requests again.
        retry_after_ms: u64,
    },
    /// All backend servers have named request limits that are used up.
    BackendsLimited {
        /// The delay after which one of them may take a request.
        retry_after_ms: u64,
    },
    /// No backend server of the service accepts connections of this process or answers, and no other process
    /// reaches one.
    ServersUnreachable,
    /// The software version that began the stream isn't known, and the service has several.
    StreamVersionUnknown {
        /// The versions under which the stream may have begun.
        versions: usize,
        /// The core processes that were asked and answered.
        replies: usize,
    },
    /// No backend server has the software version that began the stream.
    StreamVersionGone,
    /// The request is beyond the cap of its customer.
    OverCap {
        /// The units that it would use.
        units: u64,
        /// The delay after which the cap has room for it.
        retry_after_ms: u64,
    },
    /// The customer has a cap, no core process grants units of it, and this process's own part doesn't suffice.
    NoGrant {
        /// The units that the request would use.
        units: u64,
    },
    /// Backend servers rejected the request without executing it.
    RefusedByBackends,
    /// The request may have been executed, but there is no response.
    Failed,
    /// The request may have been executed, but its deadline passed.
    TimedOut,
}

impl RefusalReason {
    pub(crate) fn code(self) -> &'static str {
        match self {
            RefusalReason::NoConfiguration => "no_configuration",
            RefusalReason::NoRoute => "no_route",
            RefusalReason::UnknownKey => "unknown_key",
            RefusalReason::UnknownModel => "unknown_model",
            RefusalReason::DoesNotFit => "does_not_fit",
            RefusalReason::Malformed => "malformed",
            RefusalReason::TooLarge => "too_large",
            RefusalReason::BodyIncomplete => "body_incomplete",
            RefusalReason::NoRoom => "no_room",
            RefusalReason::Draining => "draining",
            RefusalReason::NoBackend => "no_backend",
            RefusalReason::NotLoaded => "not_loaded",
            RefusalReason::Overloaded { .. } => "overloaded",
            RefusalReason::Quarantined { .. } => "quarantined",
            RefusalReason::BackendsOnHold { .. } => "backends_on_hold",
            RefusalReason::BackendsLimited { .. } => "backends_limited",
            RefusalReason::ServersUnreachable => "servers_unreachable",
            RefusalReason::StreamVersionUnknown { .. } => "stream_version_unknown",
            RefusalReason::StreamVersionGone => "stream_version_gone",
            RefusalReason::OverCap { .. } => "over_cap",
            RefusalReason::NoGrant { .. } => "no_grant",
            RefusalReason::RefusedByBackends => "refused_by_backends",
            RefusalReason::Failed => "failed",
            RefusalReason::TimedOut => "timed_out",
        }
    }

    /// Returns what decided the refusal, as further fields of a log line.
    pub(crate) fn inputs(self) -> String {
        match self {
            RefusalReason::Overloaded { retry_after_ms, cause: Some(cause) } => {
                format!(" retry_after_ms={retry_after_ms} {cause}")
            }
            RefusalReason::Overloaded { retry_after_ms, cause: None }
            | RefusalReason::Quarantined { retry_after_ms }
            | RefusalReason::BackendsOnHold { retry_after_ms }
            | RefusalReason::BackendsLimited { retry_after_ms } => {
                format!(" retry_after_ms={retry_after_ms}")
            }
            RefusalReason::StreamVersionUnknown { versions, replies } => {
                format!(" versions={versions} replies={replies}")
            }
            RefusalReason::OverCap { units, retry_after_ms } => {
                format!(" tokens={units} retry_after_ms={retry_after_ms}")
            }
            RefusalReason::NoGrant { units } => format!(" tokens={units}"),
            _ => String::new(),
        }
    }

    /// Returns whether the request may have run.
    pub(crate) fn may_have_run(self) -> bool {
        matches!(self, RefusalReason::Failed | RefusalReason::TimedOut)
    }

    /// Returns whether another process may serve the request.
    pub(crate) fn may_be_served_elsewhere(self) -> bool {
        matches!(
            self,
            RefusalReason::ServersUnreachable
                | RefusalReason::Draining
                | RefusalReason::NoConfiguration
        )
    }

    fn status(self) -> StatusCode {
        match self {
            RefusalReason::NoRoute | RefusalReason::UnknownModel => StatusCode::NOT_FOUND,
            RefusalReason::UnknownKey => StatusCode::UNAUTHORIZED,
            RefusalReason::Malformed => StatusCode::BAD_REQUEST,
            RefusalReason::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            RefusalReason::BodyIncomplete => StatusCode::REQUEST_TIMEOUT,
            RefusalReason::Failed => StatusCode::BAD_GATEWAY,
            RefusalReason::TimedOut => StatusCode::GATEWAY_TIMEOUT,
            RefusalReason::OverCap { .. } => StatusCode::TOO_MANY_REQUESTS,
            RefusalReason::NoGrant { .. }
            | RefusalReason::NoConfiguration
            | RefusalReason::DoesNotFit
            | RefusalReason::NoRoom
            | RefusalReason::Draining
            | RefusalReason::NoBackend
            | RefusalReason::NotLoaded
            | RefusalReason::Overloaded { .. }
            | RefusalReason::Quarantined { .. }
            | RefusalReason::BackendsOnHold { .. }
            | RefusalReason::BackendsLimited { .. }
            | RefusalReason::ServersUnreachable
            | RefusalReason::StreamVersionUnknown { .. }
            | RefusalReason::StreamVersionGone
            | RefusalReason::RefusedByBackends => StatusCode::SERVICE_UNAVAILABLE,
        }
    }

    /// Returns the minimum delay before a retry, and the range of the random delay that is added so
    /// that callers do not retry at the same time.
    fn retry_after_ms(self) -> Option<(u64, u64)> {
        match self {
            RefusalReason::NoConfiguration => Some((700, 800)),
            RefusalReason::Draining => Some((0, 50)),
            RefusalReason::NoRoom | RefusalReason::NoBackend | RefusalReason::RefusedByBackends => {
                Some((200, 600))
            }
            RefusalReason::ServersUnreachable | RefusalReason::NoGrant { .. } => Some((300, 700)),
            RefusalReason::OverCap { retry_after_ms, .. } => Some((retry_after_ms, 1)),
            // Another process may know the version.
            RefusalReason::StreamVersionUnknown { .. } => Some((100, 400)),
            RefusalReason::NotLoaded => Some((1_000, 2_000)),
            // Only a change of the configuration helps.
            RefusalReason::DoesNotFit => Some((30_000, 30_000)),
            RefusalReason::Overloaded { retry_after_ms, .. } => Some((retry_after_ms, 1)),
            RefusalReason::Quarantined { retry_after_ms } => Some((retry_after_ms, 1_000)),
            RefusalReason::BackendsOnHold { retry_after_ms } => Some((retry_after_ms, 200)),
            RefusalReason::BackendsLimited { retry_after_ms } => Some((retry_after_ms, 2_000)),
            _ => None,
        }
    }
}

/// Builds the error response for `reason`.
pub(crate) fn refusal_response(dialect: &Dialect, reason: RefusalReason) -> Response<Body> {
    let body = (dialect.encode_error)(reason.code());
    let mut response = Response::new(full_body(body.into()));
    *response.status_mut() = reason.status();
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    if reason == RefusalReason::UnknownKey {
        headers.insert(WWW_AUTHENTICATE, HeaderValue::from_static("Bearer"));
    }
    if let Some((least_ms, spread_ms)) = reason.retry_after_ms() {
        let after_ms = least_ms + fastrand::u64(0..spread_ms);
        let text = format!("{}.{:03}", after_ms / 1_000, after_ms % 1_000);
        headers.insert(RETRY_AFTER, HeaderValue::from_str(&text).expect("digits are valid"));
    }
    response
}

/// Returns a body that consists of `bytes`.
pub(crate) fn full_body(bytes: Bytes) -> Body {
    Full::new(bytes).map_err(|never| match never {}).boxed()
}
