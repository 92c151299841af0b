//! Random schedules of faults over 3 and 5 replicas, with the invariants checked after each step.
//!
//! `REDWINGLATCH_SCHEDULES` sets how many run, and `REDWINGLATCH_SEED` runs a single one.

mod common;

use std::{
    panic::{AssertUnwindSafe, catch_unwind, resume_unwind},
    sync::atomic::{AtomicU64, Ordering::Relaxed},
};

use common::cluster::{Cluster, DRIFT_PERMILLE};

const DEFAULT_SCHEDULES: u64 = 4000;
const STEPS: u32 = 1000;
const THREADS: u64 = 4;

fn number_from_environment(name: &str) -> Option<u64> {
    std::env::var(name).ok().map(|value| value.parse().expect("the variable is a number"))
}

/// Runs one schedule; returns how many entries it committed and how many repairs it finished.
fn run(seed: u64) -> (u64, u64) {
    let mut cluster = Cluster::new(seed, if seed.is_multiple_of(2) { 3 } else { 5 });
    for _ in 0..STEPS {
        cluster.step();
    }
    cluster.settle();
    (cluster.history.committed.len() as u64, u64::from(cluster.repairs))
}

fn report_seed<T>(seed: u64, run: impl FnOnce() -> T) -> T {
    catch_unwind(AssertUnwindSafe(run)).unwrap_or_else(|panic| {
        eprintln!("schedule failed; repeat it with REDWINGLATCH_SEED={seed}");
        resume_unwind(panic)
    })
}

/// Guards against two leaders in a term, diverging logs, lost or changed committed entries, two
/// leases, stale reads and a cluster that doesn't recover.
#[test]
fn invariants_hold_under_random_faults() {
    if let Some(seed) = number_from_environment("REDWINGLATCH_SEED") {
        report_seed(seed, || run(seed));
        return;
    }
    let schedules = number_from_environment("REDWINGLATCH_SCHEDULES").unwrap_or(DEFAULT_SCHEDULES);
    let (entries, repairs) = (AtomicU64::new(0), AtomicU64::new(0));
    std::thread::scope(|scope| {
        for thread in 0..THREADS {
            let (entries, repairs) = (&entries, &repairs);
            scope.spawn(move || {
                for seed in (thread..schedules).step_by(THREADS as usize) {
                    let (committed, repaired) = report_seed(seed, || run(seed));
                    entries.fetch_add(committed, Relaxed);
                    repairs.fetch_add(repaired, Relaxed);
                }
            });
        }
    });
    println!(
        "{schedules} schedules, {} entries, {} repairs",
        entries.into_inner(),
        repairs.load(Relaxed)
    );
    // A runner that no longer reaches repairs would check little.
    assert!(repairs.into_inner() >= schedules / 4, "too few schedules reach a repair");
}

/// Counts the seeds with a failure whose message contains one of `expected`.
fn count_failures(seeds: u64, run: impl Fn(u64), expected: &[&str]) -> usize {
    let fails = |seed: &u64| {
        let Err(panic) = catch_unwind(AssertUnwindSafe(|| run(*seed))) else { return false };
        let message = panic.downcast_ref::<String>().map_or("", String::as_str);
        expected.iter().any(|expected| message.contains(expected))
    };
    (0..seeds).filter(fails).count()
}

/// Guards against a runner that misses lost entries and votes: disks that forget must be noticed.
#[test]
fn disks_that_forget_synced_data_are_noticed() {
    let run = |seed| {
        let mut cluster = Cluster::new(seed, 3);
        for node in &cluster.nodes {
            node.disk.state().sync_lies = true;
        }
        (0..STEPS).for_each(|_| cluster.step());
    };
    let expected = ["lost committed entry", "committed entry", "has two leaders", "logs differ"];
    assert!(count_failures(200, run, &expected) > 0);
}

/// Cuts off leaders again and again; one clock is slow and the others are fast.
fn run_at_the_limits_of_drift(seed: u64, drift_permille: i64) {
    let mut cluster = Cluster::new(seed, 3);
    cluster.faults = false;
    // The successor is elected as soon as the voters are free.
    cluster.delay_us = 100..600;
    for (position, node) in cluster.nodes.iter_mut().enumerate() {
        node.drift_permille = if position == 0 { -drift_permille } else { drift_permille };
    }
    for _ in 0..10 {
        cluster.step_us = 200..10_000;
        let duration_ms = cluster.rng.u64(1000..1300);
        cluster.run(duration_ms);
        cluster.step_us = 100..600;
        cluster.cut_off_leader();
        cluster.run(460);
        cluster.heal();
    }
}

/// Guards against two leases at once when the clocks are as wrong as they may be.
#[test]
fn leases_hold_at_the_limits_of_clock_drift() {
    for seed in 0..100 {
        report_seed(seed, || run_at_the_limits_of_drift(seed, DRIFT_PERMILLE));
    }
}

/// Guards against a runner that misses wrong leases: clocks with more drift must be noticed.
#[test]
fn clocks_with_more_drift_than_allowed_are_noticed() {
    let run = |seed| run_at_the_limits_of_drift(seed, 3 * DRIFT_PERMILLE);
    assert!(count_failures(100, run, &["hold a lease", "holds a lease", "lease read"]) > 0);
}
