//! Requests while instances that others depend on are lost.

mod support;

use std::time::Duration;

use hyper::Method;
use redwinglatch_core::{RefusalReason, RetryReason};
use redwinglatch_fakes::{CallerRequest, expected_text};
use redwinglatch_local::FakesOptions;
use redwinglatch_operators::ClientErrorKind;
use tokio::time::Instant;

use support::cluster::Cluster;
use support::{CUSTOMER, Local, completion, has_retry_time, until};

const DEADLINE: &str = "x-redwinglatch-deadline-ms";

/// Guards against an instance that goes on with a configuration it can't confirm, and against "not
/// run" for a key whose record can't be read.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn without_a_majority_an_instance_refuses_within_its_lease() {
    let mut cluster = Cluster::start("majority", 2, 1).await;
    let service = CallerRequest::new(Method::GET, "/v1/services/dispatch-desk/crews", "");
    cluster.until_status(1, &service, 200, None, Duration::from_secs(10)).await;
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
    let response = cluster.until_status(1, &service, 503, code, Duration::from_secs(5)).await;
    // The lease lasts 1.5 s from the last renewal sent; the rest is for a busy machine.
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

/// Guards against requests that are lost with a cell's coordinator, and against a caller who is
/// told that the deadline was too short when the coordinator was missing.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_lost_coordinator_is_named_and_replaced() {
    let mut cluster = Cluster::start("coordinator", 3, 3).await;
    let request = completion("wall-1", "x", 2, false);
    cluster.until_status(0, &request, 200, None, Duration::from_secs(10)).await;
    let status = cluster.operator(0).status().await.unwrap();
    let lost = status.coordinators[0].instance.0 as usize - 1;
    let entry = (lost + 1) % 3;
    let metrics = cluster.metrics(entry);
    // The entry instance needs a share of the contract from before the loss.
    cluster.until_status(entry, &request, 200, None, Duration::from_secs(10)).await;
    cluster.kill(lost);

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
    let response = cluster.until_status(entry, &long, 200, None, Duration::from_secs(20)).await;
    assert_eq!(response.body["text"], expected_text("long", "wall-1", 1, 2));
}

/// Guards against an order with an old epoch that is carried out or not counted, and against a
/// request that is sent to an engine without its adapter.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn orders_with_an_old_epoch_are_refused_and_counted() {
    let local = Local::start("epoch", FakesOptions::default()).await;
    local.primed("wall-1").await;
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
    // The instance takes its cell over again until the log names another: at the end of the
    // deadline it either coordinates, and the load is too late, or does not.
    let codes = [RefusalReason::NoCoordinator.code(), RefusalReason::LoadTooLate.code()];
    assert!(codes.iter().any(|code| error["code"] == *code), "{error}");
    assert!(has_retry_time(error), "{error}");
    let refused_orders = || {
        let orders = local.deployment.fakes.engines.iter().flat_map(|engine| engine.orders());
        orders.filter(|order| order.stale && order.refused).count() as u64
    };
    assert!(refused_orders() > 0);
    // The last refusal of an order may still be on its way to the coordinator.
    let counted = || local.refusals(RefusalReason::StaleEpoch) == refused_orders();
    until("the refused orders", Duration::from_secs(2), counted).await;
    assert_eq!(local.runs(), runs);
}
