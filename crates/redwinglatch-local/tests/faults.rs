//! Faults of engines, loads and plain services, as callers and the metrics page see them.

mod support;

use std::time::Duration;

use hyper::Method;
use redwinglatch_core::{RefusalReason, RetryReason};
use redwinglatch_fakes::{CallerRequest, InstanceState, ServiceFault, StreamFault, expected_text};
use redwinglatch_local::{Fakes, FakesOptions};
use redwinglatch_metrics::Counter;
use tokio::time::Instant;

use support::{CUSTOMER, Local, completion, has_retry_time, until};

fn service_call(method: Method) -> CallerRequest {
    CallerRequest::new(method, "/v1/services/dispatch-desk/crews", "")
}

/// Guards against a refused attempt that is not repeated at another engine, or whose counter names
/// another cause.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_attempt_that_did_not_run_is_repeated_at_another_engine() {
    let local = Local::start("repeated", FakesOptions::default()).await;
    let cases = [
        ("wall-1", 409, "adapter_missing", RetryReason::AdapterMissing),
        ("wall-2", 503, "out_of_memory", RetryReason::BackendRefused),
        ("wall-3", 503, "leaving", RetryReason::BackendLeaving),
    ];
    for (adapter, status, code, reason) in cases {
        let engine = local.primed(adapter).await;
        let address = engine.address();
        engine.refuse_next(1, status, code, true);
        let response = local.answered(completion(adapter, code, 3, false)).await;
        assert_eq!(response.body["text"], expected_text(code, adapter, 1, 3));
        assert_ne!(response.backend, Some(address), "{code}");
        assert_eq!(local.retries(reason), 1, "{code}");
    }
}

/// Guards against a request that is lost with an engine that accepts no connections.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_refused_connection_leads_to_another_engine() {
    let local = Local::start("connect", FakesOptions::default()).await;
    let engine = local.primed("wall-1").await;
    engine.refuse_connections().await;
    engine.reset_connections();
    let response = local.answered(completion("wall-1", "next", 3, false)).await;
    assert_eq!(response.body["text"], expected_text("next", "wall-1", 1, 3));
    assert_ne!(response.backend, Some(engine.address()));
    assert_eq!(local.retries(RetryReason::ConnectRefused), 1);
}

/// Guards against attempts without an end, and against a refusal that hides a full queue.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_request_that_every_engine_refuses_is_given_up() {
    let options = FakesOptions { engines: 3, loads_per_s: 50.0, ..FakesOptions::default() };
    for (name, status, code, reason) in [
        ("full", 429, "queue_full", RefusalReason::Overloaded),
        ("refusing", 503, "out_of_memory", RefusalReason::BackendUnavailable),
    ] {
        let local = Local::start(name, options).await;
        let engines = &local.deployment.fakes.engines;
        local.primed("wall-1").await;
        engines.iter().for_each(|engine| engine.refuse_next(1, status, code, true));
        let error = local.refused(completion("wall-1", "x", 1, false), 503, reason).await;
        assert!(has_retry_time(&error), "{error}");
        assert_eq!(local.retries(RetryReason::BackendRefused), 2, "{code}");
        local.answered(completion("wall-1", "x", 1, false)).await;
    }
}

/// Guards against tokens that are lost or doubled when an engine's connection goes silent or
/// breaks in mid-stream, and against a caller who waits for longer than a resumption takes.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_stream_goes_on_after_a_silent_or_broken_connection() {
    let options = FakesOptions { engines: 1, ..FakesOptions::default() };
    let local = Local::start("resumed", options).await;
    let engine = local.primed("wall-1").await;
    let caller = local.deployment.caller(CUSTOMER);
    // No byte for `stall_ms` (1 s) opens a new connection, which may take 1 s; the tokens take
    // 0.4 s.
    let bound = Duration::from_millis(1_000 + 1_000 + 400);
    for (fault, reason) in [
        (StreamFault::Silent, RetryReason::StreamResumed),
        (StreamFault::Reset, RetryReason::ConnectionLost),
    ] {
        engine.fault_next_stream(7, fault);
        let prompt = reason.code();
        let started_at = Instant::now();
        let request = completion("wall-1", prompt, 40, true);
        let mut stream = caller.stream(local.address(), &request).await.unwrap();
        assert_eq!(stream.text().await.unwrap(), expected_text(prompt, "wall-1", 1, 40));
        assert!(started_at.elapsed() < bound, "{fault:?}: {:?}", started_at.elapsed());
        assert_eq!(local.retries(reason), 1);
    }
    assert_eq!(engine.runs().len(), 3, "no request ran twice");
}

/// Guards against streams, and requests that follow, that hang with connections that an engine no
/// longer reads or writes.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn answers_arrive_after_all_connections_of_an_engine_went_silent() {
    let options = FakesOptions { engines: 1, ..FakesOptions::default() };
    let local = Local::start("silent", options).await;
    let engine = local.primed("wall-1").await;
    let caller = local.deployment.caller(CUSTOMER);
    let mut streams = Vec::new();
    for number in 0..3 {
        let prompt = format!("stream {number}");
        let request = completion("wall-1", &prompt, 60, true);
        let stream = caller.stream(local.address(), &request).await.unwrap();
        streams.push((prompt, stream));
    }
    engine.wait_until(|runs| runs.iter().filter(|run| run.tokens_delivered > 5).count() == 3).await;
    engine.go_silent();
    let silent_at = Instant::now();
    for (prompt, mut stream) in streams {
        assert_eq!(stream.text().await.unwrap(), expected_text(&prompt, "wall-1", 1, 60));
    }
    // As for one stream; 60 tokens take 0.6 s.
    let bound = Duration::from_millis(1_000 + 1_000 + 600);
    assert!(silent_at.elapsed() < bound, "{:?}", silent_at.elapsed());
    assert_eq!(local.retries(RetryReason::StreamResumed), 3);
    let response = local.answered(completion("wall-1", "next", 2, false)).await;
    assert_eq!(response.body["text"], expected_text("next", "wall-1", 1, 2));
    assert!(silent_at.elapsed() < bound + Duration::from_secs(1), "{:?}", silent_at.elapsed());
}

