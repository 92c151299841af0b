//! Caller requests: authentication, admission and dispatch to the code that runs them.

use std::sync::Arc;
use std::time::Duration;

use redwinglatch_callers::{CallHeaders, CallKind, CallerCall, CallerResponse};
use redwinglatch_core::prelude::*;
use redwinglatch_operators::SecretFile;
use tokio::sync::{mpsc, oneshot};
use tokio::time::sleep;

use crate::control_client::ControlClient;
use crate::entry::{Admission, AdmitRequest, Admitted, ListEntries, ListOtherEntries};
use crate::instance_context::InstanceContext;
use crate::{completion, service};

/// Delay between admission attempts while a request waits for the instance's first share of a
/// customer's limits.
const SHARE_RETRY_DELAY: Duration = Duration::from_millis(10);

/// Handles that the tasks of caller and operator requests use.
#[derive(Clone)]
pub(crate) struct RequestHandles {
    pub(crate) context: Arc<InstanceContext>,
    pub(crate) control: ControlClient,
    /// The secrets of callers.
    pub(crate) secret: Arc<SecretFile>,
}

/// Handles each caller request in a task of its own.
pub(crate) async fn serve_callers(handles: RequestHandles, mut calls: mpsc::Receiver<CallerCall>) {
    while let Some(call) = calls.recv().await {
        let handles = handles.clone();
        tokio::spawn(async move {
            match call.kind {
                CallKind::Entries => {
                    if let Ok(entries) = handles.context.entry.send(ListEntries).await {
                        let _ = call.reply.send(CallerResponse::Entries(entries));
                    }
                }
                CallKind::Completion(completion) => {
                    completion::run(&handles, completion, call.reply).await;
                }
                CallKind::Service(service) => service::run(&handles, service, call.reply).await,
            }
        });
    }
}

/// Authenticates a request and checks it against lease, contract and limits.
///
/// Waits briefly if the instance has no share of the customer's limits yet.
pub(crate) async fn admit(
    handles: &RequestHandles,
    headers: &CallHeaders,
    mut request: AdmitRequest,
) -> Result<Admitted, Refusal> {
    let bearer = headers.bearer.as_deref().unwrap_or_default();
    if !handles.secret.matches(bearer.as_bytes()) {
        let detail = "the bearer secret is missing or wrong";
        return Err(Refusal::not_run(RefusalReason::Unauthenticated, detail));
    }
    loop {
        match handles.context.entry.send(request.clone()).await {
            Ok(Admission::Admitted(admitted)) => return Ok(admitted),
            Ok(Admission::Refused(refusal)) => return Err(refusal),
            Ok(Admission::AwaitShare { waiting_since_ms, until_ms }) => {
                request.waiting_since_ms = Some(waiting_since_ms);
                let remaining_ms = until_ms.saturating_sub(handles.context.now_ms()).max(1);
                sleep(SHARE_RETRY_DELAY.min(Duration::from_millis(remaining_ms))).await;
            }
            Err(_) => {
                return Err(Refusal::not_run(RefusalReason::Draining, "the instance is stopping"));
            }
        }
    }
}

/// Counts a refusal and sends it, with addresses of other instances if one of those may accept the
/// request.
pub(crate) async fn refuse(
    context: &InstanceContext,
    reply: oneshot::Sender<CallerResponse>,
    refusal: Refusal,
) {
    context.count_retries();
    context.metrics.refused(refusal.reason);
    let can_others_help = matches!(
        refusal.reason,
        RefusalReason::NotCurrent | RefusalReason::Draining | RefusalReason::NoCoordinator
    );
    let entries = if can_others_help {
        context.entry.send(ListOtherEntries).await.unwrap_or_default()
    } else {
        Vec::new()
    };
    let _ = reply.send(CallerResponse::Refused { refusal, entries });
}
