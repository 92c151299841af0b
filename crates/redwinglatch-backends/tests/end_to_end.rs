//! Calls that succeed, over real loopback sockets.

use bytes::Bytes;
use hyper::Method;
use redwinglatch_backends::{
    BackendClient, BackendErrorKind, BackendSettings, CacheEventKind, CompletionRequest,
    ServiceRequest, prefix_hashes,
};
use redwinglatch_core::{AdapterVersion, Epoch, RunStatus};
use redwinglatch_fakes::{
    EngineSettings, FakeEngine, FakeService, FakeWeightStore, RunEnd, ServiceSettings,
    WeightStoreSettings, expected_text,
};

/// Guards against a load, completion, report, event query or unload that has no effect on the
/// engine.
#[tokio::test]
async fn an_adapter_is_loaded_used_reported_and_unloaded() {
    let store = FakeWeightStore::start(WeightStoreSettings::new().adapter("scope", 2)).unwrap();
    let engine =
        FakeEngine::start(EngineSettings::new("base").weight_store(store.address())).unwrap();
    let client = BackendClient::new(BackendSettings::default());
    let adapter = AdapterVersion::new("scope", 2);

    client.load(engine.address(), &adapter, Epoch(1), 5_000).await.unwrap();
    assert_eq!(store.loads(), [("scope".into(), 2)]);

    let prompt = "wall ".repeat(120);
    let request = CompletionRequest::new("r-1", "base", "scope", 2, prompt.as_str()).max_tokens(20);
    let mut stream = client.complete(engine.address(), request).await.unwrap();
    let mut completion = String::new();
    while let Some(token) = stream.next().await.unwrap() {
        assert_eq!(token.index + 1, stream.next_index());
        completion.push_str(&token.text);
    }
    assert_eq!(completion, expected_text(&prompt, "scope", 2, 20));
    assert_eq!(&*stream.end().unwrap().reason, "stop");
    assert_eq!(stream.boot_id(), Some(&*engine.boot_id()));

    let report = client.report(engine.address()).await.unwrap();
    assert_eq!((report.slots.len(), report.batched_tokens, report.running), (1, 20, 0));
    let events = client.events(engine.address(), 0).await.unwrap();
    let hashes: Vec<u64> = events.events.iter().map(|event| event.prefix_hash).collect();
    assert_eq!(hashes, prefix_hashes(&prompt, "scope", 2));
    assert!(events.events.iter().all(|event| event.kind == CacheEventKind::PrefixStored));
    assert!(client.events(engine.address(), events.next).await.unwrap().events.is_empty());

    client.unload(engine.address(), &adapter, Epoch(1)).await.unwrap();
    assert!(!engine.is_loaded("scope", 2));
    let runs = engine.runs();
    assert_eq!(
        (runs.len(), runs[0].end_reason, runs[0].tokens_delivered),
        (1, Some(RunEnd::Finished), 20)
    );
    assert!(client.take_retries().is_empty());
}

/// Guards against a cancel that does not end the request, and against running a request that
/// arrives after its cancel.
#[tokio::test]
async fn a_cancelled_request_ends_and_its_id_is_refused_afterwards() {
    let engine = FakeEngine::start(EngineSettings::new("base")).unwrap();
    engine.preload("scope", 1);
    engine.hold_at(Some(3));
    let client = BackendClient::new(BackendSettings::default());
    let request = CompletionRequest::new("r-1", "base", "scope", 1, "p").max_tokens(20);
    let mut stream = client.complete(engine.address(), request.clone()).await.unwrap();
    for _ in 0..3 {
        stream.next().await.unwrap().unwrap();
    }
    assert_eq!((engine.runs()[0].tokens_generated, engine.runs()[0].end_reason), (3, None));
    let outcome = client.cancel(engine.address(), "r-1", Epoch(1)).await.unwrap();
    assert!(outcome.cancelled);
    assert_eq!(outcome.tokens, 3);
    assert_eq!(stream.next().await.unwrap(), None);
    assert_eq!(&*stream.end().unwrap().reason, "cancelled");

    let outcome = client.cancel(engine.address(), "r-2", Epoch(1)).await.unwrap();
    assert_eq!((outcome.cancelled, outcome.tokens), (true, 0));
    let late_request = CompletionRequest::new("r-2", "base", "scope", 1, "p");
    let error = client.complete(engine.address(), late_request).await.err().unwrap();
    assert_eq!((error.kind, error.ran), (BackendErrorKind::Refused, RunStatus::NotRun));
    assert_eq!(engine.runs().len(), 1);
}

/// Guards against a service call that loses its method, path, idempotency key or body.
#[tokio::test]
async fn a_plain_service_is_called_once() {
    let service = FakeService::start(ServiceSettings::new()).unwrap();
    let client = BackendClient::new(BackendSettings::default());
    let mut request = ServiceRequest::new(Method::PUT, "/crews/7?shift=early").body("assignment");
    request.headers.insert("idempotency-key", "key-1".parse().unwrap());
    request.headers.insert("connection", "close".parse().unwrap());
    let response = client.call_service(service.address(), request).await.unwrap();
    assert_eq!(response.status, 200);
    let document: serde_json::Value = serde_json::from_slice(&response.body).unwrap();
    assert_eq!(document["path"], "/crews/7?shift=early");
    assert_eq!(document["body_bytes"], 10);
    assert_eq!(service.run_counts()["key-1"], 1);
    assert_eq!(&*service.runs()[0].method, "PUT");
    assert_eq!(service.connection_count(), 1, "the caller's connection header is not forwarded");
}

/// Guards against sending requests above the size limit.
#[tokio::test]
async fn a_request_above_the_limit_is_not_sent() {
    let service = FakeService::start(ServiceSettings::new()).unwrap();
    let client = BackendClient::new(BackendSettings::default());
    let request = ServiceRequest::new(Method::POST, "/").body(Bytes::from(vec![0; (1 << 20) + 1]));
    let error = client.call_service(service.address(), request).await.unwrap_err();
    assert_eq!((error.kind, error.ran), (BackendErrorKind::TooLarge, RunStatus::NotRun));
    let request = ServiceRequest::new(Method::POST, "/").body(Bytes::from(vec![0; 1 << 20]));
    client.call_service(service.address(), request).await.unwrap();
    assert_eq!(service.runs().len(), 1);
}
