//! The stream benchmark: the latency and CPU time that an instance adds to a direct connection to
//! an engine.

use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use hyper::Method;
use redwinglatch_core::{Contract, Revision};
use redwinglatch_fakes::{CallerRequest, FakeCaller};
use redwinglatch_local::{Deployment, Fakes, FakesOptions, Timing};
use redwinglatch_report::{Measurement, ReportSection, Table, format_number};
use serde::Serialize;
use tokio::time::{Instant, sleep, timeout};

use super::durations::{milliseconds, percentile_ms};
use super::process::{cpu_s, load_average};
use super::run::Run;

const CUSTOMER: &str = "lakeshore";
const ADAPTER: &str = "district-north";
const VERSION: u32 = 2;
const PROMPT: &str = "Scope of removal for the north wall";
const REQUESTS: u32 = 200;
const SHORT_REQUESTS: u32 = 50;
const FEW_TOKENS: u32 = 1;
const MANY_TOKENS: u32 = 401;
const REQUEST_RATE_PER_S: u32 = 20_000;
const TIMEOUT: Duration = Duration::from_secs(180);
const START_TIMEOUT: Duration = Duration::from_secs(30);

#[derive(Debug, Clone, Serialize)]
struct StreamRow {
    requests: u32,
    direct_p50_ms: f64,
    direct_p95_ms: f64,
    through_p50_ms: f64,
    through_p95_ms: f64,
    added_p50_ms: f64,
    added_p95_ms: f64,
    /// CPU of the instance per token: the difference between long and short responses, through the
    /// instance minus directly.
    cpu_us_per_token: f64,
    tokens_per_s_per_core: f64,
    load_average: String,
}

pub(crate) fn run(work: &Path, run: &mut Run) -> io::Result<()> {
    run.progress("stream: one instance in front of one engine");
    let requests = if run.report.short { SHORT_REQUESTS } else { REQUESTS };
    let runtime =
        tokio::runtime::Builder::new_multi_thread().worker_threads(4).enable_all().build()?;
    let result = runtime.block_on(async { timeout(TIMEOUT, measure(work, requests)).await });
    runtime.shutdown_timeout(Duration::from_secs(5));
    let row = result.map_err(|_| io::Error::other("the stream benchmark timed out"))??;
    add_section(run, &row);
    Ok(())
}

async fn measure(dir: &Path, requests: u32) -> io::Result<StreamRow> {
    let options = FakesOptions { engines: 1, step_ms: 0, ..FakesOptions::default() };
    let deployment = Deployment::start(dir, 1, 1, Timing::default(), options).await?;
    deployment.fakes.weight_store.add(ADAPTER, VERSION);
    let mut routes = Routes {
        caller: deployment.caller(CUSTOMER),
        entry: deployment.callers_address(0),
        engine: deployment.fakes.engine_addresses()[0],
        next_id: 0,
    };
    routes.prepare(&deployment).await?;

    // Alternating, so that both are measured under the same load of the machine.
    let (mut direct_ms, mut through_ms, mut added_ms) = (Vec::new(), Vec::new(), Vec::new());
    for _ in 0..requests {
        let direct = routes.direct(FEW_TOKENS).await?;
        let through = routes.through(FEW_TOKENS).await?;
        direct_ms.push(direct);
        through_ms.push(through);
        added_ms.push(through - direct);
    }

    // The engine and the caller do the same work in both cases, so the difference is the work of
    // the instance.
    let mut cpu_us = [[0.0; 2]; 2];
    for (row, is_through) in cpu_us.iter_mut().zip([false, true]) {
        for (cell, tokens) in row.iter_mut().zip([FEW_TOKENS, MANY_TOKENS]) {
            let before = cpu_s()?;
            for _ in 0..requests {
                if is_through {
                    routes.through(tokens).await?;
                } else {
                    routes.direct(tokens).await?;
                }
            }
            *cell = (cpu_s()? - before) * 1e6;
        }
    }
    let tokens = f64::from(requests * (MANY_TOKENS - FEW_TOKENS));
    let per_token = |row: [f64; 2]| (row[1] - row[0]) / tokens;
    let cpu_us_per_token = per_token(cpu_us[1]) - per_token(cpu_us[0]);
    Ok(StreamRow {
        requests,
        direct_p50_ms: percentile_ms(&direct_ms, 0.5),
        direct_p95_ms: percentile_ms(&direct_ms, 0.95),
        through_p50_ms: percentile_ms(&through_ms, 0.5),
        through_p95_ms: percentile_ms(&through_ms, 0.95),
        added_p50_ms: percentile_ms(&added_ms, 0.5),
        added_p95_ms: percentile_ms(&added_ms, 0.95),
        cpu_us_per_token,
        tokens_per_s_per_core: 1e6 / cpu_us_per_token,
        load_average: load_average(),
    })
}

