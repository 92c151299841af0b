//! One completion request, from its admission to the end of its answer.

mod answer;
mod release;

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

use self::answer::{CompletionDocument, Sink, stored_answer};
use self::release::release_pin;
use crate::attempts::failure_of;
use crate::callers::{Caller, admit, refuse};
use crate::coordinator::{Place, Withdraw};
use crate::entry::{
    Admit, Admitted, CountAttempt, DecideNext, HeldPin, HoldPin, Leave, Target, find_coordinator,
};
use crate::once::{Claim, ClaimRequest, Claimed, claim, finish, qualify};
use crate::shared::{Shared, pool_of_model};

/// Pause before the coordinator is asked again while it changes.
const COORDINATOR_PAUSE: Duration = Duration::from_millis(100);
/// Retry hint while a cell has no coordinator.
const NO_COORDINATOR_RETRY_MS: u32 = 1_000;
/// Events buffered between the engine's stream and the caller's connection.
const EVENT_BUFFER: usize = 64;

/// Runs a completion and answers the caller.
pub(crate) async fn run(
    caller: &Caller,
    call: CompletionCall,
    reply: oneshot::Sender<CallerResponse>,
) {
    let arrived_at = Instant::now();
    let shared = &caller.shared;
    let request = Admit {
        customer: call.headers.customer.clone(),
        target: Target::Adapter(call.adapter.clone()),
        waiting_since_ms: None,
        arrived_at_ms: shared.now_ms(),
        deadline_ms: call.headers.deadline_ms,
        priority: call.headers.priority,
        max_tokens: call.max_tokens,
    };
    let admitted = match admit(caller, &call.headers, request).await {
        Ok(admitted) => admitted,
        Err(refusal) => {
            let refusal = qualify(&caller.control, &call.headers, refusal).await;
            return refuse(shared, reply, refusal).await;
        }
    };
    let Admitted { terms, load_share_permille, permit } = admitted;
    let request = shared.next_request_id();
    let deadline = shared.clock.at_ms(terms.deadline_ms);
    let job =
        Job { caller, call: &call, terms, load_share_permille, request, arrived_at, deadline };
    let tokens = job.run(reply).await;
    let _ = shared.entry.send(Leave { permit, tokens }).await;
}

struct Job<'a> {
    caller: &'a Caller,
    call: &'a CompletionCall,
    terms: RequestTerms,
    load_share_permille: u16,
    request: RequestId,
    arrived_at: Instant,
    deadline: Instant,
}

/// Why an attempt ended without an answer.
enum Failed {
    /// Another engine may be tried.
    Retry { reason: RetryReason, delay_ms: u64, excluded: SocketAddr },
    /// The request is given up.
    Final(Refusal),
}

/// A started answer: its stream and first event.
struct Started {
    stream: ResumingStream,
    first: Option<Token>,
    placed: Placement,
}