/// Guards against an answer of another adapter that is passed on, and against "not run" for a
/// request that may have run.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_answer_that_can_not_be_used_is_never_passed_on() {
    let options = FakesOptions { engines: 1, ..FakesOptions::default() };
    let local = Local::start("unusable", options).await;
    let engine = local.primed("wall-1").await;
    let caller = local.deployment.caller(CUSTOMER);

    for fault in [StreamFault::WrongAdapter, StreamFault::WrongVersion] {
        engine.fault_next_stream(0, fault);
        let request = completion("wall-1", "wrong", 3, false);
        local.refused_as(request, 502, RefusalReason::WrongAdapter, "ran").await;
    }
    engine.fault_next_stream(2, StreamFault::WrongAdapter);
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
    assert_eq!(local.refusals(RefusalReason::WrongAdapter), 3);

    engine.refuse_next(1, 500, "internal", false);
    let once = completion("wall-1", "once", 3, false)
        .header("idempotency-key", "report-1")
        .header("x-redwinglatch-once", "true");
    local.refused_as(once.clone(), 502, RefusalReason::BackendFailed, "unknown").await;
    local.refused_as(once, 409, RefusalReason::OutcomeUnknown, "unknown").await;
}

/// Guards against a load that fails once and fails its request, and against one that is repeated
/// for ever or uncounted.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn failed_loads_are_repeated_up_to_a_limit() {
    let local = Local::start("loads", FakesOptions::default()).await;
    local.primed("wall-0").await;
    let store = &local.deployment.fakes.weight_store;
    store.fail_next(1);
    let response = local.answered(completion("wall-1", "again", 2, false)).await;
    assert_eq!(response.body["text"], expected_text("again", "wall-1", 1, 2));
    assert_eq!(local.retries(RetryReason::LoadRetried), 1);

    store.fail_next(3);
    let request = completion("wall-2", "never", 2, false);
    let error = local.refused(request, 503, RefusalReason::LoadFailed).await;
    assert!(has_retry_time(&error), "{error}");
    assert_eq!(local.retries(RetryReason::LoadRetried), 3);
}

/// Guards against a pooled connection that went silent while idle and costs its next request the
/// time of a stalled stream, and against a retry that no later answer counts.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_silent_pooled_connection_is_replaced_before_use() {
    let local = Local::start("stale", FakesOptions::default()).await;
    local.answered(service_call(Method::GET)).await;
    let service = &local.deployment.fakes.services[0];
    service.go_silent_when_idle();
    // Connections idle for 2 s are probed. Reports are read at each of 2 engines every 200 ms, so
    // 24 of them take longer.
    let metrics = local.deployment.instance(0).unwrap().metrics().clone();
    let reports = metrics.counter(Counter::ReportsRead) + 24;
    let limit = Duration::from_secs(10);
    until("the reports", limit, || metrics.counter(Counter::ReportsRead) >= reports).await;
    let asked_at = Instant::now();
    local.answered(service_call(Method::POST)).await;
    assert!(asked_at.elapsed() < Duration::from_secs(1), "{:?}", asked_at.elapsed());
    assert_eq!(local.retries(RetryReason::StaleConnection), 1);
    assert_eq!(service.runs().len(), 2);
}

/// Guards against a request that waits for its deadline although no backend server takes work.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_request_without_a_backend_server_is_refused_at_once() {
    let local = Local::start("nobody", FakesOptions::default()).await;
    local.primed("wall-1").await;
    let fakes = &local.deployment.fakes;
    let service = &fakes.services[0];

    service.fault_next(ServiceFault::ResetAfterRun);
    let post = service_call(Method::POST);
    local.refused_as(post, 502, RefusalReason::BackendFailed, "unknown").await;
    service.set_leaving(true);
    let call = service_call(Method::GET);
    let error = local.refused(call, 503, RefusalReason::NoServiceReplica).await;
    assert!(has_retry_time(&error), "{error}");
    assert_eq!(local.retries(RetryReason::BackendLeaving), 1);

    for engine in &fakes.engines {
        let data_centre = engine.data_centre();
        let (pool, leaving) = (Fakes::ENGINE_POOL, InstanceState::Leaving);
        fakes.platform.set(pool, engine.address(), &data_centre, leaving);
    }
    let polls = fakes.platform.requests() + 2;
    until("the list", Duration::from_secs(5), || fakes.platform.requests() >= polls).await;
    let asked_at = Instant::now();
    let request = completion("wall-1", "x", 1, false);
    let error = local.refused(request, 503, RefusalReason::NoEngine).await;
    assert!(has_retry_time(&error), "{error}");
    assert!(asked_at.elapsed() < Duration::from_secs(1), "{:?}", asked_at.elapsed());
}
