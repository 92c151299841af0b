//! Measures what streams cost the client, against one fake engine.
//!
//! The client runs on a thread and a runtime of its own. Its cost is the time that this runtime was
//! busy, so the fake engine's work does not count. Each row is run with short and long answers; the
//! difference gives the cost of a token, the rest the cost of a request.
//!
//! Busy time includes preemption by other processes, so on a shared machine single rows vary by a
//! factor of two; compare the means of several runs.
//!
//! Run with `cargo run --release -p redwinglatch-backends --example stream_cost`.

use std::{net::SocketAddr, thread};

use redwinglatch_backends::{BackendClient, BackendSettings, CompletionRequest};
use redwinglatch_fakes::{EngineSettings, FakeEngine};
use tokio::{
    runtime::{Builder, Runtime},
    sync::oneshot,
    time::{Duration, Instant},
};

const SHORT_TOKENS: u32 = 1;
const LONG_TOKENS: u32 = 401;

struct Row {
    name: &'static str,
    step_ms: u64,
    streams: usize,
    requests_per_stream: usize,
}

struct Cost {
    busy_us: f64,
    elapsed: Duration,
}

fn main() {
    let rows = [
        Row { name: "step 0 ms, 1 stream", step_ms: 0, streams: 1, requests_per_stream: 2_000 },
        Row { name: "step 0 ms, 32 streams", step_ms: 0, streams: 32, requests_per_stream: 100 },
        // One token a step for each stream, so that each token comes in a chunk of its own.
        Row { name: "step 1 ms, 32 streams", step_ms: 1, streams: 32, requests_per_stream: 5 },
    ];
    println!("{:<24}{:>14}{:>14}{:>14}", "", "us/request", "us/token", "tokens/s");
    for row in rows {
        let requests = (row.streams * row.requests_per_stream) as f64;
        let short = measure(&row, SHORT_TOKENS);
        let long = measure(&row, LONG_TOKENS);
        let tokens = requests * f64::from(LONG_TOKENS - SHORT_TOKENS);
        let token_us = (long.busy_us - short.busy_us) / tokens;
        let request_us = short.busy_us / requests - token_us * f64::from(SHORT_TOKENS);
        let rate = requests * f64::from(LONG_TOKENS) / long.elapsed.as_secs_f64();
        println!("{:<24}{request_us:>14.1}{token_us:>14.2}{rate:>14.0}", row.name);
    }
}

/// Runs all requests of a row and returns the time that the client's runtime was busy.
fn measure(row: &Row, max_tokens: u32) -> Cost {
    let (address_sender, address) = oneshot::channel();
    let (stop, stopped) = oneshot::channel::<()>();
    let settings = EngineSettings::new("base").step_ms(row.step_ms).max_batch(row.streams);
    let engine_thread = thread::spawn(move || {
        runtime().block_on(async {
            let engine = FakeEngine::start(settings).expect("a loopback port is free");
            engine.preload("scope", 1);
            address_sender.send(engine.address()).expect("the client waits");
            let _ = stopped.await;
        });
    });
    let address = address.blocking_recv().expect("the engine starts");
    let runtime = runtime();
    let client = BackendClient::new(BackendSettings::default());
    // The first round opens connections and warms up; it does not count.
    run_round(&runtime, &client, address, row, max_tokens, "warm", row.requests_per_stream / 5 + 1);
    let busy_before = runtime.metrics().worker_total_busy_duration(0);
    let start = Instant::now();
    run_round(&runtime, &client, address, row, max_tokens, "run", row.requests_per_stream);
    let elapsed = start.elapsed();
    let busy = runtime.metrics().worker_total_busy_duration(0) - busy_before;
    let _ = stop.send(());
    engine_thread.join().expect("the engine's thread ends");
    Cost { busy_us: busy.as_secs_f64() * 1e6, elapsed }
}

fn run_round(
    runtime: &Runtime,
    client: &BackendClient,
    address: SocketAddr,
    row: &Row,
    max_tokens: u32,
    name: &str,
    requests: usize,
) {
    runtime.block_on(async {
        let mut streams = tokio::task::JoinSet::new();
        for stream in 0..row.streams {
            let (client, name) = (client.clone(), format!("{name}-{stream}"));
            streams.spawn(async move {
                for number in 0..requests {
                    let id = format!("{name}-{number}");
                    let request = CompletionRequest::new(id, "base", "scope", 1, "Scope the wall.")
                        .max_tokens(max_tokens);
                    let mut stream =
                        client.complete(address, request).await.expect("the engine accepts");
                    while stream.next().await.expect("the stream works").is_some() {}
                }
            });
        }
        while let Some(ended) = streams.join_next().await {
            ended.expect("the streams end");
        }
    });
}

fn runtime() -> Runtime {
    Builder::new_current_thread().enable_all().build().expect("a runtime starts")
}
