//! Retry decisions, retry budgets, backoff and service routing.

use fastrand::Rng;
use redwinglatch_admission::{
    AttemptOutcome, BackendErrorCode, BackendKind, Backoff, FailedAttempt, Failure, ListedReplica,
    ReplicaKey, RetryBudgets, RetryDecision, RetryPolicy, ServiceRouter, StreamProgress,
    TokenDisposition,
};
use redwinglatch_core::prelude::*;

const ENGINE: BackendKind = BackendKind::Engine { resumable: false };
const RESUMABLE: BackendKind = BackendKind::Engine { resumable: true };
const SERVICE: BackendKind = BackendKind::Service { safe_method: false };

fn attempt(kind: BackendKind, at_most_once: bool) -> FailedAttempt<'static, u32> {
    FailedAttempt {
        customer: "lakeshore",
        backend: 7,
        kind,
        at_most_once,
        may_have_run: false,
        forwarded_tokens: 0,
        failed_attempts: 1,
        resumptions_without_progress: 0,
        now_ms: 1_000,
        deadline_ms: 10_000,
    }
}

fn decide(failure: Failure, attempt: &FailedAttempt<'_, u32>) -> RetryDecision {
    let mut budgets = RetryBudgets::new(Default::default());
    RetryPolicy::default().decide(failure, attempt, &mut budgets, &mut Rng::with_seed(1))
}

fn refused(decision: RetryDecision) -> (RefusalReason, RunStatus) {
    match decision {
        RetryDecision::Refuse(refusal) => {
            assert!(refusal.retry_after_ms.is_some());
            (refusal.reason, refusal.ran)
        }
        other => panic!("not refused: {other:?}"),
    }
}

/// Guards against requests that run twice, and against a refusal that wrongly states that the
/// request did not run.
#[test]
fn a_request_that_may_have_run_is_not_retried_without_a_cancel_or_a_safe_method() {
    let typed = |code, not_run| Failure::Refused { code, not_run };
    let certainly_not_run = [
        (Failure::ConnectRefused, RetryReason::ConnectRefused),
        (Failure::NotWritten, RetryReason::StaleConnection),
        (typed(BackendErrorCode::QueueFull, true), RetryReason::BackendRefused),
        (typed(BackendErrorCode::Leaving, true), RetryReason::BackendLeaving),
        (typed(BackendErrorCode::AdapterMissing, true), RetryReason::AdapterMissing),
    ];
    for (failure, expected) in certainly_not_run {
        for (kind, at_most_once) in
            [(ENGINE, false), (ENGINE, true), (SERVICE, false), (SERVICE, true)]
        {
            let mut attempt = attempt(kind, at_most_once);
            let decision = decide(failure, &attempt);
            assert!(matches!(decision, RetryDecision::Retry { reason, .. } if reason == expected));
            attempt.may_have_run = true;
            let is_retried = matches!(decide(failure, &attempt), RetryDecision::Retry { .. });
            assert_eq!(is_retried, !at_most_once, "an at-most-once request is not retried");
            attempt.failed_attempts = 3;
            attempt.may_have_run = false;
            assert_eq!(refused(decide(failure, &attempt)).1, RunStatus::NotRun);
            attempt.may_have_run = true;
            assert_eq!(
                refused(decide(failure, &attempt)).1,
                RunStatus::Unknown,
                "an earlier attempt may have run"
            );
        }
    }
    let unknown = decide(typed(BackendErrorCode::UnknownAdapter, true), &attempt(ENGINE, false));
    assert_eq!(refused(unknown), (RefusalReason::UnknownAdapter, RunStatus::NotRun));

    let may_have_run = [
        Failure::ResetAfterFirstByte,
        Failure::Timeout,
        typed(BackendErrorCode::Other, false),
        Failure::StreamBroken { next_index: 0 },
    ];
    for failure in may_have_run {
        let unknown = (RefusalReason::BackendFailed, RunStatus::Unknown);
        for kind in [ENGINE, SERVICE, BackendKind::Service { safe_method: true }] {
            assert_eq!(refused(decide(failure, &attempt(kind, true))), unknown);
        }
        assert_eq!(refused(decide(failure, &attempt(SERVICE, false))), unknown);
        assert_eq!(decide(failure, &attempt(ENGINE, false)), RetryDecision::CancelThenRetry);
        let safe = decide(failure, &attempt(BackendKind::Service { safe_method: true }, false));
        assert!(matches!(safe, RetryDecision::Retry { .. }));
    }
}

