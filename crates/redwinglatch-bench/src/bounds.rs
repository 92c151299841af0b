//! The bounds of the design page.

use crate::{
    BoundRow, DecisionRow, PlacementRow,
    placement::{AFFINITY, COORDINATED, LEAST_LOADED},
};

/// Compares the figures with the bounds.
pub(crate) fn bounds(placement: &[PlacementRow], decisions: &[DecisionRow]) -> Vec<BoundRow> {
    let mut bounds = Vec::new();
    for own in placement.iter().filter(|it| it.policy == COORDINATED) {
        let other = |policy: &str| {
            placement.iter().find(|it| {
                (&*it.settings, &*it.workload, &*it.policy)
                    == (&*own.settings, &*own.workload, policy)
            })
        };
        if let (Some(affinity), Some(least_loaded)) = (other(AFFINITY), other(LEAST_LOADED)) {
            add_placement(&mut bounds, own, affinity, least_loaded);
        }
    }
    for row in decisions {
        let size = format!("{} cells, {} adapters", row.cells, row.adapters);
        let mut add = |name: &str, measured: f64, limit: f64, timed: bool| {
            bounds.push(bound(name, &size, "", measured, "below", limit, timed));
        };
        add("decision p99 in us", row.p99_us, 50.0, true);
        add("bytes for each idle adapter", row.bytes_per_idle_adapter, 200.0, false);
    }
    add_slope(&mut bounds, decisions);
    bounds
}

fn add_placement(
    bounds: &mut Vec<BoundRow>,
    own: &PlacementRow,
    affinity: &PlacementRow,
    least_loaded: &PlacementRow,
) {
    let mut add = |name: &str, measured: f64, relation: &str, limit: f64| {
        bounds.push(bound(name, &own.settings, &own.workload, measured, relation, limit, false));
    };
    let stall = |it: &PlacementRow| it.stall_total_ms as f64;
    // The same bounds hold with the whole budget for each lost request, or refusing would do.
    let with_lost = |it: &PlacementRow| it.stall_with_lost_ms as f64;
    if own.settings == "great-lakes" {
        add("stall to half of least-loaded", stall(own), "at most", stall(least_loaded) / 2.0);
        add("stall to affinity", stall(own), "below", stall(affinity));
        add(
            "stall with lost to half of least-loaded",
            with_lost(own),
            "at most",
            with_lost(least_loaded) / 2.0,
        );
        add("stall with lost to affinity", with_lost(own), "below", with_lost(affinity));
        add(
            "batch efficiency to affinity",
            own.batch_efficiency,
            "at least",
            affinity.batch_efficiency,
        );
    } else {
        if own.workload == "shift-start" {
            let limit = 1.25 * least_loaded.batch_efficiency;
            add(
                "batch efficiency to 1.25 of least-loaded",
                own.batch_efficiency,
                "at least",
                limit,
            );
            add(
                "batch efficiency to affinity",
                own.batch_efficiency,
                "above",
                affinity.batch_efficiency,
            );
        }
        add("stall to affinity", stall(own), "at most", stall(affinity));
        add("stall with lost to affinity", with_lost(own), "at most", with_lost(affinity));
    }
    let mut compare = |name: &str, measured: f64, relation: &str, limit: f64| {
        let row = bound(name, &own.settings, &own.workload, measured, relation, limit, false);
        bounds.push(BoundRow { stated: false, ..row });
    };
    let each = |it: &PlacementRow| it.stall_per_completed_ms;
    compare("stall per completed to affinity", each(own), "at most", each(affinity));
    compare("goodput to affinity", own.goodput_per_s, "at least", affinity.goodput_per_s);
}

/// State for each adapter must not grow with their number, and the decision time at most as its
/// logarithm does.
fn add_slope(bounds: &mut Vec<BoundRow>, decisions: &[DecisionRow]) {
    let slope: Vec<&DecisionRow> = decisions.iter().filter(|it| it.engines == 18).collect();
    let (Some(small), Some(large)) = (slope.first(), slope.last()) else { return };
    if small.adapters == large.adapters {
        return;
    }
    let limit = (large.adapters as f64).ln() / (small.adapters as f64).ln();
    let size = format!("{} to {} adapters", small.adapters, large.adapters);
    // Among more adapters fewer are loaded, so the medians of all decisions would compare
    // different mixtures of placed and waiting requests.
    let time = large.placed_p50_us / small.placed_p50_us;
    bounds.push(bound("growth of the median decision", &size, "", time, "at most", limit, true));
    let bytes = large.bytes_per_idle_adapter / small.bytes_per_idle_adapter;
    bounds.push(bound("growth of bytes per adapter", &size, "", bytes, "at most", limit, false));
}

fn bound(
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
