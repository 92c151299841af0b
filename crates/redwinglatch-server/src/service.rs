//! One call of a plain service, from its admission to its answer.

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

use crate::attempts::failure_of;
use crate::callers::{Caller, admit, refuse};
use crate::entry::{Admit, ChooseReplica, CountAttempt, DecideNext, Leave, ReplicaEnded, Target};
use crate::once::{Claim, ClaimRequest, Claimed, claim, finish, qualify};

/// Runs a call of a plain service and answers the caller.
pub(crate) async fn run(
    caller: &Caller,
    call: ServiceCall,
    reply: oneshot::Sender<CallerResponse>,
) {
    let shared = &caller.shared;
    let request = Admit {
        customer: call.headers.customer.clone(),
        target: Target::Service(call.service.clone()),
        waiting_since_ms: None,
        arrived_at_ms: shared.now_ms(),
        deadline_ms: call.headers.deadline_ms,
        priority: call.headers.priority,
        max_tokens: 0,
    };
    let admitted = match admit(caller, &call.headers, request).await {
        Ok(admitted) => admitted,
        Err(refusal) => {
            let refusal = qualify(&caller.control, &call.headers, refusal).await;
            return refuse(shared, reply, refusal).await;
        }
    };
    let deadline_ms = admitted.terms.deadline_ms;
    match answer(caller, &call, deadline_ms).await {
        Ok(answer) => {
            shared.count_retries();
            shared.metrics.increment(Counter::RequestsAnswered);
            let _ = reply.send(answer);
        }
        Err(refusal) => refuse(shared, reply, refusal).await,
    }
    let _ = shared.entry.send(Leave { permit: admitted.permit, tokens: 0 }).await;
}

async fn answer(
    caller: &Caller,
    call: &ServiceCall,
    deadline_ms: u64,
) -> Result<CallerResponse, Refusal> {
    let shared = &caller.shared;
    let claimed = match &call.headers.idempotency_key {
        None => None,
        Some(key) => {
            let request = ClaimRequest {
                key: key.clone(),
                customer: call.headers.customer.clone(),
                digest: call.digest,
                request: shared.next_request_id(),
                at_most_once: call.headers.at_most_once,
            };
            let until = shared.clock.at_ms(deadline_ms);
            let claimed = claim(shared, &caller.control, request, until).await;
            let claimed = match claimed {
                Ok(claimed) => claimed,
                Err(refusal) => return Err(qualify(&caller.control, &call.headers, refusal).await),
            };
            match claimed {
                Claimed::Granted(claim) => Some(claim),
                Claimed::Answered { status, body } => {
                    shared.metrics.increment(Counter::AnswersFromRecord);
                    return Ok(stored_answer(status, &body));
                }
            }
        }
    };
    match send(caller, call, deadline_ms).await {
        Ok((address, response)) => {
            let content_type = content_type(&response);
            let status = response.status.as_u16();
            let stored = store_answer(&content_type, &response.body);
            end_claim(caller, claimed, OnceOutcome::Answered { status, body: stored }).await;
            let served_by = Some(ServedBy { adapter: None, backend: address });
            Ok(CallerResponse::Complete { served_by, status, content_type, body: response.body })
        }
        Err(refusal) => {
            let outcome = match refusal.ran {
                RunStatus::NotRun => OnceOutcome::NotRun,
                RunStatus::Unknown | RunStatus::Ran => OnceOutcome::Unknown,
            };
            end_claim(caller, claimed, outcome).await;
            Err(refusal)
        }
    }
}

async fn end_claim(caller: &Caller, claim: Option<Claim>, outcome: OnceOutcome) {
    if let Some(claim) = claim {
        finish(&caller.shared, &caller.control, claim, outcome).await;
    }
}

/// Sends the call to replicas until one answers or nothing may follow.
async fn send(
    caller: &Caller,
    call: &ServiceCall,
    deadline_ms: u64,
) -> Result<(SocketAddr, ServiceResponse), Refusal> {
    let shared = &caller.shared;
    let mut avoid: SmallVec<[ReplicaKey; 2]> = SmallVec::new();
    let mut may_have_run = false;
    loop {
        let choose = ChooseReplica { service: call.service.clone(), avoid: avoid.clone() };
        let chosen = shared.entry.send(choose).await.map_err(|_| stopping())?;
        let (replica, address) = chosen?;
        if avoid.is_empty() {
            let customer = call.headers.customer.clone();
            let _ = shared.entry.send(CountAttempt { customer, backend: address }).await;
        }
        let timeout_ms = deadline_ms.saturating_sub(shared.now_ms());
        let request = service_request(call, timeout_ms)?;
        let result = shared.backends.call_service(address, request).await;
        let end = result.as_ref().map_or_else(attempt_end, |_| AttemptOutcome::Responded);
        let service = call.service.clone();
        let _ = shared.entry.send(ReplicaEnded { service, replica, end }).await;
        let error = match result {
            Ok(response) => return Ok((address, response)),
            Err(error) => error,
        };
        avoid.push(replica);
        may_have_run |= error.ran != RunStatus::NotRun;
        let safe_method = matches!(&*call.method, "GET" | "HEAD" | "OPTIONS");
        let decide = DecideNext {
            failure: failure_of(&error),
            customer: call.headers.customer.clone(),
            backend: address,
            kind: BackendKind::Service { safe_method },
            at_most_once: call.headers.at_most_once,
            may_have_run,
            failed_attempts: u32::try_from(avoid.len()).unwrap_or(u32::MAX),
            deadline_ms,
        };
        match shared.entry.send(decide).await.map_err(|_| stopping())? {
            RetryDecision::Retry { delay_ms, reason } => {
                shared.metrics.retried(reason);
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
    let named = [
        (CONTENT_TYPE.as_str(), &call.content_type),
        ("idempotency-key", &call.headers.idempotency_key),
    ];
    for (name, value) in named {
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
    match failure_of(error) {
        _ if error.is_leaving => AttemptOutcome::Leaving,
        Failure::ConnectRefused => AttemptOutcome::ConnectRefused,
        _ => AttemptOutcome::Failed,
    }
}

fn content_type(response: &ServiceResponse) -> Box<str> {
    let value = response.headers.get(CONTENT_TYPE).and_then(|value| value.to_str().ok());
    value.unwrap_or("application/octet-stream").into()
}

/// The record of an answer: the content type, a line end, the body.
fn store_answer(content_type: &str, body: &Bytes) -> Box<[u8]> {
    [content_type.as_bytes(), b"\n", body].concat().into()
}

fn stored_answer(status: u16, stored: &[u8]) -> CallerResponse {
    let line_end = stored.iter().position(|byte| *byte == b'\n').unwrap_or(0);
    let content_type = String::from_utf8_lossy(&stored[..line_end]).into();
    let body = Bytes::copy_from_slice(stored.get(line_end + 1..).unwrap_or_default());
    CallerResponse::Complete { served_by: None, status, content_type, body }
}

fn stopping() -> Refusal {
    Refusal::not_run(RefusalReason::Draining, "the instance is stopping")
}
