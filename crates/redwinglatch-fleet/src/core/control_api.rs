//! The operators' API of a core process.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{
    Request, Response, StatusCode,
    body::Incoming,
    header::{CONTENT_TYPE, RETRY_AFTER},
};
use redwinglatch_body::{BufferError, BufferReservation};
use redwinglatch_routing::RouteTable;
use tokio::{
    net::TcpListener,
    sync::{mpsc, oneshot, watch},
    time::Instant,
};

use crate::{
    ControlCall, Dialect,
    http::{self, ReadBodyError, RequestConnection, ServerLimits, ServerMemory},
    message::{LeaderRequest, LeaderResponse},
    state::StateCommand,
};

use super::driver::DriverEvent;

/// Maximum size of a configuration; a log entry holds 1 MiB.
const MAX_DOCUMENT_BYTES: usize = (1 << 20) - 4_096;
/// Maximum time that a request waits for a leader and its response; operators wait about a second.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(900);
/// Delay before an unconfirmed request is sent to the leader again.
const RETRY_DELAY: Duration = Duration::from_millis(60);
/// Time without progress after which an operator's connection may be closed for lack of room.
const STALL_TIME: Duration = Duration::from_millis(20);
/// The same within a body.
const BODY_STALL_TIME: Duration = Duration::from_millis(100);
/// Retry-After of an unconfirmed request.
const RETRY_AFTER_S: &str = "0.2";

/// Serves operators until `stop` is true.
pub(super) async fn run(
    listener: TcpListener,
    memory: ServerMemory,
    stop: watch::Receiver<bool>,
    events: mpsc::Sender<DriverEvent>,
    dialect: &'static Dialect,
) {
    let handler = move |request| handle(request, events.clone(), dialect);
    // A change takes some time, but operators are few.
    let limits = || ServerLimits {
        stall_time: STALL_TIME,
        body_stall_time: BODY_STALL_TIME,
        ..ServerLimits::default()
    };
    http::serve(listener, limits, memory, stop, handler).await;
}

async fn handle(
    request: Request<Incoming>,
    events: mpsc::Sender<DriverEvent>,
    dialect: &'static Dialect,
) -> Response<http::Body> {
    let Some(call) = (dialect.control_call)(request.method(), request.uri().path()) else {
        return error_response(dialect, StatusCode::NOT_FOUND, "unknown path or method");
    };
    if call == ControlCall::GetConfiguration {
        return match send_until_confirmed(&events, LeaderRequest::ReadConfiguration).await {
            LeaderResponse::Configuration(Some(document)) => {
                json_response(StatusCode::OK, document)
            }
            LeaderResponse::Configuration(None) => error_response(
                dialect,
                StatusCode::SERVICE_UNAVAILABLE,
                "there is no configuration yet",
            ),
            _ => unconfirmed_response(dialect),
        };
    }
    // The memory of the body counts until the change is answered, because it is passed on as a copy.
    let (body, _memory) = match read_body(request).await {
        Ok(body) => body,
        Err(ReadBodyError::Buffer(BufferError::TooLarge { .. })) => {
            let message = "the configuration is too large; the limit is 1 MiB";
            return error_response(dialect, StatusCode::PAYLOAD_TOO_LARGE, message);
        }
        Err(ReadBodyError::Buffer(BufferError::NoRoom)) => {
            let message = "there is no room for the request body; send the same request again";
            return busy_response(dialect, message);
        }
        Err(ReadBodyError::Stalled) => {
            let message = "the request body arrives too slowly or has stopped";
            return error_response(dialect, StatusCode::REQUEST_TIMEOUT, message);
        }
        Err(ReadBodyError::Buffer(error @ BufferError::Interrupted(_))) => {
            return error_response(dialect, StatusCode::BAD_REQUEST, &error.to_string());
        }
    };
    let command = match decode_command(call, &body, dialect) {
        Ok(command) => command,
        Err(message) => {
            log::warn!("control: change refused: {message}");
            return error_response(dialect, StatusCode::BAD_REQUEST, &message);
        }
    };
    match send_until_confirmed(&events, LeaderRequest::Propose(command)).await {
        LeaderResponse::Committed => json_response(StatusCode::OK, b"{}".to_vec()),
        _ => unconfirmed_response(dialect),
    }
}

/// Reads the body of a change.
async fn read_body(
    request: Request<Incoming>,
) -> Result<(Bytes, BufferReservation), ReadBodyError> {
    let (parts, body) = request.into_parts();
    let connection = parts.extensions.get::<RequestConnection>();
    // The server adds the extension to every request.
    let connection = connection.ok_or(ReadBodyError::Stalled)?;
    Ok(connection.read_body(body, MAX_DOCUMENT_BYTES).await?.into_bytes())
}

fn decode_command(
    call: ControlCall,
    body: &Bytes,
    dialect: &Dialect,
) -> Result<StateCommand, String> {
    if call == ControlCall::PutVersion {
        let change = (dialect.decode_version_change)(body)?;
        let model = match change.adapter {
            Some(adapter) => format!("{}/{adapter}", change.model).into(),
            None => change.model,
        };
        return Ok(StateCommand::PutVersion { model, version: change.version });
    }
    let configuration = (dialect.decode_configuration)(body)?;
    let version = configuration.version;
    RouteTable::new(configuration).map_err(|error| error.to_string())?;
    Ok(StateCommand::PutConfiguration { version, document: body.to_vec() })
}

/// Sends a request to the driver until it is confirmed or the timeout expires.
async fn send_until_confirmed(
    events: &mpsc::Sender<DriverEvent>,
    request: LeaderRequest,
) -> LeaderResponse {
    let deadline = Instant::now() + REQUEST_TIMEOUT;
    loop {
        let (reply, response) = oneshot::channel();
        if events
            .send(DriverEvent::OperatorRequest { request: request.clone(), reply })
            .await
            .is_err()
        {
            return LeaderResponse::Unconfirmed;
        }
        match tokio::time::timeout_at(deadline, response).await {
            Ok(Ok(response)) if response != LeaderResponse::Unconfirmed => return response,
            Ok(_) => {}
            Err(_) => return LeaderResponse::Unconfirmed,
        }
        if Instant::now() + RETRY_DELAY >= deadline {
            return LeaderResponse::Unconfirmed;
        }
        tokio::time::sleep(RETRY_DELAY).await;
    }
}

fn json_response(status: StatusCode, body: Vec<u8>) -> Response<http::Body> {
    let mut response =
        Response::new(Full::new(Bytes::from(body)).map_err(|never| match never {}).boxed());
    *response.status_mut() = status;
    response.headers_mut().insert(CONTENT_TYPE, const { JSON });
    response
}

const JSON: hyper::header::HeaderValue =
    hyper::header::HeaderValue::from_static("application/json");

fn error_response(dialect: &Dialect, status: StatusCode, message: &str) -> Response<http::Body> {
    json_response(status, (dialect.encode_error)(message))
}

fn unconfirmed_response(dialect: &Dialect) -> Response<http::Body> {
    busy_response(dialect, "the outcome is unconfirmed; send the same request again")
}

fn busy_response(dialect: &Dialect, message: &str) -> Response<http::Body> {
    let mut response = error_response(dialect, StatusCode::SERVICE_UNAVAILABLE, message);
    let retry_after = hyper::header::HeaderValue::from_static(RETRY_AFTER_S);
    response.headers_mut().insert(RETRY_AFTER, retry_after);
    response
}
