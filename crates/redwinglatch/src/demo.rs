//! `redwinglatch demo`: runs a small deployment in this process and checks its behaviour.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use redwinglatch_core::Revision;
use redwinglatch_fakes::{CallerRequest, FakeCaller, expected_text};
use redwinglatch_local::{Deployment, Fakes, FakesOptions, Timing};
use redwinglatch_metrics::Timing as Histogram;
use tokio::time::{Instant, sleep, timeout};

use crate::command_error::CommandError;

const CUSTOMER: &str = "lakeshore";
const START_TIMEOUT: Duration = Duration::from_secs(15);
const DEMO_TIMEOUT: Duration = Duration::from_secs(55);
const DISTRICTS: [&str; 5] = ["north", "south", "east", "west", "harbour"];
const LONG_STREAM_TOKENS: u32 = 200;

/// Starts the deployment, runs the demonstration and stops the deployment.
pub(crate) fn run() -> miette::Result<()> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(4)
        .enable_all()
        .build()
        .map_err(|error| failure(&error))?;
    let dir = std::env::temp_dir().join(format!("redwinglatch-demo-{}", std::process::id()));
    let result = runtime.block_on(async {
        match timeout(DEMO_TIMEOUT, run_demo(&dir)).await {
            Ok(result) => result,
            Err(_) => Err(io::Error::other("the demonstration took too long")),
        }
    });
    runtime.shutdown_background();
    let _ = std::fs::remove_dir_all(&dir);
    let failed_checks = result.map_err(|error| failure(&error))?;
    if failed_checks == 0 {
        return Ok(());
    }
    Err(failure(&format!("{failed_checks} checks of the demonstration failed")).into())
}

fn failure(error: &dyn std::fmt::Display) -> CommandError {
    CommandError::new(error.to_string(), "run it again with RUST_LOG=info for the log lines")
}

/// Prints the results of checks and counts the failed ones.
#[derive(Default)]
struct Checks {
    failed: usize,
}

impl Checks {
    fn check(&mut self, description: &str, has_passed: bool) {
        println!("  {} {description}", if has_passed { "ok    " } else { "FAILED" });
        self.failed += usize::from(!has_passed);
    }
}

