//! What may follow a failed attempt, retry budgets and service routing.

use fastrand::Rng;
use redwinglatch_admission::{
    Attempt, AttemptEnd, BackendCode, BackendKind, Backoff, Failure, FailurePolicy, ListedReplica,
    NextStep, ReplicaKey, RetryBudgets, ServiceRouter, StreamProgress, TokenStep,
};
use redwinglatch_core::prelude::*;

const ENGINE: BackendKind = BackendKind::Engine { resumable: false };
const RESUMABLE: BackendKind = BackendKind::Engine { resumable: true };
const SERVICE: BackendKind = BackendKind::Service { safe_method: false };

fn attempt(kind: BackendKind, at_most_once: bool) -> Attempt<'static, u32> {
    Attempt {
        customer: "lakeshore",
        backend: 7,
        kind,
        at_most_once,
        may_have_run: false,
        passed_on: 0,
        failed_attempts: 1,
        fruitless_resumptions: 0,
        now_ms: 1_000,
        deadline_ms: 10_000,
    }
}

fn next(failure: Failure, attempt: &Attempt<'_, u32>) -> NextStep {
    let mut budgets = RetryBudgets::new(Default::default());
    FailurePolicy::default().next_step(failure, attempt, &mut budgets, &mut Rng::with_seed(1))
}

fn refused(step: NextStep) -> (RefusalReason, RunStatus) {
    match step {
        NextStep::Final(refusal) => {
            assert!(refusal.retry_after_ms.is_some());
            (refusal.reason, refusal.ran)
        }
        other => panic!("not final: {other:?}"),
    }
}

/// Guards against requests that run twice and against a false "not run".
#[test]
fn only_a_request_that_surely_did_not_run_is_sent_again() {
    let typed = |code, not_run| Failure::Refused { code, not_run };
    let surely_not_run = [
        (Failure::ConnectRefused, RetryReason::ConnectRefused),
        (Failure::NotWritten, RetryReason::StaleConnection),
        (typed(BackendCode::QueueFull, true), RetryReason::BackendRefused),
        (typed(BackendCode::Leaving, true), RetryReason::BackendLeaving),
        (typed(BackendCode::AdapterMissing, true), RetryReason::AdapterMissing),
    ];
    for (failure, expected) in surely_not_run {
        for (kind, once) in [(ENGINE, false), (ENGINE, true), (SERVICE, false), (SERVICE, true)] {
            let mut attempt = attempt(kind, once);
            let step = next(failure, &attempt);
            assert!(matches!(step, NextStep::Retry { reason, .. } if reason == expected));
            attempt.may_have_run = true;
            let again = matches!(next(failure, &attempt), NextStep::Retry { .. });
            assert_eq!(again, !once, "a marked request that may have run is not sent again");
            attempt.failed_attempts = 3;
            attempt.may_have_run = false;
            assert_eq!(refused(next(failure, &attempt)).1, RunStatus::NotRun);
            attempt.may_have_run = true;
            assert_eq!(
                refused(next(failure, &attempt)).1,
                RunStatus::Unknown,
                "an earlier one may have"
            );
        }
    }
    let unknown = next(typed(BackendCode::UnknownAdapter, true), &attempt(ENGINE, false));
    assert_eq!(refused(unknown), (RefusalReason::UnknownAdapter, RunStatus::NotRun));

    let open = [
        Failure::ResetAfterFirstByte,
        Failure::Timeout,
        typed(BackendCode::Other, false),
        Failure::StreamBroken { next_index: 0 },
    ];
    for failure in open {
        let unknown = (RefusalReason::BackendFailed, RunStatus::Unknown);
        for kind in [ENGINE, SERVICE, BackendKind::Service { safe_method: true }] {
            assert_eq!(refused(next(failure, &attempt(kind, true))), unknown);
        }
        assert_eq!(refused(next(failure, &attempt(SERVICE, false))), unknown);
        assert_eq!(next(failure, &attempt(ENGINE, false)), NextStep::CancelThenRetry);
        let safe = next(failure, &attempt(BackendKind::Service { safe_method: true }, false));
        assert!(matches!(safe, NextStep::Retry { .. }));
    }
}

