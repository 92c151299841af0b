//! Requests after the loss of instances on which others depend.

mod support;

use std::time::Duration;

use hyper::Method;
use redwinglatch_core::{RefusalReason, RetryReason};
use redwinglatch_fakes::{CallerRequest, expected_text};
use redwinglatch_local::FakesOptions;
use redwinglatch_operators::ClientErrorKind;
use tokio::time::Instant;

use support::cluster::Cluster;
use support::{CUSTOMER, TestDeployment, completion, has_retry_time, wait_until};

const DEADLINE: &str = "x-redwinglatch-deadline-ms";

/// Guards against an instance that serves with a configuration it cannot confirm, and against
/// reporting "not run" for an idempotency key whose record cannot be read.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn without_a_majority_an_instance_refuses_within_its_lease() {
    let mut cluster = Cluster::start("majority", 2, 1).await;
    let service = CallerRequest::new(Method::GET, "/v1/services/dispatch-desk/crews", "");
    cluster.send_until(1, &service, 200, None, Duration::from_secs(10)).await;
    let metrics = cluster.metrics(1);
    cluster.kill(0);
    let killed_at = Instant::now();

    let keyed = service.clone().header("idempotency-key", "report-1").header(DEADLINE, "500");
    let response = cluster.send(1, &keyed).await;
    let error = &response.body["error"];
    assert_eq!((response.status, &error["code"]), (503, &"control_unavailable".into()), "{error}");
    assert_eq!(error["ran"], "unknown");
    assert!(has_retry_time(error), "{error}");
    assert_eq!(metrics.refusals(RefusalReason::ControlUnavailable), 1);
    assert!(metrics.retries(RetryReason::LeaderChanged) > 0);

    let code = Some(RefusalReason::NotCurrent.code());
    let response = cluster.send_until(1, &service, 503, code, Duration::from_secs(5)).await;
    // The lease lasts 1.5 s from when the last renewal was sent; the rest allows for a busy
    // machine.
    assert!(killed_at.elapsed() < Duration::from_secs(3), "{:?}", killed_at.elapsed());
    let error = &response.body["error"];
    assert_eq!(error["ran"], "not_run");
    assert!(has_retry_time(error), "{error}");
    assert_eq!(metrics.refusals(RefusalReason::NotCurrent), 1);

    let error = cluster.operator(1).contract(CUSTOMER).await.unwrap_err();
    let ClientErrorKind::Refused { status, error } = &error.kind else { panic!("{error}") };
    let error = serde_json::to_value(error).unwrap();
    assert_eq!((*status, &error["code"]), (503, &"control_unavailable".into()), "{error}");
    assert_eq!(metrics.refusals(RefusalReason::ControlUnavailable), 2);
}

/// Guards against requests that are lost when a cell's coordinator fails, and against an error that
/// blames the deadline when the cause is the missing coordinator.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_unreachable_coordinator_is_reported_and_replaced() {
    let mut cluster = Cluster::start("coordinator", 3, 3).await;
    let request = completion("wall-1", "x", 2, false);
    cluster.send_until(0, &request, 200, None, Duration::from_secs(10)).await;
    let status = cluster.operator(0).status().await.unwrap();
    let coordinator = status.coordinators[0].instance.0 as usize - 1;
    let entry = (coordinator + 1) % 3;
    let metrics = cluster.metrics(entry);
    // The entry instance must obtain its share of the contract before the coordinator is killed.
    cluster.send_until(entry, &request, 200, None, Duration::from_secs(10)).await;
    cluster.kill(coordinator);

    let short = completion("wall-1", "short", 2, false).header(DEADLINE, "400");
    let response = cluster.send(entry, &short).await;
    let error = &response.body["error"];
    assert_eq!((response.status, &error["code"]), (503, &"no_coordinator".into()), "{error}");
    assert_eq!(error["ran"], "not_run");
    assert!(has_retry_time(error), "{error}");
    assert!(error["entries"].as_array().is_some_and(|it| !it.is_empty()), "{error}");
    assert_eq!(metrics.refusals(RefusalReason::NoCoordinator), 1);
    assert!(metrics.retries(RetryReason::CoordinatorChanged) > 0);

    let long = completion("wall-1", "long", 2, false).header(DEADLINE, "20000");
    let response = cluster.send_until(entry, &long, 200, None, Duration::from_secs(20)).await;
    assert_eq!(response.body["text"], expected_text("long", "wall-1", 1, 2));
}

/// Guards against an order with an old epoch that is executed or not counted, and against a request
/// that is sent to an engine on which its adapter is not loaded.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn orders_with_an_old_epoch_are_refused_and_counted() {
    let local = TestDeployment::start("epoch", FakesOptions::default()).await;
    local.load_adapter("wall-1").await;
    let caller = local.deployment.caller("newer-coordinator");
    let order = CallerRequest::new(Method::DELETE, "/v1/streams/none", "")
        .header("x-fencing-token", "1000000");
    for engine in &local.deployment.fakes.engines {
        assert_eq!(caller.send(engine.address(), &order).await.unwrap().status, 200);
    }
    let runs = local.runs();
    let request = completion("wall-2", "x", 1, false).header(DEADLINE, "800");
    let response = local.send(request).await;
    let error = &response.body["error"];
    assert_eq!((response.status, &error["ran"]), (503, &"not_run".into()), "{error}");
    // The instance repeats the takeover of its cell until the log assigns another coordinator. At
    // the deadline it may therefore be the coordinator, and the load is too late, or it may not be.
    let codes = [RefusalReason::NoCoordinator.code(), RefusalReason::LoadTooLate.code()];
    assert!(codes.iter().any(|code| error["code"] == *code), "{error}");
    assert!(has_retry_time(error), "{error}");
    let refused_orders = || {
        let orders = local.deployment.fakes.engines.iter().flat_map(|engine| engine.orders());
        orders.filter(|order| order.is_stale && order.is_refused).count() as u64
    };
    assert!(refused_orders() > 0);
    // The response to the last refused order may not have reached the coordinator yet.
    let counted = || local.refusal_count(RefusalReason::StaleEpoch) == refused_orders();
    wait_until("the counter of refused orders", Duration::from_secs(2), counted).await;
    assert_eq!(local.runs(), runs);
}
