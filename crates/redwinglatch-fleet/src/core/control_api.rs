//! The operators' API of a core process.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::{
    Request, Response, StatusCode,
    body::Incoming,
    header::{CONTENT_TYPE, RETRY_AFTER},
};
use redwinglatch_routing::RouteTable;
use tokio::{
    net::TcpListener,
    sync::{mpsc, oneshot, watch},
    time::Instant,
};

use crate::{
    ControlCall, Dialect,
    http::{self, ServerLimits},
    message::{LeaderRequest, LeaderResponse},
    state::Command,
};

use super::driver::Input;

/// The largest configuration; an entry of the log holds 1 MiB.
const MAX_DOCUMENT_BYTES: usize = (1 << 20) - 4_096;
/// How long a call waits for a leader and its answer; operators wait about a second.
const CALL_TIMEOUT: Duration = Duration::from_millis(900);
/// How long to wait before the leader is asked again.
const RETRY_PAUSE: Duration = Duration::from_millis(60);
/// When an operator should come back after a call without a clear answer.
const RETRY_AFTER_S: &str = "0.2";

/// Serves operators until `stop` is true.
pub(super) async fn run(
    listener: TcpListener,
    stop: watch::Receiver<bool>,
    inputs: mpsc::Sender<Input>,
    dialect: &'static Dialect,
) {
    let handler = move |request| handle(request, inputs.clone(), dialect);
    http::serve(listener, ServerLimits::default, stop, handler).await;
}

async fn handle(
    request: Request<Incoming>,
    inputs: mpsc::Sender<Input>,
    dialect: &'static Dialect,
) -> Response<http::Body> {
    let Some(call) = (dialect.control_call)(request.method(), request.uri().path()) else {
        return refusal(dialect, StatusCode::NOT_FOUND, "no such call");
    };
    if call == ControlCall::GetConfiguration {
        return match ask(&inputs, LeaderRequest::ReadConfiguration).await {
            LeaderResponse::Configuration(Some(document)) => answer(StatusCode::OK, document),
            LeaderResponse::Configuration(None) => {
                refusal(dialect, StatusCode::SERVICE_UNAVAILABLE, "there is no configuration yet")
            }
            _ => unsure(dialect),
        };
    }
    let body = match Limited::new(request.into_body(), MAX_DOCUMENT_BYTES).collect().await {
        Ok(body) => body.to_bytes(),
        Err(error) if error.is::<LengthLimitError>() => {
            let message = "the configuration is too large; at most 1 MiB is taken";
            return refusal(dialect, StatusCode::PAYLOAD_TOO_LARGE, message);
        }
        Err(error) => {
            return refusal(
                dialect,
                StatusCode::BAD_REQUEST,
                &format!("the body broke off: {error}"),
            );
        }
    };
    let command = match read_command(call, &body, dialect) {
        Ok(command) => command,
        Err(message) => {
            log::warn!("control: a change is refused: {message}");
            return refusal(dialect, StatusCode::BAD_REQUEST, &message);
        }
    };
    match ask(&inputs, LeaderRequest::Propose(command)).await {
        LeaderResponse::Committed => answer(StatusCode::OK, b"{}".to_vec()),
        _ => unsure(dialect),
    }
}

fn read_command(call: ControlCall, body: &Bytes, dialect: &Dialect) -> Result<Command, String> {
    if call == ControlCall::PutVersion {
        let change = (dialect.decode_version_change)(body)?;
        let model = match change.adapter {
            Some(adapter) => format!("{}/{adapter}", change.model).into(),
            None => change.model,
        };
        return Ok(Command::PutVersion { model, version: change.version });
    }
    let configuration = (dialect.decode_configuration)(body)?;
    let version = configuration.version;
    RouteTable::new(configuration).map_err(|fault| fault.to_string())?;
    Ok(Command::PutConfiguration { version, document: body.to_vec() })
}

/// Asks the driver until there is a clear answer or the operator stops waiting.
async fn ask(inputs: &mpsc::Sender<Input>, call: LeaderRequest) -> LeaderResponse {
    let deadline = Instant::now() + CALL_TIMEOUT;
    loop {
        let (reply, answer) = oneshot::channel();
        if inputs.send(Input::Call { call: call.clone(), reply }).await.is_err() {
            return LeaderResponse::Unconfirmed;
        }
        match tokio::time::timeout_at(deadline, answer).await {
            Ok(Ok(reply)) if reply != LeaderResponse::Unconfirmed => return reply,
            Ok(_) => {}
            Err(_) => return LeaderResponse::Unconfirmed,
        }
        if Instant::now() + RETRY_PAUSE >= deadline {
            return LeaderResponse::Unconfirmed;
        }
        tokio::time::sleep(RETRY_PAUSE).await;
    }
}

fn answer(status: StatusCode, body: Vec<u8>) -> Response<http::Body> {
    let mut response =
        Response::new(Full::new(Bytes::from(body)).map_err(|never| match never {}).boxed());
    *response.status_mut() = status;
    response.headers_mut().insert(CONTENT_TYPE, const { JSON });
    response
}

const JSON: hyper::header::HeaderValue =
    hyper::header::HeaderValue::from_static("application/json");

fn refusal(dialect: &Dialect, status: StatusCode, message: &str) -> Response<http::Body> {
    answer(status, (dialect.encode_error)(message))
}

fn unsure(dialect: &Dialect) -> Response<http::Body> {
    let message = "the outcome is not certain; send the same call again";
    let mut response = refusal(dialect, StatusCode::SERVICE_UNAVAILABLE, message);
    let retry_after = hyper::header::HeaderValue::from_static(RETRY_AFTER_S);
    response.headers_mut().insert(RETRY_AFTER, retry_after);
    response
}
