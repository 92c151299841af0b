//! Deployments, requests and bounded waits shared by the tests.
#![allow(dead_code, reason = "each test file uses only some of the items")]

pub(crate) mod cluster;

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use redwinglatch_core::{RefusalReason, RetryReason, Revision};
use redwinglatch_fakes::{CallerRequest, CallerResponse, FakeEngine};
use redwinglatch_local::{Deployment, Fakes, FakesOptions, Timing};
use serde_json::Value;
use tokio::time::{Instant, sleep};

pub(crate) const CUSTOMER: &str = "lakeshore";

/// A deployment whose directory is removed at the end of the test.
pub(crate) struct TestDeployment {
    pub(crate) deployment: Deployment,
    dir: PathBuf,
}

impl Drop for TestDeployment {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.dir);
    }
}

impl TestDeployment {
    /// Starts one instance with a data directory.
    pub(crate) async fn start(name: &str, options: FakesOptions) -> TestDeployment {
        TestDeployment::start_many(name, 1, 1, options).await
    }

    /// Starts `instances` instances. The first `replicas` of them have a data directory.
    pub(crate) async fn start_many(
        name: &str,
        instances: usize,
        replicas: usize,
        options: FakesOptions,
    ) -> TestDeployment {
        let dir = std::env::temp_dir().join(format!("redwinglatch-{name}-{}", std::process::id()));
        let timing = Timing {
            renew_interval_ms: 200,
            lease_ms: 1_500,
            keep_for_s: 1,
            order_settle_ms: 1_000,
        };
        let deployment =
            Deployment::start(&dir, instances, replicas, timing, options).await.unwrap();
        for number in 0..8 {
            deployment.fakes.weight_store.add(format!("wall-{number}"), 1);
        }
        let contract = Deployment::contract(CUSTOMER, "wall-");
        let operator = deployment.operator();
        let deadline = Instant::now() + Duration::from_secs(20);
        while let Err(error) = operator.apply_contract("first", Revision(0), &contract).await {
            assert!(Instant::now() < deadline, "the contract was not accepted in time: {error}");
            sleep(Duration::from_millis(100)).await;
        }
        TestDeployment { deployment, dir }
    }

    pub(crate) fn address(&self) -> SocketAddr {
        self.deployment.callers_address(0)
    }

    pub(crate) async fn send(&self, request: CallerRequest) -> CallerResponse {
        self.deployment.caller(CUSTOMER).send(self.address(), &request).await.unwrap()
    }

    pub(crate) fn refusal_count(&self, reason: RefusalReason) -> u64 {
        self.deployment.instance(0).unwrap().metrics().refusals(reason)
    }

    pub(crate) fn retry_count(&self, reason: RetryReason) -> u64 {
        self.deployment.instance(0).unwrap().metrics().retries(reason)
    }

    /// Sends a request and asserts that it is refused for `reason` before it runs, and counted.
    pub(crate) async fn expect_refusal(
        &self,
        request: CallerRequest,
        status: u16,
        reason: RefusalReason,
    ) -> Value {
        self.expect_refusal_with(request, status, reason, "not_run").await
    }

    /// Sends a request and asserts that it is refused for `reason` and counted; returns the error.
    pub(crate) async fn expect_refusal_with(
        &self,
        request: CallerRequest,
        status: u16,
        reason: RefusalReason,
        ran: &str,
    ) -> Value {
        let before = self.refusal_count(reason);
        let response = self.send(request).await;
        let error = &response.body["error"];
        assert_eq!(error["code"], reason.code(), "{}", response.body);
        assert_eq!((response.status, &error["ran"]), (status, &ran.into()), "{error}");
        assert_ne!(error["remedy"].as_str().unwrap_or_default(), "");
        assert_eq!(self.refusal_count(reason), before + 1);
        error.clone()
    }

    /// Sends a request, asserts that it succeeds, and returns the response.
    pub(crate) async fn expect_success(&self, request: CallerRequest) -> CallerResponse {
        let response = self.send(request).await;
        assert_eq!(response.status, 200, "{}", response.body);
        response
    }

    /// Sends a request for `adapter` and returns the engine on which the adapter was loaded.
    pub(crate) async fn load_adapter(&self, adapter: &str) -> &FakeEngine {
        let response = self.expect_success(completion(adapter, "prime", 1, false)).await;
        let engines = &self.deployment.fakes.engines;
        engines.iter().find(|engine| Some(engine.address()) == response.backend).unwrap()
    }

    /// Returns the number of runs on all engines.
    pub(crate) fn runs(&self) -> usize {
        self.deployment.fakes.engines.iter().map(|it| it.runs().len()).sum()
    }
}

pub(crate) fn completion(adapter: &str, prompt: &str, tokens: u32, stream: bool) -> CallerRequest {
    CallerRequest::completion(Fakes::MODEL, adapter, 1, prompt, tokens, stream)
}

/// Returns whether the error contains a retry time.
pub(crate) fn has_retry_time(error: &Value) -> bool {
    error["retry_after_ms"].as_u64().is_some_and(|it| it > 0)
}

/// Waits until `condition` is true; panics after `limit`.
pub(crate) async fn wait_until(event: &str, limit: Duration, mut condition: impl FnMut() -> bool) {
    let deadline = Instant::now() + limit;
    while !condition() {
        assert!(Instant::now() < deadline, "timed out after {limit:?} waiting for {event}");
        sleep(Duration::from_millis(5)).await;
    }
}
