//! Connections that are refused, stall while idle, close or reach their limit.

mod common;

use common::{
    client_with_short_timeouts, expected_completion, long_timeouts, read_all, request,
    short_timeouts, start_engine,
};
use hyper::Method;
use redwinglatch_backends::{BackendClient, BackendErrorKind, BackendSettings, ServiceRequest};
use redwinglatch_core::{RetryReason, RunStatus};
use redwinglatch_fakes::{FakeService, ServiceRun, ServiceSettings};

fn get_request(path: &str) -> ServiceRequest {
    ServiceRequest::new(Method::GET, path)
}

/// Opens three connections to a service and leaves them idle in the client's pool.
async fn open_three_idle_connections(client: &BackendClient, service: &FakeService) {
    let calls =
        ["/a", "/b", "/c"].map(|path| client.call_service(service.address(), get_request(path)));
    let [a, b, c] = calls;
    let (a, b, c) = tokio::join!(a, b, c);
    a.and(b).and(c).unwrap();
    assert_eq!(service.connection_count(), 3);
}

/// Guards against reporting a refused connection as anything but "not run".
#[tokio::test]
async fn a_refused_connection_is_not_run() {
    let engine = start_engine();
    engine.refuse_connections().await;
    let client = client_with_short_timeouts();
    let error = client.complete(engine.address(), request("r-1", 1)).await.err().unwrap();
    assert_eq!((error.kind, error.ran), (BackendErrorKind::ConnectRefused, RunStatus::NotRun));
    engine.accept_connections().unwrap();
    let mut stream = client.complete(engine.address(), request("r-1", 1)).await.unwrap();
    assert_eq!(read_all(&mut stream).await.unwrap(), expected_completion(1));
}

/// Guards against writing a request to an unresponsive idle connection, and against probing the
/// other idle connections of the address one by one.
#[tokio::test]
async fn one_failed_probe_drops_all_idle_connections() {
    let service = FakeService::start(ServiceSettings::new()).unwrap();
    let client = BackendClient::new(BackendSettings { probe_after_ms: 0, ..short_timeouts() });
    open_three_idle_connections(&client, &service).await;
    service.stall_idle_connections();
    for path in ["/d", "/e"] {
        client.call_service(service.address(), get_request(path)).await.unwrap();
    }
    assert_eq!(client.take_retries().get(RetryReason::StaleConnection), 1);
    assert_eq!(service.runs().len(), 5);
}

/// Guards against dropping a working connection after its probe.
#[tokio::test]
async fn a_probed_connection_that_works_is_reused() {
    let service = FakeService::start(ServiceSettings::new()).unwrap();
    let client = BackendClient::new(BackendSettings { probe_after_ms: 0, ..long_timeouts() });
    for _ in 0..4 {
        client.call_service(service.address(), get_request("/a")).await.unwrap();
    }
    assert_eq!(service.connection_count(), 1);
    assert!(client.take_retries().is_empty());
}

/// Guards against using idle connections after another connection to the address did not respond.
#[tokio::test]
async fn an_unresponsive_call_drops_all_idle_connections() {
    let service = FakeService::start(ServiceSettings::new()).unwrap();
    let client = client_with_short_timeouts();
    open_three_idle_connections(&client, &service).await;
    service.stall_connections();
    let stalled_call = get_request("/d").timeout_ms(300);
    let error = client.call_service(service.address(), stalled_call).await.unwrap_err();
    assert_eq!((error.kind, error.ran), (BackendErrorKind::Unresponsive, RunStatus::Unknown));
    client.call_service(service.address(), get_request("/e")).await.unwrap();
    assert!(client.take_retries().is_empty(), "no other unresponsive connection was tried");
}

/// Guards against failing a request because idle connections were reset in the meantime.
#[tokio::test]
async fn reset_idle_connections_are_replaced() {
    let service = FakeService::start(ServiceSettings::new()).unwrap();
    let client = BackendClient::new(BackendSettings { probe_after_ms: 0, ..short_timeouts() });
    open_three_idle_connections(&client, &service).await;
    service.reset_connections();
    service.wait_for_connections(0).await;
    client.call_service(service.address(), get_request("/d")).await.unwrap();
    assert_eq!(service.runs().len(), 4);
}

/// Guards against exceeding the connection limit, and against starving a waiting request while the
/// connection of a finished one stays idle.
#[tokio::test]
async fn connections_are_limited_and_passed_to_waiting_requests() {
    let service = FakeService::start(ServiceSettings::new().work_ms(20)).unwrap();
    let settings = BackendSettings {
        connections_per_address: 2,
        connect_timeout_ms: 20_000,
        ..short_timeouts()
    };
    let client = BackendClient::new(settings);
    let mut calls = tokio::task::JoinSet::new();
    for number in 0..12 {
        let (client, address) = (client.clone(), service.address());
        calls.spawn(async move {
            client.call_service(address, get_request(&format!("/{number}"))).await
        });
    }
    while let Some(call) = calls.join_next().await {
        call.unwrap().unwrap();
    }
    let runs = service.runs();
    assert_eq!(runs.len(), 12);
    for run in &runs {
        let is_concurrent =
            |other: &&ServiceRun| other.start <= run.start && other.end > Some(run.start);
        assert!(
            runs.iter().filter(is_concurrent).count() <= 2,
            "more requests ran at once than connections are allowed"
        );
    }
}

/// Guards against orders and reports that wait behind streams which use all their connections.
#[tokio::test]
async fn reports_are_fetched_while_streams_use_all_their_connections() {
    let engine = start_engine();
    engine.hold_at(Some(1));
    let settings = BackendSettings {
        connections_per_address: 1,
        connect_timeout_ms: 1_000,
        ..short_timeouts()
    };
    let client = BackendClient::new(settings);
    let stream = client.complete(engine.address(), request("r-1", 20)).await.unwrap();
    let error = client.complete(engine.address(), request("r-2", 20)).await.err().unwrap();
    assert_eq!((error.kind, error.ran), (BackendErrorKind::PoolFull, RunStatus::NotRun));
    let report = client.report(engine.address()).await.unwrap();
    assert_eq!(report.requests, ["r-1".into()]);
    drop(stream);
}
