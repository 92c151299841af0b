//! Runs one completion request, from its admission to the end of its response.

mod pin_release;
mod response;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use redwinglatch_admission::{BackendKind, Failure, RequestTerms, RetryDecision};
use redwinglatch_backends::{
    BackendError, BackendErrorKind, CompletionRequest, ResumingStream, Token, prefix_hashes,
};
use redwinglatch_callers::{CallerResponse, CompletionCall, ServedBy};
use redwinglatch_control::OnceOutcome;
use redwinglatch_core::prelude::*;
use redwinglatch_instances::PeerMessage;
use redwinglatch_metrics::{Counter, Timing};
use redwinglatch_placement::{PlaceRequest, Placement, Release, RequestKey};
use smallvec::SmallVec;
use tokio::sync::{mpsc, oneshot};
use tokio::time::{Instant, sleep, timeout_at};

use self::pin_release::release_pin;
use self::response::{CompletionDocument, ResponseSink, recorded_response};
use crate::backend_failure::failure_class;
use crate::callers::{RequestHandles, admit, refuse};
use crate::coordinator::{PlaceCompletion, WithdrawRequest};
use crate::entry::{
    AdmitRequest, Admitted, CountFirstAttempt, DecideRetry, FinishRequest, RegisterPin, RequestPin,
    RequestTarget, find_coordinator,
};
use crate::instance_context::{InstanceContext, pool_of_model};
use crate::once_claim::{
    ClaimRequest, ClaimResult, OnceClaim, claim_key, finish_claim, qualify_refusal,
};

/// Delay between placement attempts while the coordinator changes.
const COORDINATOR_RETRY_DELAY: Duration = Duration::from_millis(100);
/// Retry hint while a cell has no coordinator.
const NO_COORDINATOR_RETRY_MS: u32 = 1_000;
/// Events buffered between the engine's stream and the caller's connection.
const EVENT_QUEUE_CAPACITY: usize = 64;

/// Runs a completion and responds to the caller.
pub(crate) async fn run(
    handles: &RequestHandles,
    call: CompletionCall,
    reply: oneshot::Sender<CallerResponse>,
) {
    let arrived_at = Instant::now();
    let context = &handles.context;
    let request = AdmitRequest {
        customer: call.headers.customer.clone(),
        target: RequestTarget::Adapter(call.adapter.clone()),
        waiting_since_ms: None,
        arrived_at_ms: context.now_ms(),
        deadline_ms: call.headers.deadline_ms,
        priority: call.headers.priority,
        max_tokens: call.max_tokens,
    };
    let admitted = match admit(handles, &call.headers, request).await {
        Ok(admitted) => admitted,
        Err(refusal) => {
            let refusal = qualify_refusal(&handles.control, &call.headers, refusal).await;
            return refuse(context, reply, refusal).await;
        }
    };
    let Admitted { terms, load_share_permille, permit } = admitted;
    let request = context.next_request_id();
    let deadline = context.clock.at_ms(terms.deadline_ms);
    let task = CompletionTask {
        handles,
        call: &call,
        terms,
        load_share_permille,
        request,
        arrived_at,
        deadline,
    };
    let tokens = task.run(reply).await;
    let _ = context.entry.send(FinishRequest { permit, tokens }).await;
}

struct CompletionTask<'a> {
    handles: &'a RequestHandles,
    call: &'a CompletionCall,
    terms: RequestTerms,
    load_share_permille: u16,
    request: RequestId,
    arrived_at: Instant,
    deadline: Instant,
}

/// Why an attempt ended without a response.
enum AttemptFailure {
    /// The request may be sent to another engine.
    Retry { reason: RetryReason, delay_ms: u64, excluded: SocketAddr },
    /// The request fails with this refusal.
    Final(Refusal),
}

/// A response that has started: its stream, first event and placement.
struct StartedResponse {
    stream: ResumingStream,
    first: Option<Token>,
    placed: Placement,
}

