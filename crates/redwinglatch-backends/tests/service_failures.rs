//! Plain services that refuse calls, reset connections, stop responding or are leaving.

mod common;

use common::client_with_short_timeouts;
use hyper::Method;
use redwinglatch_backends::{BackendErrorKind, ServiceRequest};
use redwinglatch_core::RunStatus;
use redwinglatch_fakes::{FakeService, ServiceFault, ServiceSettings};

fn service_request(key: &str) -> ServiceRequest {
    let mut request = ServiceRequest::new(Method::POST, "/confirm").timeout_ms(1_000);
    request.headers.insert("idempotency-key", key.parse().unwrap());
    request
}

/// Guards against a wrong run status of a failed call, and against a hidden second call.
#[tokio::test]
async fn each_failure_reports_the_correct_run_status() {
    let cases = [
        (ServiceFault::RefuseBeforeRun, BackendErrorKind::Refused, RunStatus::NotRun, 0),
        (ServiceFault::ResetBeforeRun, BackendErrorKind::ConnectionLost, RunStatus::Unknown, 0),
        (ServiceFault::ResetAfterRun, BackendErrorKind::ConnectionLost, RunStatus::Unknown, 1),
        (ServiceFault::StallAfterRun, BackendErrorKind::Unresponsive, RunStatus::Unknown, 1),
    ];
    let service = FakeService::start(ServiceSettings::new()).unwrap();
    let client = client_with_short_timeouts();
    for (fault, kind, ran, runs) in cases {
        let key = format!("{fault:?}");
        service.inject_fault(fault);
        let error =
            client.call_service(service.address(), service_request(&key)).await.unwrap_err();
        assert_eq!((error.kind, error.ran), (kind, ran), "{fault:?}");
        assert_eq!(service.run_counts().get(&*key).copied().unwrap_or(0), runs, "{fault:?}");
    }
    service.inject_fault(ServiceFault::ErrorAfterRun);
    let response = client.call_service(service.address(), service_request("error")).await.unwrap();
    assert_eq!(response.status, 500, "an error status of the service is returned as its response");
    assert!(client.take_retries().is_empty(), "nothing was sent twice");
}

/// Guards against running new calls on a service that is leaving, and against reporting a refused
/// connection as anything but "not run".
#[tokio::test]
async fn a_leaving_or_closed_service_does_not_run_the_call() {
    let service = FakeService::start(ServiceSettings::new()).unwrap();
    let client = client_with_short_timeouts();
    service.set_leaving(true);
    let error = client.call_service(service.address(), service_request("k")).await.unwrap_err();
    assert_eq!((error.kind, error.ran), (BackendErrorKind::Leaving, RunStatus::NotRun));
    assert!(error.is_leaving);
    service.reset_connections();
    service.wait_for_connections(0).await;
    service.refuse_connections().await;
    let error = client.call_service(service.address(), service_request("k")).await.unwrap_err();
    assert_eq!(error.ran, RunStatus::NotRun);
    assert!(service.runs().is_empty());
}

/// Guards against sending an invalid request path.
#[tokio::test]
async fn an_invalid_path_is_not_sent() {
    let service = FakeService::start(ServiceSettings::new()).unwrap();
    for path in ["", "confirm", "/a b", "http://elsewhere/", "/\u{7}"] {
        let request = ServiceRequest::new(Method::GET, path);
        let error = client_with_short_timeouts()
            .call_service(service.address(), request)
            .await
            .unwrap_err();
        assert_eq!((error.kind, error.ran), (BackendErrorKind::InvalidRequest, RunStatus::NotRun));
    }
    assert!(service.runs().is_empty());
}