/// Guards against a retry after a cancellation that came too late, and against responses that mix
/// the tokens of two runs.
#[test]
fn a_cancel_leads_to_a_retry_only_before_the_first_token() {
    let uncertain = FailedAttempt { may_have_run: true, ..attempt(ENGINE, false) };
    assert!(matches!(
        decide(Failure::Cancelled { tokens: 0 }, &uncertain),
        RetryDecision::Retry { .. }
    ));
    let after = Failure::Cancelled { tokens: 3 };
    assert_eq!(refused(decide(after, &uncertain)), (RefusalReason::BackendFailed, RunStatus::Ran));
    assert_eq!(refused(decide(Failure::CancelUnconfirmed, &uncertain)).1, RunStatus::Unknown);
    let once = FailedAttempt { at_most_once: true, ..uncertain };
    assert_eq!(refused(decide(Failure::Cancelled { tokens: 0 }, &once)).1, RunStatus::Unknown);
    // An at-most-once request is not retried even if `may_have_run` was not set.
    let once = FailedAttempt { may_have_run: false, ..once };
    assert_eq!(refused(decide(Failure::Cancelled { tokens: 0 }, &once)).1, RunStatus::Unknown);
    let begun = FailedAttempt { forwarded_tokens: 2, ..uncertain };
    let broken = Failure::StreamBroken { next_index: 2 };
    assert_eq!(refused(decide(broken, &begun)), (RefusalReason::BackendFailed, RunStatus::Ran));
    let wrong = refused(decide(Failure::WrongAdapter, &uncertain));
    assert_eq!(wrong, (RefusalReason::WrongAdapter, RunStatus::Ran));
}

/// Guards against streams that are abandoned although the engine can resume them, and against
/// endless resumptions.
#[test]
fn a_broken_stream_is_resumed_at_the_next_token() {
    let mut attempt = FailedAttempt { forwarded_tokens: 5, ..attempt(RESUMABLE, true) };
    let broken = Failure::StreamBroken { next_index: 5 };
    for resumptions in 0..3 {
        attempt.resumptions_without_progress = resumptions;
        let decision = decide(broken, &attempt);
        assert!(matches!(decision, RetryDecision::Resume { from_index: 5, .. }), "{decision:?}");
    }
    attempt.resumptions_without_progress = 3;
    assert_eq!(refused(decide(broken, &attempt)).1, RunStatus::Ran);

    let mut progress = StreamProgress::default();
    let dispositions = [0, 1, 1, 0, 3, 2].map(|index| progress.receive_token(index));
    let (forward, duplicate) = (TokenDisposition::Forward, TokenDisposition::Duplicate);
    assert_eq!(
        dispositions,
        [forward, forward, duplicate, duplicate, TokenDisposition::Gap { from_index: 2 }, forward]
    );
    assert!(progress.is_complete(3));
}

/// Guards against refusals that are delayed until the deadline.
#[test]
fn no_attempt_starts_that_cannot_finish_in_time() {
    for kind in [ENGINE, RESUMABLE, SERVICE] {
        for failure in [Failure::ConnectRefused, Failure::Timeout] {
            let late = FailedAttempt { deadline_ms: 1_040, ..attempt(kind, false) };
            assert_eq!(refused(decide(failure, &late)).0, RefusalReason::DeadlinePassed);
        }
    }
}

/// Guards against retries that multiply the load while a backend server fails: in ten seconds, at
/// most 10 % of the requests plus three, per customer and per backend server.
#[test]
fn retries_stay_within_the_budget() {
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
        budgets.remove_idle(now_ms + 60_000);
        let allowed = (0..10).filter(|_| budgets.take_retry(now_ms + 60_000, "a", 0)).count();
        assert_eq!(allowed, 3, "a customer without recent requests may still retry");
    }
}

/// Guards against callers that retry at the same moment, and against unbounded delays.
#[test]
fn backoff_doubles_and_spreads() {
    let backoff = Backoff { initial_ms: 100, max_ms: 1_000 };
    let mut rng = Rng::with_seed(3);
    for (failed_attempts, max_ms) in [(1, 100), (2, 200), (3, 400), (9, 1_000), (u32::MAX, 1_000)] {
        let delays: Vec<u64> =
            (0..200).map(|_| backoff.delay_ms(failed_attempts, &mut rng)).collect();
        assert!(delays.iter().all(|delay_ms| (max_ms / 2..=max_ms).contains(delay_ms)));
        assert!(delays.iter().max().unwrap() - delays.iter().min().unwrap() > max_ms / 4);
    }
}

