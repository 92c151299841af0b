//! State and task addresses that all tasks of an instance share.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use redwinglatch_backends::{BackendClient, BackendSettings};
use redwinglatch_control::LeaseSettings;
use redwinglatch_core::prelude::*;
use redwinglatch_instances::{DatagramTransport, PeerMessage, Transport};
use redwinglatch_metrics::Metrics;
use redwinglatch_settings::{EnginePool, FencingMode, PoolSettings, Settings};
use tokio::sync::{Notify, watch};
use xtra::Address;

use crate::clock::Clock;
use crate::control::ControlActor;
use crate::coordinator::CoordinatorActor;
use crate::entry::EntryActor;

/// Settings and identity of this process, and the addresses of its tasks.
pub(crate) struct InstanceContext {
    pub(crate) settings: Settings,
    pub(crate) incarnation: Incarnation,
    pub(crate) clock: Clock,
    pub(crate) metrics: Arc<Metrics>,
    pub(crate) transport: Transport<PeerMessage>,
    pub(crate) datagrams: DatagramTransport<PeerMessage>,
    pub(crate) backends: BackendClient,
    pub(crate) entry: Address<EntryActor>,
    /// The log replica of this instance, if it has one.
    pub(crate) control: Option<Address<ControlActor>>,
    /// The coordinator tasks, one for each cell; a task is idle while another instance coordinates.
    pub(crate) coordinators: HashMap<CellId, Address<CoordinatorActor>>,
    /// Wakes the task that renews the serving lease.
    pub(crate) renew_now: Arc<Notify>,
    /// Set to true when the instance starts to drain.
    pub(crate) draining: watch::Sender<bool>,
    pub(crate) next_request: AtomicU64,
}

impl InstanceContext {
    pub(crate) fn instance(&self) -> InstanceId {
        self.settings.instance.id
    }

    pub(crate) fn now_ms(&self) -> u64 {
        self.clock.now_ms()
    }

    pub(crate) fn next_request_id(&self) -> RequestId {
        RequestId(self.next_request.fetch_add(1, Ordering::Relaxed))
    }

    /// Adds the backend client's retries since the last call to the metrics.
    pub(crate) fn count_retries(&self) {
        for (reason, count) in self.backends.take_retries().iter() {
            for _ in 0..count {
                self.metrics.retried(reason);
            }
        }
    }
}

/// The id of the cell named `name`; ids follow the order of the settings, which is by name.
pub(crate) fn cell_id(settings: &Settings, name: &str) -> Option<CellId> {
    let position = settings.cells.iter().position(|cell| *cell.name == *name)?;
    u16::try_from(position).ok().map(CellId)
}

/// The first engine pool that serves `model`, with its cell.
pub(crate) fn pool_of_model<'a>(
    settings: &'a Settings,
    model: &str,
) -> Option<(&'a PoolSettings, &'a EnginePool, CellId)> {
    settings.pools.iter().find_map(|pool| {
        let engine = pool.engine().filter(|engine| *engine.model == *model)?;
        Some((pool, engine, cell_id(settings, &engine.cell)?))
    })
}

/// Derives the lease settings from the control and pool settings.
pub(crate) fn lease_settings(settings: &Settings) -> LeaseSettings {
    // Engines that reject stale fencing tokens need no time for old orders to settle.
    let order_settle_ms = settings
        .pools
        .iter()
        .filter_map(PoolSettings::engine)
        .filter(|engine| engine.fencing == FencingMode::Ignored)
        .map(|engine| engine.order_settle_ms)
        .max();
    LeaseSettings {
        lease_ms: settings.control.lease_ms,
        renew_interval_ms: settings.control.renew_interval_ms,
        clock_drift_permille: settings.control.clock_drift_permille,
        order_settle_ms: order_settle_ms.unwrap_or(0),
    }
}

/// Derives the backend client's settings from the pools.
pub(crate) fn backend_settings(settings: &Settings) -> BackendSettings {
    let defaults = BackendSettings::default();
    let shortest_stall_ms = settings.pools.iter().map(|pool| pool.stall_ms).min();
    BackendSettings { stall_ms: shortest_stall_ms.unwrap_or(defaults.stall_ms), ..defaults }
}
