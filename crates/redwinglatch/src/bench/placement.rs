//! Runs the placement and decision benchmarks of redwinglatch-bench and reports their results.

use redwinglatch_bench::{BoundRow, DecisionRow, Options, PlacementRow};
use redwinglatch_report::{
    Bound, Chart, ChartKind, Measurement, ReportSection, Series, Table, format_number,
};

use super::run::Run;
use super::{BenchArgs, Benchmark};

/// The policy that is compared with earlier runs; the other policies are only shown for reference.
const OWN_POLICY: &str = "coordinated";

/// Runs both benchmarks, or the one that `args` selects.
pub(crate) fn run(args: &BenchArgs, run: &mut Run) {
    let includes_placement = args.includes(Benchmark::Placement);
    let includes_decisions = args.includes(Benchmark::Decisions);
    if !includes_placement && !includes_decisions {
        return;
    }
    let options = if args.short { Options::short() } else { Options::full() };
    let options = Options { has_decisions: includes_decisions, ..options.seed(args.seed) };
    // `redwinglatch_bench::run` always includes the placement benchmark.
    let measured = redwinglatch_bench::run(&options, |step| eprintln!("{step}"));
    let is_placement_bound = |bound: &BoundRow| !bound.workload.is_empty();
    for bound in &measured.bounds {
        let is_included =
            if is_placement_bound(bound) { includes_placement } else { includes_decisions };
        if is_included {
            run.report.bounds.push(report_bound(bound, args.short));
        }
    }
    if includes_placement {
        add_placement(run, &measured.placement);
    }
    if includes_decisions {
        add_decisions(run, &measured.decisions);
    }
}

fn report_bound(bound: &BoundRow, short: bool) -> Bound {
    let parts = [&*bound.settings, &*bound.workload, &*bound.name];
    let parts: Vec<&str> = parts.into_iter().filter(|part| !part.is_empty()).collect();
    Bound {
        name: parts.join(", "),
        measured: bound.measured,
        relation: bound.relation.clone(),
        limit: bound.limit,
        held: bound.held,
        counts: !(bound.timed && short),
    }
}

fn add_placement(run: &mut Run, rows: &[PlacementRow]) {
    for row in rows {
        let location = format!("{}, {}, {}", row.settings, row.workload, row.policy);
        if 0 < row.violations {
            let first = row.first_violation.as_deref().unwrap_or("not described");
            let text = format!("{location}: {} violations, the first: {first}", row.violations);
            run.report.violations.push(text);
        }
        if row.policy == OWN_POLICY {
            let name =
                |metric: &str| format!("placement, {}, {}: {metric}", row.settings, row.workload);
            run.report.figures.extend([
                Measurement::lower(name("load stall"), row.stall_total_ms as f64, "ms"),
                Measurement::lower(name("first token p99"), row.first_token_p99_ms as f64, "ms"),
                Measurement::higher(name("batch efficiency"), row.batch_efficiency, ""),
                Measurement::higher(name("goodput"), row.goodput_per_s, "1/s"),
                Measurement::lower(name("loads"), row.loads_per_1000, "for 1000 requests"),
            ]);
        }
    }
    run.add_rows("placement", &rows);
    let mut settings: Vec<&str> = rows.iter().map(|row| &*row.settings).collect();
    settings.dedup();
    for settings in settings {
        let rows: Vec<&PlacementRow> = rows.iter().filter(|it| it.settings == settings).collect();
        run.sections.push(placement_section(settings, &rows));
    }
}

fn placement_section(settings: &str, rows: &[&PlacementRow]) -> ReportSection {
    let mut table = Table::new(&[
        "workload",
        "policy",
        "requests",
        "in time",
        "refused",
        "load stall s",
        "first token p95 ms",
        "first token p99 ms",
        "batch efficiency",
        "goodput 1/s",
        "loads for 1000 requests",
    ]);
    for row in rows {
        table.push([
            row.workload.clone(),
            row.policy.clone(),
            row.requests.to_string(),
            row.in_time.to_string(),
            row.refused_total().to_string(),
            format_number(row.stall_total_ms as f64 / 1e3),
            row.first_token_p95_ms.to_string(),
            row.first_token_p99_ms.to_string(),
            format!("{:.4}", row.batch_efficiency),
            format_number(row.goodput_per_s),
            format_number(row.loads_per_1000),
        ]);
    }
    let chart = |file: &str, title: &str, unit: &str, value: &dyn Fn(&PlacementRow) -> f64| {
        bar_chart(&format!("{file}-{settings}"), &format!("{title}, {settings}"), unit, rows, value)
    };
    ReportSection {
        title: format!("Placement with the settings of {settings}"),
        note: "Virtual time, the same requests for each policy. Load stall is the time that \
               requests waited until their adapter was ready."
            .to_owned(),
        charts: vec![
            chart("stall", "Load stall", "s", &|row| row.stall_total_ms as f64 / 1e3),
            chart("batch", "Batch efficiency", "share of a step", &|row| row.batch_efficiency),
            chart("goodput", "Goodput", "requests/s in time", &|row| row.goodput_per_s),
        ],
        table,
    }
}

