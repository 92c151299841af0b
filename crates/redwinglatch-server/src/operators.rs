//! Requests of operators: contract changes, stops and status.

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

use crate::callers::Caller;
use crate::clock::wall_clock_s;
use crate::control_client::Committed;
use crate::status;

/// A change is in force within 10 s; the rest is for the election of a leader.
const CHANGE_LIMIT: Duration = Duration::from_secs(13);
const READ_LIMIT: Duration = Duration::from_secs(5);
const STOP_LIMIT: Duration = Duration::from_secs(2);

/// Starts a task for each request.
pub(crate) async fn serve_operators(caller: Caller, mut calls: mpsc::Receiver<OperatorCall>) {
    while let Some(call) = calls.recv().await {
        let caller = caller.clone();
        tokio::spawn(async move {
            let reply = answer(&caller, call.request).await;
            // The operator may have closed the connection.
            let _ = call.reply.send(reply);
        });
    }
}

async fn answer(caller: &Caller, request: OperatorRequest) -> OperatorReply {
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
            change(caller, customer, change_id, command).await
        }
        OperatorRequest::RemoveContract { change_id, expected_revision, customer } => {
            let now_wall_s = wall_clock_s();
            let command = ControlCommand::RemoveContract {
                change_id: change_id.clone(),
                customer: customer.clone(),
                expected_revision,
                now_wall_s,
            };
            change(caller, customer, change_id, command).await
        }
        OperatorRequest::GetContract { customer } => {
            let query = ContractQuery::Current(customer.clone());
            read(caller, query, |entries| match entries.into_iter().next().and_then(document) {
                Some(contract) => OperatorReply::Contract(contract),
                None => no_contract(&customer),
            })
            .await
        }
        OperatorRequest::ListContracts => {
            read(caller, ContractQuery::All, |entries| {
                let contracts = entries.into_iter().filter_map(document).collect();
                OperatorReply::Contracts(ContractListDocument { contracts })
            })
            .await
        }
        OperatorRequest::ContractHistory { customer } => {
            let query = ContractQuery::History(customer.clone());
            read(caller, query, |entries| {
                if entries.is_empty() {
                    return no_contract(&customer);
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
        OperatorRequest::Status => match status::read(caller).await {
            Some(status) => OperatorReply::Status(Box::new(status)),
            None => stopping(),
        },
        OperatorRequest::ListInstances => match status::read(caller).await {
            Some(status) => {
                OperatorReply::Instances(InstanceListDocument { instances: status.instances })
            }
            None => stopping(),
        },
        OperatorRequest::StopInstance { instance } => stop(caller, instance).await,
        // The request type grows with the API.
        #[allow(unreachable_patterns)]
        _ => stopping(),
    }
}

async fn change(
    caller: &Caller,
    customer: Box<str>,
    change_id: Box<str>,
    command: ControlCommand,
) -> OperatorReply {
    let until = Instant::now() + CHANGE_LIMIT;
    match caller.control.commit_in_force(&command, until).await {
        Committed::Outcome(CommandOutcome::Accepted { revision }) => {
            let is_in_force = true;
            OperatorReply::Change(ChangeDocument { customer, change_id, revision, is_in_force })
        }
        Committed::Outcome(CommandOutcome::Conflict { current_revision, current }) => {
            OperatorReply::Conflict(ConflictDocument { current_revision, current })
        }
        Committed::Outcome(CommandOutcome::Invalid(error)) => {
            let detail = error.to_string();
            OperatorReply::Refused(Refusal::not_run(RefusalReason::InvalidChange, detail))
        }
        Committed::Outcome(CommandOutcome::ChangeIdReused) => {
            let detail = format!("change id {change_id:?} was used for another change");
            OperatorReply::Refused(Refusal::not_run(RefusalReason::KeyReused, detail))
        }
        Committed::Outcome(other) => {
            log::error!("operators: unexpected outcome of a change: {other:?}");
            let detail = "the change was not made; see the log of the control leader";
            OperatorReply::Refused(Refusal::not_run(RefusalReason::ControlUnavailable, detail))
        }
        Committed::Unknown => {
            let detail = "the change may be committed; send it again with the same change id";
            let refusal = Refusal::unknown(RefusalReason::ControlUnavailable, detail);
            OperatorReply::Refused(refusal.retry_after_ms(1_000))
        }
        Committed::NotDone => {
            let detail = "no control leader could be reached";
            let refusal = Refusal::not_run(RefusalReason::ControlUnavailable, detail);
            OperatorReply::Refused(refusal.retry_after_ms(1_000))
        }
    }
}

async fn read(
    caller: &Caller,
    query: ContractQuery,
    render: impl FnOnce(Vec<ContractHistoryEntry>) -> OperatorReply,
) -> OperatorReply {
    let until = Instant::now() + READ_LIMIT;
    match caller.control.read_contracts(&query, until).await {
        Some(entries) => render(entries),
        None => {
            let detail = "no control leader could be reached";
            let refusal = Refusal::not_run(RefusalReason::ControlUnavailable, detail);
            OperatorReply::Refused(refusal.retry_after_ms(1_000))
        }
    }
}

async fn stop(caller: &Caller, instance: InstanceId) -> OperatorReply {
    let shared = &caller.shared;
    let stopping = OperatorReply::Stopping(StopDocument { instance, requests_in_flight: None });
    if instance == shared.instance() {
        shared.draining.send_replace(true);
        return stopping;
    }
    match shared.transport.call(instance, PeerMessage::Stop, STOP_LIMIT).await {
        Ok(_) => stopping,
        Err(error) => {
            let refusal = Refusal::unknown(RefusalReason::NotFound, error.to_string());
            OperatorReply::Refused(refusal)
        }
    }
}

fn document(entry: ContractHistoryEntry) -> Option<ContractDocument> {
    Some(ContractDocument { revision: entry.revision, contract: entry.contract? })
}

fn no_contract(customer: &str) -> OperatorReply {
    let detail = format!("customer {customer:?} has no contract");
    OperatorReply::Refused(Refusal::not_run(RefusalReason::UnknownCustomer, detail))
}

fn stopping() -> OperatorReply {
    let detail = "the instance is stopping";
    OperatorReply::Refused(Refusal::not_run(RefusalReason::Draining, detail))
}
