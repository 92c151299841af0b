//! Sends orders to engines and asks them for reports.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{
    Request, StatusCode,
    header::{CONTENT_TYPE, HOST},
};

use crate::{Dialect, EngineReport, Order, http::HttpClient};

/// How long an order may stay without an answer; engines answer at once or not at all.
const ORDER_TIMEOUT: Duration = Duration::from_millis(300);
/// How long a report may take.
const REPORT_TIMEOUT: Duration = Duration::from_millis(600);

/// What an engine answered to an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum OrderOutcome {
    /// It is being carried out.
    Accepted,
    /// What it asks for is the case.
    Holds,
    /// Another order is under way, or the sequence differs.
    Conflict,
    /// The fencing token is too low.
    Fenced,
    /// The engine refuses it for another reason.
    Refused,
    /// It may or may not be carried out.
    Unknown,
}

impl OrderOutcome {
    /// The name on the metrics page.
    pub(super) fn code(self) -> &'static str {
        match self {
            OrderOutcome::Accepted => "accepted",
            OrderOutcome::Holds => "holds",
            OrderOutcome::Conflict => "conflict",
            OrderOutcome::Fenced => "fenced",
            OrderOutcome::Refused => "refused",
            OrderOutcome::Unknown => "unknown",
        }
    }
}

/// Where an order or question goes.
#[derive(Debug, Clone)]
pub(super) struct EngineAddress {
    pub(super) address: SocketAddr,
    pub(super) id: Box<str>,
}

/// Sends one order.
pub(super) async fn send(
    client: &Arc<HttpClient>,
    engine: &EngineAddress,
    order: &Order,
    dialect: &Dialect,
) -> OrderOutcome {
    let request = Request::post(dialect.order_path)
        .header(HOST, engine.address.to_string())
        .header(CONTENT_TYPE, "application/json")
        .header(&dialect.headers.expected_backend, &*engine.id)
        .body(Full::new(Bytes::from((dialect.encode_order)(order))));
    let request = match request {
        Ok(request) => request,
        Err(error) => {
            log::error!("coordinator: an order to {} can't be written: {error}", engine.id);
            return OrderOutcome::Refused;
        }
    };
    match client.call(engine.address, request, ORDER_TIMEOUT).await {
        Ok((status, _, body)) => match status {
            StatusCode::OK => OrderOutcome::Holds,
            StatusCode::ACCEPTED => OrderOutcome::Accepted,
            StatusCode::CONFLICT => OrderOutcome::Conflict,
            StatusCode::PRECONDITION_FAILED => OrderOutcome::Fenced,
            status => {
                let text = String::from_utf8_lossy(&body);
                log::warn!(
                    "coordinator: engine {} answers {status} to {order:?}: {text}",
                    engine.id
                );
                OrderOutcome::Refused
            }
        },
        Err(error) => {
            log::info!("coordinator: an order to engine {} has no answer: {error}", engine.id);
            OrderOutcome::Unknown
        }
    }
}

/// Asks an engine for its report.
pub(super) async fn report(
    client: &Arc<HttpClient>,
    engine: &EngineAddress,
    dialect: &Dialect,
) -> Option<EngineReport> {
    let request = Request::get(dialect.report_path)
        .header(HOST, engine.address.to_string())
        .header(&dialect.headers.expected_backend, &*engine.id)
        .body(Full::new(Bytes::new()))
        .ok()?;
    match client.call(engine.address, request, REPORT_TIMEOUT).await {
        Ok((StatusCode::OK, _, body)) => match (dialect.decode_report)(&body) {
            Ok(report) => Some(report),
            Err(error) => {
                log::warn!(
                    "coordinator: the report of engine {} can't be read: {error}",
                    engine.id
                );
                None
            }
        },
        Ok((status, _, _)) => {
            log::debug!("coordinator: engine {} answers {status} instead of a report", engine.id);
            None
        }
        Err(error) => {
            log::debug!("coordinator: engine {} sends no report: {error}", engine.id);
            None
        }
    }
}
