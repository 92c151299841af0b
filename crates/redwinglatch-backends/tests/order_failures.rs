//! Orders and reports that are refused, fail or get lost, and engines that are leaving.

mod common;

use common::{engine, expected, quick, quick_client, read_all, read_tokens, request};
use redwinglatch_backends::{BackendClient, BackendErrorKind, BackendSettings};
use redwinglatch_core::{AdapterVersion, Epoch, RunStatus};
use redwinglatch_fakes::{
    EngineSettings, FakeEngine, FakeWeightStore, FencingMode, OrderKind, RunEnd,
    WeightStoreSettings,
};

fn adapter(name: &str) -> AdapterVersion {
    AdapterVersion::new(name, 1)
}

/// Guards against orders of an old coordinator taking effect on an engine that checks tokens, and
/// against tests that can't see them on one that does not.
#[tokio::test]
async fn an_old_fencing_token_is_refused_or_ignored_as_set() {
    for fencing in [FencingMode::Enforced, FencingMode::Ignored] {
        let engine = FakeEngine::start(EngineSettings::new("base").fencing(fencing)).unwrap();
        let client = quick_client();
        let address = engine.address();
        client.load(address, &adapter("a"), Epoch(5), 5_000).await.unwrap();
        let results = [
            client.load(address, &adapter("b"), Epoch(4), 5_000).await,
            client.unload(address, &adapter("a"), Epoch(4)).await,
            client.cancel(address, "r-1", Epoch(4)).await.map(drop),
        ];
        let enforced = fencing == FencingMode::Enforced;
        for result in results {
            match result {
                Ok(()) => assert!(!enforced),
                Err(error) => {
                    assert!(enforced);
                    assert_eq!(error.kind, BackendErrorKind::StaleToken);
                    assert_eq!(error.ran, RunStatus::NotRun);
                }
            }
        }
        assert_eq!(engine.is_loaded("a", 1), enforced);
        assert_eq!(engine.is_loaded("b", 1), !enforced);
        let orders = engine.orders();
        assert_eq!(orders.len(), 4);
        assert_eq!((orders[0].is_stale, orders[0].kind), (false, OrderKind::Load));
        assert!(orders[1..].iter().all(|order| order.is_stale && order.is_refused == enforced));
        assert!(orders[1..].iter().all(|order| order.token == Some(4)));
    }
}

/// Guards against a failed load that keeps its slot or is reported as done.
#[tokio::test]
async fn a_failed_load_frees_its_slot_and_says_why() {
    let store = FakeWeightStore::start(WeightStoreSettings::new().adapter("a", 1)).unwrap();
    let settings = EngineSettings::new("base").slots(1).weight_store(store.address());
    let engine = FakeEngine::start(settings).unwrap();
    let client = quick_client();
    let address = engine.address();
    let load = async |name: &str| client.load(address, &adapter(name), Epoch(1), 5_000).await;

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
    client.unload(address, &adapter("a"), Epoch(1)).await.unwrap();
    assert_eq!(load("a").await.unwrap_err().kind, BackendErrorKind::LoadFailed);
}

/// Guards against a load that waits for ever, and against calling it "not run".
#[tokio::test]
async fn a_load_that_takes_too_long_is_unknown() {
    let engine = FakeEngine::start(EngineSettings::new("base").load_ms(60_000)).unwrap();
    let error =
        quick_client().load(engine.address(), &adapter("a"), Epoch(1), 200).await.unwrap_err();
    assert_eq!((error.kind, error.ran), (BackendErrorKind::Silent, RunStatus::Unknown));
}