/// Guards against a retry after a cancel that came too late, and against answers mixed from two
/// runs.
#[test]
fn a_cancel_leads_to_a_retry_only_before_the_first_token() {
    let open = Attempt { may_have_run: true, ..attempt(ENGINE, false) };
    assert!(matches!(next(Failure::Cancelled { tokens: 0 }, &open), NextStep::Retry { .. }));
    let after = Failure::Cancelled { tokens: 3 };
    assert_eq!(refused(next(after, &open)), (RefusalReason::BackendFailed, RunStatus::Ran));
    assert_eq!(refused(next(Failure::CancelFailed, &open)).1, RunStatus::Unknown);
    let once = Attempt { at_most_once: true, ..open };
    assert_eq!(refused(next(Failure::Cancelled { tokens: 0 }, &once)).1, RunStatus::Unknown);
    // A marked request is not sent again even if nobody noted that it may have run.
    let once = Attempt { may_have_run: false, ..once };
    assert_eq!(refused(next(Failure::Cancelled { tokens: 0 }, &once)).1, RunStatus::Unknown);
    let begun = Attempt { passed_on: 2, ..open };
    let broken = Failure::StreamBroken { next_index: 2 };
    assert_eq!(refused(next(broken, &begun)), (RefusalReason::BackendFailed, RunStatus::Ran));
    let wrong = refused(next(Failure::WrongAdapter, &open));
    assert_eq!(wrong, (RefusalReason::WrongAdapter, RunStatus::Ran));
}

/// Guards against streams that are abandoned although the engine can resume them, and against
/// resumptions without end.
#[test]
fn a_broken_stream_is_resumed_at_the_next_token() {
    let mut attempt = Attempt { passed_on: 5, ..attempt(RESUMABLE, true) };
    let broken = Failure::StreamBroken { next_index: 5 };
    for tried in 0..3 {
        attempt.fruitless_resumptions = tried;
        let step = next(broken, &attempt);
        assert!(matches!(step, NextStep::Resume { from_index: 5, .. }), "{step:?}");
    }
    attempt.fruitless_resumptions = 3;
    assert_eq!(refused(next(broken, &attempt)).1, RunStatus::Ran);

    let mut progress = StreamProgress::default();
    let steps = [0, 1, 1, 0, 3, 2].map(|index| progress.token(index));
    let (pass, again) = (TokenStep::PassOn, TokenStep::Duplicate);
    assert_eq!(steps, [pass, pass, again, again, TokenStep::Gap { from_index: 2 }, pass]);
    assert!(progress.complete(3));
}

/// Guards against final answers that are held back until the deadline.
#[test]
fn no_attempt_starts_that_cannot_end_in_time() {
    for kind in [ENGINE, RESUMABLE, SERVICE] {
        for failure in [Failure::ConnectRefused, Failure::Timeout] {
            let late = Attempt { deadline_ms: 1_040, ..attempt(kind, false) };
            assert_eq!(refused(next(failure, &late)).0, RefusalReason::DeadlinePassed);
        }
    }
}

/// Guards against retries that multiply the load while a backend server fails: at most 10 % of
/// the requests of ten seconds and three more, for each customer and each backend server.
#[test]
fn retries_stay_within_a_tenth_of_the_requests() {
    for seed in 0..20 {
        let mut rng = Rng::with_seed(seed);
        let mut budgets: RetryBudgets<u32> = RetryBudgets::new(Default::default());
        let customers = ["a", "b", "c"];
        let (mut requests, mut retries) = (Vec::new(), Vec::new());
        let mut now_ms = 0;
        for _ in 0..5_000 {
            now_ms += rng.u64(0..30);
            let (customer, backend) = (rng.usize(0..3), rng.u32(0..2));
            budgets.count_request(now_ms, customers[customer], backend);
            requests.push((now_ms, customer, backend));
            for _ in 0..3 {
                if budgets.take_retry(now_ms, customers[customer], backend) {
                    retries.push((now_ms, customer, backend));
                }
            }
        }
        assert!(!retries.is_empty());
        for (now_ms, customer, backend) in &retries {
            let recent = |list: &[(u64, usize, u32)], same: &dyn Fn(usize, u32) -> bool| {
                let recent = |at_ms: u64| at_ms <= *now_ms && at_ms / 1_000 + 10 > now_ms / 1_000;
                list.iter().filter(|(at_ms, c, b)| recent(*at_ms) && same(*c, *b)).count()
            };
            let same_customer = |c: usize, _: u32| c == *customer;
            let same_backend = |_: usize, b: u32| b == *backend;
            for same in [&same_customer as &dyn Fn(usize, u32) -> bool, &same_backend] {
                let (made, allowed) = (recent(&retries, same), recent(&requests, same) / 10 + 3);
                assert!(made <= allowed, "seed {seed}: {made} of {allowed} at {now_ms}");
            }
        }
        budgets.forget_idle(now_ms + 60_000);
        let left = (0..10).filter(|_| budgets.take_retry(now_ms + 60_000, "a", 0)).count();
        assert_eq!(left, 3, "a quiet customer may still retry");
    }
}

