//! The task that polls the platform's list of backend servers.

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
use crate::entry::UpdateServiceReplicas;
use crate::instance_context::{InstanceContext, cell_id};

/// Polls the list and sends changes to the coordinators and the entry task.
pub(crate) async fn follow_backend_list(context: Arc<InstanceContext>) {
    let platform = &context.settings.platform;
    let mut client = PlatformClient::new(context.backends.clone(), platform.list_address);
    let mut polls = interval(Duration::from_millis(platform.poll_ms));
    polls.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut is_failure_logged = false;
    loop {
        polls.tick().await;
        match client.refresh().await {
            Ok(changed) => {
                is_failure_logged = false;
                // An empty list is more likely a fault of the platform than the loss of every
                // backend server, so the last known servers stay in use.
                if changed && !client.backends().is_empty() {
                    publish_backends(&context, client.backends()).await;
                }
            }
            Err(error) => {
                context.metrics.increment(Counter::ListReadsFailed);
                if !is_failure_logged {
                    log::warn!(
                        "platform: reading the backend list failed; keeping the last one: {error}"
                    );
                }
                is_failure_logged = true;
            }
        }
    }
}

async fn publish_backends(context: &InstanceContext, backends: &[ListedBackend]) {
    let leaving =
        backends.iter().filter(|backend| backend.state == ListedBackendState::Leaving).count();
    let gauge = |count: usize| i64::try_from(count).unwrap_or(i64::MAX);
    context.metrics.set(Gauge::BackendsLeaving, gauge(leaving));
    context.metrics.set(Gauge::BackendsLive, gauge(backends.len() - leaving));
    for pool in &context.settings.pools {
        if pool.kind == PoolKind::Service {
            let replicas = backends.iter().filter(|backend| backend.pool == pool.name);
            let replicas = replicas.map(|backend| ListedReplica {
                address: backend.address.to_string().into(),
                data_centre: backend.data_centre.clone(),
                is_leaving: backend.state == ListedBackendState::Leaving,
            });
            let (service, replicas) = (pool.name.clone(), replicas.collect());
            let _ = context.entry.send(UpdateServiceReplicas { service, replicas }).await;
        }
    }
    for cell in &context.settings.cells {
        let in_cell: HashSet<&str> = context
            .settings
            .pools
            .iter()
            .filter(|pool| pool.engine().is_some_and(|engine| engine.cell == cell.name))
            .map(|pool| &*pool.name)
            .collect();
        let engines = backends.iter().filter(|backend| in_cell.contains(&*backend.pool));
        let engines = engines.map(listed_engine).collect();
        let coordinator =
            cell_id(&context.settings, &cell.name).and_then(|id| context.coordinators.get(&id));
        if let Some(coordinator) = coordinator {
            let _ = coordinator.send(UpdateEngines(engines)).await;
        }
    }
}

fn listed_engine(backend: &ListedBackend) -> ListedEngine {
    let address: SocketAddr = backend.address;
    ListedEngine {
        pool: backend.pool.clone(),
        address,
        data_centre: backend.data_centre.clone(),
        is_leaving: backend.state == ListedBackendState::Leaving,
    }
}