async fn run_demo(dir: &std::path::Path) -> io::Result<usize> {
    let mut checks = Checks::default();
    println!("Starting 3 instances, 2 engines, 1 plain service, a weight store and a backend list");
    let timing =
        Timing { renew_interval_ms: 250, lease_ms: 1_500, keep_for_s: 1, order_settle_ms: 1_000 };
    let started_at = Instant::now();
    let mut deployment = Deployment::start(dir, 3, 3, timing, FakesOptions::default()).await?;
    for district in DISTRICTS {
        deployment.fakes.weight_store.add(format!("district-{district}"), 2);
    }
    let operator = deployment.operator();
    let contract = Deployment::contract(CUSTOMER, "district-");
    let applied = operator.apply_contract("demo-1", Revision(0), &contract).await;
    let applied = applied.map_err(io::Error::other)?;
    println!(
        "Contract of {CUSTOMER} in force everywhere at revision {} after {} ms",
        applied.revision,
        started_at.elapsed().as_millis()
    );

    let caller = deployment.caller(CUSTOMER);
    let entries = wait_for_entries(&caller, deployment.callers_address(0), 3).await?;
    println!("Entry addresses: {entries:?}");
    checks.check("all three instances are listed", entries.len() == 3);

    println!("\nCompletions on several adapters:");
    let mut completions = Vec::new();
    for (position, district) in DISTRICTS.iter().enumerate() {
        let adapter = format!("district-{district}");
        let entry = entries[position % entries.len()];
        completions.push(complete(&caller, entry, &adapter, 2).await?);
    }
    print_completions(&completions);
    let is_complete = completions.iter().all(|completion| completion.is_complete);
    checks.check(
        "every response is complete and used the requested adapter and version",
        is_complete,
    );

    let is_response_repeated = repeats_first_response(&caller, &entries).await?;
    let runs = deployment.fakes.services[0].run_counts();
    checks.check(
        "a dispatch repeated with its idempotency key gets the first response",
        is_response_repeated,
    );
    checks.check("the dispatch ran once", runs.values().sum::<usize>() == 1);

    println!("\nA contract change removes adapter district-west:");
    let mut reduced_contract = contract.clone();
    reduced_contract.adapters = ["district-n*", "district-s*", "district-e*", "district-h*"]
        .into_iter()
        .map(|adapter| redwinglatch_core::AdapterRule {
            adapter: adapter.into(),
            min_version: 1,
            max_version: 9,
        })
        .collect();
    let changed_at = Instant::now();
    let changed = operator.apply_contract("demo-2", applied.revision, &reduced_contract).await;
    let changed = changed.map_err(io::Error::other)?;
    println!(
        "  accepted at revision {} after {} ms",
        changed.revision,
        changed_at.elapsed().as_millis()
    );
    let mut refused = 0;
    for entry in &entries {
        let request = request("district-west", 2, "Any tags left?", 4, false);
        let response = caller.send(*entry, &request).await?;
        refused += usize::from(response.body["error"]["code"] == "adapter_not_allowed");
    }
    checks.check("all three instances refuse it as soon as the change is accepted", refused == 3);
    let stale = operator.apply_contract("demo-3", applied.revision, &contract).await;
    checks.check("a change that names an old revision is refused", stale.is_err());

    println!("\nA graceful stop of the first instance in the middle of a stream:");
    let first = deployment.callers_address(0);
    let request = request("district-north", 2, "A long report", LONG_STREAM_TOKENS, true);
    let mut stream = caller.stream(first, &request).await?;
    let reading = tokio::spawn(async move { stream.text().await });
    let mut stopped_metrics = Vec::new();
    if let Some(instance) = deployment.take_instance(0) {
        stopped_metrics.push(instance.metrics().clone());
        let stopping_at = Instant::now();
        instance.stop().await;
        println!("  stopped after {} ms", stopping_at.elapsed().as_millis());
    }
    let text = reading.await.map_err(io::Error::other)??;
    let expected = expected_text("A long report", "district-north", 2, LONG_STREAM_TOKENS);
    checks.check("its stream completed", text == expected);
    let remaining = wait_for_entries(&caller, deployment.callers_address(1), 2).await?;
    checks.check("it is removed from the list of entry instances", !remaining.contains(&first));
    let after = complete(&caller, remaining[0], "district-south", 2).await?;
    checks.check("the other instances still serve requests", after.is_complete);

    print_metrics(&deployment, &stopped_metrics);
    let evicted_in_use: usize = deployment
        .fakes
        .engines
        .iter()
        .flat_map(redwinglatch_fakes::FakeEngine::evictions)
        .filter(|eviction| !eviction.in_flight.is_empty())
        .count();
    checks.check("no adapter was evicted while a request was using it", evicted_in_use == 0);
    println!("\n{}", if checks.failed == 0 { "All checks passed." } else { "Some checks failed." });
    Ok(checks.failed)
}

struct Completion {
    adapter: String,
    entry: SocketAddr,
    backend: Option<SocketAddr>,
    first_token: Duration,
    total: Duration,
    is_complete: bool,
}

fn request(adapter: &str, version: u32, prompt: &str, tokens: u32, stream: bool) -> CallerRequest {
    CallerRequest::completion(Fakes::MODEL, adapter, version, prompt, tokens, stream)
}

