//! Faults of engines, loads and plain services, observed by callers and in the metrics.

mod support;

use std::time::Duration;

use hyper::Method;
use redwinglatch_core::{RefusalReason, RetryReason};
use redwinglatch_fakes::{CallerRequest, InstanceState, ServiceFault, StreamFault, expected_text};
use redwinglatch_local::{Fakes, FakesOptions};
use redwinglatch_metrics::Counter;
use tokio::time::Instant;

use support::{CUSTOMER, TestDeployment, completion, has_retry_time, wait_until};

fn service_call(method: Method) -> CallerRequest {
    CallerRequest::new(method, "/v1/services/dispatch-desk/crews", "")
}

/// Guards against a rejected attempt that is not retried on another engine, or is counted under the
/// wrong reason.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_attempt_that_did_not_run_is_retried_on_another_engine() {
    let local = TestDeployment::start("repeated", FakesOptions::default()).await;
    let cases = [
        ("wall-1", 409, "adapter_missing", RetryReason::AdapterMissing),
        ("wall-2", 503, "out_of_memory", RetryReason::BackendRefused),
        ("wall-3", 503, "leaving", RetryReason::BackendLeaving),
    ];
    for (adapter, status, code, reason) in cases {
        let engine = local.load_adapter(adapter).await;
        let address = engine.address();
        engine.refuse_next(1, status, code, true);
        let response = local.expect_success(completion(adapter, code, 3, false)).await;
        assert_eq!(response.body["text"], expected_text(code, adapter, 1, 3));
        assert_ne!(response.backend, Some(address), "{code}");
        assert_eq!(local.retry_count(reason), 1, "{code}");
    }
}

/// Guards against a request that fails because its engine refuses connections.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_refused_connection_leads_to_another_engine() {
    let local = TestDeployment::start("connect", FakesOptions::default()).await;
    let engine = local.load_adapter("wall-1").await;
    engine.refuse_connections().await;
    engine.reset_connections();
    let response = local.expect_success(completion("wall-1", "next", 3, false)).await;
    assert_eq!(response.body["text"], expected_text("next", "wall-1", 1, 3));
    assert_ne!(response.backend, Some(engine.address()));
    assert_eq!(local.retry_count(RetryReason::ConnectRefused), 1);
}

/// Guards against an unlimited number of attempts, and against an error that hides that the
/// engines' queues are full.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_request_that_every_engine_refuses_is_refused() {
    let options = FakesOptions { engines: 3, loads_per_s: 50.0, ..FakesOptions::default() };
    for (name, status, code, reason) in [
        ("full", 429, "queue_full", RefusalReason::Overloaded),
        ("refusing", 503, "out_of_memory", RefusalReason::BackendUnavailable),
    ] {
        let local = TestDeployment::start(name, options).await;
        let engines = &local.deployment.fakes.engines;
        local.load_adapter("wall-1").await;
        engines.iter().for_each(|engine| engine.refuse_next(1, status, code, true));
        let error = local.expect_refusal(completion("wall-1", "x", 1, false), 503, reason).await;
        assert!(has_retry_time(&error), "{error}");
        assert_eq!(local.retry_count(RetryReason::BackendRefused), 2, "{code}");
        local.expect_success(completion("wall-1", "x", 1, false)).await;
    }
}

