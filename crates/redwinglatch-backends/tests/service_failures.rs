//! Plain services that refuse, break, fall silent or leave.

mod common;

use common::quick_client;
use hyper::Method;
use redwinglatch_backends::{BackendErrorKind, ServiceRequest};
use redwinglatch_core::RunStatus;
use redwinglatch_fakes::{FakeService, ServiceFault, ServiceSettings};

fn call(key: &str) -> ServiceRequest {
    let mut request = ServiceRequest::new(Method::POST, "/confirm").timeout_ms(1_000);
    request.headers.insert("idempotency-key", key.parse().unwrap());
    request
}

/// Guards against a wrong statement of whether a call ran, and against calling twice inside.
#[tokio::test]
async fn each_failure_says_honestly_whether_the_call_ran() {
    let cases = [
        (ServiceFault::RefuseBeforeRun, BackendErrorKind::Refused, RunStatus::NotRun, 0),
        (ServiceFault::ResetBeforeRun, BackendErrorKind::ConnectionLost, RunStatus::Unknown, 0),
        (ServiceFault::ResetAfterRun, BackendErrorKind::ConnectionLost, RunStatus::Unknown, 1),
        (ServiceFault::StallAfterRun, BackendErrorKind::Silent, RunStatus::Unknown, 1),
    ];
    let service = FakeService::start(ServiceSettings::new()).unwrap();
    let client = quick_client();
    for (fault, kind, ran, runs) in cases {
        let key = format!("{fault:?}");
        service.inject_fault(fault);
        let error = client.call_service(service.address(), call(&key)).await.unwrap_err();
        assert_eq!((error.kind, error.ran), (kind, ran), "{fault:?}");
        assert_eq!(service.run_counts().get(&*key).copied().unwrap_or(0), runs, "{fault:?}");
    }
    service.inject_fault(ServiceFault::ErrorAfterRun);
    let response = client.call_service(service.address(), call("error")).await.unwrap();
    assert_eq!(response.status, 500, "a service's own error is its answer");
    assert!(client.take_retries().is_empty(), "nothing was sent twice");
}

/// Guards against new calls to a service that is leaving, and against calling a refused
/// connection anything but "not run".
#[tokio::test]
async fn a_leaving_or_closed_service_did_not_run_the_call() {
    let service = FakeService::start(ServiceSettings::new()).unwrap();
    let client = quick_client();
    service.set_leaving(true);
    let error = client.call_service(service.address(), call("k")).await.unwrap_err();
    assert_eq!((error.kind, error.ran), (BackendErrorKind::Leaving, RunStatus::NotRun));
    assert!(error.leaving);
    service.reset_connections();
    service.wait_for_connections(0).await;
    service.refuse_connections().await;
    let error = client.call_service(service.address(), call("k")).await.unwrap_err();
    assert_eq!(error.ran, RunStatus::NotRun);
    assert!(service.runs().is_empty());
}

/// Guards against sending a path that is not a path.
#[tokio::test]
async fn an_invalid_path_is_not_sent() {
    let service = FakeService::start(ServiceSettings::new()).unwrap();
    for path in ["", "confirm", "/a b", "http://elsewhere/", "/\u{7}"] {
        let request = ServiceRequest::new(Method::GET, path);
        let error = quick_client().call_service(service.address(), request).await.unwrap_err();
        assert_eq!((error.kind, error.ran), (BackendErrorKind::InvalidRequest, RunStatus::NotRun));
    }
    assert!(service.runs().is_empty());
}
