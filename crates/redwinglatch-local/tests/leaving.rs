//! Engines that are leaving and engines that restart cold.

mod support;

use std::time::Duration;

use redwinglatch_core::RetryReason;
use redwinglatch_fakes::{FakeEngine, InstanceState, expected_text};
use redwinglatch_local::{Fakes, FakesOptions};
use tokio::time::{Instant, sleep};

use support::{CUSTOMER, TestDeployment, completion};

/// Time limit of requirement R6 for detecting that an engine is leaving.
const LEAVING_LIMIT: Duration = Duration::from_secs(3);

/// The way in which the deployment learns that an engine is leaving.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum LeavingSignal {
    List,
    Report,
    Refusal,
}

fn send_leaving_signal(signal: LeavingSignal, local: &TestDeployment, engine: &FakeEngine) {
    match signal {
        LeavingSignal::List => {
            let data_centre = engine.data_centre();
            let (pool, leaving) = (Fakes::ENGINE_POOL, InstanceState::Leaving);
            local.deployment.fakes.platform.set(pool, engine.address(), &data_centre, leaving);
        }
        LeavingSignal::Report => engine.set_leaving(true),
        LeavingSignal::Refusal => {
            // Without reports, only the rejection of a request shows that the engine is leaving.
            engine.lose_next_reports(1_000);
            engine.set_leaving(true);
        }
    }
}

/// Waits until the operators' status shows the engine as leaving, without sending requests.
async fn wait_until_status_shows_leaving(
    local: &TestDeployment,
    engine: &FakeEngine,
    deadline: Instant,
) {
    let operator = local.deployment.operator();
    loop {
        let status = operator.status().await.unwrap();
        if status.engines.iter().any(|it| it.address == engine.address() && it.is_leaving) {
            return;
        }
        assert!(
            Instant::now() < deadline,
            "the engine was not shown as leaving within {LEAVING_LIMIT:?}"
        );
        sleep(Duration::from_millis(20)).await;
    }
}

/// Guards against new requests on a leaving engine, for each way in which it is detected, and
/// against interrupting a stream that runs on it.
async fn a_leaving_engine_gets_no_new_work(name: &str, signal: LeavingSignal) {
    let local = TestDeployment::start(name, FakesOptions::default()).await;
    let engine = local.load_adapter("wall-1").await;
    let caller = local.deployment.caller(CUSTOMER);
    let long = completion("wall-1", "long", 150, true);
    let mut stream = caller.stream(local.address(), &long).await.unwrap();
    assert_eq!(stream.backend(), Some(engine.address()));
    assert!(stream.next().await.unwrap().is_some());

    send_leaving_signal(signal, &local, engine);
    let deadline = Instant::now() + LEAVING_LIMIT;
    let attempts = match signal {
        LeavingSignal::List | LeavingSignal::Report => {
            wait_until_status_shows_leaving(&local, engine, deadline).await;
            0
        }
        LeavingSignal::Refusal => {
            local.expect_success(completion("wall-1", "refused", 1, false)).await;
            1
        }
    };
    assert!(Instant::now() < deadline);
    let runs = engine.runs().len();
    for number in 0..10 {
        let prompt = format!("after {number}");
        let response = local.expect_success(completion("wall-1", &prompt, 1, false)).await;
        assert_eq!(response.body["text"], expected_text(&prompt, "wall-1", 1, 1));
        assert_ne!(response.backend, Some(engine.address()), "{signal:?}");
    }
    assert_eq!(engine.runs().len(), runs, "{signal:?}");
    assert_eq!(local.retry_count(RetryReason::BackendLeaving), attempts, "{signal:?}");

    let mut tokens = 1;
    loop {
        let event = stream.next().await.unwrap().unwrap();
        if event["done"] == true {
            break;
        }
        assert_eq!(event["index"], tokens, "{event}");
        tokens += 1;
    }
    assert_eq!(tokens, 150);
}