impl Job<'_> {
    fn shared(&self) -> &Arc<Shared> {
        &self.caller.shared
    }

    fn key(&self) -> RequestKey {
        RequestKey {
            instance: self.shared().instance(),
            incarnation: self.shared().incarnation,
            request: self.request,
        }
    }

    fn left_ms(&self) -> u64 {
        let left = self.deadline.saturating_duration_since(Instant::now());
        u64::try_from(left.as_millis()).unwrap_or(u64::MAX)
    }

    /// Runs the request and says how many tokens it generated.
    async fn run(&self, reply: oneshot::Sender<CallerResponse>) -> u32 {
        let claim = match self.claim().await {
            Ok(None) => None,
            Ok(Some(Claimed::Granted(claim))) => Some(claim),
            Ok(Some(Claimed::Answered { status, body })) => {
                self.shared().metrics.increment(Counter::AnswersFromRecord);
                let answer = stored_answer(status, &body, self.call.stream);
                drop(reply.send(answer));
                return 0;
            }
            Err(refusal) => {
                let refusal = qualify(&self.caller.control, &self.call.headers, refusal).await;
                refuse(self.shared(), reply, refusal).await;
                return 0;
            }
        };
        match self.start().await {
            Ok((started, cell)) => self.answer(started, cell, claim, reply).await,
            Err(refusal) => {
                self.end_claim(claim, outcome_of(refusal.ran)).await;
                refuse(self.shared(), reply, refusal).await;
                0
            }
        }
    }

    async fn claim(&self) -> Result<Option<Claimed>, Refusal> {
        let Some(key) = &self.call.headers.idempotency_key else { return Ok(None) };
        let request = ClaimRequest {
            key: key.clone(),
            customer: self.call.headers.customer.clone(),
            digest: self.call.digest,
            request: self.request,
            at_most_once: self.call.headers.at_most_once,
        };
        claim(self.shared(), &self.caller.control, request, self.deadline).await.map(Some)
    }

    async fn end_claim(&self, claim: Option<Claim>, outcome: OnceOutcome) {
        if let Some(claim) = claim {
            finish(self.shared(), &self.caller.control, claim, outcome).await;
        }
    }

    /// Places and sends the request until an engine has started its answer.
    async fn start(&self) -> Result<(Started, CellId), Refusal> {
        let shared = self.shared();
        let Some((_, _, cell)) = pool_of_model(&shared.settings, &self.call.model) else {
            let detail = format!("no pool serves the base model {:?}", self.call.model);
            return Err(Refusal::not_run(RefusalReason::UnknownModel, detail));
        };
        let mut excluded: SmallVec<[SocketAddr; 2]> = SmallVec::new();
        loop {
            let placed = self.place(cell, &excluded).await?;
            if excluded.is_empty() {
                let customer = self.call.headers.customer.clone();
                let counted = CountAttempt { customer, backend: placed.engine };
                let _ = shared.entry.send(counted).await;
            }
            match self.attempt(cell, placed, excluded.len()).await {
                Ok(started) => return Ok((started, cell)),
                Err(Failed::Final(refusal)) => return Err(refusal),
                Err(Failed::Retry { reason, delay_ms, excluded: engine }) => {
                    excluded.push(engine);
                    shared.metrics.retried(reason);
                    sleep(Duration::from_millis(delay_ms)).await;
                }
            }
        }
    }

    /// Asks the cell's coordinator for an engine, also while the coordinator changes.
    async fn place(&self, cell: CellId, excluded: &[SocketAddr]) -> Result<Placement, Refusal> {
        let shared = self.shared();
        let call = self.call;
        let mut sought_coordinator = false;
        loop {
            let budget_ms = self.left_ms();
            if budget_ms == 0 && sought_coordinator {
                // A longer deadline alone would not have helped.
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
                instance: shared.instance(),
                incarnation: shared.incarnation,
                request: self.request,
                model: call.model.clone(),
                adapter: call.adapter.clone(),
                customer: call.headers.customer.clone(),
                load_share_permille: self.load_share_permille,
                budget_ms,
                priority: self.terms.priority,
                max_tokens: call.max_tokens,
                prefix_hashes: prefix_hashes.into_iter().take(4).collect(),
                data_centre: shared.settings.instance.data_centre.clone(),
                excluded_engines: excluded.iter().copied().collect(),
            };
            let answer = match find_coordinator(shared, cell).await {
                Some((instance, _)) => self.ask(cell, instance, request).await,
                None => None,
            };
            match answer {
                Some(Ok(placed)) if self.hold(cell, &placed).await => return Ok(placed),
                // A newer coordinator has collected the pins without this one.
                Some(Ok(_)) => {}
                Some(Err(refusal)) if refusal.reason != RefusalReason::NoCoordinator => {
                    return Err(refusal);
                }
                Some(Err(_)) | None => {}
            }
            sought_coordinator = true;
            shared.metrics.retried(RetryReason::CoordinatorChanged);
            sleep(COORDINATOR_PAUSE.min(self.deadline - Instant::now())).await;
        }
    }

    /// Sends one placement request; `None` when no answer came.
    async fn ask(
        &self,
        cell: CellId,
        coordinator: InstanceId,
        request: PlaceRequest,
    ) -> Option<Result<Placement, Refusal>> {
        let shared = self.shared();
        let key = request.key();
        if coordinator == shared.instance() {
            let actor = shared.coordinators.get(&cell)?;
            let answer = actor.send(Place(request)).await.ok()?;
            let answer = timeout_at(self.deadline, answer).await;
            if answer.is_err() {
                let _ = actor.send(Withdraw(key)).await;
            }
            return answer.ok()?.ok();
        }
        let message = PeerMessage::Place { cell, request };
        let limit = self.deadline.saturating_duration_since(Instant::now());
        match shared.transport.call(coordinator, message, limit).await {
            Ok(PeerMessage::Placed(answer)) => Some(answer),
            Ok(_) => None,
            Err(error) => {
                log::debug!("placement: {error}");
                // The request may wait there or hold a pin.
                shared.transport.send(coordinator, PeerMessage::Withdraw { cell, request: key });
                None
            }
        }
    }

    /// Notes the pin before the request is sent, so that a new coordinator learns of it.
    async fn hold(&self, cell: CellId, placed: &Placement) -> bool {
        let pin = HeldPin {
            cell,
            epoch: placed.epoch,
            pin: placed.pin,
            request: self.request,
            engine: placed.engine,
            model: self.call.model.clone(),
            adapter: self.call.adapter.clone(),
            deadline_ms: self.shared().now_ms() + self.left_ms(),
        };
        self.shared().entry.send(HoldPin(pin)).await.unwrap_or(false)
    }

    /// Sends the request to the placed engine and waits for its first event.
    async fn attempt(
        &self,
        cell: CellId,
        placed: Placement,
        failed_before: usize,
    ) -> Result<Started, Failed> {
        let shared = self.shared();
        let call = self.call;
        shared.metrics.record(Timing::LoadStall, Duration::from_millis(placed.stall_ms));
        let request = CompletionRequest::new(
            self.key().to_string(),
            call.model.clone(),
            call.adapter.adapter.clone(),
            call.adapter.version,
            call.prompt.clone(),
        )
        .max_tokens(call.max_tokens)
        .priority(self.terms.priority)
        .deadline_ms(self.left_ms());
        let started = match shared.backends.complete(placed.engine, request).await {
            Ok(mut stream) => match stream.next().await {
                Ok(first) => Ok(Started { stream, first, placed }),
                Err(error) => Err(error),
            },
            Err(error) => Err(error),
        };
        match started {
            Ok(started) => Ok(started),
            Err(error) => Err(self.attempt_failed(cell, placed, &error, failed_before).await),
        }
    }

    /// Ends the pin of a failed attempt and decides whether another engine may be tried.
    async fn attempt_failed(
        &self,
        cell: CellId,
        placed: Placement,
        error: &BackendError,
        failed_before: usize,
    ) -> Failed {
        let shared = self.shared();
        log::debug!("placement: engine {} failed a request: {error}", placed.engine);
        let mut step = self.decide(placed, failure_of(error), error, failed_before).await;
        if step == RetryDecision::CancelThenRetry {
            // The engine's own word that it stopped before any token makes a repeat safe.
            let key = self.key().to_string();
            let failure = match shared.backends.cancel(placed.engine, &key, placed.epoch).await {
                Ok(outcome) if outcome.cancelled => Failure::Cancelled { tokens: outcome.tokens },
                Ok(_) | Err(_) => Failure::CancelUnconfirmed,
            };
            step = self.decide(placed, failure, error, failed_before).await;
        }
        let release = match error.kind {
            _ if error.is_leaving => Release::EngineLeaving,
            BackendErrorKind::AdapterMissing => Release::AdapterMissing,
            BackendErrorKind::ConnectRefused => Release::ConnectRefused,
            _ if error.ran == RunStatus::NotRun => Release::EngineRefused,
            _ => Release::EngineFailed,
        };
        release_pin(self.caller, cell, placed, release);
        match step {
            RetryDecision::Retry { delay_ms, reason } => {
                Failed::Retry { reason, delay_ms, excluded: placed.engine }
            }
            RetryDecision::Refuse(refusal) => Failed::Final(refusal),
            // The stream itself has resumed as long as it could.
            RetryDecision::Resume { .. } | RetryDecision::CancelThenRetry => {
                Failed::Final(unknown_refusal(placed.engine, error))
            }
        }
    }

    async fn decide(
        &self,
        placed: Placement,
        failure: Failure,
        error: &BackendError,
        failed_before: usize,
    ) -> RetryDecision {
        let decide = DecideNext {
            failure,
            customer: self.call.headers.customer.clone(),
            backend: placed.engine,
            kind: BackendKind::Engine { resumable: false },
            at_most_once: self.call.headers.at_most_once,
            may_have_run: error.ran != RunStatus::NotRun,
            failed_attempts: u32::try_from(failed_before).unwrap_or(u32::MAX).saturating_add(1),
            deadline_ms: self.terms.deadline_ms,
        };
        let step = self.shared().entry.send(decide).await;
        step.unwrap_or_else(|_| RetryDecision::Refuse(unknown_refusal(placed.engine, error)))
    }

    /// Passes the answer on, keeps it under the idempotency key and releases the pin; returns the
    /// number of tokens.
    async fn answer(
        &self,
        started: Started,
        cell: CellId,
        claim: Option<Claim>,
        reply: oneshot::Sender<CallerResponse>,
    ) -> u32 {
        let shared = self.shared();
        let Started { mut stream, first, placed } = started;
        shared.metrics.record(Timing::TimeToFirstToken, self.arrived_at.elapsed());
        let served_by =
            ServedBy { adapter: Some(self.call.adapter.clone()), backend: placed.engine };
        let mut sink = if self.call.stream {
            let (events, receiver) = mpsc::channel(EVENT_BUFFER);
            drop(reply.send(CallerResponse::Stream { served_by, events: receiver }));
            Sink::Stream(events)
        } else {
            Sink::Whole(served_by, reply)
        };
        // A keyed request runs to its end for the record even if its caller leaves.
        let runs_on = claim.is_some();
        let mut text = String::new();
        let mut next = Ok(first);
        let mut previous_at = Instant::now();
        let result = loop {
            match next {
                Ok(Some(token)) => {
                    text.push_str(&token.text);
                    let gone = !sink.pass_on(token).await;
                    shared.metrics.increment(Counter::TokensSent);
                    if gone && !runs_on {
                        break Err(None);
                    }
                }
                Ok(None) => break Ok(()),
                Err(error) => break Err(Some(error)),
            }
            next = stream.next().await;
            shared.metrics.record(Timing::TokenGap, previous_at.elapsed());
            previous_at = Instant::now();
        };
        shared.count_retries();
        let tokens = u32::try_from(stream.next_index()).unwrap_or(u32::MAX);
        match (result, stream.end().cloned()) {
            (Ok(()), Some(finish)) => {
                release_pin(self.caller, cell, placed, Release::Finished);
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
                sink.done(&document, body.into()).await;
                shared.metrics.increment(Counter::RequestsAnswered);
            }
            (Err(None), _) => {
                drop(stream);
                shared.metrics.increment(Counter::RequestsCancelled);
                let key = self.key().to_string();
                let _ = shared.backends.cancel(placed.engine, &key, placed.epoch).await;
                release_pin(self.caller, cell, placed, Release::Cancelled);
            }
            (Err(Some(error)), _) => {
                release_pin(self.caller, cell, placed, Release::EngineFailed);
                self.end_claim(claim, OnceOutcome::Unknown).await;
                let refusal = unknown_refusal(placed.engine, &error);
                sink.failed(shared, refusal).await;
            }
            (Ok(()), None) => {
                release_pin(self.caller, cell, placed, Release::EngineFailed);
                self.end_claim(claim, OnceOutcome::Unknown).await;
                let detail = "the stream ended without its last event";
                let refusal = Refusal::unknown(RefusalReason::BackendFailed, detail);
                sink.failed(shared, refusal).await;
            }
        }
        tokens
    }
}

fn outcome_of(ran: RunStatus) -> OnceOutcome {
    match ran {
        RunStatus::NotRun => OnceOutcome::NotRun,
        RunStatus::Unknown | RunStatus::Ran => OnceOutcome::Unknown,
    }
}

fn unknown_refusal(engine: SocketAddr, error: &BackendError) -> Refusal {
    let (reason, ran) = match error.kind {
        // The engine did run the request, on whatever adapter.
        BackendErrorKind::WrongAdapter => (RefusalReason::WrongAdapter, RunStatus::Ran),
        BackendErrorKind::DeadlinePassed => (RefusalReason::DeadlinePassed, RunStatus::Unknown),
        _ => (RefusalReason::BackendFailed, RunStatus::Unknown),
    };
    let detail = format!("engine {engine} failed: {error}");
    Refusal { ran, ..Refusal::unknown(reason, detail) }
}