/// The two routes to the same engine, both with a new connection for each request.
struct Routes {
    caller: FakeCaller,
    entry: SocketAddr,
    engine: SocketAddr,
    next_id: u32,
}

impl Routes {
    /// Waits until a request through the instance succeeds, which also loads the adapter.
    async fn prepare(&mut self, deployment: &Deployment) -> io::Result<()> {
        // Requests follow each other without a pause, faster than the usual limits allow.
        let contract = Contract {
            request_rate_per_s: REQUEST_RATE_PER_S,
            token_rate_per_s: REQUEST_RATE_PER_S * MANY_TOKENS,
            ..Deployment::contract(CUSTOMER, "district-")
        };
        let operator = deployment.operator();
        let deadline = Instant::now() + START_TIMEOUT;
        loop {
            // The change is applied once, because the change id is the same.
            let applied = operator.apply_contract("bench-1", Revision(0), &contract).await;
            let result = match applied {
                Ok(_) => self.through(FEW_TOKENS).await.map(drop),
                Err(error) => Err(io::Error::other(error)),
            };
            match result {
                Ok(()) => return Ok(()),
                Err(error) if deadline < Instant::now() => return Err(error),
                Err(_) => sleep(Duration::from_millis(100)).await,
            }
        }
    }

    async fn through(&mut self, tokens: u32) -> io::Result<f64> {
        let request =
            CallerRequest::completion(Fakes::MODEL, ADAPTER, VERSION, PROMPT, tokens, true);
        self.first_token_ms(self.entry, &request, tokens).await
    }

    async fn direct(&mut self, tokens: u32) -> io::Result<f64> {
        self.next_id += 1;
        let body = serde_json::json!({
            "request_id": format!("direct-{}", self.next_id), "model": Fakes::MODEL,
            "adapter": ADAPTER, "version": VERSION, "prompt": PROMPT, "max_tokens": tokens,
            "priority": 5, "deadline_ms": 20_000, "stream": true,
        });
        let request = CallerRequest::new(Method::POST, "/v1/completions", body.to_string());
        self.first_token_ms(self.engine, &request, tokens).await
    }

    /// Reads the whole response and returns the time to its first token.
    async fn first_token_ms(
        &self,
        address: SocketAddr,
        request: &CallerRequest,
        tokens: u32,
    ) -> io::Result<f64> {
        let sent_at = Instant::now();
        let mut stream = self.caller.stream(address, request).await?;
        let mut first_ms = None;
        let mut count = 0;
        while let Some(event) = stream.next().await? {
            if event["done"] == true {
                break;
            }
            if !event["error"].is_null() {
                return Err(io::Error::other(event["error"].to_string()));
            }
            first_ms.get_or_insert_with(|| milliseconds(sent_at.elapsed()));
            count += 1;
        }
        match first_ms {
            Some(first_ms) if count == tokens => Ok(first_ms),
            _ => Err(io::Error::other(format!("{count} tokens arrived instead of {tokens}"))),
        }
    }
}

fn add_section(run: &mut Run, row: &StreamRow) {
    let figures = [
        Measurement::lower("stream: first token, direct, p50", row.direct_p50_ms, "ms"),
        Measurement::lower("stream: first token, direct, p95", row.direct_p95_ms, "ms"),
        Measurement::lower(
            "stream: first token, through an instance, p50",
            row.through_p50_ms,
            "ms",
        ),
        Measurement::lower(
            "stream: first token, through an instance, p95",
            row.through_p95_ms,
            "ms",
        ),
        Measurement::lower("stream: added to the first token, p50", row.added_p50_ms, "ms"),
        Measurement::lower("stream: added to the first token, p95", row.added_p95_ms, "ms"),
        Measurement::lower("stream: CPU of the instance for a token", row.cpu_us_per_token, "us"),
        Measurement::higher("stream: tokens on one core", row.tokens_per_s_per_core, "1/s"),
    ];
    let mut table = Table::new(&["figure", "value", "unit"]);
    for figure in &figures {
        table.push([figure.name.clone(), format_number(figure.value), figure.unit.clone()]);
    }
    // A rate is infinite if the CPU time of the tokens is below the resolution of the clock.
    let figures = figures.into_iter().filter(|figure| figure.value.is_finite());
    run.report.figures.extend(figures.map(Measurement::timed));
    run.add_rows("stream", row);
    run.sections.push(ReportSection {
        title: "Streams".to_owned(),
        note: format!(
            "{} consecutive requests, alternating between directly to the engine and through an \
             instance, each on a new connection; the engine's step takes 0 ms and its adapter is \
             loaded. The CPU for a token is that of this process for responses of {MANY_TOKENS} \
             tokens minus that for {FEW_TOKENS}, through the instance minus directly; it includes \
             the instance's background work. Load average of the machine {}.",
            row.requests, row.load_average
        ),
        charts: Vec::new(),
        table,
    });
}