fn bar_chart(
    file: &str,
    title: &str,
    unit: &str,
    rows: &[&PlacementRow],
    value: &dyn Fn(&PlacementRow) -> f64,
) -> Chart {
    let mut workloads: Vec<&str> = rows.iter().map(|row| &*row.workload).collect();
    workloads.dedup();
    let mut policies: Vec<&str> = Vec::new();
    for row in rows {
        if !policies.contains(&&*row.policy) {
            policies.push(&row.policy);
        }
    }
    let find = |workload: &str, policy: &str| {
        let row = rows.iter().find(|it| it.workload == workload && it.policy == policy)?;
        Some(value(row))
    };
    let series = policies.iter().map(|policy| Series {
        name: (*policy).to_owned(),
        values: workloads.iter().map(|workload| find(workload, policy)).collect(),
    });
    Chart {
        file: file.to_owned(),
        title: title.to_owned(),
        unit: unit.to_owned(),
        kind: ChartKind::Bars,
        series: series.collect(),
        positions: workloads.into_iter().map(str::to_owned).collect(),
        limit: None,
    }
}

fn add_decisions(run: &mut Run, rows: &[DecisionRow]) {
    let mut table = Table::new(&[
        "cells",
        "engines",
        "adapters",
        "p50 us",
        "p99 us",
        "decisions/s",
        "placed at once",
        "bytes for each idle adapter",
    ]);
    for (index, row) in rows.iter().enumerate() {
        table.push([
            row.cells.to_string(),
            row.engines.to_string(),
            row.adapters.to_string(),
            format_number(row.p50_us),
            format_number(row.p99_us),
            format_number(row.decisions_per_s),
            format!("{:.3}", row.placed_share),
            format_number(row.bytes_per_idle_adapter),
        ]);
        // The index is part of the name because two rows may have the same size and differ only in
        // their requests.
        let size = format!("{} engines, {} adapters", row.engines, row.adapters);
        let name = |metric: &str| format!("decisions, row {}, {size}: {metric}", index + 1);
        run.report.figures.extend([
            Measurement::lower(name("p99"), row.p99_us, "us").timed(),
            Measurement::higher(name("rate"), row.decisions_per_s, "1/s").timed(),
            Measurement::lower(
                name("bytes for each idle adapter"),
                row.bytes_per_idle_adapter,
                "B",
            ),
        ]);
    }
    run.add_rows("decisions", &rows);
    // The charts need rows that differ only in the number of adapters, so they leave out the rows
    // with several cells or another number of engines.
    let engines = rows.first().map_or(0, |row| row.engines);
    let charted_rows: Vec<&DecisionRow> =
        rows.iter().filter(|row| row.cells == 1 && row.engines == engines).collect();
    let series = |name: &str, value: fn(&DecisionRow) -> f64| Series {
        name: name.to_owned(),
        values: charted_rows.iter().map(|row| Some(value(row))).collect(),
    };
    let chart = |file: &str, title: &str, unit: &str, series, limit| Chart {
        file: file.to_owned(),
        title: title.to_owned(),
        unit: unit.to_owned(),
        kind: ChartKind::Lines,
        positions: charted_rows.iter().map(|row| row.adapters.to_string()).collect(),
        series,
        limit,
    };
    run.sections.push(ReportSection {
        title: "Routing decisions".to_owned(),
        note: format!(
            "Wall-clock time of one decision on one core; load average of the machine {}.",
            super::process::load_average()
        ),
        charts: vec![
            chart(
                "decision-time",
                "Time of a decision over the number of adapters",
                "us",
                vec![series("p50", |row| row.p50_us), series("p99", |row| row.p99_us)],
                None,
            ),
            chart(
                "adapter-bytes",
                "State for each idle adapter over the number of adapters",
                "bytes",
                vec![series("bytes", |row| row.bytes_per_idle_adapter)],
                Some(200.0),
            ),
        ],
        table,
    });
}
