//! Bodies and responses that all fakes share.

use std::{
    pin::Pin,
    task::{Context, Poll},
};

use bytes::Bytes;
use http_body_util::{BodyExt as _, Full, Limited, combinators::BoxBody};
use hyper::{
    Response, StatusCode,
    body::{Body, Frame, Incoming, SizeHint},
};
use redwinglatch_body::BodyInterrupted;
use serde::{Serialize, de::DeserializeOwned};

use crate::connection_control::RequestGuard;

/// The body of every response.
pub(crate) type ResponseBody = BoxBody<Bytes, BodyInterrupted>;

/// The largest request body that a fake reads; above the 1 MiB limit of the client.
const REQUEST_LIMIT_BYTES: usize = 4 << 20;

/// Returns a response with `value` as JSON.
pub(crate) fn json(status: StatusCode, value: &impl Serialize) -> Response<ResponseBody> {
    let body = serde_json::to_string(value).expect("responses of fakes can be serialized");
    let mut response = raw_json(body);
    *response.status_mut() = status;
    response
}

/// Returns a response with the JSON content type and an unchecked body.
pub(crate) fn raw_json(body: String) -> Response<ResponseBody> {
    Response::builder()
        .header("content-type", "application/json")
        .body(Full::new(Bytes::from(body)).map_err(|never| match never {}).boxed())
        .expect("the headers are valid")
}

/// Returns an error response in the format of section 6.1 of `docs/design.md`.
pub(crate) fn refusal(status: u16, code: &str, message: &str) -> Response<ResponseBody> {
    let status = StatusCode::from_u16(status).expect("the status is valid");
    json(status, &serde_json::json!({ "error": { "code": code, "message": message } }))
}

/// Marks an error response as one whose request did not run.
pub(crate) fn not_run(response: Response<ResponseBody>) -> Response<ResponseBody> {
    with_flag(response, "x-not-run")
}

/// Marks an error response as coming from a server that is leaving.
pub(crate) fn leaving(response: Response<ResponseBody>) -> Response<ResponseBody> {
    with_flag(response, "x-leaving")
}

fn with_flag(mut response: Response<ResponseBody>, name: &'static str) -> Response<ResponseBody> {
    response.headers_mut().insert(name, hyper::header::HeaderValue::from_static("true"));
    response
}

/// Reads a whole request body; returns `None` above the size limit or on a connection error.
pub(crate) async fn read_body(body: Incoming) -> Option<Bytes> {
    Limited::new(body, REQUEST_LIMIT_BYTES).collect().await.ok().map(|all| all.to_bytes())
}

/// Reads a request body as JSON; returns `None` if it cannot be read or parsed.
pub(crate) async fn read_json<T: DeserializeOwned>(body: Incoming) -> Option<T> {
    serde_json::from_slice(&read_body(body).await?).ok()
}

/// A body that keeps its request counted as in progress until it has been sent.
pub(crate) struct GuardedBody {
    inner: ResponseBody,
    _guard: RequestGuard,
}

impl GuardedBody {
    pub(crate) fn new(inner: ResponseBody, guard: RequestGuard) -> GuardedBody {
        GuardedBody { inner, _guard: guard }
    }
}

impl Body for GuardedBody {
    type Data = Bytes;
    type Error = BodyInterrupted;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyInterrupted>>> {
        Pin::new(&mut self.inner).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.inner.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.inner.size_hint()
    }
}
