//! Invariant checks, bounds and reproducibility of the placement benchmark.

use redwinglatch_bench::{BenchReport, InjectedFault, Options, run};

fn short(workload: Option<&str>) -> Options {
    Options { has_decisions: false, workload: workload.map(str::to_owned), ..Options::short() }
}

fn first_violation(fault: InjectedFault) -> String {
    let report = run(&Options { fault: Some(fault), ..short(Some("zipf")) }, |_| {});
    assert!(!report.passed());
    report.placement.iter().find_map(|it| it.first_violation.clone()).expect("a violation")
}

/// Guards against a placement rule that misses a stated bound, and against a policy that violates
/// an invariant.
#[test]
fn a_short_run_has_no_violations_and_holds_the_stated_bounds() {
    let report = run(&short(None), |_| {});
    assert_eq!(report.placement.len(), 2 * 7 * 4);
    for row in &report.placement {
        assert_eq!(row.violations, 0, "{row:?}");
        assert!(row.completed > 500, "{row:?}");
    }
    let missed: Vec<_> = report.missed_bounds().filter(|it| it.stated).collect();
    assert!(missed.is_empty(), "{missed:?}");
    assert!(report.passed());
}

/// Guards against results that cannot be reproduced from the seed.
#[test]
fn the_same_seed_gives_the_same_report() {
    let run = |seed| -> BenchReport { run(&short(Some("cold-restart")).seed(seed), |_| {}) };
    assert_eq!(run(3), run(3));
    assert_ne!(run(3), run(4));
}

/// Guards against a check that misses a request sent to an engine without its adapter.
#[test]
fn the_checker_finds_a_wrong_engine() {
    assert!(first_violation(InjectedFault::WrongEngine).contains("without adapter"));
}

/// Guards against a check that misses the eviction of an adapter in use.
#[test]
fn the_checker_finds_an_eviction_in_use() {
    assert!(first_violation(InjectedFault::EvictInUse).contains("in use"));
}

/// Guards against a check that misses a request that ran although it was refused as not run.
#[test]
fn the_checker_finds_a_refused_request_that_ran() {
    assert!(first_violation(InjectedFault::RefuseAfterSending).contains("ran although refused"));
}

/// Guards against a check that misses more loads in flight than the limit.
#[test]
fn the_checker_finds_too_many_loads() {
    assert!(first_violation(InjectedFault::TooManyLoads).contains("too many loads"));
}
