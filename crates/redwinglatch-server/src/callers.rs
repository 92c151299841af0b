//! Requests of callers: secrets, admission and the way to the tasks that run them.

use std::sync::Arc;
use std::time::Duration;

use redwinglatch_callers::{CallHeaders, CallKind, CallerAnswer, CallerCall};
use redwinglatch_core::prelude::*;
use redwinglatch_operators::SecretFile;
use tokio::sync::{mpsc, oneshot};
use tokio::time::{Instant, sleep};

use crate::completion;
use crate::control_client::ControlClient;
use crate::entry::{Admission, Admit, Admitted, ListEntries, ListOthers, Target};
use crate::shared::Shared;

/// How long a request waits for a first share of its customer's contract.
const SHARE_LIMIT: Duration = Duration::from_millis(200);
const SHARE_PAUSE: Duration = Duration::from_millis(10);

/// What the tasks of requests share.
#[derive(Clone)]
pub(crate) struct Caller {
    pub(crate) shared: Arc<Shared>,
    pub(crate) control: ControlClient,
    pub(crate) secret: Arc<SecretFile>,
}

/// Starts a task for each request.
pub(crate) async fn serve_callers(caller: Caller, mut calls: mpsc::Receiver<CallerCall>) {
    while let Some(call) = calls.recv().await {
        let caller = caller.clone();
        tokio::spawn(async move {
            match call.kind {
                CallKind::Entries => {
                    if let Ok(entries) = caller.shared.entry.send(ListEntries).await {
                        let _ = call.reply.send(CallerAnswer::Entries(entries));
                    }
                }
                CallKind::Completion(completion) => {
                    completion::run(&caller, completion, call.reply).await;
                }
                CallKind::Service(_) => {
                    let refusal = Refusal::not_run(RefusalReason::ServiceNotAllowed, "no services");
                    refuse(&caller.shared, call.reply, refusal).await;
                }
            }
        });
    }
}

/// Checks a request against the contract; waits shortly for a first share.
pub(crate) async fn admit(
    caller: &Caller,
    headers: &CallHeaders,
    target: Target,
) -> Result<Admitted, Refusal> {
    let bearer = headers.bearer.as_deref().unwrap_or_default();
    if !caller.secret.matches(bearer.as_bytes()) {
        let detail = "the bearer secret is missing or wrong";
        return Err(Refusal::not_run(RefusalReason::Unauthenticated, detail));
    }
    let mut request = Admit {
        customer: headers.customer.clone(),
        target,
        deadline_ms: headers.deadline_ms,
        priority: headers.priority,
    };
    let give_up_at = Instant::now() + SHARE_LIMIT;
    loop {
        let target = match &request.target {
            Target::Adapter(adapter) => Target::Adapter(adapter.clone()),
            Target::Service(service) => Target::Service(service.clone()),
        };
        let retry = Admit { customer: request.customer.clone(), target, ..request };
        match caller.shared.entry.send(request).await {
            Ok(Admission::Admitted(admitted)) => return Ok(admitted),
            Ok(Admission::Refused(refusal)) => return Err(refusal),
            Ok(Admission::NeedShare) if Instant::now() < give_up_at => {}
            Ok(Admission::NeedShare) => {
                let detail = "the customer's concurrent requests are in use";
                let refusal = Refusal::not_run(RefusalReason::Concurrency, detail);
                return Err(refusal.retry_after_ms(500));
            }
            Err(_) => {
                return Err(Refusal::not_run(RefusalReason::Draining, "the instance is stopping"));
            }
        }
        request = retry;
        sleep(SHARE_PAUSE).await;
    }
}

/// Counts and sends a refusal, with other instances where they can help.
pub(crate) async fn refuse(
    shared: &Shared,
    reply: oneshot::Sender<CallerAnswer>,
    refusal: Refusal,
) {
    shared.metrics.refused(refusal.reason);
    let elsewhere = matches!(
        refusal.reason,
        RefusalReason::NotCurrent | RefusalReason::Draining | RefusalReason::NoCoordinator
    );
    let entries = if elsewhere {
        shared.entry.send(ListOthers).await.unwrap_or_default()
    } else {
        Vec::new()
    };
    let _ = reply.send(CallerAnswer::Refused { refusal, entries });
}
