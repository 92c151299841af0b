//! Rates of a contract, idempotency keys, changes of operators and connections.

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

use support::{CUSTOMER, Local, completion};

/// The `max_connections` of a local deployment.
const MAX_CONNECTIONS: usize = 1_000;

async fn amend(local: &Local, change_id: &str, amend: impl FnOnce(&mut Contract)) {
    let operator = local.deployment.operator();
    let current = operator.contract(CUSTOMER).await.unwrap().unwrap();
    let mut contract = current.contract.clone();
    amend(&mut contract);
    operator.apply_contract(change_id, current.revision, &contract).await.unwrap();
}

/// Sends `request` until a limit refuses it, then again after the time that the refusal names.
async fn refused_then_answered(local: &Local, request: CallerRequest, reason: RefusalReason) {
    let before = local.refusals(reason);
    let error = loop {
        let response = local.send(request.clone()).await;
        if response.status != 200 {
            assert_eq!(response.status, 429, "{}", response.body);
            break response.body["error"].clone();
        }
        assert!(local.runs() < 20, "the limit refuses nothing");
    };
    assert_eq!((&error["code"], &error["ran"]), (&reason.code().into(), &"not_run".into()));
    assert_eq!(local.refusals(reason), before + 1);
    let wait_ms = error["retry_after_ms"].as_u64().unwrap();
    assert!((1..=2_000).contains(&wait_ms), "{error}");
    // The answer itself may take a second on a busy machine.
    let give_up_at = Instant::now() + Duration::from_millis(wait_ms + 1_000);
    while local.send(request.clone()).await.status != 200 {
        assert!(Instant::now() < give_up_at, "still refused {wait_ms} ms later");
        sleep(Duration::from_millis(10)).await;
    }
}

/// Guards against rates that are not enforced, and against a retry time after which the request is
/// refused again.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn rates_refuse_with_the_time_after_which_a_retry_is_answered() {
    let local = Local::start("requests", FakesOptions::default()).await;
    amend(&local, "requests", |contract| contract.request_rate_per_s = 2).await;
    let request = completion("wall-1", "x", 1, false);
    refused_then_answered(&local, request, RefusalReason::RequestRate).await;

    // A deployment of its own: a raised rate reaches the share with a later renewal only.
    let local = Local::start("tokens", FakesOptions::default()).await;
    amend(&local, "tokens", |contract| contract.token_rate_per_s = 40).await;
    let request = completion("wall-1", "y", 30, false);
    refused_then_answered(&local, request, RefusalReason::TokenRate).await;
}

/// Guards against a second run of a key whose first request still runs, and against a retry that
/// gets another answer than the first request.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_key_in_use_is_refused_until_its_request_has_ended() {
    let options = FakesOptions { engines: 1, ..FakesOptions::default() };
    let local = Local::start("running", options).await;
    let engine = &local.deployment.fakes.engines[0];
    engine.hold_at(Some(2));
    let request = completion("wall-1", "one", 6, false).header("idempotency-key", "report-1");
    let (caller, address, first) =
        (local.deployment.caller(CUSTOMER), local.address(), request.clone());
    let first = tokio::spawn(async move { caller.send(address, &first).await.unwrap() });
    engine.wait_for_batch(1).await;
    let reason = RefusalReason::StillRunning;
    let error = local.refused_as(request.clone(), 409, reason, "unknown").await;
    assert!(support::has_retry_time(&error), "{error}");
    engine.hold_at(None);
    let first = first.await.unwrap();
    assert_eq!(first.body["text"], expected_text("one", "wall-1", 1, 6), "{}", first.body);
    let again = local.answered(request).await;
    assert_eq!((again.bytes, engine.runs().len()), (first.bytes, 1));
}

/// Guards against two operators who overwrite each other, against a contract with senseless
/// limits, and against refused changes that no counter shows.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn changes_that_are_not_made_are_refused_and_counted() {
    let local = Local::start("changes", FakesOptions::default()).await;
    let operator = local.deployment.operator();
    let current = operator.contract(CUSTOMER).await.unwrap().unwrap();

    let other = Deployment::contract(CUSTOMER, "roof-");
    let error = operator.apply_contract("late", Revision(0), &other).await.unwrap_err();
    let ClientErrorKind::Conflict(conflict) = &error.kind else { panic!("{error}") };
    assert_eq!(conflict.current_revision, current.revision);
    assert_eq!(local.refusals(RefusalReason::RevisionConflict), 1);

    let mut senseless = current.contract.clone();
    senseless.default_deadline_ms = senseless.max_deadline_ms + 1;
    let error = operator.apply_contract("odd", current.revision, &senseless).await.unwrap_err();
    let ClientErrorKind::Refused { status, error } = &error.kind else { panic!("{error}") };
    let error = serde_json::to_value(error).unwrap();
    assert_eq!((*status, &error["code"]), (400, &"invalid_change".into()), "{error}");
    assert_eq!(error["ran"], "not_run");
    assert_eq!(local.refusals(RefusalReason::InvalidChange), 1);
    assert_eq!(operator.contract(CUSTOMER).await.unwrap().unwrap(), current);

    let page = operator.metrics().await.unwrap();
    for reason in RefusalReason::ALL {
        let (code, count) = (reason.code(), local.refusals(*reason));
        let line = format!("redwinglatch_refusals_total{{reason=\"{code}\"}} {count}");
        assert!(page.lines().any(|it| it == line), "{line}");
    }
    for reason in RetryReason::ALL {
        let line = format!("redwinglatch_retries_total{{reason=\"{}\"}} ", reason.code());
        assert!(page.lines().any(|it| it.starts_with(&line)), "{line}");
    }
}

/// Guards against callers whose open connections take the whole process, and against an instance
/// that takes no connection after they were closed.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn connections_over_the_limit_are_closed_and_counted() {
    let local = Local::start("connections", FakesOptions::default()).await;
    let reason = RefusalReason::TooManyConnections;
    let mut open = Vec::new();
    while local.refusals(reason) == 0 {
        assert!(open.len() <= MAX_CONNECTIONS + 100, "no connection is refused");
        open.push(TcpStream::connect(local.address()).await.unwrap());
    }
    assert!(open.len() > MAX_CONNECTIONS, "{} connections", open.len());
    let entries = CallerRequest::new(Method::GET, "/v1/entries", "");
    let caller = local.deployment.caller(CUSTOMER);
    let answer = timeout(Duration::from_secs(2), caller.send(local.address(), &entries)).await;
    assert!(answer.expect("the connection is closed at once").is_err());
    drop(open);
    let give_up_at = Instant::now() + Duration::from_secs(5);
    let response = loop {
        match caller.send(local.address(), &entries).await {
            Ok(response) => break response,
            Err(error) => assert!(Instant::now() < give_up_at, "{error}"),
        }
    };
    assert!(matches!(&response.body["entries"], Value::Array(_)), "{}", response.body);
}
