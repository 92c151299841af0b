//! Requests over real sockets: whole responses, refusals of invalid input, and their counters.

mod support;

use std::time::Duration;

use hyper::Method;
use redwinglatch_core::RefusalReason;
use redwinglatch_fakes::{CallerRequest, FakeCaller, expected_text};
use redwinglatch_local::{CALLERS_SECRET, FakesOptions};
use tokio::time::Instant;

use support::{CUSTOMER, TestDeployment, completion};

fn raw(body: impl Into<bytes::Bytes>) -> CallerRequest {
    CallerRequest::new(Method::POST, "/v1/completions", body)
}

/// Guards against invalid input that terminates the process, disturbs another stream, or is refused
/// without a clear error and a counter.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn invalid_input_is_refused_and_counted_while_a_stream_continues() {
    let options = FakesOptions { step_ms: 20, ..FakesOptions::default() };
    let local = TestDeployment::start("bad-input", options).await;
    let caller = local.deployment.caller(CUSTOMER);
    let long = completion("wall-1", "long", 100, true);
    let mut stream = caller.stream(local.address(), &long).await.unwrap();
    let reading = tokio::spawn(async move { stream.text().await.unwrap() });

    let good = || completion("wall-2", "x", 1, false);
    local.expect_refusal(raw("{"), 400, RefusalReason::MalformedRequest).await;
    local.expect_refusal(raw("{\"model\": 5}"), 400, RefusalReason::MalformedRequest).await;
    let unknown_field = r#"{"model":"m","adapter":"a","version":1,"prompt":"p","colour":"red"}"#;
    local.expect_refusal(raw(unknown_field), 400, RefusalReason::MalformedRequest).await;
    let version_0 = r#"{"model":"m","adapter":"a","version":0,"prompt":"p"}"#;
    local.expect_refusal(raw(version_0), 400, RefusalReason::MalformedRequest).await;
    for (name, value) in [
        ("x-redwinglatch-deadline-ms", "soon"),
        ("x-redwinglatch-deadline-ms", "-1"),
        ("x-redwinglatch-priority", "10"),
        ("x-redwinglatch-once", "maybe"),
        ("idempotency-key", ""),
    ] {
        let request = good().header(name, value);
        local.expect_refusal(request, 400, RefusalReason::MalformedRequest).await;
    }
    let past = good().header("x-redwinglatch-deadline-ms", "0");
    local.expect_refusal(past, 504, RefusalReason::DeadlinePassed).await;
    let large = raw(vec![b' '; 2 << 20]);
    local.expect_refusal(large, 413, RefusalReason::TooLarge).await;
    let path = CallerRequest::new(Method::GET, "/v2/nothing", "");
    local.expect_refusal(path, 404, RefusalReason::NotFound).await;
    let adapter = completion("roof-1", "x", 1, false);
    local.expect_refusal(adapter, 403, RefusalReason::AdapterNotAllowed).await;
    let model = CallerRequest::completion("no-base", "wall-1", 1, "x", 1, false);
    local.expect_refusal(model, 404, RefusalReason::UnknownModel).await;
    let missing = completion("wall-99", "x", 1, false);
    local.expect_refusal(missing, 404, RefusalReason::UnknownAdapter).await;
    let service = CallerRequest::new(Method::GET, "/v1/services/payroll/x", "");
    local.expect_refusal(service, 403, RefusalReason::ServiceNotAllowed).await;

    let stranger = FakeCaller::new("nobody", CALLERS_SECRET);
    let response = stranger.send(local.address(), &good()).await.unwrap();
    assert_eq!(response.body["error"]["code"], RefusalReason::UnknownCustomer.code());
    let forger = FakeCaller::new(CUSTOMER, "another-secret-altogether");
    let response = forger.send(local.address(), &good()).await.unwrap();
    assert_eq!(
        (response.status, &response.body["error"]["code"]),
        (401, &"unauthenticated".into())
    );

    assert_eq!(reading.await.unwrap(), expected_text("long", "wall-1", 1, 100));
    let response = local.send(good()).await;
    assert_eq!(response.body["text"], expected_text("x", "wall-2", 1, 1), "{}", response.body);
}

/// Guards against an idempotency key that runs twice, a stored response that differs from the
/// first, and a key that is used for two different requests.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_repeated_key_returns_the_stored_response() {
    let local = TestDeployment::start("keys", FakesOptions::default()).await;
    let key = |request: CallerRequest| request.header("idempotency-key", "report-1");
    let first = local.send(key(completion("wall-1", "one", 6, false))).await;
    assert_eq!(first.status, 200, "{}", first.body);
    assert_eq!((first.adapter.as_deref(), first.version), (Some("wall-1"), Some(1)));
    let second = local.send(key(completion("wall-1", "one", 6, false))).await;
    assert_eq!((second.status, second.bytes), (200, first.bytes));
    local
        .expect_refusal(key(completion("wall-1", "two", 6, false)), 422, RefusalReason::KeyReused)
        .await;
    let runs: usize = local.deployment.fakes.engines.iter().map(|it| it.runs().len()).sum();
    assert_eq!(runs, 1);
}

/// Guards against contract limits that are not enforced, or refuse without a retry time.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn contract_limits_refuse_with_a_retry_time() {
    let options = FakesOptions { step_ms: 50, ..FakesOptions::default() };
    let local = TestDeployment::start("limits", options).await;
    let operator = local.deployment.operator();
    let current = operator.contract(CUSTOMER).await.unwrap().unwrap();
    let mut narrow = current.contract.clone();
    narrow.concurrent_requests = 1;
    operator.apply_contract("narrow", current.revision, &narrow).await.unwrap();

    let caller = local.deployment.caller(CUSTOMER);
    let running = completion("wall-1", "running", 40, true);
    let mut stream = caller.stream(local.address(), &running).await.unwrap();
    assert!(stream.next().await.unwrap().is_some());
    let response = local.send(completion("wall-1", "second", 1, false)).await;
    assert_eq!(response.status, 429, "{}", response.body);
    assert_eq!(response.body["error"]["code"], RefusalReason::Concurrency.code());
    assert!(response.body["error"]["retry_after_ms"].as_u64().is_some());
    while stream.next().await.unwrap().is_some() {}
    let response = local.send(completion("wall-1", "third", 1, false)).await;
    assert_eq!(response.status, 200, "{}", response.body);
}

/// Guards against a request that waits until its deadline although its load cannot finish in time.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_request_whose_load_would_finish_too_late_is_refused_at_once() {
    let options = FakesOptions { loads_per_s: 1.0, ..FakesOptions::default() };
    let local = TestDeployment::start("late", options).await;
    // The coordinator uses its engines only after their first reports.
    let ready = local.send(completion("wall-0", "ready", 1, false)).await;
    assert_eq!(ready.status, 200, "{}", ready.body);
    let sent_at = Instant::now();
    let request = completion("wall-1", "x", 1, false).header("x-redwinglatch-deadline-ms", "600");
    local.expect_refusal(request, 503, RefusalReason::LoadTooLate).await;
    assert!(sent_at.elapsed() < Duration::from_millis(400), "{:?}", sent_at.elapsed());
}
