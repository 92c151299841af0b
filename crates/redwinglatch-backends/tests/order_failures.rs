//! Orders and reports that are refused, fail or are lost, and engines that are leaving.

mod common;

use common::{
    client_with_short_timeouts, expected_completion, read_all, read_tokens, request,
    short_timeouts, start_engine,
};
use redwinglatch_backends::{BackendClient, BackendErrorKind, BackendSettings};
use redwinglatch_core::{AdapterVersion, Epoch, RunStatus};
use redwinglatch_fakes::{
    EngineSettings, FakeEngine, FakeWeightStore, FencingMode, OrderKind, RunEnd,
    WeightStoreSettings,
};

fn adapter_version(name: &str) -> AdapterVersion {
    AdapterVersion::new(name, 1)
}

/// Guards against executing orders of a former coordinator on an engine that checks fencing tokens,
/// and against a fake that does not record such orders when it ignores tokens.
#[tokio::test]
async fn a_stale_fencing_token_is_refused_or_ignored_as_configured() {
    for fencing in [FencingMode::Enforced, FencingMode::Ignored] {
        let engine = FakeEngine::start(EngineSettings::new("base").fencing(fencing)).unwrap();
        let client = client_with_short_timeouts();
        let address = engine.address();
        client.load(address, &adapter_version("a"), Epoch(5), 5_000).await.unwrap();
        let results = [
            client.load(address, &adapter_version("b"), Epoch(4), 5_000).await,
            client.unload(address, &adapter_version("a"), Epoch(4)).await,
            client.cancel(address, "r-1", Epoch(4)).await.map(drop),
        ];
        let is_enforced = fencing == FencingMode::Enforced;
        for result in results {
            match result {
                Ok(()) => assert!(!is_enforced),
                Err(error) => {
                    assert!(is_enforced);
                    assert_eq!(error.kind, BackendErrorKind::StaleToken);
                    assert_eq!(error.ran, RunStatus::NotRun);
                }
            }
        }
        assert_eq!(engine.is_loaded("a", 1), is_enforced);
        assert_eq!(engine.is_loaded("b", 1), !is_enforced);
        let orders = engine.orders();
        assert_eq!(orders.len(), 4);
        assert_eq!((orders[0].is_stale, orders[0].kind), (false, OrderKind::Load));
        assert!(orders[1..].iter().all(|order| order.is_stale && order.is_refused == is_enforced));
        assert!(orders[1..].iter().all(|order| order.token == Some(4)));
    }
}

/// Guards against a failed load that keeps its slot or is reported as successful.
#[tokio::test]
async fn a_failed_load_frees_its_slot_and_reports_its_cause() {
    let store = FakeWeightStore::start(WeightStoreSettings::new().adapter("a", 1)).unwrap();
    let settings = EngineSettings::new("base").slots(1).weight_store(store.address());
    let engine = FakeEngine::start(settings).unwrap();
    let client = client_with_short_timeouts();
    let address = engine.address();
    let load =
        async |name: &str| client.load(address, &adapter_version(name), Epoch(1), 5_000).await;

    engine.fail_next_loads(1);
    assert_eq!(load("a").await.unwrap_err().kind, BackendErrorKind::LoadFailed);
    store.fail_next(1);
    assert_eq!(load("a").await.unwrap_err().kind, BackendErrorKind::LoadFailed);
    assert_eq!(load("missing").await.unwrap_err().kind, BackendErrorKind::UnknownAdapter);
    load("a").await.unwrap();
    load("a").await.unwrap();
    assert_eq!(store.loads().len(), 1, "a loaded adapter is not pulled again");
    assert_eq!(load("b").await.unwrap_err().kind, BackendErrorKind::NoSlot);
    store.stop();
    client.unload(address, &adapter_version("a"), Epoch(1)).await.unwrap();
    assert_eq!(load("a").await.unwrap_err().kind, BackendErrorKind::LoadFailed);
}

/// Guards against a load that never times out, and against reporting it as "not run".
#[tokio::test]
async fn a_load_that_times_out_has_an_unknown_run_status() {
    let engine = FakeEngine::start(EngineSettings::new("base").load_ms(60_000)).unwrap();
    let error = client_with_short_timeouts()
        .load(engine.address(), &adapter_version("a"), Epoch(1), 200)
        .await
        .unwrap_err();
    assert_eq!((error.kind, error.ran), (BackendErrorKind::Unresponsive, RunStatus::Unknown));
}

