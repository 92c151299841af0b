//! The rows of the control benchmark, their bounds and their section of the report.

use redwinglatch_report::{
    Bound, Chart, ChartKind, Measurement, ReportSection, Series, Table, format_number,
};
use serde::Serialize;

use super::run::Run;

// Targets for each daemon.
const MAX_IN_FORCE_MS: f64 = 10_000.0;
const MAX_BYTES_PER_S: f64 = 3_000.0;
const MAX_CPU_PERCENT: f64 = 2.8;
const MAX_MEMORY_MEGABYTES: f64 = 256.0;

/// The highest rate among the instances of each kind; bytes sent and received are added.
#[derive(Debug, Clone, Copy, Serialize)]
pub(crate) struct Traffic {
    pub(crate) leader: Option<f64>,
    pub(crate) other_replicas: Option<f64>,
    pub(crate) without_replica: Option<f64>,
}

impl Traffic {
    fn kinds(&self) -> [(&'static str, Option<f64>); 3] {
        [
            ("leader", self.leader),
            ("other log replicas", self.other_replicas),
            ("without a replica", self.without_replica),
        ]
    }
}

/// The measurements of one number of instances and replicas.
#[derive(Debug, Clone, Serialize)]
pub(crate) struct ControlRow {
    pub(crate) instances: usize,
    pub(crate) replicas: usize,
    pub(crate) changes: usize,
    pub(crate) in_force_p50_ms: f64,
    pub(crate) in_force_max_ms: f64,
    /// `None` if the instances don't count their traffic.
    pub(crate) idle_bytes_per_s: Option<Traffic>,
    /// The rate at 9,000 changes a day, calculated from the bytes of a change.
    pub(crate) target_bytes_per_s: Option<Traffic>,
    /// CPU in percent of one core for each instance. Includes the fakes and the benchmark.
    pub(crate) idle_cpu_percent: f64,
    /// Memory of the whole process, so more than that of any instance.
    pub(crate) resident_megabytes: f64,
    pub(crate) load_average: String,
}

/// Adds the measurements, the bounds and the report section of all rows.
pub(crate) fn add_section(run: &mut Run, rows: &[ControlRow]) {
    let mut table = Table::new(&[
        "instances",
        "log replicas",
        "in force p50 ms",
        "in force max ms",
        "bytes/s idle",
        "bytes/s at 9,000 changes a day",
        "CPU % of a core, idle",
        "resident MB of all",
        "load average",
    ]);
    let counts_timed_bounds = !run.report.short;
    for row in rows {
        let name = |metric: &str| {
            format!("control, {} instances, {} replicas: {metric}", row.instances, row.replicas)
        };
        let (max_ms, cpu) = (row.in_force_max_ms, row.idle_cpu_percent);
        run.report.figures.extend([
            Measurement::lower(name("in force p50"), row.in_force_p50_ms, "ms").timed(),
            Measurement::lower(name("in force max"), max_ms, "ms").timed(),
            Measurement::lower(name("idle CPU"), cpu, "% of a core").timed(),
            // The memory that the allocator keeps depends on the scheduling of threads.
            Measurement::lower(name("memory"), row.resident_megabytes, "MB").timed(),
        ]);
        let bounds = &mut run.report.bounds;
        bounds.push(Bound::at_most(
            name("in force max ms"),
            max_ms,
            MAX_IN_FORCE_MS,
            counts_timed_bounds,
        ));
        bounds.push(Bound::at_most(
            name("CPU % of a core"),
            cpu,
            MAX_CPU_PERCENT,
            counts_timed_bounds,
        ));
        let memory = row.resident_megabytes;
        bounds.push(Bound::at_most(
            name("resident MB of all together"),
            memory,
            MAX_MEMORY_MEGABYTES,
            true,
        ));
        for (kind, rate) in row.target_bytes_per_s.iter().flat_map(Traffic::kinds) {
            let Some(rate) = rate else { continue };
            let name = name(&format!("bytes/s at 9,000 changes a day, {kind}"));
            // Timers that fire late send fewer bytes, so the rate depends on the machine's load.
            run.report.figures.push(Measurement::lower(&*name, rate, "B/s").timed());
            run.report.bounds.push(Bound::at_most(name, rate, MAX_BYTES_PER_S, true));
        }
        table.push([
            row.instances.to_string(),
            row.replicas.to_string(),
            format_number(row.in_force_p50_ms),
            format_number(max_ms),
            traffic_text(row.idle_bytes_per_s.as_ref()),
            traffic_text(row.target_bytes_per_s.as_ref()),
            format_number(cpu),
            format_number(memory),
            row.load_average.clone(),
        ]);
    }
    run.add_rows("control", &rows);
    run.sections.push(ReportSection {
        title: "Control".to_owned(),
        note: "All instances, their fakes and the benchmark run in this process over loopback \
               sockets, with the default lease timing. The CPU is that of the process divided by \
               the number of instances, and the memory that of the whole process: both include two \
               engines, a plain service, a weight store, the platform's backend list with polls \
               every 200 ms and the benchmark. Bytes are those between instances, sent and received, \
               with handshakes and pings; the rate at 9,000 changes a day is the idle rate plus \
               the bytes of one change every 9.6 s, measured with consecutive changes. The \
               highest instance of each kind is shown."
            .to_owned(),
        charts: charts(rows),
        table,
    });
}

fn traffic_text(traffic: Option<&Traffic>) -> String {
    let Some(traffic) = traffic else { return "not counted".to_owned() };
    let parts = traffic
        .kinds()
        .into_iter()
        .filter_map(|(kind, rate)| Some(format!("{kind} {}", format_number(rate?))));
    parts.collect::<Vec<_>>().join(", ")
}

fn charts(rows: &[ControlRow]) -> Vec<Chart> {
    let mut sizes: Vec<usize> = rows.iter().map(|row| row.instances).collect();
    sizes.dedup();
    let mut replicas: Vec<usize> = rows.iter().map(|row| row.replicas).collect();
    replicas.sort_unstable();
    replicas.dedup();
    let lines = |name: &str, value: &dyn Fn(&ControlRow) -> Option<f64>| -> Vec<Series> {
        let of = |count: usize| Series {
            name: format!("{count} replicas{name}"),
            values: sizes
                .iter()
                .map(|size| {
                    let row = rows.iter().find(|it| (it.instances, it.replicas) == (*size, count));
                    row.and_then(value)
                })
                .collect(),
        };
        replicas.iter().map(|count| of(*count)).collect()
    };
    let chart = |file: &str, title: &str, unit: &str, series, limit| Chart {
        file: file.to_owned(),
        title: title.to_owned(),
        unit: unit.to_owned(),
        kind: ChartKind::Lines,
        positions: sizes.iter().map(ToString::to_string).collect(),
        series,
        limit: Some(limit),
    };
    let at_target = |kind: fn(&Traffic) -> Option<f64>| {
        move |row: &ControlRow| row.target_bytes_per_s.as_ref().and_then(kind)
    };
    let mut bytes = lines(", leader", &at_target(|it| it.leader));
    bytes.extend(lines(", no replica", &at_target(|it| it.without_replica)));
    vec![
        chart(
            "control-bytes",
            "Bytes between instances at 9,000 changes a day, over the number of instances",
            "bytes/s",
            bytes,
            MAX_BYTES_PER_S,
        ),
        chart(
            "control-cpu",
            "Idle CPU of an instance over the number of instances",
            "% of a core",
            lines("", &|row| Some(row.idle_cpu_percent)),
            MAX_CPU_PERCENT,
        ),
        chart(
            "control-in-force",
            "Longest time until a change is in force everywhere",
            "ms",
            lines("", &|row| Some(row.in_force_max_ms)),
            MAX_IN_FORCE_MS,
        ),
    ]
}
