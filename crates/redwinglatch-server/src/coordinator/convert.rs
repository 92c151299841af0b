//! Conversions from settings and engine responses to the types of the placement crate.

use redwinglatch_backends::{CacheEventKind, EngineEvents, EngineReport};
use redwinglatch_core::AdapterVersion;
use redwinglatch_placement::{EngineSnapshot, PrefixCacheEvent, PrefixCacheEvents, SlotSnapshot};
use redwinglatch_settings::{CellSettings, EnginePool, PoolSettings, Settings};

use super::ListedEngine;

pub(super) fn placement_settings(
    settings: &Settings,
    cell: &CellSettings,
) -> redwinglatch_placement::PlacementSettings {
    let pools = || settings.pools.iter().filter_map(PoolSettings::engine);
    let slowest = |time_ms: fn(&EnginePool) -> u64| {
        pools().filter(|pool| pool.cell == cell.name).map(time_ms).max()
    };
    let base = if cell.stall_weight < cell.batch_weight {
        redwinglatch_placement::PlacementSettings::batches_first()
    } else {
        redwinglatch_placement::PlacementSettings::stalls_first()
    };
    redwinglatch_placement::PlacementSettings {
        parallel_loads: cell.parallel_loads as usize,
        load_ms: cell.load_ms,
        load_starvation_ms: cell.load_starvation_ms,
        stall_weight: cell.stall_weight as f32,
        batch_weight: cell.batch_weight as f32,
        step_base_ms: slowest(|pool| pool.step_ms).unwrap_or(1) as f32,
        // The slowest pool's timeout applies to all pools, so that orders stop early enough for it.
        order_timeout_ms: slowest(|pool| pool.order_timeout_ms).unwrap_or(base.order_timeout_ms),
        ..base
    }
}

/// The engines that the settings list for the pools of a cell.
pub(super) fn configured_engines(settings: &Settings, cell: &str) -> Vec<ListedEngine> {
    let in_cell = |pool: &&PoolSettings| pool.engine().is_some_and(|it| *it.cell == *cell);
    settings
        .pools
        .iter()
        .filter(in_cell)
        .flat_map(|pool| {
            pool.backends.iter().map(|address| ListedEngine {
                pool: pool.name.clone(),
                address: *address,
                data_centre: settings.instance.data_centre.clone(),
                is_leaving: false,
            })
        })
        .collect()
}

pub(super) fn placement_report(requested_ms: u64, report: EngineReport) -> EngineSnapshot {
    let slots = report.slots.into_iter().map(|slot| SlotSnapshot {
        adapter: AdapterVersion::new(slot.adapter, slot.version),
        running: slot.running,
    });
    EngineSnapshot {
        requested_ms,
        boot_id: report.boot_id,
        sequence: report.sequence,
        running: report.running,
        waiting: report.waiting,
        is_leaving: report.leaving,
        slot_count: u16::try_from(report.slot_count).unwrap_or(u16::MAX),
        max_batch: report.max_batch,
        slots: slots.collect(),
        requests: report.requests.iter().filter_map(|request| request.parse().ok()).collect(),
    }
}

pub(super) fn placement_events(after: u64, events: EngineEvents) -> PrefixCacheEvents {
    let convert = |event: redwinglatch_backends::CacheEvent| PrefixCacheEvent {
        sequence: event.sequence,
        kind: match event.kind {
            CacheEventKind::PrefixStored => {
                redwinglatch_placement::PrefixCacheEventKind::PrefixStored
            }
            CacheEventKind::PrefixEvicted => {
                redwinglatch_placement::PrefixCacheEventKind::PrefixEvicted
            }
        },
        prefix_hash: event.prefix_hash,
    };
    PrefixCacheEvents {
        after,
        boot_id: events.boot_id,
        next: events.next,
        events: events.events.into_iter().map(convert).collect(),
    }
}
