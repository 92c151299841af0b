//! Measures the CPU cost of streams in the client, against one fake engine.
//!
//! The client runs on its own thread and runtime. Its cost is the time that this runtime was busy,
//! so the fake engine's work does not count. Each scenario runs with short and long completions;
//! the difference gives the cost of a token, the remainder the cost of a request.
//!
//! Busy time includes preemption by other processes, so on a shared machine single results vary by
//! a factor of two; compare the means of several runs.
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

struct Scenario {
    name: &'static str,
    step_ms: u64,
    streams: usize,
    requests_per_stream: usize,
}

struct StreamCost {
    busy_us: f64,
    elapsed: Duration,
}

fn main() {
    let scenarios = [
        Scenario {
            name: "step 0 ms, 1 stream",
            step_ms: 0,
            streams: 1,
            requests_per_stream: 2_000,
        },
        Scenario {
            name: "step 0 ms, 32 streams",
            step_ms: 0,
            streams: 32,
            requests_per_stream: 100,
        },
        // One token per step for each stream, so that each token arrives in its own chunk.
        Scenario { name: "step 1 ms, 32 streams", step_ms: 1, streams: 32, requests_per_stream: 5 },
    ];
    println!("{:<24}{:>14}{:>14}{:>14}", "", "us/request", "us/token", "tokens/s");
    for scenario in scenarios {
        let requests = (scenario.streams * scenario.requests_per_stream) as f64;
        let short = measure(&scenario, SHORT_TOKENS);
        let long = measure(&scenario, LONG_TOKENS);
        let tokens = requests * f64::from(LONG_TOKENS - SHORT_TOKENS);
        let token_us = (long.busy_us - short.busy_us) / tokens;
        let request_us = short.busy_us / requests - token_us * f64::from(SHORT_TOKENS);
        let tokens_per_s = requests * f64::from(LONG_TOKENS) / long.elapsed.as_secs_f64();
        println!("{:<24}{request_us:>14.1}{token_us:>14.2}{tokens_per_s:>14.0}", scenario.name);
    }
}

/// Runs all requests of a scenario and measures how long the client's runtime was busy.
fn measure(scenario: &Scenario, max_tokens: u32) -> StreamCost {
    let (address_sender, address_receiver) = oneshot::channel();
    let (stop_sender, stop_receiver) = oneshot::channel::<()>();
    let settings =
        EngineSettings::new("base").step_ms(scenario.step_ms).max_batch(scenario.streams);
    let engine_thread = thread::spawn(move || {
        runtime().block_on(async {
            let engine = FakeEngine::start(settings).expect("a loopback port is free");
            engine.preload("scope", 1);
            address_sender.send(engine.address()).expect("the client receives the address");
            let _ = stop_receiver.await;
        });
    });
    let address = address_receiver.blocking_recv().expect("the engine starts");
    let runtime = runtime();
    let client = BackendClient::new(BackendSettings::default());
    // The first round opens connections and warms up the process; it is not measured.
    run_round(
        &runtime,
        &client,
        address,
        scenario,
        max_tokens,
        "warm",
        scenario.requests_per_stream / 5 + 1,
    );
    let busy_before_run = runtime.metrics().worker_total_busy_duration(0);
    let start = Instant::now();
    run_round(
        &runtime,
        &client,
        address,
        scenario,
        max_tokens,
        "run",
        scenario.requests_per_stream,
    );
    let elapsed = start.elapsed();
    let busy = runtime.metrics().worker_total_busy_duration(0) - busy_before_run;
    let _ = stop_sender.send(());
    engine_thread.join().expect("the engine thread does not panic");
    StreamCost { busy_us: busy.as_secs_f64() * 1e6, elapsed }
}

fn run_round(
    runtime: &Runtime,
    client: &BackendClient,
    address: SocketAddr,
    scenario: &Scenario,
    max_tokens: u32,
    name: &str,
    requests: usize,
) {
    runtime.block_on(async {
        let mut streams = tokio::task::JoinSet::new();
        for stream in 0..scenario.streams {
            let (client, name) = (client.clone(), format!("{name}-{stream}"));
            streams.spawn(async move {
                for number in 0..requests {
                    let id = format!("{name}-{number}");
                    let request = CompletionRequest::new(id, "base", "scope", 1, "Scope the wall.")
                        .max_tokens(max_tokens);
                    let mut stream =
                        client.complete(address, request).await.expect("the engine accepts");
                    while stream.next().await.expect("the stream delivers its tokens").is_some() {}
                }
            });
        }
        while let Some(stream_result) = streams.join_next().await {
            stream_result.expect("the stream task does not panic");
        }
    });
}

fn runtime() -> Runtime {
    Builder::new_current_thread().enable_all().build().expect("a runtime starts")
}
