//! The task that reads the platform's list of backend servers.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use redwinglatch_admission::ListedReplica;
use redwinglatch_metrics::{Counter, Gauge};
use redwinglatch_platform::{ListedBackend, ListedBackendState, PlatformClient};
use redwinglatch_settings::PoolKind;
use tokio::time::{MissedTickBehavior, interval};

use crate::coordinator::{ListedEngine, UpdateEngines};
use crate::entry::UpdateService;
use crate::shared::{Shared, cell_id};

/// Reads the list each interval and tells the coordinators and the entry task of changes.
pub(crate) async fn follow_list(shared: Arc<Shared>) {
    let platform = &shared.settings.platform;
    let mut client = PlatformClient::new(shared.backends.clone(), platform.list_address);
    let mut polls = interval(Duration::from_millis(platform.poll_ms));
    polls.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut reported = false;
    loop {
        polls.tick().await;
        match client.refresh().await {
            Ok(changed) => {
                reported = false;
                // An empty list is more likely a fault of the platform than the loss of every
                // backend server; the last known servers are asked directly.
                if changed && !client.backends().is_empty() {
                    publish(&shared, client.backends()).await;
                }
            }
            Err(error) => {
                shared.metrics.increment(Counter::ListReadsFailed);
                if !reported {
                    log::warn!("platform: the last list is kept: {error}");
                }
                reported = true;
            }
        }
    }
}

async fn publish(shared: &Shared, members: &[ListedBackend]) {
    let leaving =
        members.iter().filter(|member| member.state == ListedBackendState::Leaving).count();
    let gauge = |count: usize| i64::try_from(count).unwrap_or(i64::MAX);
    shared.metrics.set(Gauge::BackendsLeaving, gauge(leaving));
    shared.metrics.set(Gauge::BackendsLive, gauge(members.len() - leaving));
    for pool in &shared.settings.pools {
        if pool.kind == PoolKind::Service {
            let replicas = members.iter().filter(|member| member.pool == pool.name);
            let replicas = replicas.map(|member| ListedReplica {
                address: member.address.to_string().into(),
                data_centre: member.data_centre.clone(),
                is_leaving: member.state == ListedBackendState::Leaving,
            });
            let (service, replicas) = (pool.name.clone(), replicas.collect());
            let _ = shared.entry.send(UpdateService { service, replicas }).await;
        }
    }
    for cell in &shared.settings.cells {
        let in_cell: HashSet<&str> = shared
            .settings
            .pools
            .iter()
            .filter(|pool| pool.engine().is_some_and(|engine| engine.cell == cell.name))
            .map(|pool| &*pool.name)
            .collect();
        let engines = members.iter().filter(|member| in_cell.contains(&*member.pool));
        let engines = engines.map(listed_engine).collect();
        let coordinator =
            cell_id(&shared.settings, &cell.name).and_then(|id| shared.coordinators.get(&id));
        if let Some(coordinator) = coordinator {
            let _ = coordinator.send(UpdateEngines(engines)).await;
        }
    }
}

fn listed_engine(member: &ListedBackend) -> ListedEngine {
    let address: SocketAddr = member.address;
    ListedEngine {
        pool: member.pool.clone(),
        address,
        data_centre: member.data_centre.clone(),
        leaving: member.state == ListedBackendState::Leaving,
    }
}