/// Guards against callers that retry at the same moment, and against delays without a bound.
#[test]
fn backoff_doubles_and_spreads() {
    let backoff = Backoff { first_ms: 100, longest_ms: 1_000 };
    let mut rng = Rng::with_seed(3);
    for (failed, most) in [(1, 100), (2, 200), (3, 400), (9, 1_000), (u32::MAX, 1_000)] {
        let delays: Vec<u64> = (0..200).map(|_| backoff.delay_ms(failed, &mut rng)).collect();
        assert!(delays.iter().all(|delay_ms| (most / 2..=most).contains(delay_ms)));
        assert!(delays.iter().max().unwrap() - delays.iter().min().unwrap() > most / 4);
    }
}

fn listed(number: u32, data_centre: &str, leaving: bool) -> ListedReplica {
    let address = format!("10.0.0.{number}:80").into();
    ListedReplica { address, data_centre: data_centre.into(), leaving }
}

fn router(list: &[ListedReplica]) -> ServiceRouter {
    let mut router = ServiceRouter::new("hall-a");
    router.update_list(list);
    router
}

fn choose(router: &mut ServiceRouter, now_ms: u64, rng: &mut Rng) -> ReplicaKey {
    router.choose(now_ms, &[], rng).unwrap()
}

/// Guards against unequal load, and against far replicas while near ones are free.
#[test]
fn near_replicas_share_the_load_and_far_ones_help_when_they_are_busy() {
    let mut rng = Rng::with_seed(5);
    let list = [listed(1, "hall-a", false), listed(2, "hall-a", false), listed(3, "hall-b", false)];
    let mut router = router(&list);
    let keys: Vec<ReplicaKey> = (0..60).map(|_| choose(&mut router, 0, &mut rng)).collect();
    let count = |number: u32| {
        let address = format!("10.0.0.{number}:80");
        keys.iter().filter(|key| router.address(**key) == Some(&*address)).count()
    };
    let (one, two, far) = (count(1), count(2), count(3));
    assert!(one.abs_diff(two) <= 4, "{one} and {two}");
    assert!(far > 0 && far < one, "far {far}, near {one}");
}

/// Guards against new work for a leaving replica, from any signal, and against the list calling it
/// live again too early because it lags.
#[test]
fn a_leaving_replica_gets_no_new_work() {
    let mut rng = Rng::with_seed(5);
    let live = [listed(1, "hall-a", false), listed(2, "hall-a", false)];
    let mut router = router(&live);
    let leaving = choose(&mut router, 0, &mut rng);
    router.ended(10, leaving, AttemptEnd::Leaving, &mut rng);
    router.update_list(&live);
    for now_ms in (10..60_000).step_by(500) {
        let key = choose(&mut router, now_ms, &mut rng);
        assert_ne!(key, leaving);
        router.ended(now_ms, key, AttemptEnd::Answered, &mut rng);
    }
    let all_leave = [listed(1, "hall-a", true), listed(2, "hall-a", true)];
    router.update_list(&all_leave);
    let refusal = router.choose(60_000, &[], &mut rng).unwrap_err();
    assert_eq!((refusal.reason, refusal.ran), (RefusalReason::NoServiceReplica, RunStatus::NotRun));
    router.update_list(&live);
    let _both = [choose(&mut router, 60_001, &mut rng), choose(&mut router, 60_001, &mut rng)];
}

/// Guards against a failing replica that keeps getting requests, is flooded when it is probed, or
/// is never tried again.
#[test]
fn a_failing_replica_is_probed_by_one_request_at_a_time() {
    let mut rng = Rng::with_seed(5);
    let mut router = router(&[listed(1, "hall-a", false)]);
    for now_ms in 0..3 {
        let key = choose(&mut router, now_ms, &mut rng);
        router.ended(now_ms, key, AttemptEnd::ConnectRefused, &mut rng);
    }
    let refusal = router.choose(3, &[], &mut rng).unwrap_err();
    let wait_ms = u64::from(refusal.retry_after_ms.unwrap());
    assert!(wait_ms <= 500, "the first probe comes after {wait_ms} ms");
    let probe = choose(&mut router, 3 + wait_ms, &mut rng);
    assert!(router.choose(4 + wait_ms, &[], &mut rng).is_err(), "one probe at a time");
    router.ended(5 + wait_ms, probe, AttemptEnd::Failed, &mut rng);
    assert!(router.choose(6 + wait_ms, &[], &mut rng).is_err());
    let probe = choose(&mut router, 2_000 + wait_ms, &mut rng);
    router.ended(2_001 + wait_ms, probe, AttemptEnd::Answered, &mut rng);
    for _ in 0..10 {
        let _key = choose(&mut router, 2_002 + wait_ms, &mut rng);
    }
    // The end of an attempt at a replica that the list dropped meanwhile is not lost.
    router.update_list(&[listed(2, "hall-a", false)]);
    assert_eq!(router.in_flight(probe), 10);
    for _ in 0..10 {
        router.ended(3_000, probe, AttemptEnd::Answered, &mut rng);
    }
    assert_eq!(router.address(probe), None);
}