/// Guards against a fake that does not record the eviction of an adapter in use.
#[tokio::test]
async fn an_unload_of_an_adapter_in_use_is_recorded_with_its_requests() {
    for evicts_in_use in [false, true] {
        let settings = EngineSettings::new("base").keep_alive_ms(20).evicts_in_use(evicts_in_use);
        let engine = FakeEngine::start(settings).unwrap();
        engine.preload("scope", 1);
        engine.hold_at(Some(2));
        let client = client_with_short_timeouts();
        let mut stream = client.complete(engine.address(), request("r-1", 9)).await.unwrap();
        read_tokens(&mut stream, 2).await;
        let result = client.unload(engine.address(), &adapter_version("scope"), Epoch(1)).await;
        engine.hold_at(None);
        let eviction = &engine.evictions()[0];
        assert_eq!(
            (&*eviction.in_flight, eviction.is_refused),
            (&["r-1".into()][..], !evicts_in_use)
        );
        if evicts_in_use {
            result.unwrap();
            let error = stream.next().await.unwrap_err();
            assert_eq!((error.kind, error.ran), (BackendErrorKind::StreamLost, RunStatus::Unknown));
            assert_eq!(engine.runs()[0].end_reason, Some(RunEnd::Evicted));
        } else {
            assert_eq!(result.unwrap_err().kind, BackendErrorKind::AdapterInUse);
            assert!(expected_completion(9).ends_with(&read_all(&mut stream).await.unwrap()));
        }
    }
}

/// Guards against sending new work to an engine that is leaving, and against breaking its streams.
#[tokio::test]
async fn a_leaving_engine_refuses_new_work_and_finishes_its_streams() {
    let engine = start_engine();
    engine.hold_at(Some(2));
    let client = client_with_short_timeouts();
    let mut stream = client.complete(engine.address(), request("r-1", 9)).await.unwrap();
    engine.set_leaving(true);
    let error = client.complete(engine.address(), request("r-2", 9)).await.err().unwrap();
    assert_eq!((error.kind, error.ran), (BackendErrorKind::Leaving, RunStatus::NotRun));
    assert!(error.is_leaving);
    assert!(client.report(engine.address()).await.unwrap().leaving);
    engine.hold_at(None);
    assert_eq!(read_all(&mut stream).await.unwrap(), expected_completion(9));
    assert_eq!(engine.runs().len(), 1);
}

/// Guards against reporting "not run" when the refusal does not carry `x-not-run`.
#[tokio::test]
async fn only_a_refusal_with_x_not_run_is_not_run() {
    let engine = start_engine();
    let client = client_with_short_timeouts();
    let cases = [
        (429, "queue_full", true, BackendErrorKind::QueueFull, RunStatus::NotRun),
        (429, "queue_full", false, BackendErrorKind::QueueFull, RunStatus::Unknown),
        (503, "leaving", true, BackendErrorKind::Leaving, RunStatus::NotRun),
        (500, "something", false, BackendErrorKind::Refused, RunStatus::Unknown),
    ];
    for (status, code, not_run, kind, ran) in cases {
        engine.refuse_next(1, status, code, not_run);
        let error = client.complete(engine.address(), request("r-1", 1)).await.err().unwrap();
        assert_eq!((error.kind, error.ran), (kind, ran));
        assert!(error.to_string().contains(code), "{error}");
    }
    // The engine knows the id from here on and does not run the request twice.
    let mut stream = client.complete(engine.address(), request("r-1", 1)).await.unwrap();
    read_all(&mut stream).await.unwrap();
    let error = client.complete(engine.address(), request("r-1", 1)).await.err().unwrap();
    assert_eq!(error.ran, RunStatus::Unknown);
    assert_eq!(engine.runs().len(), 1);
    // An id that would change the path is refused before anything is sent.
    let error = client.complete(engine.address(), request("../report?x", 1)).await.err().unwrap();
    assert_eq!((error.kind, error.ran), (BackendErrorKind::InvalidRequest, RunStatus::NotRun));
}

/// Guards against waiting for ever for a lost report, taking a stale report for a current one, and
/// missing a gap in the events.
#[tokio::test]
async fn lost_and_stale_reports_and_event_gaps_are_detected() {
    let engine = start_engine();
    let client =
        BackendClient::new(BackendSettings { order_timeout_ms: 1_000, ..short_timeouts() });
    engine.lose_next_reports(1);
    let error = client.report(engine.address()).await.unwrap_err();
    assert_eq!(error.kind, BackendErrorKind::Unresponsive);
    let before = client.report(engine.address()).await.unwrap();

    engine.set_report_lag_ms(3_600_000);
    let first_lagging = client.report(engine.address()).await.unwrap();
    engine.preload("handbook", 1);
    let lagging = client.report(engine.address()).await.unwrap();
    assert_eq!(
        (&lagging, lagging.slots.len()),
        (&first_lagging, 1),
        "the lagging report does not show the new adapter"
    );
    engine.set_report_lag_ms(0);
    let current = client.report(engine.address()).await.unwrap();
    assert_eq!(current.slots.len(), 2);
    assert!(current.sequence > before.sequence);

    // Two prefixes are stored; the event of the first one is lost.
    engine.lose_next_events(1);
    let mut long_request = request("r-1", 1);
    long_request.prompt = "x".repeat(512).into();
    let mut stream = client.complete(engine.address(), long_request).await.unwrap();
    read_all(&mut stream).await.unwrap();
    engine.set_event_lag_ms(3_600_000);
    let lagging = client.events(engine.address(), 0).await.unwrap();
    assert_eq!((lagging.events.len(), lagging.next), (0, 0));
    engine.set_event_lag_ms(0);
    let events = client.events(engine.address(), 0).await.unwrap();
    assert_eq!((events.events.len(), events.events[0].sequence, events.next), (1, 2, 2));
}