/// Guards against new requests on an engine that the platform lists as leaving.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_engine_listed_as_leaving_gets_no_new_work() {
    a_leaving_engine_gets_no_new_work("listed", LeavingSignal::List).await;
}

/// Guards against new requests on an engine whose report states that it is leaving.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_engine_that_reports_leaving_gets_no_new_work() {
    a_leaving_engine_gets_no_new_work("reported", LeavingSignal::Report).await;
}

/// Guards against further requests to an engine that rejected one because it is leaving.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_engine_that_refuses_as_leaving_gets_no_new_work() {
    a_leaving_engine_gets_no_new_work("refusal", LeavingSignal::Refusal).await;
}

/// Guards against new requests on a leaving engine after the backend list, in which it is still
/// live, changes because of another engine.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_change_of_the_backend_list_does_not_revive_a_leaving_engine() {
    let local = TestDeployment::start("relisted", FakesOptions::default()).await;
    let engine = local.load_adapter("wall-1").await;
    send_leaving_signal(LeavingSignal::Refusal, &local, engine);
    local.expect_success(completion("wall-1", "refused", 1, false)).await;
    assert_eq!(local.retry_count(RetryReason::BackendLeaving), 1);

    let engines = &local.deployment.fakes.engines;
    let other = engines.iter().find(|other| other.address() != engine.address()).unwrap();
    let (pool, live) = (Fakes::ENGINE_POOL, InstanceState::Live);
    local.deployment.fakes.platform.set(pool, other.address(), "hall-z", live);
    let operator = local.deployment.operator();
    let deadline = Instant::now() + LEAVING_LIMIT;
    loop {
        let status = operator.status().await.unwrap();
        if status.engines.iter().any(|it| it.data_centre.as_deref() == Some("hall-z")) {
            break;
        }
        assert!(
            Instant::now() < deadline,
            "the new backend list was not applied within {LEAVING_LIMIT:?}"
        );
        sleep(Duration::from_millis(20)).await;
    }
    for number in 0..5 {
        local.expect_success(completion("wall-1", &format!("after {number}"), 1, false)).await;
    }
    assert_eq!(local.retry_count(RetryReason::BackendLeaving), 1);
}

/// Guards against an engine that stays unused after a cold restart, or is used as if its adapters
/// were still loaded.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_engine_is_used_with_the_right_adapter_after_a_cold_restart() {
    let options = FakesOptions { engines: 1, ..FakesOptions::default() };
    let local = TestDeployment::start("cold", options).await;
    let engine = local.load_adapter("wall-1").await;
    local.load_adapter("wall-2").await;
    let old_boot_id = engine.boot_id();
    let caller = local.deployment.caller(CUSTOMER);
    let long = completion("wall-1", "long", 1_000, true);
    let mut stream = caller.stream(local.address(), &long).await.unwrap();
    assert!(stream.next().await.unwrap().is_some());

    engine.restart_cold();
    let error = loop {
        let event = stream.next().await.unwrap().unwrap();
        if !event["error"].is_null() {
            break event["error"].clone();
        }
    };
    assert_eq!((&error["code"], &error["ran"]), (&"backend_failed".into(), &"unknown".into()));
    let deadline = Instant::now() + Duration::from_secs(10);
    for adapter in ["wall-2", "wall-1"] {
        let response = loop {
            let response = local.send(completion(adapter, "cold", 4, false)).await;
            if response.status == 200 {
                break response;
            }
            assert_eq!(response.body["error"]["ran"], "not_run", "{}", response.body);
            assert!(Instant::now() < deadline, "{}", response.body);
            sleep(Duration::from_millis(20)).await;
        };
        assert_eq!(response.body["text"], expected_text("cold", adapter, 1, 4));
        assert_eq!(response.adapter.as_deref(), Some(adapter));
    }
    let after = engine.runs().into_iter().filter(|run| run.boot_id != old_boot_id);
    let adapters: Vec<Box<str>> = after.map(|run| run.adapter).collect();
    assert_eq!(adapters, ["wall-2".into(), "wall-1".into()]);
}
