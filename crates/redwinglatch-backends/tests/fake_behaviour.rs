//! Behaviour of the fakes and time-dependent behaviour of the client, on which the daemon's tests
//! rely.

mod common;

use common::{
    client_with_short_timeouts, expected_completion, read_all, read_tokens, request,
    short_timeouts, start_engine,
};
use redwinglatch_backends::{BackendClient, BackendErrorKind, BackendSettings, ServiceRequest};
use redwinglatch_core::{AdapterVersion, Epoch, RetryReason};
use redwinglatch_fakes::{
    EngineSettings, FakeEngine, FakeService, FakeWeightStore, ServiceSettings, WeightStoreSettings,
};
use tokio::time::{Duration, Instant, advance, pause, resume};

/// Advances the clock by `duration` without waiting.
async fn advance_clock(duration: Duration) {
    pause();
    advance(duration).await;
    resume();
}

/// Guards against a weight store whose rate depends on the number of waiting loads.
///
/// The store is busy as long as any load waits, so the total time is exact on the paused clock.
#[tokio::test(start_paused = true)]
async fn a_busy_weight_store_completes_loads_at_its_configured_rate() {
    for (loads_per_s, parallel, loads) in [(3.0, 1, 6), (4.5, 2, 9), (4.5, 2, 1)] {
        let settings = WeightStoreSettings::new().loads_per_s(loads_per_s).parallel_loads(parallel);
        let store = FakeWeightStore::start(settings).unwrap();
        let settings = EngineSettings::new("base").slots(16).weight_store(store.address());
        let engine = FakeEngine::start(settings).unwrap();
        let settings = BackendSettings {
            control_connections_per_address: 16,
            connect_timeout_ms: 60_000,
            ..BackendSettings::default()
        };
        let client = BackendClient::new(settings);
        let start = Instant::now();
        let mut orders = tokio::task::JoinSet::new();
        for number in 0..loads {
            let (client, address) = (client.clone(), engine.address());
            let adapter = AdapterVersion::new(format!("a-{number}"), 1);
            store.add(&*adapter.adapter, 1);
            orders.spawn(async move { client.load(address, &adapter, Epoch(1), 60_000).await });
        }
        while let Some(order) = orders.join_next().await {
            order.unwrap().unwrap();
        }
        let took_s = start.elapsed().as_secs_f64();
        // A single load runs at the speed of one of the parallel loads.
        let expected_s = loads.max(parallel) as f64 / loads_per_s;
        assert!(
            (took_s - expected_s).abs() < 0.05 * expected_s,
            "took {took_s} s, expected {expected_s} s"
        );
        assert_eq!(store.loads().len(), loads);
    }
}

/// Guards against a fake engine that ignores priorities or does not fill its batches.
#[tokio::test]
async fn batches_are_full_and_waiting_requests_run_by_priority() {
    let settings = EngineSettings::new("base").max_batch(2).keep_alive_ms(20);
    let engine = FakeEngine::start(settings).unwrap();
    engine.preload("scope", 1);
    engine.hold_at(Some(0));
    let client = client_with_short_timeouts();
    let mut streams = Vec::new();
    for (id, priority) in [("r-0", 0), ("r-1", 0), ("r-2", 0), ("r-3", 0), ("r-4", 9), ("r-5", 9)] {
        let request = request(id, 50).priority(priority);
        streams.push(client.complete(engine.address(), request).await.unwrap());
        if id == "r-1" {
            // Both requests are in the batch before the others arrive.
            engine.wait_for_batch(2).await;
        }
    }
    engine.hold_at(None);
    for stream in &mut streams {
        assert_eq!(read_all(stream).await.unwrap(), expected_completion(50));
    }
    let mut runs = engine.runs();
    runs.sort_by_key(|run| run.end);
    let order: Vec<&str> = runs.iter().map(|run| &*run.request_id).collect();
    assert_eq!(order, ["r-0", "r-1", "r-4", "r-5", "r-2", "r-3"]);
    let report = client.report(engine.address()).await.unwrap();
    assert_eq!((report.steps, report.batched_tokens), (150, 300));
}

/// Guards against streams that can't be resumed after their request ended, or that are kept for
/// ever.
#[tokio::test]
async fn a_finished_stream_is_kept_for_a_minute() {
    let engine = start_engine();
    let client = client_with_short_timeouts();
    let request = request("r-1", 8);
    let mut stream = client.complete(engine.address(), request.clone()).await.unwrap();
    read_all(&mut stream).await.unwrap();
    advance_clock(Duration::from_secs(55)).await;
    let mut resumed = client.resume(engine.address(), &request, 6).await.unwrap();
    assert!(expected_completion(8).ends_with(&read_all(&mut resumed).await.unwrap()));
    advance_clock(Duration::from_secs(6)).await;
    let error = client.resume(engine.address(), &request, 6).await.err().unwrap();
    assert_eq!(error.kind, BackendErrorKind::StreamLost);
}

/// Guards against using a connection without a probe after it was idle for more than 2 s, and
/// against keeping one that was idle for a minute.
#[tokio::test]
async fn the_default_settings_probe_after_two_idle_seconds() {
    let service = FakeService::start(ServiceSettings::new()).unwrap();
    let client =
        BackendClient::new(BackendSettings { probe_timeout_ms: 200, ..BackendSettings::default() });
    let call = || ServiceRequest::new(hyper::Method::GET, "/").timeout_ms(1_000);
    client.call_service(service.address(), call()).await.unwrap();
    service.stall_connections();
    let error = client.call_service(service.address(), call()).await.unwrap_err();
    assert_eq!(
        error.kind,
        BackendErrorKind::Unresponsive,
        "a recently used connection is not probed"
    );

    client.call_service(service.address(), call()).await.unwrap();
    service.stall_connections();
    advance_clock(Duration::from_millis(2_001)).await;
    client.call_service(service.address(), call()).await.unwrap();
    assert_eq!(client.take_retries().get(RetryReason::StaleConnection), 1);

    service.stall_connections();
    advance_clock(Duration::from_secs(61)).await;
    client.call_service(service.address(), call()).await.unwrap();
    assert!(
        client.take_retries().is_empty(),
        "a connection past the idle limit is dropped without a probe"
    );
}

/// Guards against resuming the stream of a slow caller although the engine never stalled.
#[tokio::test]
async fn a_caller_that_reads_late_does_not_stall_its_stream() {
    let engine = start_engine();
    engine.hold_at(Some(4));
    let client = BackendClient::new(BackendSettings { stall_ms: 10_000, ..short_timeouts() });
    let mut stream = client.complete(engine.address(), request("r-1", 8)).await.unwrap();
    read_tokens(&mut stream, 4).await;
    advance_clock(Duration::from_secs(20)).await;
    engine.hold_at(None);
    read_all(&mut stream).await.unwrap();
    assert!(client.take_retries().is_empty());
}
