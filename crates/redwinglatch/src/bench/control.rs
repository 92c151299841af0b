//! The control benchmark: the duration of contract changes and the traffic between instances, over
//! real sockets.

use std::io;
use std::path::Path;
use std::time::Duration;

use redwinglatch_core::Revision;
use redwinglatch_local::{Deployment, FakesOptions, Timing};
use redwinglatch_metrics::{Counter, Gauge};
use redwinglatch_operators::OperatorClient;
use tokio::time::{Instant, sleep, timeout};

use super::control_rows::{ControlRow, Traffic, add_section};
use super::durations::{milliseconds, percentile_ms};
use super::process::{cpu_s, resident_bytes};
use super::run::Run;

const CUSTOMER: &str = "lakeshore";
/// Timeout of the measurement of one deployment size.
const SIZE_TIMEOUT: Duration = Duration::from_secs(180);
/// Timeout of the start, which includes the first election and the renewal of all leases.
const START_TIMEOUT: Duration = Duration::from_secs(30);
/// Delay between the first change and the measurements, for connections and leases to settle.
const SETTLE_TIME: Duration = Duration::from_secs(3);
/// The target of 9,000 changes a day, which is one change every 9.6 s.
const TARGET_CHANGES_PER_S: f64 = 9_000.0 / 86_400.0;

const FULL_SIZES: [(usize, usize); 7] =
    [(3, 3), (6, 3), (6, 5), (12, 3), (12, 5), (24, 3), (24, 5)];
const SHORT_SIZES: [(usize, usize); 2] = [(3, 3), (6, 5)];

/// The length of the parts of a measurement.
struct Plan {
    idle: Duration,
    changes: usize,
}

/// Measures each size in its own runtime, so that no task of an earlier size is still running.
pub(crate) fn run(work: &Path, run: &mut Run) -> io::Result<()> {
    let (sizes, plan) = if run.report.short {
        (&SHORT_SIZES[..], Plan { idle: Duration::from_secs(5), changes: 4 })
    } else {
        (&FULL_SIZES[..], Plan { idle: Duration::from_secs(10), changes: 10 })
    };
    let mut rows = Vec::new();
    for &(instances, replicas) in sizes {
        run.progress(&format!("control: {instances} instances, {replicas} log replicas"));
        let dir = work.join(format!("control-{instances}-{replicas}"));
        let runtime =
            tokio::runtime::Builder::new_multi_thread().worker_threads(4).enable_all().build()?;
        let result = runtime.block_on(async {
            timeout(SIZE_TIMEOUT, measure(&dir, instances, replicas, &plan)).await
        });
        runtime.shutdown_timeout(Duration::from_secs(5));
        let timeout_error =
            || io::Error::other(format!("the measurement of {instances} instances timed out"));
        let (row, violations) = result.map_err(|_| timeout_error())??;
        run.report.violations.extend(violations);
        rows.push(row);
    }
    add_section(run, &rows);
    Ok(())
}

