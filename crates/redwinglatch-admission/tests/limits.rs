//! Limits with leased shares, deadlines and fairness.

use redwinglatch_admission::{
    Admission, FairQueue, FairQueueSettings, Limiter, Permit, QueueDecision, QueuedRequest,
    RequestTerms, TokenBucket, check_deadline,
};
use redwinglatch_control::Share;
use redwinglatch_core::prelude::*;

const SHARE: Share =
    Share { request_rate_milli: 10_000, concurrent_requests: 3, token_rate_per_s: 1_000 };

fn limiter(now_ms: u64, share: Share) -> Limiter {
    let mut limiter = Limiter::new();
    let _awaits_share = limiter.admit(now_ms, "lakeshore", 10);
    limiter.set_shares(now_ms, |_| share);
    limiter
}

fn permit(admission: Admission) -> Permit {
    match admission {
        Admission::Admitted(permit) => permit,
        other => panic!("not admitted: {other:?}"),
    }
}

fn reason(admission: Admission) -> RefusalReason {
    match admission {
        Admission::Refused(refusal) => {
            assert_eq!(refusal.ran, RunStatus::NotRun);
            assert!(refusal.retry_after_ms.is_some_and(|after_ms| after_ms > 0));
            refusal.reason
        }
        other => panic!("not refused: {other:?}"),
    }
}

/// Guards against more requests in any second than the share and one full bucket allow, whatever
/// the order of requests and changes of the share.
#[test]
fn the_request_rate_stays_within_the_share_and_one_bucket() {
    for seed in 0..100 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let rates: Vec<u64> = (0..60).map(|_| rng.u64(1..30) * 1_000).collect();
        let max_rate_milli = *rates.iter().max().unwrap();
        let mut bucket = TokenBucket::default();
        let (mut now_ms, mut taken) = (1_000, Vec::new());
        for rate_milli in rates {
            bucket.set_rate(now_ms, rate_milli);
            for _ in 0..12 {
                now_ms += rng.u64(0..20);
                if bucket.take(now_ms, 1).is_ok() {
                    taken.push(now_ms);
                }
            }
        }
        for (first, start_ms) in taken.iter().enumerate() {
            let within = taken[first..].iter().take_while(|at_ms| **at_ms < start_ms + 1_000);
            // One full bucket plus the refill during the second.
            let allowed = 2 * max_rate_milli / 1_000 + 1;
            assert!(within.count() as u64 <= allowed, "seed {seed}: above {allowed} at {start_ms}");
        }
    }
}

/// Guards against concurrency above the share, and against leaked permits.
#[test]
fn concurrent_requests_never_exceed_the_share() {
    let mut limiter = limiter(1_000, SHARE);
    let mut permits: Vec<Permit> =
        (0..3).map(|at| permit(limiter.admit(2_000 + at, "lakeshore", 10))).collect();
    let fourth = limiter.admit(2_003, "lakeshore", 10);
    assert_eq!(reason(fourth), RefusalReason::Concurrency);
    limiter.finish(permits.pop().unwrap(), 10);
    permits.push(permit(limiter.admit(2_004, "lakeshore", 10)));
    // The share shrinks below the requests in flight: no new one runs until enough have ended.
    limiter.set_shares(2_010, |_| Share { concurrent_requests: 1, ..SHARE });
    for running in (1..=3).rev() {
        assert_eq!(limiter.in_flight("lakeshore"), running);
        let next = limiter.admit(2_020, "lakeshore", 10);
        assert_eq!(reason(next), RefusalReason::Concurrency);
        limiter.finish(permits.pop().unwrap(), 10);
    }
    let _last = permit(limiter.admit(2_030, "lakeshore", 10));
}

/// Guards against a customer without a share that is refused without a request to the leader, waits
/// longer than 200 ms, or waits again although the leader has just replied that no share is free.
#[test]
fn a_customer_without_a_share_requests_it_once_and_waits_at_most_200_ms() {
    let mut limiter = Limiter::new();
    let admission = limiter.admit(1_000, "lakeshore", 10);
    assert_eq!(admission, Admission::AwaitShare { until_ms: 1_200 });
    let demand = limiter.demands(1_001);
    assert_eq!(demand.len(), 1);
    assert_eq!(demand[0].1.concurrent_requests, 1);
    assert_eq!(
        reason(limiter.decide_again(1_200, 1_000, "lakeshore", 10)),
        RefusalReason::Concurrency
    );
    limiter.set_shares(1_210, |_| Share::NONE);
    assert_eq!(reason(limiter.admit(1_211, "lakeshore", 10)), RefusalReason::Concurrency);
    let later = limiter.admit(2_300, "lakeshore", 10);
    assert_eq!(later, Admission::AwaitShare { until_ms: 2_500 });
    limiter.set_shares(2_310, |_| SHARE);
    let _permit = permit(limiter.decide_again(2_310, 2_300, "lakeshore", 10));
}

/// Guards against a first request that is refused because the reply to a renewal from before its
/// arrival contains no share for its customer.
#[test]
fn a_reply_to_an_older_renewal_does_not_refuse_a_first_request() {
    let mut limiter = Limiter::new();
    assert!(limiter.demands(990).is_empty());
    let admission = limiter.admit(1_000, "lakeshore", 10);
    assert_eq!(admission, Admission::AwaitShare { until_ms: 1_200 });
    limiter.set_shares(1_005, |_| Share::NONE);
    let admission = limiter.decide_again(1_010, 1_000, "lakeshore", 10);
    assert_eq!(admission, Admission::AwaitShare { until_ms: 1_200 });
    assert_eq!(limiter.demands(1_011).len(), 1);
    limiter.set_shares(1_020, |_| SHARE);
    let _permit = permit(limiter.decide_again(1_021, 1_000, "lakeshore", 10));
}

