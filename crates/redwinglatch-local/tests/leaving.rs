//! Engines that leave and engines that restart cold.

mod support;

use std::time::Duration;

use redwinglatch_core::RetryReason;
use redwinglatch_fakes::{FakeEngine, InstanceState, expected_text};
use redwinglatch_local::{Fakes, FakesOptions};
use tokio::time::{Instant, sleep};

use support::{CUSTOMER, Local, completion};

/// The target of R6.
const LEAVING_LIMIT: Duration = Duration::from_secs(3);

/// How an engine says that it is leaving.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Signal {
    List,
    Report,
    Refusal,
}

fn give(signal: Signal, local: &Local, engine: &FakeEngine) {
    match signal {
        Signal::List => {
            let data_centre = engine.data_centre();
            let (pool, leaving) = (Fakes::ENGINE_POOL, InstanceState::Leaving);
            local.deployment.fakes.platform.set(pool, engine.address(), &data_centre, leaving);
        }
        Signal::Report => engine.set_leaving(true),
        Signal::Refusal => {
            // Without reports only a refusal tells it.
            engine.lose_next_reports(1_000);
            engine.set_leaving(true);
        }
    }
}

/// Waits until the operators' status shows the engine as leaving; sends no request meanwhile.
async fn wait_until_known(local: &Local, engine: &FakeEngine, until: Instant) {
    let operator = local.deployment.operator();
    loop {
        let status = operator.status().await.unwrap();
        if status.engines.iter().any(|it| it.address == engine.address() && it.is_leaving) {
            return;
        }
        assert!(Instant::now() < until, "the signal was not noticed in {LEAVING_LIMIT:?}");
        sleep(Duration::from_millis(20)).await;
    }
}

/// Guards against new work for an engine that is leaving, whichever signal arrives, and against an
/// interrupted stream on it.
async fn a_leaving_engine_gets_no_new_work(name: &str, signal: Signal) {
    let local = Local::start(name, FakesOptions::default()).await;
    let engine = local.primed("wall-1").await;
    let caller = local.deployment.caller(CUSTOMER);
    let long = completion("wall-1", "long", 150, true);
    let mut stream = caller.stream(local.address(), &long).await.unwrap();
    assert_eq!(stream.backend(), Some(engine.address()));
    assert!(stream.next().await.unwrap().is_some());

    give(signal, &local, engine);
    let until = Instant::now() + LEAVING_LIMIT;
    let attempts = match signal {
        Signal::List | Signal::Report => {
            wait_until_known(&local, engine, until).await;
            0
        }
        Signal::Refusal => {
            local.answered(completion("wall-1", "refused", 1, false)).await;
            1
        }
    };
    assert!(Instant::now() < until);
    let runs = engine.runs().len();
    for number in 0..10 {
        let prompt = format!("after {number}");
        let response = local.answered(completion("wall-1", &prompt, 1, false)).await;
        assert_eq!(response.body["text"], expected_text(&prompt, "wall-1", 1, 1));
        assert_ne!(response.backend, Some(engine.address()), "{signal:?}");
    }
    assert_eq!(engine.runs().len(), runs, "{signal:?}");
    assert_eq!(local.retries(RetryReason::BackendLeaving), attempts, "{signal:?}");

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

/// Guards against an engine that is listed as leaving and gets new work.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_engine_listed_as_leaving_gets_no_new_work() {
    a_leaving_engine_gets_no_new_work("listed", Signal::List).await;
}

/// Guards against an engine that reports that it is leaving and gets new work.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_engine_that_reports_its_leaving_gets_no_new_work() {
    a_leaving_engine_gets_no_new_work("reported", Signal::Report).await;
}

/// Guards against an engine that refuses because it is leaving and is asked again.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_engine_that_refuses_as_leaving_gets_no_new_work() {
    a_leaving_engine_gets_no_new_work("refusal", Signal::Refusal).await;
}

/// Guards against a list that still has a leaving engine as live, changes for another engine, and
/// so brings new work to the leaving one.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_change_of_the_list_does_not_bring_a_leaving_engine_back() {
    let local = Local::start("relisted", FakesOptions::default()).await;
    let engine = local.primed("wall-1").await;
    give(Signal::Refusal, &local, engine);
    local.answered(completion("wall-1", "refused", 1, false)).await;
    assert_eq!(local.retries(RetryReason::BackendLeaving), 1);

    let engines = &local.deployment.fakes.engines;
    let other = engines.iter().find(|other| other.address() != engine.address()).unwrap();
    let (pool, live) = (Fakes::ENGINE_POOL, InstanceState::Live);
    local.deployment.fakes.platform.set(pool, other.address(), "hall-z", live);
    let operator = local.deployment.operator();
    let until = Instant::now() + LEAVING_LIMIT;
    loop {
        let status = operator.status().await.unwrap();
        if status.engines.iter().any(|it| it.data_centre.as_deref() == Some("hall-z")) {
            break;
        }
        assert!(Instant::now() < until, "the list was not noticed in {LEAVING_LIMIT:?}");
        sleep(Duration::from_millis(20)).await;
    }
    for number in 0..5 {
        local.answered(completion("wall-1", &format!("after {number}"), 1, false)).await;
    }
    assert_eq!(local.retries(RetryReason::BackendLeaving), 1);
}

/// Guards against an engine that stays unused after a cold restart, or is used as if it still held
/// its adapters.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_engine_restarted_cold_is_used_again_with_the_right_adapter() {
    let options = FakesOptions { engines: 1, ..FakesOptions::default() };
    let local = Local::start("cold", options).await;
    let engine = local.primed("wall-1").await;
    local.primed("wall-2").await;
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
    let give_up_at = Instant::now() + Duration::from_secs(10);
    for adapter in ["wall-2", "wall-1"] {
        let response = loop {
            let response = local.send(completion(adapter, "cold", 4, false)).await;
            if response.status == 200 {
                break response;
            }
            assert_eq!(response.body["error"]["ran"], "not_run", "{}", response.body);
            assert!(Instant::now() < give_up_at, "{}", response.body);
            sleep(Duration::from_millis(20)).await;
        };
        assert_eq!(response.body["text"], expected_text("cold", adapter, 1, 4));
        assert_eq!(response.adapter.as_deref(), Some(adapter));
    }
    let after = engine.runs().into_iter().filter(|run| run.boot_id != old_boot_id);
    let adapters: Vec<Box<str>> = after.map(|run| run.adapter).collect();
    assert_eq!(adapters, ["wall-2".into(), "wall-1".into()]);
}