/// Guards against lost or duplicate tokens when an engine's connection stalls or is reset in
/// mid-stream, and against a caller who waits longer than a resumption takes.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_stream_continues_after_a_stalled_or_reset_connection() {
    let options = FakesOptions { engines: 1, ..FakesOptions::default() };
    let local = TestDeployment::start("resumed", options).await;
    let engine = local.load_adapter("wall-1").await;
    let caller = local.deployment.caller(CUSTOMER);
    // After `stall_ms` (1 s) without a byte a new connection is opened, which may take 1 s; the
    // tokens take 0.4 s.
    let bound = Duration::from_millis(1_000 + 1_000 + 400);
    for (fault, reason) in [
        (StreamFault::Stall, RetryReason::StreamResumed),
        (StreamFault::Reset, RetryReason::ConnectionLost),
    ] {
        engine.inject_stream_fault(7, fault);
        let prompt = reason.code();
        let started_at = Instant::now();
        let request = completion("wall-1", prompt, 40, true);
        let mut stream = caller.stream(local.address(), &request).await.unwrap();
        assert_eq!(stream.text().await.unwrap(), expected_text(prompt, "wall-1", 1, 40));
        assert!(started_at.elapsed() < bound, "{fault:?}: {:?}", started_at.elapsed());
        assert_eq!(local.retry_count(reason), 1);
    }
    assert_eq!(engine.runs().len(), 3, "no request ran twice");
}

/// Guards against streams and later requests that hang on connections that an engine no longer
/// reads or writes.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn streams_complete_after_all_connections_of_an_engine_stall() {
    let options = FakesOptions { engines: 1, ..FakesOptions::default() };
    let local = TestDeployment::start("silent", options).await;
    let engine = local.load_adapter("wall-1").await;
    let caller = local.deployment.caller(CUSTOMER);
    let mut streams = Vec::new();
    for number in 0..3 {
        let prompt = format!("stream {number}");
        let request = completion("wall-1", &prompt, 60, true);
        let stream = caller.stream(local.address(), &request).await.unwrap();
        streams.push((prompt, stream));
    }
    engine.wait_until(|runs| runs.iter().filter(|run| run.tokens_delivered > 5).count() == 3).await;
    engine.stall_connections();
    let stalled_at = Instant::now();
    for (prompt, mut stream) in streams {
        assert_eq!(stream.text().await.unwrap(), expected_text(&prompt, "wall-1", 1, 60));
    }
    // The same bound as for one stream, with 60 tokens that take 0.6 s.
    let bound = Duration::from_millis(1_000 + 1_000 + 600);
    assert!(stalled_at.elapsed() < bound, "{:?}", stalled_at.elapsed());
    assert_eq!(local.retry_count(RetryReason::StreamResumed), 3);
    let response = local.expect_success(completion("wall-1", "next", 2, false)).await;
    assert_eq!(response.body["text"], expected_text("next", "wall-1", 1, 2));
    assert!(stalled_at.elapsed() < bound + Duration::from_secs(1), "{:?}", stalled_at.elapsed());
}

/// Guards against forwarding the response of another adapter, and against reporting "not run" for a
/// request that may have run.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_unusable_response_is_never_forwarded() {
    let options = FakesOptions { engines: 1, ..FakesOptions::default() };
    let local = TestDeployment::start("unusable", options).await;
    let engine = local.load_adapter("wall-1").await;
    let caller = local.deployment.caller(CUSTOMER);

    for fault in [StreamFault::WrongAdapter, StreamFault::WrongVersion] {
        engine.inject_stream_fault(0, fault);
        let request = completion("wall-1", "wrong", 3, false);
        local.expect_refusal_with(request, 502, RefusalReason::WrongAdapter, "ran").await;
    }
    engine.inject_stream_fault(2, StreamFault::WrongAdapter);
    let request = completion("wall-1", "wrong", 5, true);
    let mut stream = caller.stream(local.address(), &request).await.unwrap();
    let mut tokens = 0;
    let error = loop {
        let event = stream.next().await.unwrap().unwrap();
        if !event["error"].is_null() {
            break event["error"].clone();
        }
        tokens += 1;
    };
    assert_eq!((tokens, &error["code"]), (2, &"wrong_adapter".into()), "{error}");
    assert_eq!(error["ran"], "ran");
    assert_eq!(local.refusal_count(RefusalReason::WrongAdapter), 3);

    engine.refuse_next(1, 500, "internal", false);
    let once = completion("wall-1", "once", 3, false)
        .header("idempotency-key", "report-1")
        .header("x-redwinglatch-once", "true");
    local.expect_refusal_with(once.clone(), 502, RefusalReason::BackendFailed, "unknown").await;
    local.expect_refusal_with(once, 409, RefusalReason::OutcomeUnknown, "unknown").await;
}

