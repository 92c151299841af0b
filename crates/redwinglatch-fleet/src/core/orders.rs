//! Sends orders to engines and fetches their reports.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{
    HeaderMap, Request, StatusCode,
    header::{CONTENT_TYPE, HOST},
};
use tokio::time::Instant;

use crate::{
    Dialect, EngineReport, Order,
    http::{CallLimits, HttpClient},
    request_rate::RequestRate,
};

/// Limits of an order; engines answer at once or not at all.
const ORDER_LIMITS: CallLimits =
    CallLimits { time: Duration::from_millis(200), response_bytes: 16 << 10 };
/// Limits of a report request. Reports of many engines are read at the same time.
const REPORT_LIMITS: CallLimits =
    CallLimits { time: Duration::from_millis(600), response_bytes: 128 << 10 };

/// The outcome of an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum OrderOutcome {
    /// The engine has accepted the order and is carrying it out.
    Accepted,
    /// The state that the order requests is already in effect.
    InEffect,
    /// Another order is in progress, or the sequence number differs.
    Conflict,
    /// The fencing token is lower than one that the engine has seen.
    Fenced,
    /// The engine refused the order for another reason.
    Refused,
    /// The engine did not answer, so the order may or may not take effect.
    Unknown,
}

impl OrderOutcome {
    /// Returns the metric label value of the outcome.
    pub(super) fn code(self) -> &'static str {
        match self {
            OrderOutcome::Accepted => "accepted",
            OrderOutcome::InEffect => "holds",
            OrderOutcome::Conflict => "conflict",
            OrderOutcome::Fenced => "fenced",
            OrderOutcome::Refused => "refused",
            OrderOutcome::Unknown => "unknown",
        }
    }
}

/// The address and id of an engine.
#[derive(Debug, Clone)]
pub(super) struct EngineAddress {
    pub(super) address: SocketAddr,
    pub(super) id: Box<str>,
}

/// The result of a call to an engine.
#[derive(Debug)]
pub(super) struct EngineAnswer<T> {
    pub(super) result: T,
    /// The engine announced that it is about to stop.
    pub(super) is_leaving: bool,
    /// The request limit that the engine named.
    pub(super) request_limit: Option<RequestRate>,
}

impl<T> EngineAnswer<T> {
    /// The result of a call that the engine didn't answer.
    fn unanswered(result: T) -> EngineAnswer<T> {
        EngineAnswer { result, is_leaving: false, request_limit: None }
    }

    /// The result of a call, with what the headers of its answer say of the engine.
    fn answered(
        result: T,
        headers: &HeaderMap,
        engine: &EngineAddress,
        dialect: &Dialect,
    ) -> EngineAnswer<T> {
        let request_limit = dialect.headers.request_limit(headers).unwrap_or_else(|value| {
            log::warn!("coordinator: engine {} names an unreadable limit {value:?}", engine.id);
            None
        });
        let is_leaving = dialect.headers.announce_stop(headers);
        EngineAnswer { result, is_leaving, request_limit }
    }
}

/// Sends an order to an engine, unless it was planned longer ago than an order may take.
///
/// The coordinator that planned it may have been suspended since, and another may have taken over: that one waits until
/// orders of this one can no longer arrive.
pub(super) async fn send(
    client: &Arc<HttpClient>,
    engine: &EngineAddress,
    order: &Order,
    planned_at: Instant,
    dialect: &Dialect,
) -> EngineAnswer<OrderOutcome> {
    let request = Request::post(dialect.order_path)
        .header(HOST, engine.address.to_string())
        .header(CONTENT_TYPE, "application/json")
        .header(&dialect.headers.expected_backend, &*engine.id)
        .body(Full::new(Bytes::from((dialect.encode_order)(order))));
    let request = match request {
        Ok(request) => request,
        Err(error) => {
            log::error!("coordinator: cannot build an order to engine {}: {error}", engine.id);
            return EngineAnswer::unanswered(OrderOutcome::Refused);
        }
    };
    let by = planned_at + ORDER_LIMITS.time;
    match client.call_by(engine.address, request, ORDER_LIMITS, Some(by)).await {
        Ok((status, headers, body)) => {
            let result = match status {
                StatusCode::OK => OrderOutcome::InEffect,
                StatusCode::ACCEPTED => OrderOutcome::Accepted,
                StatusCode::CONFLICT => OrderOutcome::Conflict,
                StatusCode::PRECONDITION_FAILED => OrderOutcome::Fenced,
                status => {
                    let text = String::from_utf8_lossy(&body);
                    log::warn!(
                        "coordinator: engine {} responded {status} to {order:?}: {text}",
                        engine.id
                    );
                    OrderOutcome::Refused
                }
            };
            EngineAnswer::answered(result, &headers, engine, dialect)
        }
        Err(error) => {
            log::info!("coordinator: order to engine {} was not answered: {error}", engine.id);
            EngineAnswer::unanswered(OrderOutcome::Unknown)
        }
    }
}

/// Fetches the report of an engine; the result is `None` if it can't be fetched or decoded.
pub(super) async fn fetch_report(
    client: &Arc<HttpClient>,
    engine: &EngineAddress,
    dialect: &Dialect,
) -> EngineAnswer<Option<EngineReport>> {
    let request = Request::get(dialect.report_path)
        .header(HOST, engine.address.to_string())
        .header(&dialect.headers.expected_backend, &*engine.id)
        .body(Full::new(Bytes::new()));
    let request = match request {
        Ok(request) => request,
        Err(error) => {
            log::error!("coordinator: cannot ask engine {} for its report: {error}", engine.id);
            return EngineAnswer::unanswered(None);
        }
    };
    let (status, headers, body) = match client.call(engine.address, request, REPORT_LIMITS).await {
        Ok(answer) => answer,
        Err(error) => {
            log::debug!("coordinator: cannot fetch the report of engine {}: {error}", engine.id);
            return EngineAnswer::unanswered(None);
        }
    };
    if status != StatusCode::OK {
        log::debug!("coordinator: engine {} responded {status} to a report request", engine.id);
        return EngineAnswer::answered(None, &headers, engine, dialect);
    }
    let report = (dialect.decode_report)(&body).inspect_err(|error| {
        log::warn!("coordinator: cannot decode the report of engine {}: {error}", engine.id);
    });
    EngineAnswer::answered(report.ok(), &headers, engine, dialect)
}
