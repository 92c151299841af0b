//! The status document for operators: this instance and its view of the deployment.

use redwinglatch_operators::{
    CoordinatorStatus, InstanceState, InstanceStatus, LeaderStatus, LeaseStatus, ReplicaRole,
    ReplicaStatus, ShareStatus, StatusDocument, StoreStatus,
};

use crate::callers::RequestHandles;
use crate::control::{ControlStatus, ReadControlStatus};
use crate::coordinator::{CellStatus, ReadCellStatus};
use crate::entry::{EntryStatus, ReadEntryStatus};
use crate::instance_context::InstanceContext;

/// Collects the status; `None` when the instance is stopping.
pub(crate) async fn collect(handles: &RequestHandles) -> Option<StatusDocument> {
    let context = &handles.context;
    let entry = context.entry.send(ReadEntryStatus).await.ok()?;
    let control = match &context.control {
        Some(control) => Some(control.send(ReadControlStatus).await.ok()?),
        None => None,
    };
    let mut cells = Vec::new();
    for coordinator in context.coordinators.values() {
        cells.push(coordinator.send(ReadCellStatus).await.ok()?);
    }
    cells.sort_by_key(|cell| cell.cell);
    let own = &context.settings.instance;
    Some(StatusDocument {
        instance: own.id,
        incarnation: context.incarnation,
        data_centre: own.data_centre.clone(),
        region: own.region.clone(),
        is_draining: entry.is_draining,
        requests_in_flight: entry.in_flight,
        revision: entry.revision,
        lease: LeaseStatus { is_valid: entry.is_serving, remaining_ms: entry.lease_remaining_ms },
        leader: control.as_ref().and_then(|control| {
            Some(LeaderStatus { instance: control.leader?, term: control.term })
        }),
        replica: control.map(replica_status),
        instances: instance_statuses(context, &entry),
        coordinators: coordinator_statuses(context, &entry),
        engines: cells.iter().flat_map(|cell| cell.engines.iter().cloned()).collect(),
        stores: cells.iter().filter_map(|cell| store_status(context, cell)).collect(),
        shares: entry.shares.iter().map(share_status).collect(),
        pending_changes: Vec::new(),
    })
}

fn replica_status(control: ControlStatus) -> ReplicaStatus {
    ReplicaStatus {
        id: control.replica,
        role: match control.role {
            redwinglatch_log::ReplicaRole::Leader => ReplicaRole::Leader,
            redwinglatch_log::ReplicaRole::Halted => ReplicaRole::Stopped,
            _ if control.learners.contains(&control.replica) => ReplicaRole::Learner,
            redwinglatch_log::ReplicaRole::Follower => ReplicaRole::Follower,
            _ => ReplicaRole::Candidate,
        },
        term: control.term,
        commit_index: control.commit_index,
        last_index: control.last_index,
        voters: control.voters,
        learners: control.learners,
    }
}

fn instance_statuses(context: &InstanceContext, entry: &EntryStatus) -> Vec<InstanceStatus> {
    let status = |listed: &redwinglatch_settings::InstanceEntry| {
        let known = entry.instances.iter().find(|known| known.instance == listed.id);
        InstanceStatus {
            id: listed.id,
            data_centre: listed.data_centre.clone(),
            state: match known {
                Some(known) if known.draining => InstanceState::Draining,
                Some(_) => InstanceState::Live,
                None if entry.instances.is_empty() => InstanceState::Unknown,
                None => InstanceState::Lost,
            },
            callers_address: listed.callers_address,
            operators_address: listed.operators_address,
            incarnation: known.map(|known| known.incarnation),
            revision: (listed.id == context.instance()).then_some(entry.revision),
            lease_remaining_ms: (listed.id == context.instance())
                .then_some(entry.lease_remaining_ms),
        }
    };
    context.settings.instances.iter().map(status).collect()
}

fn coordinator_statuses(context: &InstanceContext, entry: &EntryStatus) -> Vec<CoordinatorStatus> {
    let status = |known: &redwinglatch_control::Coordinator| {
        let cell = context.settings.cells.get(usize::from(known.cell.0))?;
        Some(CoordinatorStatus {
            cell: cell.name.clone(),
            instance: known.instance,
            epoch: known.epoch,
            is_rebuilding: false,
        })
    };
    entry.coordinators.iter().filter_map(status).collect()
}

fn store_status(context: &InstanceContext, cell: &CellStatus) -> Option<StoreStatus> {
    cell.epoch?;
    let name = &context.settings.cells.get(usize::from(cell.cell.0))?.name;
    Some(StoreStatus {
        cell: name.clone(),
        waiting_loads: u32::try_from(cell.waiting_requests).unwrap_or(u32::MAX),
        loads_in_flight: u32::try_from(cell.loads_in_flight).unwrap_or(u32::MAX),
        oldest_wait_ms: None,
    })
}

fn share_status(
    (customer, share, in_flight): &(Box<str>, redwinglatch_control::Share, u64),
) -> ShareStatus {
    let saturating_u32 = |value: u64| u32::try_from(value).unwrap_or(u32::MAX);
    ShareStatus {
        customer: customer.clone(),
        request_rate_per_s: saturating_u32(share.request_rate_milli / 1_000),
        concurrent_requests: saturating_u32(share.concurrent_requests),
        token_rate_per_s: saturating_u32(share.token_rate_per_s),
        requests_in_flight: saturating_u32(*in_flight),
    }
}
