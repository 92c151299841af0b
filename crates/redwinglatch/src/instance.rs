//! `redwinglatch instance`: lists and stops instances.

use redwinglatch_core::InstanceId;
use redwinglatch_operators::{InstanceState, InstanceStatus, OperatorClient};
use serde_json::json;

use crate::command_error::CommandError;
use crate::output::{Output, table};

pub(crate) async fn list(client: &OperatorClient) -> miette::Result<Output> {
    let document = client.instances().await.map_err(CommandError::from)?;
    Ok(Output::new(instance_table(&document.instances), json!(document)))
}

pub(crate) async fn stop(client: &OperatorClient, id: u32) -> miette::Result<Output> {
    let document = client.stop_instance(InstanceId(id)).await.map_err(CommandError::from)?;
    let remaining = match document.requests_in_flight {
        Some(count) => format!("it first completes {count} requests in flight"),
        None => "it first completes its requests in flight".to_owned(),
    };
    Ok(Output::new(format!("instance {id} is stopping; {remaining}"), json!(document)))
}

pub(crate) fn instance_table(instances: &[InstanceStatus]) -> String {
    let rows: Vec<_> = instances
        .iter()
        .map(|instance| {
            [
                instance.id.to_string(),
                instance.data_centre.to_string(),
                state_name(instance.state).to_owned(),
                or_dash(instance.revision),
                or_dash(instance.lease_remaining_ms),
                instance.callers_address.to_string(),
                instance.operators_address.to_string(),
            ]
        })
        .collect();
    let heading =
        ["INSTANCE", "DATA CENTRE", "STATE", "REVISION", "LEASE MS", "CALLERS", "OPERATORS"];
    table(heading, &rows)
}

pub(crate) fn or_dash(value: Option<impl ToString>) -> String {
    value.map_or_else(|| "-".to_owned(), |value| value.to_string())
}

fn state_name(state: InstanceState) -> &'static str {
    match state {
        InstanceState::Live => "live",
        InstanceState::Draining => "draining",
        InstanceState::Lost => "lost",
        _ => "unknown",
    }
}
