//! Requests of callers: secrets, admission and the way to the tasks that run them.

use std::sync::Arc;
use std::time::Duration;

use redwinglatch_callers::{CallHeaders, CallKind, CallerCall, CallerResponse};
use redwinglatch_core::prelude::*;
use redwinglatch_operators::SecretFile;
use tokio::sync::{mpsc, oneshot};
use tokio::time::sleep;

use crate::control_client::ControlClient;
use crate::entry::{Admission, Admit, Admitted, ListEntries, ListOthers};
use crate::shared::Shared;
use crate::{completion, service};

/// How often a request that waits for a first share is decided again.
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
                        let _ = call.reply.send(CallerResponse::Entries(entries));
                    }
                }
                CallKind::Completion(completion) => {
                    completion::run(&caller, completion, call.reply).await;
                }
                CallKind::Service(service) => service::run(&caller, service, call.reply).await,
            }
        });
    }
}

/// Checks a request against the contract; waits shortly for a first share.
pub(crate) async fn admit(
    caller: &Caller,
    headers: &CallHeaders,
    mut request: Admit,
) -> Result<Admitted, Refusal> {
    let bearer = headers.bearer.as_deref().unwrap_or_default();
    if !caller.secret.matches(bearer.as_bytes()) {
        let detail = "the bearer secret is missing or wrong";
        return Err(Refusal::not_run(RefusalReason::Unauthenticated, detail));
    }
    loop {
        match caller.shared.entry.send(request.clone()).await {
            Ok(Admission::Admitted(admitted)) => return Ok(admitted),
            Ok(Admission::Refused(refusal)) => return Err(refusal),
            Ok(Admission::AskForShare { waiting_since_ms, until_ms }) => {
                request.waiting_since_ms = Some(waiting_since_ms);
                let left_ms = until_ms.saturating_sub(caller.shared.now_ms()).max(1);
                sleep(SHARE_PAUSE.min(Duration::from_millis(left_ms))).await;
            }
            Err(_) => {
                return Err(Refusal::not_run(RefusalReason::Draining, "the instance is stopping"));
            }
        }
    }
}

/// Counts and sends a refusal, with other instances where they can help.
pub(crate) async fn refuse(
    shared: &Shared,
    reply: oneshot::Sender<CallerResponse>,
    refusal: Refusal,
) {
    shared.count_retries();
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
    let _ = reply.send(CallerResponse::Refused { refusal, entries });
}