async fn measure(
    dir: &Path,
    instances: usize,
    replicas: usize,
    plan: &Plan,
) -> io::Result<(ControlRow, Vec<String>)> {
    let timing = Timing::default();
    let deployment =
        Deployment::start(dir, instances, replicas, timing, FakesOptions::default()).await?;
    let mut changer = ContractChanger::start(&deployment).await?;
    sleep(SETTLE_TIME).await;

    let (traffic_before, cpu_before, started_at) = (traffic(&deployment), cpu_s()?, Instant::now());
    sleep(plan.idle).await;
    let idle_s = started_at.elapsed().as_secs_f64();
    let idle_cpu_s = cpu_s()? - cpu_before;
    let idle: Vec<f64> = rates_per_s(&traffic_before, &traffic(&deployment), idle_s);

    let (traffic_before, started_at) = (traffic(&deployment), Instant::now());
    let mut times_ms = Vec::new();
    for _ in 0..plan.changes {
        times_ms.push(changer.make_change(&deployment).await?);
    }
    let changes_s = started_at.elapsed().as_secs_f64();
    let busy: Vec<f64> = rates_per_s(&traffic_before, &traffic(&deployment), changes_s);
    // The changes are faster here than the target rate; the bytes of a change don't depend on the
    // rate.
    let bytes_per_change =
        |index: usize| ((busy[index] - idle[index]) * changes_s / plan.changes as f64).max(0.0);
    let leader = (0..replicas).find(|&position| {
        let instance = deployment.instance(position);
        instance.is_some_and(|it| it.metrics().gauge(Gauge::ControlLeader) == 1)
    });
    let target_rate = |index: usize| idle[index] + bytes_per_change(index) * TARGET_CHANGES_PER_S;
    let highest = |values: &dyn Fn(usize) -> f64, positions: &mut dyn Iterator<Item = usize>| {
        positions.map(values).reduce(f64::max)
    };
    let idle_of = |index: usize| idle[index];
    // All rates are zero only if the instances don't count their traffic, because each instance
    // renews its lease.
    let is_counted = idle.iter().any(|rate| 0.0 < *rate);
    let traffic_of = |values: &dyn Fn(usize) -> f64| {
        is_counted.then(|| Traffic {
            leader: leader.map(values),
            other_replicas: highest(values, &mut (0..replicas).filter(|it| Some(*it) != leader)),
            without_replica: highest(values, &mut (replicas..instances)),
        })
    };
    let row = ControlRow {
        instances,
        replicas,
        changes: plan.changes,
        in_force_p50_ms: percentile_ms(&times_ms, 0.5),
        in_force_max_ms: percentile_ms(&times_ms, 1.0),
        idle_bytes_per_s: traffic_of(&idle_of),
        target_bytes_per_s: traffic_of(&target_rate),
        idle_cpu_percent: 100.0 * idle_cpu_s / idle_s / instances as f64,
        resident_megabytes: resident_bytes()? / 1e6,
        load_average: super::process::load_average(),
    };
    Ok((row, changer.violations))
}

/// Returns the bytes that each instance sent to and received from the other instances.
fn traffic(deployment: &Deployment) -> Vec<u64> {
    let instances = 0..deployment.layout().instance_count();
    let metrics = instances.filter_map(|position| Some(deployment.instance(position)?.metrics()));
    let bytes = metrics.map(|it| {
        it.counter(Counter::ControlBytesSent) + it.counter(Counter::ControlBytesReceived)
    });
    bytes.collect()
}

fn rates_per_s(before: &[u64], after: &[u64], elapsed_s: f64) -> Vec<f64> {
    before.iter().zip(after).map(|(before, after)| (after - before) as f64 / elapsed_s).collect()
}

/// Makes consecutive changes of one contract.
struct ContractChanger {
    operator: OperatorClient,
    revision: Revision,
    change_count: u32,
    violations: Vec<String>,
}

impl ContractChanger {
    /// Waits until the deployment accepts its first change.
    async fn start(deployment: &Deployment) -> io::Result<ContractChanger> {
        let operator = deployment.operator();
        let mut changer = ContractChanger {
            operator,
            revision: Revision(0),
            change_count: 0,
            violations: Vec::new(),
        };
        let deadline = Instant::now() + START_TIMEOUT;
        loop {
            match changer.make_change(deployment).await {
                Ok(_) => return Ok(changer),
                Err(error) if deadline < Instant::now() => return Err(error),
                Err(_) => sleep(Duration::from_millis(100)).await,
            }
        }
    }

    /// Makes a change and returns the time until it is in force on every instance.
    async fn make_change(&mut self, deployment: &Deployment) -> io::Result<f64> {
        let mut contract = Deployment::contract(CUSTOMER, "district-");
        contract.request_rate_per_s += self.change_count;
        let change_id = format!("bench-{}", self.change_count);
        let sent_at = Instant::now();
        let change = self.operator.apply_contract(&change_id, self.revision, &contract).await;
        let change = change.map_err(io::Error::other)?;
        let elapsed_ms = milliseconds(sent_at.elapsed());
        if !change.is_in_force {
            return Err(io::Error::other("a change was committed but is not in force yet"));
        }
        self.change_count += 1;
        self.revision = change.revision;
        for position in 0..deployment.layout().instance_count() {
            let Some(instance) = deployment.instance(position) else { continue };
            let applied = instance.metrics().gauge(Gauge::AppliedRevision);
            if u64::try_from(applied).is_ok_and(|applied| applied < change.revision.0) {
                self.violations.push(format!(
                    "revision {} was reported in force, but instance {} applies revision {applied}",
                    change.revision,
                    position + 1
                ));
            }
        }
        Ok(elapsed_ms)
    }
}
