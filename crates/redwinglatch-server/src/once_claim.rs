//! Records of idempotency keys: claimed before a request is sent and finished with its outcome.

use std::sync::Arc;
use std::time::Duration;

use redwinglatch_callers::CallHeaders;
use redwinglatch_control::{CommandOutcome, ControlCommand, OnceOutcome};
use redwinglatch_core::prelude::*;
use tokio::time::Instant;

use crate::clock::wall_clock_s;
use crate::control::FindIdempotencyKey;
use crate::control_client::{CommitResult, ControlClient};
use crate::instance_context::InstanceContext;

/// Time for committing the end of a claim before the response goes to the caller.
const FINISH_TIMEOUT: Duration = Duration::from_secs(2);
/// Time for committing it in the background after that; the serving lease expires sooner if the
/// control leader is unreachable.
const BACKGROUND_FINISH_TIMEOUT: Duration = Duration::from_secs(30);
/// Time for asking the control leader whether the key of a refused request has a record.
const FIND_KEY_TIMEOUT: Duration = Duration::from_secs(1);
/// Retry hint while the first request with a key is running.
const STILL_RUNNING_RETRY_MS: u32 = 1_000;

/// A claimed idempotency key.
#[derive(Debug, Clone)]
pub(crate) struct OnceClaim {
    key: Box<str>,
    customer: Box<str>,
    claim: u64,
}

/// The result of claiming a key.
pub(crate) enum ClaimResult {
    /// The request may run.
    Granted(OnceClaim),
    /// An earlier request with the key was answered; this is its recorded response.
    Answered { status: u16, body: Box<[u8]> },
}

/// The key to claim and the request that claims it.
pub(crate) struct ClaimRequest {
    pub(crate) key: Box<str>,
    pub(crate) customer: Box<str>,
    pub(crate) digest: [u8; 32],
    pub(crate) request: RequestId,
    pub(crate) at_most_once: bool,
}

/// Claims a key before the request is sent anywhere.
pub(crate) async fn claim_key(
    context: &Arc<InstanceContext>,
    control: &ControlClient,
    request: ClaimRequest,
    deadline: Instant,
) -> Result<ClaimResult, Refusal> {
    let [d0, d1, d2, d3, d4, d5, d6, d7, ..] = request.digest;
    let command = ControlCommand::ClaimOnce {
        key: request.key.clone(),
        customer: request.customer.clone(),
        request_digest: u64::from_le_bytes([d0, d1, d2, d3, d4, d5, d6, d7]),
        instance: context.instance(),
        incarnation: context.incarnation,
        request: request.request,
        at_most_once: request.at_most_once,
        now_wall_s: wall_clock_s(),
    };
    let outcome = match control.commit(&command, deadline).await {
        CommitResult::Outcome(outcome) => outcome,
        not_confirmed => {
            if not_confirmed == CommitResult::Unknown {
                end_unconfirmed_claim(context, control, request, command);
            }
            let detail = "the idempotency key could not be recorded in time";
            return Err(Refusal::not_run(RefusalReason::ControlUnavailable, detail)
                .retry_after_ms(STILL_RUNNING_RETRY_MS));
        }
    };
    let key = &request.key;
    match outcome {
        CommandOutcome::Granted { claim } => Ok(ClaimResult::Granted(OnceClaim {
            key: request.key,
            customer: request.customer,
            claim,
        })),
        CommandOutcome::Answered { status, body } => Ok(ClaimResult::Answered { status, body }),
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

/// Changes a refusal's "not run" to "unknown" if an earlier request with the same key may have run.
///
/// That request may have used another instance, so "not run" is reported only when the control
/// leader confirms that the key has no record.
pub(crate) async fn qualify_refusal(
    control: &ControlClient,
    headers: &CallHeaders,
    mut refusal: Refusal,
) -> Refusal {
    let Some(key) = &headers.idempotency_key else { return refusal };
    // Callers with a wrong secret must not learn about keys, and the record of a reused key
    // belongs to a different request.
    let is_exempt =
        matches!(refusal.reason, RefusalReason::Unauthenticated | RefusalReason::KeyReused);
    if refusal.ran != RunStatus::NotRun || is_exempt {
        return refusal;
    }
    let find = FindIdempotencyKey { customer: headers.customer.clone(), key: key.clone() };
    if control.find_key(&find, Instant::now() + FIND_KEY_TIMEOUT).await != Some(false) {
        refusal.ran = RunStatus::Unknown;
        let detail = format!("{}; an earlier request with its key may have run", refusal.detail);
        refusal.detail = detail.into();
    }
    refusal
}

/// Ends a claim whose commit was not confirmed in time.
///
/// The claim may be committed later although this process never sends the request. If it were not
/// ended, retries would be refused as still running for as long as this process runs.
fn end_unconfirmed_claim(
    context: &Arc<InstanceContext>,
    control: &ControlClient,
    request: ClaimRequest,
    command: ControlCommand,
) {
    let context = context.clone();
    let control = control.clone();
    tokio::spawn(async move {
        let deadline = Instant::now() + BACKGROUND_FINISH_TIMEOUT;
        // Proposing the same request again yields the same claim.
        let result = control.commit(&command, deadline).await;
        if let CommitResult::Outcome(CommandOutcome::Granted { claim }) = result {
            let claim = OnceClaim { key: request.key, customer: request.customer, claim };
            finish_claim(&context, &control, claim, OnceOutcome::NotRun).await;
        }
    });
}

/// Records the end of a claim before the response goes to the caller.
///
/// If the control leader is unreachable, this is retried in the background. The response is not
/// delayed further, since a retry with the key can't start a second run while the claim exists.
pub(crate) async fn finish_claim(
    context: &Arc<InstanceContext>,
    control: &ControlClient,
    claim: OnceClaim,
    outcome: OnceOutcome,
) {
    let command = ControlCommand::FinishOnce {
        key: claim.key,
        customer: claim.customer,
        claim: claim.claim,
        incarnation: context.incarnation,
        outcome,
    };
    let deadline = Instant::now() + FINISH_TIMEOUT;
    if let CommitResult::Outcome(_) = control.commit(&command, deadline).await {
        return;
    }
    let control = control.clone();
    tokio::spawn(async move {
        let deadline = Instant::now() + BACKGROUND_FINISH_TIMEOUT;
        if !matches!(control.commit(&command, deadline).await, CommitResult::Outcome(_)) {
            log::warn!("control: the end of an idempotency key's claim could not be recorded");
        }
    });
}