/// Guards against checkers that can't see an eviction under a request in flight.
#[tokio::test]
async fn an_unload_in_use_is_recorded_with_what_was_in_flight() {
    for evicts in [false, true] {
        let settings = EngineSettings::new("base").keep_alive_ms(20).evicts_in_use(evicts);
        let engine = FakeEngine::start(settings).unwrap();
        engine.preload("scope", 1);
        engine.hold_at(Some(2));
        let client = quick_client();
        let mut stream = client.complete(engine.address(), request("r-1", 9)).await.unwrap();
        read_tokens(&mut stream, 2).await;
        let result = client.unload(engine.address(), &adapter("scope"), Epoch(1)).await;
        engine.hold_at(None);
        let eviction = &engine.evictions()[0];
        assert_eq!((&*eviction.in_flight, eviction.is_refused), (&["r-1".into()][..], !evicts));
        if evicts {
            result.unwrap();
            let error = stream.next().await.unwrap_err();
            assert_eq!((error.kind, error.ran), (BackendErrorKind::StreamLost, RunStatus::Unknown));
            assert_eq!(engine.runs()[0].end_reason, Some(RunEnd::Evicted));
        } else {
            assert_eq!(result.unwrap_err().kind, BackendErrorKind::AdapterInUse);
            assert!(expected(9).ends_with(&read_all(&mut stream).await.unwrap()));
        }
    }
}

/// Guards against sending new work to an engine that is leaving, and against breaking its streams.
#[tokio::test]
async fn a_leaving_engine_refuses_new_work_and_finishes_its_streams() {
    let engine = engine();
    engine.hold_at(Some(2));
    let client = quick_client();
    let mut stream = client.complete(engine.address(), request("r-1", 9)).await.unwrap();
    engine.set_leaving(true);
    let error = client.complete(engine.address(), request("r-2", 9)).await.err().unwrap();
    assert_eq!((error.kind, error.ran), (BackendErrorKind::Leaving, RunStatus::NotRun));
    assert!(error.leaving);
    assert!(client.report(engine.address()).await.unwrap().leaving);
    engine.hold_at(None);
    assert_eq!(read_all(&mut stream).await.unwrap(), expected(9));
    assert_eq!(engine.runs().len(), 1);
}

/// Guards against telling "not run" where the engine did not say so.
#[tokio::test]
async fn only_a_refusal_that_says_so_is_not_run() {
    let engine = engine();
    let client = quick_client();
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
    // The engine knows the id from here on and does not run it twice.
    let mut stream = client.complete(engine.address(), request("r-1", 1)).await.unwrap();
    read_all(&mut stream).await.unwrap();
    let error = client.complete(engine.address(), request("r-1", 1)).await.err().unwrap();
    assert_eq!(error.ran, RunStatus::Unknown);
    assert_eq!(engine.runs().len(), 1);
    // An id that would change the path is refused before anything is sent.
    let odd = client.complete(engine.address(), request("../report?x", 1)).await.err().unwrap();
    assert_eq!((odd.kind, odd.ran), (BackendErrorKind::InvalidRequest, RunStatus::NotRun));
}

/// Guards against a caller that waits for ever for a lost report, or trusts a late one as new.
#[tokio::test]
async fn lost_and_late_reports_and_event_gaps_are_visible() {
    let engine = engine();
    let client = BackendClient::new(BackendSettings { order_timeout_ms: 1_000, ..quick() });
    engine.lose_next_reports(1);
    let error = client.report(engine.address()).await.unwrap_err();
    assert_eq!(error.kind, BackendErrorKind::Silent);
    let before = client.report(engine.address()).await.unwrap();

    engine.set_report_lag_ms(3_600_000);
    let oldest = client.report(engine.address()).await.unwrap();
    engine.preload("handbook", 1);
    let late = client.report(engine.address()).await.unwrap();
    assert_eq!((&late, late.slots.len()), (&oldest, 1), "the lag hides the new adapter");
    engine.set_report_lag_ms(0);
    let current = client.report(engine.address()).await.unwrap();
    assert_eq!(current.slots.len(), 2);
    assert!(current.sequence > before.sequence);

    // Two prefixes are stored; the event of the first one is lost.
    engine.lose_next_events(1);
    let mut long = request("r-1", 1);
    long.prompt = "x".repeat(512).into();
    let mut stream = client.complete(engine.address(), long).await.unwrap();
    read_all(&mut stream).await.unwrap();
    engine.set_event_lag_ms(3_600_000);
    let late = client.events(engine.address(), 0).await.unwrap();
    assert_eq!((late.events.len(), late.next), (0, 0));
    engine.set_event_lag_ms(0);
    let events = client.events(engine.address(), 0).await.unwrap();
    assert_eq!((events.events.len(), events.events[0].sequence, events.next), (1, 2, 2));
}
