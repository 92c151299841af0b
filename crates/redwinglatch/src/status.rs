//! `redwinglatch status`: shows the status of an instance.

use std::fmt::Write as _;

use redwinglatch_operators::{EngineStatus, OperatorClient, StatusDocument};
use serde_json::json;

use crate::command_error::CommandError;
use crate::instance::{instance_table, or_dash};
use crate::output::{Output, table};

pub(crate) async fn status(client: &OperatorClient) -> miette::Result<Output> {
    let status = client.status().await.map_err(CommandError::from)?;
    Ok(Output::new(render(&status), json!(status)))
}

fn render(status: &StatusDocument) -> String {
    let mut text = summary(status);
    if !status.instances.is_empty() {
        let _ = write!(text, "\n{}", instance_table(&status.instances));
    }
    if !status.coordinators.is_empty() {
        let rows: Vec<_> = status
            .coordinators
            .iter()
            .map(|coordinator| {
                [
                    coordinator.cell.to_string(),
                    coordinator.instance.to_string(),
                    coordinator.epoch.to_string(),
                    if coordinator.is_rebuilding { "rebuilding" } else { "ready" }.to_owned(),
                ]
            })
            .collect();
        let _ = write!(text, "\n{}", table(["CELL", "COORDINATOR", "EPOCH", "STATE"], &rows));
    }
    if !status.engines.is_empty() {
        let rows: Vec<_> = status.engines.iter().map(engine_row).collect();
        let heading = [
            "POOL",
            "ENGINE",
            "STATE",
            "RUNNING",
            "WAITING",
            "SLOTS",
            "BATCH PERMILLE",
            "ADAPTERS",
        ];
        let _ = write!(text, "\n{}", table(heading, &rows));
    }
    if !status.stores.is_empty() {
        let rows: Vec<_> = status
            .stores
            .iter()
            .map(|store| {
                [
                    store.cell.to_string(),
                    store.waiting_loads.to_string(),
                    store.loads_in_flight.to_string(),
                    or_dash(store.oldest_wait_ms),
                ]
            })
            .collect();
        let heading = ["STORE OF CELL", "WAITING", "IN FLIGHT", "OLDEST WAIT MS"];
        let _ = write!(text, "\n{}", table(heading, &rows));
    }
    if !status.shares.is_empty() {
        let rows: Vec<_> = status
            .shares
            .iter()
            .map(|share| {
                [
                    share.customer.to_string(),
                    share.request_rate_per_s.to_string(),
                    format!("{}/{}", share.requests_in_flight, share.concurrent_requests),
                    share.token_rate_per_s.to_string(),
                ]
            })
            .collect();
        let heading = ["SHARE OF CUSTOMER", "REQUESTS/S", "CONCURRENT", "TOKENS/S"];
        let _ = write!(text, "\n{}", table(heading, &rows));
    }
    for change in &status.pending_changes {
        let waiting: Vec<_> = change.waiting_for.iter().map(ToString::to_string).collect();
        let _ = write!(
            text,
            "\nrevision {} of {} is not yet in force on instances {}",
            change.revision,
            change.customer,
            waiting.join(", ")
        );
    }
    text
}

fn summary(status: &StatusDocument) -> String {
    let lease = match (status.lease.is_valid, status.is_draining) {
        (_, true) => "draining".to_owned(),
        (true, false) => format!("lease valid for {} ms", status.lease.remaining_ms),
        (false, false) => "no valid lease: new requests are refused with not_current".to_owned(),
    };
    let leader = match status.leader {
        Some(leader) => format!("instance {} in term {}", leader.instance, leader.term),
        None => "unknown".to_owned(),
    };
    let mut text = format!(
        "instance {} in {} ({}), revision {}, {} requests in flight\nserving: {lease}\ncontrol \
         leader: {leader}\n",
        status.instance,
        status.data_centre,
        status.region,
        status.revision,
        status.requests_in_flight
    );
    if let Some(replica) = &status.replica {
        let role = json!(replica.role);
        let _ = writeln!(
            text,
            "log replica {}: {}, term {}, committed {} of {}, {} voters, {} learners",
            replica.id,
            role.as_str().unwrap_or_default(),
            replica.term,
            replica.commit_index,
            replica.last_index,
            replica.voters.len(),
            replica.learners.len()
        );
    }
    text
}

fn engine_row(engine: &EngineStatus) -> [String; 8] {
    let state = match engine.report_age_ms {
        _ if engine.is_leaving => "leaving".to_owned(),
        Some(age_ms) => format!("reported {age_ms} ms ago"),
        None => "no report yet".to_owned(),
    };
    let adapters: Vec<_> = engine
        .slots
        .iter()
        .map(|slot| {
            let loading = if slot.is_loading { " loading" } else { "" };
            format!("{}({}{loading})", slot.adapter, slot.pins)
        })
        .collect();
    [
        engine.pool.to_string(),
        engine.address.to_string(),
        state,
        engine.running.to_string(),
        engine.waiting.to_string(),
        format!("{}/{}", engine.slots.len(), engine.slot_count),
        or_dash(engine.batch_efficiency_permille),
        adapters.join(" "),
    ]
}
