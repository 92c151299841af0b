//! Runs one call of a plain service, from its admission to its response.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use hyper::header::{CONTENT_TYPE, HeaderMap, HeaderValue};
use redwinglatch_admission::{AttemptOutcome, BackendKind, Failure, ReplicaKey, RetryDecision};
use redwinglatch_backends::{BackendError, ServiceRequest, ServiceResponse};
use redwinglatch_callers::{CallerResponse, ServedBy, ServiceCall};
use redwinglatch_control::OnceOutcome;
use redwinglatch_core::prelude::*;
use redwinglatch_metrics::Counter;
use smallvec::SmallVec;
use tokio::sync::oneshot;
use tokio::time::sleep;

use crate::backend_failure::failure_class;
use crate::callers::{RequestHandles, admit, refuse};
use crate::entry::{
    AdmitRequest, ChooseReplica, CountFirstAttempt, DecideRetry, FinishRequest,
    ReplicaAttemptEnded, RequestTarget,
};
use crate::once_claim::{
    ClaimRequest, ClaimResult, OnceClaim, claim_key, finish_claim, qualify_refusal,
};

/// Runs a call of a plain service and responds to the caller.
pub(crate) async fn run(
    handles: &RequestHandles,
    call: ServiceCall,
    reply: oneshot::Sender<CallerResponse>,
) {
    let context = &handles.context;
    let request = AdmitRequest {
        customer: call.headers.customer.clone(),
        target: RequestTarget::Service(call.service.clone()),
        waiting_since_ms: None,
        arrived_at_ms: context.now_ms(),
        deadline_ms: call.headers.deadline_ms,
        priority: call.headers.priority,
        max_tokens: 0,
    };
    let admitted = match admit(handles, &call.headers, request).await {
        Ok(admitted) => admitted,
        Err(refusal) => {
            let refusal = qualify_refusal(&handles.control, &call.headers, refusal).await;
            return refuse(context, reply, refusal).await;
        }
    };
    let deadline_ms = admitted.terms.deadline_ms;
    match produce_response(handles, &call, deadline_ms).await {
        Ok(response) => {
            context.count_retries();
            context.metrics.increment(Counter::RequestsAnswered);
            let _ = reply.send(response);
        }
        Err(refusal) => refuse(context, reply, refusal).await,
    }
    let _ = context.entry.send(FinishRequest { permit: admitted.permit, tokens: 0 }).await;
}

async fn produce_response(
    handles: &RequestHandles,
    call: &ServiceCall,
    deadline_ms: u64,
) -> Result<CallerResponse, Refusal> {
    let context = &handles.context;
    let claimed = match &call.headers.idempotency_key {
        None => None,
        Some(key) => {
            let request = ClaimRequest {
                key: key.clone(),
                customer: call.headers.customer.clone(),
                digest: call.digest,
                request: context.next_request_id(),
                at_most_once: call.headers.at_most_once,
            };
            let deadline = context.clock.at_ms(deadline_ms);
            let claimed = claim_key(context, &handles.control, request, deadline).await;
            let claimed = match claimed {
                Ok(claimed) => claimed,
                Err(refusal) => {
                    return Err(qualify_refusal(&handles.control, &call.headers, refusal).await);
                }
            };
            match claimed {
                ClaimResult::Granted(claim) => Some(claim),
                ClaimResult::Answered { status, body } => {
                    context.metrics.increment(Counter::AnswersFromRecord);
                    return Ok(decode_response(status, &body));
                }
            }
        }
    };
    match call_replicas(handles, call, deadline_ms).await {
        Ok((address, response)) => {
            let content_type = content_type(&response);
            let status = response.status.as_u16();
            let stored = encode_response(&content_type, &response.body);
            end_claim(handles, claimed, OnceOutcome::Answered { status, body: stored }).await;
            let served_by = Some(ServedBy { adapter: None, backend: address });
            Ok(CallerResponse::Complete { served_by, status, content_type, body: response.body })
        }
        Err(refusal) => {
            let outcome = match refusal.ran {
                RunStatus::NotRun => OnceOutcome::NotRun,
                RunStatus::Unknown | RunStatus::Ran => OnceOutcome::Unknown,
            };
            end_claim(handles, claimed, outcome).await;
            Err(refusal)
        }
    }
}

async fn end_claim(handles: &RequestHandles, claim: Option<OnceClaim>, outcome: OnceOutcome) {
    if let Some(claim) = claim {
        finish_claim(&handles.context, &handles.control, claim, outcome).await;
    }
}