/// Guards against large responses that exceed the token rate for long, and against requests larger
/// than the bucket that could never run.
#[test]
fn tokens_are_charged_in_advance_and_refunded() {
    let mut limiter = limiter(1_000, Share { request_rate_milli: 1_000_000, ..SHARE });
    let large = permit(limiter.admit(2_000, "lakeshore", 5_000));
    let next = limiter.admit(3_000, "lakeshore", 10);
    assert_eq!(reason(next), RefusalReason::TokenRate);
    limiter.finish(large, 1_000);
    let _permit = permit(limiter.admit(4_100, "lakeshore", 10));
}

/// Guards against deadlines and priorities above the contract, and against late responses.
#[test]
fn terms_follow_the_contract() {
    let contract = Contract {
        customer: "lakeshore".into(),
        adapters: Vec::new(),
        services: Vec::new(),
        request_rate_per_s: 1,
        concurrent_requests: 1,
        token_rate_per_s: 1,
        load_share_permille: 0,
        default_priority: 4,
        max_priority: 6,
        default_deadline_ms: 500,
        max_deadline_ms: 1_000,
    };
    let resolve = |budget, priority| {
        RequestTerms::resolve(&contract, 100, 120, budget, priority)
            .map(|terms| (terms.deadline_ms, terms.priority))
    };
    assert_eq!(resolve(None, None), Ok((600, 4)));
    assert_eq!(resolve(Some(5_000), Some(9)), Ok((1_100, 6)));
    let late = resolve(Some(20), None).unwrap_err();
    assert_eq!((late.reason, late.ran), (RefusalReason::DeadlinePassed, RunStatus::NotRun));
    assert!(check_deadline(100, 200, 99).is_ok() && check_deadline(100, 200, 100).is_err());
}

fn queued_request(id: u64, customer: &str, priority: u8, deadline_ms: u64) -> QueuedRequest {
    let customer = customer.into();
    QueuedRequest { id: RequestId(id), customer, weight: 1, priority, deadline_ms }
}

/// Guards against one customer's surge that delays another customer: a released slot goes to the
/// customer with the fewest running requests, and within a customer to the highest priority.
#[test]
fn a_saturated_instance_is_shared_between_customers() {
    let settings =
        FairQueueSettings { max_running: 4, max_waiting: 100, max_waiting_per_customer: 50 };
    let mut queue = FairQueue::new(settings);
    for request in 0..4 {
        assert_eq!(
            queue.offer(1_000, queued_request(request, "surge", 4, 9_000)),
            QueueDecision::Run
        );
    }
    for request in 4..54 {
        assert_eq!(
            queue.offer(1_000, queued_request(request, "surge", 4, 9_000)),
            QueueDecision::Wait
        );
    }
    let refused = queue.offer(1_000, queued_request(54, "surge", 4, 9_000));
    assert!(matches!(
        refused,
        QueueDecision::Refused(refusal) if refusal.reason == RefusalReason::Overloaded
    ));
    assert_eq!(queue.offer(1_000, queued_request(60, "quiet", 4, 9_000)), QueueDecision::Wait);
    assert_eq!(queue.offer(1_000, queued_request(61, "quiet", 9, 9_000)), QueueDecision::Wait);
    let mut order = Vec::new();
    for now_ms in 1_001..1_004 {
        queue.finished(now_ms, "surge");
        order.extend(queue.take_ready().into_iter().map(|next| next.id.0));
        assert_eq!(queue.running(), 4);
    }
    assert_eq!(
        order,
        [61, 60, 4],
        "two of each customer run, so the surging customer is served again"
    );
    assert!(queue.cancel("surge", RequestId(5)));
    assert_eq!(queue.waiting(), 48);
}

/// Guards against waiting requests that are refused only at their deadline although it was known
/// earlier that they can't run in time.
#[test]
fn a_request_that_cannot_run_in_time_is_refused_early() {
    let settings =
        FairQueueSettings { max_running: 1, max_waiting: 100, max_waiting_per_customer: 100 };
    let mut queue = FairQueue::new(settings);
    assert_eq!(queue.offer(0, queued_request(0, "a", 4, 90_000)), QueueDecision::Run);
    for request in 1..=40 {
        assert_eq!(queue.offer(0, queued_request(request, "a", 4, 20_000)), QueueDecision::Wait);
    }
    // One slot is released each second.
    for now_ms in (1_000..=16_000).step_by(1_000) {
        queue.finished(now_ms, "a");
        assert_eq!(queue.take_ready().len(), 1);
    }
    let refused = queue.take_refused(16_000);
    assert!(refused.len() >= 18, "only {} of 24 were refused", refused.len());
    assert!(refused.iter().all(|(_, refusal)| refusal.retry_after_ms.is_some()));
    let new = queue.offer(16_000, queued_request(99, "a", 4, 16_500));
    assert!(matches!(new, QueueDecision::Refused(_)));
    assert!(queue.take_refused(25_000).iter().all(|(late, _)| late.deadline_ms <= 25_000));
}
