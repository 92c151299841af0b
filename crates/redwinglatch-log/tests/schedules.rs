//! Random fault schedules on clusters of 3 and 5 replicas; the invariants are checked after each
//! step.
//!
//! `REDWINGLATCH_SCHEDULES` sets the number of schedules; `REDWINGLATCH_SEED` selects a single one.

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
    std::env::var(name)
        .ok()
        .map(|value| value.parse().expect("the environment variable must be a number"))
}

/// Runs one schedule; returns the numbers of committed entries and finished repairs.
fn run_schedule(seed: u64) -> (u64, u64) {
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
        report_seed(seed, || run_schedule(seed));
        return;
    }
    let schedules = number_from_environment("REDWINGLATCH_SCHEDULES").unwrap_or(DEFAULT_SCHEDULES);
    let (entries, repairs) = (AtomicU64::new(0), AtomicU64::new(0));
    std::thread::scope(|scope| {
        for thread in 0..THREADS {
            let (entries, repairs) = (&entries, &repairs);
            scope.spawn(move || {
                for seed in (thread..schedules).step_by(THREADS as usize) {
                    let (committed, repaired) = report_seed(seed, || run_schedule(seed));
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
    // Schedules that rarely reach a repair would check little.
    assert!(repairs.into_inner() >= schedules / 4, "too few schedules reach a repair");
}

/// Returns the number of seeds whose run panics with a message that contains one of `expected`.
fn count_failures(seeds: u64, run: impl Fn(u64), expected: &[&str]) -> usize {
    let fails = |seed: &u64| {
        let Err(panic) = catch_unwind(AssertUnwindSafe(|| run(*seed))) else { return false };
        let message = panic.downcast_ref::<String>().map_or("", String::as_str);
        expected.iter().any(|expected| message.contains(expected))
    };
    (0..seeds).filter(fails).count()
}

/// Guards against checks that miss lost entries and votes: disks that lose synced data must make a
/// check fail.
#[test]
fn loss_of_synced_data_is_detected() {
    let run = |seed| {
        let mut cluster = Cluster::new(seed, 3);
        for node in &cluster.nodes {
            node.disk.state().syncs_are_ignored = true;
        }
        (0..STEPS).for_each(|_| cluster.step());
    };
    let expected = ["lost committed entry", "committed entry", "has two leaders", "logs differ"];
    assert!(count_failures(200, run, &expected) > 0);
}

/// Isolates the leader again and again; one clock is slow and the others are fast.
fn run_with_clock_drift(seed: u64, drift_permille: i64) {
    let mut cluster = Cluster::new(seed, 3);
    cluster.has_faults = false;
    // Short delays, so that the next leader is elected as soon as the voters may grant votes.
    cluster.delay_us = 100..600;
    for (position, node) in cluster.nodes.iter_mut().enumerate() {
        node.drift_permille = if position == 0 { -drift_permille } else { drift_permille };
    }
    for _ in 0..10 {
        cluster.step_us = 200..10_000;
        let duration_ms = cluster.rng.u64(1000..1300);
        cluster.run(duration_ms);
        cluster.step_us = 100..600;
        cluster.isolate_leader();
        cluster.run(460);
        cluster.heal();
    }
}

/// Guards against two valid leases at once when the clocks drift as much as the settings allow.
#[test]
fn leases_never_overlap_at_the_maximum_clock_drift() {
    for seed in 0..100 {
        report_seed(seed, || run_with_clock_drift(seed, DRIFT_PERMILLE));
    }
}

/// Guards against checks that miss overlapping leases: clocks with more drift than allowed must
/// make a check fail.
#[test]
fn clock_drift_above_the_maximum_is_detected() {
    let run = |seed| run_with_clock_drift(seed, 3 * DRIFT_PERMILLE);
    assert!(count_failures(100, run, &["hold a lease", "holds a lease", "lease read"]) > 0);
}