async fn complete(
    caller: &FakeCaller,
    entry: SocketAddr,
    adapter: &str,
    version: u32,
) -> io::Result<Completion> {
    let prompt = format!("Scope of removal for a report in {adapter}");
    let sent_at = Instant::now();
    let mut stream = caller.stream(entry, &request(adapter, version, &prompt, 16, true)).await?;
    let first = stream.next().await?.unwrap_or_default();
    let first_token = sent_at.elapsed();
    let mut text = first["text"].as_str().unwrap_or_default().to_owned();
    let mut is_done = false;
    while let Some(event) = stream.next().await? {
        text.push_str(event["text"].as_str().unwrap_or_default());
        is_done = event["done"] == true;
    }
    let served_by = stream.adapter();
    let is_requested_adapter = served_by
        .is_some_and(|(name, served_version)| *name == *adapter && served_version == version);
    Ok(Completion {
        adapter: format!("{adapter}@{version}"),
        entry,
        backend: stream.backend(),
        first_token,
        total: sent_at.elapsed(),
        is_complete: is_done
            && is_requested_adapter
            && text == expected_text(&prompt, adapter, version, 16),
    })
}

async fn repeats_first_response(caller: &FakeCaller, entries: &[SocketAddr]) -> io::Result<bool> {
    let path = format!("/v1/services/{}/crews", Fakes::SERVICE);
    let request = CallerRequest::new(hyper::Method::POST, path, "crew 7 to pier 4")
        .header("idempotency-key", "dispatch-1")
        .header("x-redwinglatch-once", "true");
    let first = caller.send(entries[0], &request).await?;
    let second = caller.send(entries[1], &request).await?;
    Ok(first.status == 200 && second.status == 200 && first.bytes == second.bytes)
}

async fn wait_for_entries(
    caller: &FakeCaller,
    address: SocketAddr,
    count: usize,
) -> io::Result<Vec<SocketAddr>> {
    let deadline = Instant::now() + START_TIMEOUT;
    loop {
        let entries = caller.entries(address).await?;
        if entries.len() == count || deadline < Instant::now() {
            return Ok(entries);
        }
        sleep(Duration::from_millis(50)).await;
    }
}

fn print_completions(completions: &[Completion]) {
    println!(
        "  {:<20} {:<22} {:<22} {:>12} {:>9}",
        "adapter", "entry", "engine", "first token", "total"
    );
    for completion in completions {
        let backend = completion.backend.map_or_else(|| "-".to_owned(), |it| it.to_string());
        println!(
            "  {:<20} {:<22} {:<22} {:>9} ms {:>6} ms",
            completion.adapter,
            completion.entry.to_string(),
            backend,
            completion.first_token.as_millis(),
            completion.total.as_millis()
        );
    }
}

fn print_metrics(
    deployment: &Deployment,
    stopped: &[std::sync::Arc<redwinglatch_metrics::Metrics>],
) {
    use redwinglatch_metrics::Counter;

    let running = (0..3).filter_map(|position| deployment.instance(position));
    let all: Vec<_> =
        running.map(|it| it.metrics().clone()).chain(stopped.iter().cloned()).collect();
    let sum = |counter| all.iter().map(|metrics| metrics.counter(counter)).sum::<u64>();
    let longest =
        |timing| all.iter().map(|metrics| metrics.quantile(timing, 1.0)).max().unwrap_or_default();
    println!("\nMetrics of all instances:");
    for (name, value) in [
        ("requests accepted", sum(Counter::RequestsAccepted)),
        ("requests answered", sum(Counter::RequestsAnswered)),
        ("responses from records", sum(Counter::AnswersFromRecord)),
        ("tokens sent", sum(Counter::TokensSent)),
        ("adapter loads", sum(Counter::LoadsOrdered)),
        ("lease renewals", sum(Counter::LeaseRenewals)),
    ] {
        println!("  {name:<28} {value:>8}");
    }
    for (name, timing) in [
        ("longest time to first token", Histogram::TimeToFirstToken),
        ("longest load stall", Histogram::LoadStall),
        ("longest placement decision", Histogram::Decision),
    ] {
        println!("  {name:<28} {:>8.1} ms", longest(timing).as_secs_f64() * 1_000.0);
    }
    let mut refusals: BTreeMap<&str, u64> = BTreeMap::new();
    for reason in redwinglatch_core::RefusalReason::ALL {
        let count = all.iter().map(|metrics| metrics.refusals(*reason)).sum::<u64>();
        if 0 < count {
            refusals.insert(reason.code(), count);
        }
    }
    println!("  refusals by reason           {refusals:?}");
}
