//! Deployments, requests and bounded waits shared by the tests.
#![allow(dead_code, reason = "each test file uses a part")]

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

/// A deployment whose folder is removed at the end of the test.
pub(crate) struct Local {
    pub(crate) deployment: Deployment,
    dir: PathBuf,
}

impl Drop for Local {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.dir);
    }
}

impl Local {
    /// One instance with a disk.
    pub(crate) async fn start(name: &str, options: FakesOptions) -> Local {
        Local::start_many(name, 1, 1, options).await
    }

    /// `instances` instances, the first `replicas` of them with a disk.
    pub(crate) async fn start_many(
        name: &str,
        instances: usize,
        replicas: usize,
        options: FakesOptions,
    ) -> Local {
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
        let give_up_at = Instant::now() + Duration::from_secs(20);
        while let Err(error) = operator.apply_contract("first", Revision(0), &contract).await {
            assert!(Instant::now() < give_up_at, "no contract: {error}");
            sleep(Duration::from_millis(100)).await;
        }
        Local { deployment, dir }
    }

    pub(crate) fn address(&self) -> SocketAddr {
        self.deployment.callers_address(0)
    }

    pub(crate) async fn send(&self, request: CallerRequest) -> CallerResponse {
        self.deployment.caller(CUSTOMER).send(self.address(), &request).await.unwrap()
    }

    pub(crate) fn refusals(&self, reason: RefusalReason) -> u64 {
        self.deployment.instance(0).unwrap().metrics().refusals(reason)
    }

    pub(crate) fn retries(&self, reason: RetryReason) -> u64 {
        self.deployment.instance(0).unwrap().metrics().retries(reason)
    }

    /// Sends a request that must be refused for `reason` before it runs, and looks at the counter.
    pub(crate) async fn refused(
        &self,
        request: CallerRequest,
        status: u16,
        reason: RefusalReason,
    ) -> Value {
        self.refused_as(request, status, reason, "not_run").await
    }

    /// Sends a request that must be refused for `reason`, and looks at the counter; returns the
    /// error.
    pub(crate) async fn refused_as(
        &self,
        request: CallerRequest,
        status: u16,
        reason: RefusalReason,
        ran: &str,
    ) -> Value {
        let before = self.refusals(reason);
        let response = self.send(request).await;
        let error = &response.body["error"];
        assert_eq!(error["code"], reason.code(), "{}", response.body);
        assert_eq!((response.status, &error["ran"]), (status, &ran.into()), "{error}");
        assert_ne!(error["remedy"].as_str().unwrap_or_default(), "");
        assert_eq!(self.refusals(reason), before + 1);
        error.clone()
    }

    /// Sends a request that must be answered, and returns the answer.
    pub(crate) async fn answered(&self, request: CallerRequest) -> CallerResponse {
        let response = self.send(request).await;
        assert_eq!(response.status, 200, "{}", response.body);
        response
    }

    /// Serves `adapter` once and returns the engine that holds it.
    pub(crate) async fn primed(&self, adapter: &str) -> &FakeEngine {
        let response = self.answered(completion(adapter, "prime", 1, false)).await;
        let engines = &self.deployment.fakes.engines;
        engines.iter().find(|engine| Some(engine.address()) == response.backend).unwrap()
    }

    /// The number of runs at all engines.
    pub(crate) fn runs(&self) -> usize {
        self.deployment.fakes.engines.iter().map(|it| it.runs().len()).sum()
    }
}

pub(crate) fn completion(adapter: &str, prompt: &str, tokens: u32, stream: bool) -> CallerRequest {
    CallerRequest::completion(Fakes::MODEL, adapter, 1, prompt, tokens, stream)
}

/// Whether the error says when to retry.
pub(crate) fn has_retry_time(error: &Value) -> bool {
    error["retry_after_ms"].as_u64().is_some_and(|it| it > 0)
}

/// Waits until `condition` holds, at most `limit`.
pub(crate) async fn until(what: &str, limit: Duration, mut condition: impl FnMut() -> bool) {
    let give_up_at = Instant::now() + limit;
    while !condition() {
        assert!(Instant::now() < give_up_at, "{what}: not within {limit:?}");
        sleep(Duration::from_millis(5)).await;
    }
}