/// Sends the call to one replica after the other until one responds or no retry is allowed.
async fn call_replicas(
    handles: &RequestHandles,
    call: &ServiceCall,
    deadline_ms: u64,
) -> Result<(SocketAddr, ServiceResponse), Refusal> {
    let context = &handles.context;
    let mut avoid: SmallVec<[ReplicaKey; 2]> = SmallVec::new();
    let mut may_have_run = false;
    loop {
        let choose = ChooseReplica { service: call.service.clone(), avoid: avoid.clone() };
        let chosen = context.entry.send(choose).await.map_err(|_| stopping_refusal())?;
        let (replica, address) = chosen?;
        if avoid.is_empty() {
            let customer = call.headers.customer.clone();
            let _ = context.entry.send(CountFirstAttempt { customer, backend: address }).await;
        }
        let timeout_ms = deadline_ms.saturating_sub(context.now_ms());
        let request = service_request(call, timeout_ms)?;
        let result = context.backends.call_service(address, request).await;
        let end = result.as_ref().map_or_else(attempt_end, |_| AttemptOutcome::Responded);
        let service = call.service.clone();
        let _ = context.entry.send(ReplicaAttemptEnded { service, replica, end }).await;
        let error = match result {
            Ok(response) => return Ok((address, response)),
            Err(error) => error,
        };
        avoid.push(replica);
        may_have_run |= error.ran != RunStatus::NotRun;
        let safe_method = matches!(&*call.method, "GET" | "HEAD" | "OPTIONS");
        let decide = DecideRetry {
            failure: failure_class(&error),
            customer: call.headers.customer.clone(),
            backend: address,
            kind: BackendKind::Service { safe_method },
            at_most_once: call.headers.at_most_once,
            may_have_run,
            failed_attempts: u32::try_from(avoid.len()).unwrap_or(u32::MAX),
            deadline_ms,
        };
        match context.entry.send(decide).await.map_err(|_| stopping_refusal())? {
            RetryDecision::Retry { delay_ms, reason } => {
                context.metrics.retried(reason);
                sleep(Duration::from_millis(delay_ms)).await;
            }
            RetryDecision::Refuse(refusal) => return Err(refusal),
            // A plain service can neither resume nor cancel.
            RetryDecision::Resume { .. } | RetryDecision::CancelThenRetry => {
                let detail = format!("{address} failed: {error}");
                return Err(Refusal::unknown(RefusalReason::BackendFailed, detail));
            }
        }
    }
}

fn service_request(call: &ServiceCall, timeout_ms: u64) -> Result<ServiceRequest, Refusal> {
    let method = call.method.parse().map_err(|_| {
        let detail = format!("method {:?} is not an HTTP method", call.method);
        Refusal::not_run(RefusalReason::MalformedRequest, detail)
    })?;
    let mut headers = HeaderMap::new();
    let forwarded = [
        (CONTENT_TYPE.as_str(), &call.content_type),
        ("idempotency-key", &call.headers.idempotency_key),
    ];
    for (name, value) in forwarded {
        if let Some(value) = value.as_deref().and_then(|it| HeaderValue::from_str(it).ok()) {
            headers.insert(name, value);
        }
    }
    Ok(ServiceRequest::new(method, call.path.clone())
        .headers(headers)
        .body(call.body.clone())
        .timeout_ms(timeout_ms))
}

fn attempt_end(error: &BackendError) -> AttemptOutcome {
    match failure_class(error) {
        _ if error.is_leaving => AttemptOutcome::Leaving,
        Failure::ConnectRefused => AttemptOutcome::ConnectRefused,
        _ => AttemptOutcome::Failed,
    }
}

fn content_type(response: &ServiceResponse) -> Box<str> {
    let value = response.headers.get(CONTENT_TYPE).and_then(|value| value.to_str().ok());
    value.unwrap_or("application/octet-stream").into()
}

/// Encodes a response for its record: the content type, a line feed and the body.
fn encode_response(content_type: &str, body: &Bytes) -> Box<[u8]> {
    [content_type.as_bytes(), b"\n", body].concat().into()
}

/// Decodes the record written by [`encode_response`].
fn decode_response(status: u16, stored: &[u8]) -> CallerResponse {
    let line_end = stored.iter().position(|byte| *byte == b'\n').unwrap_or(0);
    let content_type = String::from_utf8_lossy(&stored[..line_end]).into();
    let body = Bytes::copy_from_slice(stored.get(line_end + 1..).unwrap_or_default());
    CallerResponse::Complete { served_by: None, status, content_type, body }
}

fn stopping_refusal() -> Refusal {
    Refusal::not_run(RefusalReason::Draining, "the instance is stopping")
}
