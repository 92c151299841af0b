//! Handles operator requests: contract changes, instance stops and status.

use std::time::Duration;

use redwinglatch_control::{CommandOutcome, ContractHistoryEntry, ControlCommand};
use redwinglatch_core::prelude::*;
use redwinglatch_instances::{ContractQuery, PeerMessage};
use redwinglatch_operators::{
    ChangeDocument, ConflictDocument, ContractDocument, ContractListDocument, HistoryDocument,
    InstanceListDocument, OperatorCall, OperatorReply, OperatorRequest, StopDocument,
};
use tokio::sync::mpsc;
use tokio::time::Instant;

use crate::callers::RequestHandles;
use crate::clock::wall_clock_s;
use crate::control_client::CommitResult;
use crate::status;

/// A change is in force within 10 s; the remaining time allows for a leader election.
const CHANGE_TIMEOUT: Duration = Duration::from_secs(13);
const READ_TIMEOUT: Duration = Duration::from_secs(5);
const STOP_TIMEOUT: Duration = Duration::from_secs(2);

/// Handles each operator request in a task of its own.
pub(crate) async fn serve_operators(
    handles: RequestHandles,
    mut calls: mpsc::Receiver<OperatorCall>,
) {
    while let Some(call) = calls.recv().await {
        let handles = handles.clone();
        tokio::spawn(async move {
            let reply = handle_request(&handles, call.request).await;
            // The operator may have closed the connection.
            let _ = call.reply.send(reply);
        });
    }
}

async fn handle_request(handles: &RequestHandles, request: OperatorRequest) -> OperatorReply {
    match request {
        OperatorRequest::ApplyContract { change_id, expected_revision, contract } => {
            let customer = contract.customer.clone();
            let now_wall_s = wall_clock_s();
            let command = ControlCommand::ApplyContract {
                change_id: change_id.clone(),
                customer: customer.clone(),
                expected_revision,
                contract,
                now_wall_s,
            };
            commit_change(handles, customer, change_id, command).await
        }
        OperatorRequest::RemoveContract { change_id, expected_revision, customer } => {
            let now_wall_s = wall_clock_s();
            let command = ControlCommand::RemoveContract {
                change_id: change_id.clone(),
                customer: customer.clone(),
                expected_revision,
                now_wall_s,
            };
            commit_change(handles, customer, change_id, command).await
        }
        OperatorRequest::GetContract { customer } => {
            let query = ContractQuery::Current(customer.clone());
            read_contracts(handles, query, |entries| {
                match entries.into_iter().next().and_then(contract_document) {
                    Some(contract) => OperatorReply::Contract(contract),
                    None => no_contract_refusal(&customer),
                }
            })
            .await
        }
        OperatorRequest::ListContracts => {
            read_contracts(handles, ContractQuery::All, |entries| {
                let contracts = entries.into_iter().filter_map(contract_document).collect();
                OperatorReply::Contracts(ContractListDocument { contracts })
            })
            .await
        }
        OperatorRequest::ContractHistory { customer } => {
            let query = ContractQuery::History(customer.clone());
            read_contracts(handles, query, |entries| {
                if entries.is_empty() {
                    return no_contract_refusal(&customer);
                }
                let entries =
                    entries.into_iter().map(|entry| redwinglatch_operators::HistoryEntry {
                        revision: entry.revision,
                        change_id: entry.change_id,
                        at_wall_s: entry.at_wall_s,
                        contract: entry.contract,
                    });
                OperatorReply::History(HistoryDocument {
                    customer: customer.clone(),
                    entries: entries.collect(),
                })
            })
            .await
        }
        OperatorRequest::Status => match status::collect(handles).await {
            Some(status) => OperatorReply::Status(Box::new(status)),
            None => stopping_refusal(),
        },
        OperatorRequest::ListInstances => match status::collect(handles).await {
            Some(status) => {
                OperatorReply::Instances(InstanceListDocument { instances: status.instances })
            }
            None => stopping_refusal(),
        },
        OperatorRequest::StopInstance { instance } => stop_instance(handles, instance).await,
        // The request enum is non-exhaustive: the API may add variants.
        #[allow(unreachable_patterns)]
        _ => stopping_refusal(),
    }
}

