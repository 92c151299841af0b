//! Records of idempotency keys: claims before dispatch and their ends.

use std::sync::Arc;
use std::time::Duration;

use redwinglatch_callers::CallHeaders;
use redwinglatch_control::{CommandOutcome, ControlCommand, OnceOutcome};
use redwinglatch_core::prelude::*;
use tokio::time::Instant;

use crate::clock::wall_clock_s;
use crate::control::FindKey;
use crate::control_client::{Committed, ControlClient};
use crate::shared::Shared;

/// How long the end of a claim is tried to be committed before the answer goes to the caller.
const FINISH_LIMIT: Duration = Duration::from_secs(2);
/// How long it is tried after that; the serving lease ends sooner if control is out of reach.
const FINISH_LATER_LIMIT: Duration = Duration::from_secs(30);
/// How long a refused request with a key waits for the word of the control leader.
const FIND_LIMIT: Duration = Duration::from_secs(1);
/// Retry hint while the first request of a key runs.
const STILL_RUNNING_RETRY_MS: u32 = 1_000;

/// A claimed idempotency key.
#[derive(Debug, Clone)]
pub(crate) struct Claim {
    key: Box<str>,
    customer: Box<str>,
    claim: u64,
}

/// What a claim found.
pub(crate) enum Claimed {
    /// The request may run.
    Granted(Claim),
    /// The request was answered before.
    Answered { status: u16, body: Box<[u8]> },
}

/// What is claimed.
pub(crate) struct ClaimRequest {
    pub(crate) key: Box<str>,
    pub(crate) customer: Box<str>,
    pub(crate) digest: [u8; 32],
    pub(crate) request: RequestId,
    pub(crate) at_most_once: bool,
}

/// Claims a key before the request is sent anywhere.
pub(crate) async fn claim(
    shared: &Arc<Shared>,
    control: &ControlClient,
    request: ClaimRequest,
    until: Instant,
) -> Result<Claimed, Refusal> {
    let [d0, d1, d2, d3, d4, d5, d6, d7, ..] = request.digest;
    let command = ControlCommand::ClaimOnce {
        key: request.key.clone(),
        customer: request.customer.clone(),
        request_digest: u64::from_le_bytes([d0, d1, d2, d3, d4, d5, d6, d7]),
        instance: shared.instance(),
        incarnation: shared.incarnation,
        request: request.request,
        at_most_once: request.at_most_once,
        now_wall_s: wall_clock_s(),
    };
    let outcome = match control.commit(&command, until).await {
        Committed::Outcome(outcome) => outcome,
        given_up => {
            if given_up == Committed::Unknown {
                end_unanswered_claim(shared, control, request, command);
            }
            let detail = "the idempotency key could not be recorded in time";
            return Err(Refusal::not_run(RefusalReason::ControlUnavailable, detail)
                .retry_after_ms(STILL_RUNNING_RETRY_MS));
        }
    };
    let key = &request.key;
    match outcome {
        CommandOutcome::Granted { claim } => {
            Ok(Claimed::Granted(Claim { key: request.key, customer: request.customer, claim }))
        }
        CommandOutcome::Answered { status, body } => Ok(Claimed::Answered { status, body }),
        CommandOutcome::Running { instance } => Err(Refusal::unknown(
            RefusalReason::StillRunning,
            format!("the request with key {key:?} is running on instance {instance}"),
        )
        .retry_after_ms(STILL_RUNNING_RETRY_MS)),
        CommandOutcome::Unknown => Err(Refusal::unknown(
            RefusalReason::OutcomeUnknown,
            format!("the request with key {key:?} may have run and is not repeated"),
        )),
        CommandOutcome::KeyReused => Err(Refusal::not_run(
            RefusalReason::KeyReused,
            format!("key {key:?} was used before with another request"),
        )),
        CommandOutcome::Full => Err(Refusal::not_run(
            RefusalReason::RecordsFull,
            "the records of idempotency keys are full",
        )
        .retry_after_ms(60_000)),
        other => {
            log::error!("control: unexpected outcome of a claim: {other:?}");
            Err(Refusal::not_run(RefusalReason::ControlUnavailable, "the claim failed"))
        }
    }
}

/// Makes a refusal true for the key and not only for this attempt.
///
/// An earlier attempt with the same key may have run through another instance, so "not run" is
/// told only when the control leader has no record of the key.
pub(crate) async fn qualify(
    control: &ControlClient,
    headers: &CallHeaders,
    mut refusal: Refusal,
) -> Refusal {
    let Some(key) = &headers.idempotency_key else { return refusal };
    // A request with the wrong secret learns nothing of keys, and a reused key was used by
    // another request than this one.
    let says_nothing =
        matches!(refusal.reason, RefusalReason::Unauthenticated | RefusalReason::KeyReused);
    if refusal.ran != RunStatus::NotRun || says_nothing {
        return refusal;
    }
    let find = FindKey { customer: headers.customer.clone(), key: key.clone() };
    if control.find_key(&find, Instant::now() + FIND_LIMIT).await != Some(false) {
        refusal.ran = RunStatus::Unknown;
        let detail = format!("{}; an earlier request with its key may have run", refusal.detail);
        refusal.detail = detail.into();
    }
    refusal
}

/// Ends a claim whose outcome did not arrive in time.
///
/// It may be committed later, and this process never sends the request. Without its end, retries
/// would be told that the request is still running for as long as this process lives.
fn end_unanswered_claim(
    shared: &Arc<Shared>,
    control: &ControlClient,
    request: ClaimRequest,
    command: ControlCommand,
) {
    let shared = shared.clone();
    let control = control.clone();
    tokio::spawn(async move {
        let until = Instant::now() + FINISH_LATER_LIMIT;
        // The same request proposed again is granted the same claim.
        let committed = control.commit(&command, until).await;
        if let Committed::Outcome(CommandOutcome::Granted { claim }) = committed {
            let claim = Claim { key: request.key, customer: request.customer, claim };
            finish(&shared, &control, claim, OnceOutcome::NotRun).await;
        }
    });
}

/// Ends a claim before the answer goes to the caller.
///
/// If control is out of reach, the end is tried again in the background: the answer is not held
/// back, since a retry of the key can't start a second run while the claim stands.
pub(crate) async fn finish(
    shared: &Arc<Shared>,
    control: &ControlClient,
    claim: Claim,
    outcome: OnceOutcome,
) {
    let command = ControlCommand::FinishOnce {
        key: claim.key,
        customer: claim.customer,
        claim: claim.claim,
        incarnation: shared.incarnation,
        outcome,
    };
    let until = Instant::now() + FINISH_LIMIT;
    if let Committed::Outcome(_) = control.commit(&command, until).await {
        return;
    }
    let control = control.clone();
    tokio::spawn(async move {
        let until = Instant::now() + FINISH_LATER_LIMIT;
        if !matches!(control.commit(&command, until).await, Committed::Outcome(_)) {
            log::warn!("control: the end of a claimed request could not be recorded");
        }
    });
}
