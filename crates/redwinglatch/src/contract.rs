//! `redwinglatch contract`: reads, compares and changes contracts.

use std::path::Path;

use redwinglatch_core::{Contract, Revision};
use redwinglatch_operators::{
    ChangeDocument, ClientError, ClientErrorKind, ConflictDocument, OperatorClient,
};
use redwinglatch_settings::ContractFile;
use serde_json::json;

use crate::args::ChangeOptions;
use crate::change_id;
use crate::command_error::CommandError;
use crate::diff::Diff;
use crate::output::{Output, table};

pub(crate) async fn apply(
    client: &OperatorClient,
    path: &Path,
    options: &ChangeOptions,
) -> miette::Result<Output> {
    let file = ContractFile::from_file(path)?;
    let contract = &file.contract;
    let customer = &*contract.customer;
    let expected = match options.expected_revision {
        Some(revision) => Revision(revision),
        None => {
            let current = client.contract(customer).await.map_err(CommandError::from)?;
            match current {
                Some(current) if current.contract == *contract => {
                    return Ok(unchanged_output(customer, current.revision));
                }
                current => current.map_or(Revision(0), |current| current.revision),
            }
        }
    };
    let change_id = match &options.change_id {
        Some(change_id) => change_id.clone(),
        None => {
            let latest = latest_revision(client, customer, expected).await?;
            change_id::derive_change_id(&file.to_string(), expected, latest)
        }
    };
    match client.apply_contract(&change_id, expected, contract).await {
        Ok(change) => Ok(change_output(&change, "written")),
        Err(ClientError { kind: ClientErrorKind::Conflict(conflict) }) => {
            if conflict.current.as_ref() == Some(contract) {
                return Ok(unchanged_output(customer, conflict.current_revision));
            }
            Err(conflict_error(customer, expected, &conflict, Some(contract)).into())
        }
        Err(error) => Err(CommandError::for_change(&error, &change_id).into()),
    }
}

pub(crate) async fn remove(
    client: &OperatorClient,
    customer: &str,
    options: &ChangeOptions,
) -> miette::Result<Output> {
    let expected = match options.expected_revision {
        Some(revision) => Revision(revision),
        None => {
            let current = client.contract(customer).await.map_err(CommandError::from)?;
            current.ok_or_else(|| no_contract_error(customer))?.revision
        }
    };
    let change_id = options.change_id.clone().unwrap_or_else(|| {
        change_id::derive_change_id(&format!("remove {customer}"), expected, expected)
    });
    match client.remove_contract(&change_id, expected, customer).await {
        Ok(change) => Ok(change_output(&change, "removed")),
        Err(ClientError { kind: ClientErrorKind::Conflict(conflict) }) => {
            Err(conflict_error(customer, expected, &conflict, None).into())
        }
        Err(error) => Err(CommandError::for_change(&error, &change_id).into()),
    }
}

pub(crate) async fn get(client: &OperatorClient, customer: &str) -> miette::Result<Output> {
    let current = client.contract(customer).await.map_err(CommandError::from)?;
    let current = current.ok_or_else(|| no_contract_error(customer))?;
    let text = format!(
        "; revision {}\n{}",
        current.revision,
        ContractFile { contract: current.contract.clone() }
    );
    Ok(Output::new(text, json!(current)))
}

pub(crate) async fn list(client: &OperatorClient) -> miette::Result<Output> {
    let document = client.contracts().await.map_err(CommandError::from)?;
    let rows: Vec<_> = document
        .contracts
        .iter()
        .map(|entry| {
            [
                entry.contract.customer.to_string(),
                entry.revision.to_string(),
                entry.contract.request_rate_per_s.to_string(),
                entry.contract.concurrent_requests.to_string(),
                entry.contract.token_rate_per_s.to_string(),
                entry.contract.load_share_permille.to_string(),
            ]
        })
        .collect();
    let heading =
        ["CUSTOMER", "REVISION", "REQUESTS/S", "CONCURRENT", "TOKENS/S", "LOAD SHARE PERMILLE"];
    Ok(Output::new(table(heading, &rows), json!(document)))
}

pub(crate) async fn diff(client: &OperatorClient, path: &Path) -> miette::Result<Output> {
    let file = ContractFile::from_file(path)?;
    let customer = &file.contract.customer;
    let current = client.contract(customer).await.map_err(CommandError::from)?;
    let diff = Diff::new(current.as_ref().map(|current| &current.contract), Some(&file.contract));
    let text = match (&current, diff.is_empty()) {
        (Some(current), true) => {
            format!("{customer}: no difference to revision {}", current.revision)
        }
        (Some(current), false) => {
            format!("{customer}: difference to revision {}\n{}", current.revision, diff.text())
        }
        (None, _) => format!("{customer}: no contract yet\n{}", diff.text()),
    };
    let mut json = diff.json();
    json["customer"] = json!(customer);
    json["current_revision"] = json!(current.map_or(Revision(0), |current| current.revision));
    Ok(Output::new(text, json))
}

pub(crate) async fn history(client: &OperatorClient, customer: &str) -> miette::Result<Output> {
    let history = client.history(customer).await.map_err(CommandError::from)?;
    let history = history.ok_or_else(|| no_contract_error(customer))?;
    let mut text = String::new();
    let mut previous: Option<&Contract> = None;
    for entry in &history.entries {
        let diff = Diff::new(previous, entry.contract.as_ref());
        let kind = if entry.contract.is_some() { "written" } else { "removed" };
        text.push_str(&format!(
            "revision {} {kind} at {} s since 1970, change id {}\n{}",
            entry.revision,
            entry.at_wall_s,
            entry.change_id,
            diff.text()
        ));
        previous = entry.contract.as_ref();
    }
    Ok(Output::new(text, json!(history)))
}

/// Returns the revision of the customer's last known change. It is read only if no contract is
/// expected, to distinguish a first contract from one after a removal.
async fn latest_revision(
    client: &OperatorClient,
    customer: &str,
    expected: Revision,
) -> Result<Revision, CommandError> {
    if expected != Revision(0) {
        return Ok(expected);
    }
    let history = client.history(customer).await?;
    let latest = history.and_then(|history| history.entries.last().map(|entry| entry.revision));
    Ok(latest.unwrap_or_default())
}

fn change_output(change: &ChangeDocument, verb: &str) -> Output {
    let state = if change.is_in_force {
        "in force on every instance"
    } else {
        "accepted, not yet in force on every instance; `redwinglatch status` shows the progress"
    };
    let text = format!("{}: {verb} as revision {}, {state}", change.customer, change.revision);
    Output::new(text, json!(change))
}

fn unchanged_output(customer: &str, revision: Revision) -> Output {
    let text = format!("{customer}: unchanged, revision {revision} already has this contract");
    Output::new(text, json!({ "customer": customer, "revision": revision, "unchanged": true }))
}

fn no_contract_error(customer: &str) -> CommandError {
    CommandError::new(
        format!("{customer} has no contract"),
        "list the customers with `redwinglatch contract list`",
    )
}

fn conflict_error(
    customer: &str,
    expected: Revision,
    conflict: &ConflictDocument,
    replacement: Option<&Contract>,
) -> CommandError {
    let diff = Diff::new(conflict.current.as_ref(), replacement);
    let current = conflict.current_revision;
    CommandError::new(
        format!(
            "the contract of {customer} is at revision {current}, not {expected}; nothing was \
             changed. Current (-) and requested (+):\n{}",
            diff.text().trim_end()
        ),
        format!(
            "use --expected-revision {current} after you have merged the other change into yours"
        ),
    )
}