impl CompletionTask<'_> {
    fn context(&self) -> &Arc<InstanceContext> {
        &self.handles.context
    }

    fn key(&self) -> RequestKey {
        RequestKey {
            instance: self.context().instance(),
            incarnation: self.context().incarnation,
            request: self.request,
        }
    }

    fn remaining_ms(&self) -> u64 {
        let remaining = self.deadline.saturating_duration_since(Instant::now());
        u64::try_from(remaining.as_millis()).unwrap_or(u64::MAX)
    }

    /// Runs the request and returns the number of tokens that it generated.
    async fn run(&self, reply: oneshot::Sender<CallerResponse>) -> u32 {
        let claim = match self.claim().await {
            Ok(None) => None,
            Ok(Some(ClaimResult::Granted(claim))) => Some(claim),
            Ok(Some(ClaimResult::Answered { status, body })) => {
                self.context().metrics.increment(Counter::AnswersFromRecord);
                let response = recorded_response(status, &body, self.call.stream);
                drop(reply.send(response));
                return 0;
            }
            Err(refusal) => {
                let refusal =
                    qualify_refusal(&self.handles.control, &self.call.headers, refusal).await;
                refuse(self.context(), reply, refusal).await;
                return 0;
            }
        };
        match self.start().await {
            Ok((started, cell)) => self.forward_response(started, cell, claim, reply).await,
            Err(refusal) => {
                self.end_claim(claim, once_outcome(refusal.ran)).await;
                refuse(self.context(), reply, refusal).await;
                0
            }
        }
    }

    async fn claim(&self) -> Result<Option<ClaimResult>, Refusal> {
        let Some(key) = &self.call.headers.idempotency_key else { return Ok(None) };
        let request = ClaimRequest {
            key: key.clone(),
            customer: self.call.headers.customer.clone(),
            digest: self.call.digest,
            request: self.request,
            at_most_once: self.call.headers.at_most_once,
        };
        claim_key(self.context(), &self.handles.control, request, self.deadline).await.map(Some)
    }

    async fn end_claim(&self, claim: Option<OnceClaim>, outcome: OnceOutcome) {
        if let Some(claim) = claim {
            finish_claim(self.context(), &self.handles.control, claim, outcome).await;
        }
    }

    /// Places and sends the request, repeatedly if need be, until an engine starts its response.
    async fn start(&self) -> Result<(StartedResponse, CellId), Refusal> {
        let context = self.context();
        let Some((_, _, cell)) = pool_of_model(&context.settings, &self.call.model) else {
            let detail = format!("no pool serves the base model {:?}", self.call.model);
            return Err(Refusal::not_run(RefusalReason::UnknownModel, detail));
        };
        let mut excluded: SmallVec<[SocketAddr; 2]> = SmallVec::new();
        loop {
            let placed = self.place(cell, &excluded).await?;
            if excluded.is_empty() {
                let customer = self.call.headers.customer.clone();
                let count_attempt = CountFirstAttempt { customer, backend: placed.engine };
                let _ = context.entry.send(count_attempt).await;
            }
            match self.attempt(cell, placed, excluded.len()).await {
                Ok(started) => return Ok((started, cell)),
                Err(AttemptFailure::Final(refusal)) => return Err(refusal),
                Err(AttemptFailure::Retry { reason, delay_ms, excluded: engine }) => {
                    excluded.push(engine);
                    context.metrics.retried(reason);
                    sleep(Duration::from_millis(delay_ms)).await;
                }
            }
        }
    }

    /// Requests an engine from the cell's coordinator; retries while the coordinator changes.
    async fn place(&self, cell: CellId, excluded: &[SocketAddr]) -> Result<Placement, Refusal> {
        let context = self.context();
        let call = self.call;
        let mut has_retried = false;
        loop {
            let budget_ms = self.remaining_ms();
            if budget_ms == 0 && has_retried {
                // Not reported as a passed deadline, since a longer one alone would not have
                // helped.
                let detail = "the cell's coordinator was not found before the deadline";
                return Err(Refusal::not_run(RefusalReason::NoCoordinator, detail)
                    .retry_after_ms(NO_COORDINATOR_RETRY_MS));
            }
            if budget_ms == 0 {
                let detail = "the deadline passed before an engine was found";
                return Err(Refusal::not_run(RefusalReason::DeadlinePassed, detail));
            }
            let prefix_hashes =
                prefix_hashes(&call.prompt, &call.adapter.adapter, call.adapter.version);
            let request = PlaceRequest {
                instance: context.instance(),
                incarnation: context.incarnation,
                request: self.request,
                model: call.model.clone(),
                adapter: call.adapter.clone(),
                customer: call.headers.customer.clone(),
                load_share_permille: self.load_share_permille,
                budget_ms,
                priority: self.terms.priority,
                max_tokens: call.max_tokens,
                prefix_hashes: prefix_hashes.into_iter().take(4).collect(),
                data_centre: context.settings.instance.data_centre.clone(),
                excluded_engines: excluded.iter().copied().collect(),
            };
            let response = match find_coordinator(context, cell).await {
                Some((instance, _)) => self.request_placement(cell, instance, request).await,
                None => None,
            };
            match response {
                Some(Ok(placed)) if self.register_pin(cell, &placed).await => return Ok(placed),
                // A newer coordinator has already collected the pins, without this one.
                Some(Ok(_)) => {}
                Some(Err(refusal)) if refusal.reason != RefusalReason::NoCoordinator => {
                    return Err(refusal);
                }
                Some(Err(_)) | None => {}
            }
            has_retried = true;
            context.metrics.retried(RetryReason::CoordinatorChanged);
            sleep(COORDINATOR_RETRY_DELAY.min(self.deadline - Instant::now())).await;
        }
    }

    /// Sends one placement request; `None` when no response arrived.
    async fn request_placement(
        &self,
        cell: CellId,
        coordinator: InstanceId,
        request: PlaceRequest,
    ) -> Option<Result<Placement, Refusal>> {
        let context = self.context();
        let key = request.key();
        if coordinator == context.instance() {
            let actor = context.coordinators.get(&cell)?;
            let response = actor.send(PlaceCompletion(request)).await.ok()?;
            let response = timeout_at(self.deadline, response).await;
            if response.is_err() {
                let _ = actor.send(WithdrawRequest(key)).await;
            }
            return response.ok()?.ok();
        }
        let message = PeerMessage::Place { cell, request };
        let call_timeout = self.deadline.saturating_duration_since(Instant::now());
        match context.transport.call(coordinator, message, call_timeout).await {
            Ok(PeerMessage::Placed(response)) => Some(response),
            Ok(_) => None,
            Err(error) => {
                log::debug!("placement: {error}");
                // The request may still be queued there or have a pin.
                context.transport.send(coordinator, PeerMessage::Withdraw { cell, request: key });
                None
            }
        }
    }

    /// Registers the pin before the request is sent, so that it is reported to a new coordinator.
    /// Returns false when the placement has become invalid.
    async fn register_pin(&self, cell: CellId, placed: &Placement) -> bool {
        let pin = RequestPin {
            cell,
            epoch: placed.epoch,
            pin: placed.pin,
            request: self.request,
            engine: placed.engine,
            model: self.call.model.clone(),
            adapter: self.call.adapter.clone(),
            deadline_ms: self.context().now_ms() + self.remaining_ms(),
        };
        self.context().entry.send(RegisterPin(pin)).await.unwrap_or(false)
    }

    /// Sends the request to the placed engine and waits for its first event.
    async fn attempt(
        &self,
        cell: CellId,
        placed: Placement,
        previous_failures: usize,
    ) -> Result<StartedResponse, AttemptFailure> {
        let context = self.context();
        let call = self.call;
        context.metrics.record(Timing::LoadStall, Duration::from_millis(placed.stall_ms));
        let request = CompletionRequest::new(
            self.key().to_string(),
            call.model.clone(),
            call.adapter.adapter.clone(),
            call.adapter.version,
            call.prompt.clone(),
        )
        .max_tokens(call.max_tokens)
        .priority(self.terms.priority)
        .deadline_ms(self.remaining_ms());
        let started = match context.backends.complete(placed.engine, request).await {
            Ok(mut stream) => match stream.next().await {
                Ok(first) => Ok(StartedResponse { stream, first, placed }),
                Err(error) => Err(error),
            },
            Err(error) => Err(error),
        };
        match started {
            Ok(started) => Ok(started),
            Err(error) => Err(self.attempt_failed(cell, placed, &error, previous_failures).await),
        }
    }

    /// Ends the pin of a failed attempt and decides whether another engine may be tried.
    async fn attempt_failed(
        &self,
        cell: CellId,
        placed: Placement,
        error: &BackendError,
        previous_failures: usize,
    ) -> AttemptFailure {
        let context = self.context();
        log::debug!("placement: a request to engine {} failed: {error}", placed.engine);
        let mut step = self.decide(placed, failure_class(error), error, previous_failures).await;
        if step == RetryDecision::CancelThenRetry {
            // A retry is safe if the engine confirms that it stopped before the first token.
            let key = self.key().to_string();
            let failure = match context.backends.cancel(placed.engine, &key, placed.epoch).await {
                Ok(outcome) if outcome.cancelled => Failure::Cancelled { tokens: outcome.tokens },
                Ok(_) | Err(_) => Failure::CancelUnconfirmed,
            };
            step = self.decide(placed, failure, error, previous_failures).await;
        }
        let release = match error.kind {
            _ if error.is_leaving => Release::EngineLeaving,
            BackendErrorKind::AdapterMissing => Release::AdapterMissing,
            BackendErrorKind::ConnectRefused => Release::ConnectRefused,
            _ if error.ran == RunStatus::NotRun => Release::EngineRefused,
            _ => Release::EngineFailed,
        };
        release_pin(self.handles, cell, placed, release);
        match step {
            RetryDecision::Retry { delay_ms, reason } => {
                AttemptFailure::Retry { reason, delay_ms, excluded: placed.engine }
            }
            RetryDecision::Refuse(refusal) => AttemptFailure::Final(refusal),
            // The stream itself has already resumed as often as it could.
            RetryDecision::Resume { .. } | RetryDecision::CancelThenRetry => {
                AttemptFailure::Final(unknown_refusal(placed.engine, error))
            }
        }
    }

    async fn decide(
        &self,
        placed: Placement,
        failure: Failure,
        error: &BackendError,
        previous_failures: usize,
    ) -> RetryDecision {
        let decide = DecideRetry {
            failure,
            customer: self.call.headers.customer.clone(),
            backend: placed.engine,
            kind: BackendKind::Engine { resumable: false },
            at_most_once: self.call.headers.at_most_once,
            may_have_run: error.ran != RunStatus::NotRun,
            failed_attempts: u32::try_from(previous_failures).unwrap_or(u32::MAX).saturating_add(1),
            deadline_ms: self.terms.deadline_ms,
        };
        let step = self.context().entry.send(decide).await;
        step.unwrap_or_else(|_| RetryDecision::Refuse(unknown_refusal(placed.engine, error)))
    }

    /// Forwards the response, records it under the idempotency key and releases the pin; returns
    /// the number of tokens.
    async fn forward_response(
        &self,
        started: StartedResponse,
        cell: CellId,
        claim: Option<OnceClaim>,
        reply: oneshot::Sender<CallerResponse>,
    ) -> u32 {
        let context = self.context();
        let StartedResponse { mut stream, first, placed } = started;
        context.metrics.record(Timing::TimeToFirstToken, self.arrived_at.elapsed());
        let served_by =
            ServedBy { adapter: Some(self.call.adapter.clone()), backend: placed.engine };
        let mut sink = if self.call.stream {
            let (events, receiver) = mpsc::channel(EVENT_QUEUE_CAPACITY);
            drop(reply.send(CallerResponse::Stream { served_by, events: receiver }));
            ResponseSink::Stream(events)
        } else {
            ResponseSink::Whole(served_by, reply)
        };
        // A request with an idempotency key runs to its end for the record even if its caller
        // disconnects.
        let must_finish = claim.is_some();
        let mut text = String::new();
        let mut next = Ok(first);
        let mut previous_at = Instant::now();
        let result = loop {
            match next {
                Ok(Some(token)) => {
                    text.push_str(&token.text);
                    let is_disconnected = !sink.send_token(token).await;
                    context.metrics.increment(Counter::TokensSent);
                    if is_disconnected && !must_finish {
                        break Err(None);
                    }
                }
                Ok(None) => break Ok(()),
                Err(error) => break Err(Some(error)),
            }
            next = stream.next().await;
            context.metrics.record(Timing::TokenGap, previous_at.elapsed());
            previous_at = Instant::now();
        };
        context.count_retries();
        let tokens = u32::try_from(stream.next_index()).unwrap_or(u32::MAX);
        match (result, stream.end().cloned()) {
            (Ok(()), Some(finish)) => {
                release_pin(self.handles, cell, placed, Release::Finished);
                let document = CompletionDocument {
                    model: self.call.model.clone(),
                    adapter: self.call.adapter.adapter.clone(),
                    version: self.call.adapter.version,
                    backend: placed.engine,
                    text,
                    finish_reason: finish.reason,
                    tokens: u32::try_from(finish.tokens).unwrap_or(u32::MAX),
                };
                let body = serde_json::to_vec(&document).expect("documents have string keys only");
                let stored = OnceOutcome::Answered { status: 200, body: body.clone().into() };
                self.end_claim(claim, stored).await;
                sink.finish(&document, body.into()).await;
                context.metrics.increment(Counter::RequestsAnswered);
            }
            (Err(None), _) => {
                drop(stream);
                context.metrics.increment(Counter::RequestsCancelled);
                let key = self.key().to_string();
                let _ = context.backends.cancel(placed.engine, &key, placed.epoch).await;
                release_pin(self.handles, cell, placed, Release::Cancelled);
            }
            (Err(Some(error)), _) => {
                release_pin(self.handles, cell, placed, Release::EngineFailed);
                self.end_claim(claim, OnceOutcome::Unknown).await;
                let refusal = unknown_refusal(placed.engine, &error);
                sink.fail(context, refusal).await;
            }
            (Ok(()), None) => {
                release_pin(self.handles, cell, placed, Release::EngineFailed);
                self.end_claim(claim, OnceOutcome::Unknown).await;
                let detail = "the stream ended without its last event";
                let refusal = Refusal::unknown(RefusalReason::BackendFailed, detail);
                sink.fail(context, refusal).await;
            }
        }
        tokens
    }
}

fn once_outcome(ran: RunStatus) -> OnceOutcome {
    match ran {
        RunStatus::NotRun => OnceOutcome::NotRun,
        RunStatus::Unknown | RunStatus::Ran => OnceOutcome::Unknown,
    }
}

fn unknown_refusal(engine: SocketAddr, error: &BackendError) -> Refusal {
    let (reason, ran) = match error.kind {
        // The engine did run the request, but with another adapter.
        BackendErrorKind::WrongAdapter => (RefusalReason::WrongAdapter, RunStatus::Ran),
        BackendErrorKind::DeadlinePassed => (RefusalReason::DeadlinePassed, RunStatus::Unknown),
        _ => (RefusalReason::BackendFailed, RunStatus::Unknown),
    };
    let detail = format!("engine {engine} failed: {error}");
    Refusal { ran, ..Refusal::unknown(reason, detail) }
}