fn listed(number: u32, data_centre: &str, is_leaving: bool) -> ListedReplica {
    let address = format!("10.0.0.{number}:80").into();
    ListedReplica { address, data_centre: data_centre.into(), is_leaving }
}

fn router(list: &[ListedReplica]) -> ServiceRouter {
    let mut router = ServiceRouter::new("hall-a");
    router.update_list(list);
    router
}

fn choose(router: &mut ServiceRouter, now_ms: u64, rng: &mut Rng) -> ReplicaKey {
    router.choose(now_ms, &[], rng).unwrap()
}

/// Guards against unequal load, and against the use of remote replicas while local ones are idle.
#[test]
fn local_replicas_share_the_load_and_remote_ones_take_the_overflow() {
    let mut rng = Rng::with_seed(5);
    let list = [listed(1, "hall-a", false), listed(2, "hall-a", false), listed(3, "hall-b", false)];
    let mut router = router(&list);
    let keys: Vec<ReplicaKey> = (0..60).map(|_| choose(&mut router, 0, &mut rng)).collect();
    let count = |number: u32| {
        let address = format!("10.0.0.{number}:80");
        keys.iter().filter(|key| router.address(**key) == Some(&*address)).count()
    };
    let (first, second, remote) = (count(1), count(2), count(3));
    assert!(first.abs_diff(second) <= 4, "{first} and {second}");
    assert!(remote > 0 && remote < first, "remote {remote}, local {first}");
}

/// Guards against new work for a leaving replica, whichever signal announced it, and against a
/// lagging backend list that makes it live again too early.
#[test]
fn a_leaving_replica_gets_no_new_work() {
    let mut rng = Rng::with_seed(5);
    let live = [listed(1, "hall-a", false), listed(2, "hall-a", false)];
    let mut router = router(&live);
    let leaving = choose(&mut router, 0, &mut rng);
    router.record_outcome(10, leaving, AttemptOutcome::Leaving, &mut rng);
    router.update_list(&live);
    for now_ms in (10..60_000).step_by(500) {
        let key = choose(&mut router, now_ms, &mut rng);
        assert_ne!(key, leaving);
        router.record_outcome(now_ms, key, AttemptOutcome::Responded, &mut rng);
    }
    let all_leaving = [listed(1, "hall-a", true), listed(2, "hall-a", true)];
    router.update_list(&all_leaving);
    let refusal = router.choose(60_000, &[], &mut rng).unwrap_err();
    assert_eq!((refusal.reason, refusal.ran), (RefusalReason::NoServiceReplica, RunStatus::NotRun));
    router.update_list(&live);
    let _both = [choose(&mut router, 60_001, &mut rng), choose(&mut router, 60_001, &mut rng)];
}

/// Guards against a failing replica that keeps getting requests, gets several at once when it is
/// probed, or is never probed.
#[test]
fn a_failing_replica_is_probed_by_one_request_at_a_time() {
    let mut rng = Rng::with_seed(5);
    let mut router = router(&[listed(1, "hall-a", false)]);
    for now_ms in 0..3 {
        let key = choose(&mut router, now_ms, &mut rng);
        router.record_outcome(now_ms, key, AttemptOutcome::ConnectRefused, &mut rng);
    }
    let refusal = router.choose(3, &[], &mut rng).unwrap_err();
    let wait_ms = u64::from(refusal.retry_after_ms.unwrap());
    assert!(wait_ms <= 500, "the first probe comes after {wait_ms} ms");
    let probe = choose(&mut router, 3 + wait_ms, &mut rng);
    assert!(router.choose(4 + wait_ms, &[], &mut rng).is_err(), "one probe at a time");
    router.record_outcome(5 + wait_ms, probe, AttemptOutcome::Failed, &mut rng);
    assert!(router.choose(6 + wait_ms, &[], &mut rng).is_err());
    let probe = choose(&mut router, 2_000 + wait_ms, &mut rng);
    router.record_outcome(2_001 + wait_ms, probe, AttemptOutcome::Responded, &mut rng);
    for _ in 0..10 {
        let _key = choose(&mut router, 2_002 + wait_ms, &mut rng);
    }
    // The outcome of an attempt at a replica that the list has dropped since is still counted.
    router.update_list(&[listed(2, "hall-a", false)]);
    assert_eq!(router.in_flight(probe), 10);
    for _ in 0..10 {
        router.record_outcome(3_000, probe, AttemptOutcome::Responded, &mut rng);
    }
    assert_eq!(router.address(probe), None);
}
