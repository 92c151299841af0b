//! Rate limits of contracts, idempotency keys, operators' changes and connection limits.

mod support;

use std::time::Duration;

use hyper::Method;
use redwinglatch_core::{Contract, RefusalReason, RetryReason, Revision};
use redwinglatch_fakes::{CallerRequest, expected_text};
use redwinglatch_local::{Deployment, FakesOptions};
use redwinglatch_operators::ClientErrorKind;
use serde_json::Value;
use tokio::net::TcpStream;
use tokio::time::{Instant, sleep, timeout};

use support::{CUSTOMER, TestDeployment, completion};

/// The `max_connections` of a local deployment.
const MAX_CONNECTIONS: usize = 1_000;

async fn change_contract(
    local: &TestDeployment,
    change_id: &str,
    change: impl FnOnce(&mut Contract),
) {
    let operator = local.deployment.operator();
    let current = operator.contract(CUSTOMER).await.unwrap().unwrap();
    let mut contract = current.contract.clone();
    change(&mut contract);
    operator.apply_contract(change_id, current.revision, &contract).await.unwrap();
}

/// Repeats `request` until a limit refuses it, then asserts that it succeeds after the retry time
/// of the error.
async fn expect_refusal_then_success(
    local: &TestDeployment,
    request: CallerRequest,
    reason: RefusalReason,
) {
    let before = local.refusal_count(reason);
    let error = loop {
        let response = local.send(request.clone()).await;
        if response.status != 200 {
            assert_eq!(response.status, 429, "{}", response.body);
            break response.body["error"].clone();
        }
        assert!(local.runs() < 20, "the limit refused no request");
    };
    assert_eq!((&error["code"], &error["ran"]), (&reason.code().into(), &"not_run".into()));
    assert_eq!(local.refusal_count(reason), before + 1);
    let wait_ms = error["retry_after_ms"].as_u64().unwrap();
    assert!((1..=2_000).contains(&wait_ms), "{error}");
    // The response itself may take a second on a busy machine.
    let deadline = Instant::now() + Duration::from_millis(wait_ms + 1_000);
    while local.send(request.clone()).await.status != 200 {
        assert!(Instant::now() < deadline, "still refused {wait_ms} ms later");
        sleep(Duration::from_millis(10)).await;
    }
}

/// Guards against rate limits that are not enforced, and against a retry time after which the
/// request is refused again.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn rate_limits_refuse_with_the_time_after_which_a_retry_succeeds() {
    let local = TestDeployment::start("requests", FakesOptions::default()).await;
    change_contract(&local, "requests", |contract| contract.request_rate_per_s = 2).await;
    let request = completion("wall-1", "x", 1, false);
    expect_refusal_then_success(&local, request, RefusalReason::RequestRate).await;

    // Uses a new deployment because a raised rate reaches the share only with a later renewal.
    let local = TestDeployment::start("tokens", FakesOptions::default()).await;
    change_contract(&local, "tokens", |contract| contract.token_rate_per_s = 40).await;
    let request = completion("wall-1", "y", 30, false);
    expect_refusal_then_success(&local, request, RefusalReason::TokenRate).await;
}

/// Guards against a second run for an idempotency key whose first request is still running, and
/// against a retry that gets a response other than that of the first request.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_key_in_use_is_refused_until_its_request_has_ended() {
    let options = FakesOptions { engines: 1, ..FakesOptions::default() };
    let local = TestDeployment::start("running", options).await;
    let engine = &local.deployment.fakes.engines[0];
    engine.hold_at(Some(2));
    let request = completion("wall-1", "one", 6, false).header("idempotency-key", "report-1");
    let (caller, address, first) =
        (local.deployment.caller(CUSTOMER), local.address(), request.clone());
    let first = tokio::spawn(async move { caller.send(address, &first).await.unwrap() });
    engine.wait_for_batch(1).await;
    let reason = RefusalReason::StillRunning;
    let error = local.expect_refusal_with(request.clone(), 409, reason, "unknown").await;
    assert!(support::has_retry_time(&error), "{error}");
    engine.hold_at(None);
    let first = first.await.unwrap();
    assert_eq!(first.body["text"], expected_text("one", "wall-1", 1, 6), "{}", first.body);
    let repeated = local.expect_success(request).await;
    assert_eq!((repeated.bytes, engine.runs().len()), (first.bytes, 1));
}

/// Guards against two operators who overwrite each other's changes, against a contract with invalid
/// limits, and against rejected changes that are not counted.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn rejected_contract_changes_are_reported_and_counted() {
    let local = TestDeployment::start("changes", FakesOptions::default()).await;
    let operator = local.deployment.operator();
    let current = operator.contract(CUSTOMER).await.unwrap().unwrap();

    let other = Deployment::contract(CUSTOMER, "roof-");
    let error = operator.apply_contract("late", Revision(0), &other).await.unwrap_err();
    let ClientErrorKind::Conflict(conflict) = &error.kind else { panic!("{error}") };
    assert_eq!(conflict.current_revision, current.revision);
    assert_eq!(local.refusal_count(RefusalReason::RevisionConflict), 1);

    let mut invalid = current.contract.clone();
    invalid.default_deadline_ms = invalid.max_deadline_ms + 1;
    let error = operator.apply_contract("odd", current.revision, &invalid).await.unwrap_err();
    let ClientErrorKind::Refused { status, error } = &error.kind else { panic!("{error}") };
    let error = serde_json::to_value(error).unwrap();
    assert_eq!((*status, &error["code"]), (400, &"invalid_change".into()), "{error}");
    assert_eq!(error["ran"], "not_run");
    assert_eq!(local.refusal_count(RefusalReason::InvalidChange), 1);
    assert_eq!(operator.contract(CUSTOMER).await.unwrap().unwrap(), current);

    let page = operator.metrics().await.unwrap();
    for reason in RefusalReason::ALL {
        let (code, count) = (reason.code(), local.refusal_count(*reason));
        let line = format!("redwinglatch_refusals_total{{reason=\"{code}\"}} {count}");
        assert!(page.lines().any(|it| it == line), "{line}");
    }
    for reason in RetryReason::ALL {
        let line = format!("redwinglatch_retries_total{{reason=\"{}\"}} ", reason.code());
        assert!(page.lines().any(|it| it.starts_with(&line)), "{line}");
    }
}

/// Guards against open connections that exhaust the process, and against an instance that accepts
/// no connection after they are closed.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn connections_over_the_limit_are_closed_and_counted() {
    let local = TestDeployment::start("connections", FakesOptions::default()).await;
    let reason = RefusalReason::TooManyConnections;
    let mut open = Vec::new();
    while local.refusal_count(reason) == 0 {
        assert!(open.len() <= MAX_CONNECTIONS + 100, "no connection is refused");
        open.push(TcpStream::connect(local.address()).await.unwrap());
    }
    assert!(open.len() > MAX_CONNECTIONS, "{} connections", open.len());
    let entries = CallerRequest::new(Method::GET, "/v1/entries", "");
    let caller = local.deployment.caller(CUSTOMER);
    let result = timeout(Duration::from_secs(2), caller.send(local.address(), &entries)).await;
    assert!(result.expect("the connection is closed at once").is_err());
    drop(open);
    let deadline = Instant::now() + Duration::from_secs(5);
    let response = loop {
        match caller.send(local.address(), &entries).await {
            Ok(response) => break response,
            Err(error) => assert!(Instant::now() < deadline, "{error}"),
        }
    };
    assert!(matches!(&response.body["entries"], Value::Array(_)), "{}", response.body);
}