/// Guards against a request that fails because its load failed once, and against a load that is
/// retried without limit or without being counted.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn failed_loads_are_retried_up_to_a_limit() {
    let local = TestDeployment::start("loads", FakesOptions::default()).await;
    local.load_adapter("wall-0").await;
    let store = &local.deployment.fakes.weight_store;
    store.fail_next(1);
    let response = local.expect_success(completion("wall-1", "again", 2, false)).await;
    assert_eq!(response.body["text"], expected_text("again", "wall-1", 1, 2));
    assert_eq!(local.retry_count(RetryReason::LoadRetried), 1);

    store.fail_next(3);
    let request = completion("wall-2", "never", 2, false);
    let error = local.expect_refusal(request, 503, RefusalReason::LoadFailed).await;
    assert!(has_retry_time(&error), "{error}");
    assert_eq!(local.retry_count(RetryReason::LoadRetried), 3);
}

/// Guards against a pooled connection that stalled while idle and delays its next request by the
/// stall timeout, and against a retry that is still not counted after the next response.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_stalled_pooled_connection_is_replaced_before_use() {
    let local = TestDeployment::start("stale", FakesOptions::default()).await;
    local.expect_success(service_call(Method::GET)).await;
    let service = &local.deployment.fakes.services[0];
    service.stall_idle_connections();
    // Connections that are idle for 2 s are probed. Reports are read from each of 2 engines every
    // 200 ms, so 24 reports take longer than that.
    let metrics = local.deployment.instance(0).unwrap().metrics().clone();
    let reports = metrics.counter(Counter::ReportsRead) + 24;
    let limit = Duration::from_secs(10);
    wait_until("24 further reports", limit, || metrics.counter(Counter::ReportsRead) >= reports)
        .await;
    let sent_at = Instant::now();
    local.expect_success(service_call(Method::POST)).await;
    assert!(sent_at.elapsed() < Duration::from_secs(1), "{:?}", sent_at.elapsed());
    assert_eq!(local.retry_count(RetryReason::StaleConnection), 1);
    assert_eq!(service.runs().len(), 2);
}

/// Guards against a request that waits until its deadline although no backend server accepts work.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_request_without_a_backend_server_is_refused_at_once() {
    let local = TestDeployment::start("nobody", FakesOptions::default()).await;
    local.load_adapter("wall-1").await;
    let fakes = &local.deployment.fakes;
    let service = &fakes.services[0];

    service.inject_fault(ServiceFault::ResetAfterRun);
    let post = service_call(Method::POST);
    local.expect_refusal_with(post, 502, RefusalReason::BackendFailed, "unknown").await;
    service.set_leaving(true);
    let call = service_call(Method::GET);
    let error = local.expect_refusal(call, 503, RefusalReason::NoServiceReplica).await;
    assert!(has_retry_time(&error), "{error}");
    assert_eq!(local.retry_count(RetryReason::BackendLeaving), 1);

    for engine in &fakes.engines {
        let data_centre = engine.data_centre();
        let (pool, leaving) = (Fakes::ENGINE_POOL, InstanceState::Leaving);
        fakes.platform.set(pool, engine.address(), &data_centre, leaving);
    }
    let polls = fakes.platform.request_count() + 2;
    wait_until("two further reads of the backend list", Duration::from_secs(5), || {
        fakes.platform.request_count() >= polls
    })
    .await;
    let sent_at = Instant::now();
    let request = completion("wall-1", "x", 1, false);
    let error = local.expect_refusal(request, 503, RefusalReason::NoEngine).await;
    assert!(has_retry_time(&error), "{error}");
    assert!(sent_at.elapsed() < Duration::from_secs(1), "{:?}", sent_at.elapsed());
}
