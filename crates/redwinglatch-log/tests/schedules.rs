//! Random schedules of faults over 3 and 5 replicas, with the invariants checked after each step.
//!
//! `REDWINGLATCH_SCHEDULES` sets how many run, and `REDWINGLATCH_SEED` runs a single one.

mod common;

use std::{
    panic::{AssertUnwindSafe, catch_unwind, resume_unwind},
    sync::atomic::{AtomicU64, Ordering::Relaxed},
};

use common::cluster::Cluster;

const DEFAULT_SCHEDULES: u64 = 4000;
const STEPS: u32 = 700;
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
    (cluster.committed.len() as u64, u64::from(cluster.repairs))
}

fn run_reporting_seed(seed: u64) -> (u64, u64) {
    catch_unwind(AssertUnwindSafe(|| run(seed))).unwrap_or_else(|panic| {
        eprintln!("schedule failed; repeat it with REDWINGLATCH_SEED={seed}");
        resume_unwind(panic)
    })
}

/// Guards against two leaders in a term, diverging logs, lost or changed committed entries, two
/// leases, stale reads and a cluster that doesn't recover.
#[test]
fn invariants_hold_under_random_faults() {
    if let Some(seed) = number_from_environment("REDWINGLATCH_SEED") {
        run_reporting_seed(seed);
        return;
    }
    let schedules = number_from_environment("REDWINGLATCH_SCHEDULES").unwrap_or(DEFAULT_SCHEDULES);
    let (entries, repairs) = (AtomicU64::new(0), AtomicU64::new(0));
    std::thread::scope(|scope| {
        for thread in 0..THREADS {
            let (entries, repairs) = (&entries, &repairs);
            scope.spawn(move || {
                for seed in (thread..schedules).step_by(THREADS as usize) {
                    let (committed, repaired) = run_reporting_seed(seed);
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