async fn commit_change(
    handles: &RequestHandles,
    customer: Box<str>,
    change_id: Box<str>,
    command: ControlCommand,
) -> OperatorReply {
    let deadline = Instant::now() + CHANGE_TIMEOUT;
    match handles.control.commit_in_force(&command, deadline).await {
        CommitResult::Outcome(CommandOutcome::Accepted { revision }) => {
            let is_in_force = true;
            OperatorReply::Change(ChangeDocument { customer, change_id, revision, is_in_force })
        }
        CommitResult::Outcome(CommandOutcome::Conflict { current_revision, current }) => {
            OperatorReply::Conflict(ConflictDocument { current_revision, current })
        }
        CommitResult::Outcome(CommandOutcome::Invalid(error)) => {
            let detail = error.to_string();
            OperatorReply::Refused(Refusal::not_run(RefusalReason::InvalidChange, detail))
        }
        CommitResult::Outcome(CommandOutcome::ChangeIdReused) => {
            let detail = format!("change id {change_id:?} was used for another change");
            OperatorReply::Refused(Refusal::not_run(RefusalReason::KeyReused, detail))
        }
        CommitResult::Outcome(other) => {
            log::error!("operators: unexpected outcome of a change: {other:?}");
            let detail = "the change was not made; see the log of the control leader";
            OperatorReply::Refused(Refusal::not_run(RefusalReason::ControlUnavailable, detail))
        }
        CommitResult::Unknown => {
            let detail = "the change may be committed; send it again with the same change id";
            let refusal = Refusal::unknown(RefusalReason::ControlUnavailable, detail);
            OperatorReply::Refused(refusal.retry_after_ms(1_000))
        }
        CommitResult::NotCommitted => {
            let detail = "no control leader could be reached";
            let refusal = Refusal::not_run(RefusalReason::ControlUnavailable, detail);
            OperatorReply::Refused(refusal.retry_after_ms(1_000))
        }
    }
}

async fn read_contracts(
    handles: &RequestHandles,
    query: ContractQuery,
    render: impl FnOnce(Vec<ContractHistoryEntry>) -> OperatorReply,
) -> OperatorReply {
    let deadline = Instant::now() + READ_TIMEOUT;
    match handles.control.read_contracts(&query, deadline).await {
        Some(entries) => render(entries),
        None => {
            let detail = "no control leader could be reached";
            let refusal = Refusal::not_run(RefusalReason::ControlUnavailable, detail);
            OperatorReply::Refused(refusal.retry_after_ms(1_000))
        }
    }
}

async fn stop_instance(handles: &RequestHandles, instance: InstanceId) -> OperatorReply {
    let context = &handles.context;
    let stopping = OperatorReply::Stopping(StopDocument { instance, requests_in_flight: None });
    if instance == context.instance() {
        context.draining.send_replace(true);
        return stopping;
    }
    match context.transport.call(instance, PeerMessage::Stop, STOP_TIMEOUT).await {
        Ok(_) => stopping,
        Err(error) => {
            let refusal = Refusal::unknown(RefusalReason::NotFound, error.to_string());
            OperatorReply::Refused(refusal)
        }
    }
}

fn contract_document(entry: ContractHistoryEntry) -> Option<ContractDocument> {
    Some(ContractDocument { revision: entry.revision, contract: entry.contract? })
}

fn no_contract_refusal(customer: &str) -> OperatorReply {
    let detail = format!("customer {customer:?} has no contract");
    OperatorReply::Refused(Refusal::not_run(RefusalReason::UnknownCustomer, detail))
}

fn stopping_refusal() -> OperatorReply {
    let detail = "the instance is stopping";
    OperatorReply::Refused(Refusal::not_run(RefusalReason::Draining, detail))
}
