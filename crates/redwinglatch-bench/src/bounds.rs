//! Compares results with the bounds of the design page.

use crate::{
    BoundRow, DecisionRow, PlacementRow,
    decisions::CELL_ENGINES,
    placement::{AFFINITY, COORDINATED, LEAST_LOADED},
};

/// Compares the results with the bounds.
pub(crate) fn check_bounds(placement: &[PlacementRow], decisions: &[DecisionRow]) -> Vec<BoundRow> {
    let mut bounds = Vec::new();
    for coordinated in placement.iter().filter(|it| it.policy == COORDINATED) {
        let find = |policy: &str| {
            placement.iter().find(|it| {
                (&*it.settings, &*it.workload, &*it.policy)
                    == (&*coordinated.settings, &*coordinated.workload, policy)
            })
        };
        if let (Some(affinity), Some(least_loaded)) = (find(AFFINITY), find(LEAST_LOADED)) {
            add_placement_bounds(&mut bounds, coordinated, affinity, least_loaded);
        }
    }
    for row in decisions {
        let size = format!("{} cells, {} adapters", row.cells, row.adapters);
        let mut add = |name: &str, measured: f64, limit: f64, timed: bool| {
            bounds.push(bound_row(name, &size, "", measured, "below", limit, timed));
        };
        add("decision p99 in us", row.p99_us, 50.0, true);
        add("bytes for each idle adapter", row.bytes_per_idle_adapter, 200.0, false);
    }
    add_growth_bounds(&mut bounds, decisions);
    bounds
}

fn add_placement_bounds(
    bounds: &mut Vec<BoundRow>,
    coordinated: &PlacementRow,
    affinity: &PlacementRow,
    least_loaded: &PlacementRow,
) {
    let mut add = |name: &str, measured: f64, relation: &str, limit: f64| {
        bounds.push(bound_row(
            name,
            &coordinated.settings,
            &coordinated.workload,
            measured,
            relation,
            limit,
            false,
        ));
    };
    let stall = |it: &PlacementRow| it.stall_total_ms as f64;
    // The same bounds apply with the whole time budget added per lost request; otherwise a policy
    // could meet them by refusing requests.
    let stall_with_lost = |it: &PlacementRow| it.stall_with_lost_ms as f64;
    if coordinated.settings == "great-lakes" {
        add(
            "stall to half of least-loaded",
            stall(coordinated),
            "at most",
            stall(least_loaded) / 2.0,
        );
        add("stall to affinity", stall(coordinated), "below", stall(affinity));
        add(
            "stall with lost to half of least-loaded",
            stall_with_lost(coordinated),
            "at most",
            stall_with_lost(least_loaded) / 2.0,
        );
        add(
            "stall with lost to affinity",
            stall_with_lost(coordinated),
            "below",
            stall_with_lost(affinity),
        );
        add(
            "batch efficiency to affinity",
            coordinated.batch_efficiency,
            "at least",
            affinity.batch_efficiency,
        );
    } else {
        if coordinated.workload == "shift-start" {
            let limit = 1.25 * least_loaded.batch_efficiency;
            add(
                "batch efficiency to 1.25 of least-loaded",
                coordinated.batch_efficiency,
                "at least",
                limit,
            );
            add(
                "batch efficiency to affinity",
                coordinated.batch_efficiency,
                "above",
                affinity.batch_efficiency,
            );
        }
        add("stall to affinity", stall(coordinated), "at most", stall(affinity));
        add(
            "stall with lost to affinity",
            stall_with_lost(coordinated),
            "at most",
            stall_with_lost(affinity),
        );
    }
    let mut compare = |name: &str, measured: f64, relation: &str, limit: f64| {
        let row = bound_row(
            name,
            &coordinated.settings,
            &coordinated.workload,
            measured,
            relation,
            limit,
            false,
        );
        bounds.push(BoundRow { stated: false, ..row });
    };
    let stall_per_completed = |it: &PlacementRow| it.stall_per_completed_ms;
    compare(
        "stall per completed to affinity",
        stall_per_completed(coordinated),
        "at most",
        stall_per_completed(affinity),
    );
    compare("goodput to affinity", coordinated.goodput_per_s, "at least", affinity.goodput_per_s);
}

/// Adds the bounds on growth with the number of adapters: state per adapter must not grow, and
/// decision time may grow as the logarithm of that number. Both are compared with the logarithm.
fn add_growth_bounds(bounds: &mut Vec<BoundRow>, decisions: &[DecisionRow]) {
    let customer_cell_rows: Vec<&DecisionRow> =
        decisions.iter().filter(|it| it.engines == CELL_ENGINES as u64).collect();
    let (Some(small), Some(large)) = (customer_cell_rows.first(), customer_cell_rows.last()) else {
        return;
    };
    if small.adapters == large.adapters {
        return;
    }
    let limit = (large.adapters as f64).ln() / (small.adapters as f64).ln();
    let size = format!("{} to {} adapters", small.adapters, large.adapters);
    // With more adapters a smaller fraction of them is loaded, so the medians of all decisions
    // would compare different mixtures of placed and waiting requests.
    let time = large.placed_p50_us / small.placed_p50_us;
    bounds.push(bound_row(
        "growth of the median decision",
        &size,
        "",
        time,
        "at most",
        limit,
        true,
    ));
    let bytes = large.bytes_per_idle_adapter / small.bytes_per_idle_adapter;
    bounds.push(bound_row(
        "growth of bytes per adapter",
        &size,
        "",
        bytes,
        "at most",
        limit,
        false,
    ));
}

fn bound_row(
    name: &str,
    settings: &str,
    workload: &str,
    measured: f64,
    relation: &str,
    limit: f64,
    timed: bool,
) -> BoundRow {
    let held = match relation {
        "at most" => measured <= limit,
        "below" => measured < limit,
        "above" => measured > limit,
        _ => measured >= limit,
    };
    BoundRow {
        name: name.to_owned(),
        settings: settings.to_owned(),
        workload: workload.to_owned(),
        measured,
        relation: relation.to_owned(),
        limit,
        held,
        stated: true,
        timed,
    }
}
