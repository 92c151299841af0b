//! Tests that stop instances gracefully, one after the other, under load.

mod support;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use redwinglatch_fakes::{CallerRequest, FakeCaller, FakeEngine, expected_text};
use redwinglatch_local::{Fakes, FakesOptions};
use support::Cluster;
use tokio::task::JoinSet;
use tokio::time::sleep;

const CUSTOMER: &str = "lakeshore";

/// Sends one completion as a caller does: to the next address of its entry list whenever one fails
/// or refuses. Returns the number of attempts.
async fn complete(
    caller: &FakeCaller,
    entries: &mut Vec<SocketAddr>,
    adapter: &str,
    prompt: &str,
    tokens: u32,
) -> usize {
    let request = CallerRequest::completion(Fakes::MODEL, adapter, 1, prompt, tokens, true);
    for attempt in 1..=20 {
        let entry = entries[attempt % entries.len()];
        match caller.stream(entry, &request).await {
            Ok(mut stream) => {
                // A planned stop must not cut off a stream that has started.
                let text = stream.text().await.unwrap();
                assert_eq!(text, expected_text(prompt, adapter, 1, tokens));
                return attempt;
            }
            Err(_) => {
                if let Ok(listed) = caller.entries(entry).await
                    && !listed.is_empty()
                {
                    *entries = listed;
                }
                sleep(Duration::from_millis(50)).await;
            }
        }
    }
    panic!("no entry answered a completion on {adapter}");
}

/// Guards against streams that a planned stop cuts off, including those on the coordinator and on
/// the control leader, and against requests that no instance accepts meanwhile.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_rolling_restart_cuts_off_no_stream() {
    let options =
        FakesOptions { engines: 3, slots: 3, step_ms: 20, loads_per_s: 20.0, ..Default::default() };
    let mut cluster = Cluster::start("rolling", 3, 3, options).await;
    for number in 0..6 {
        cluster.fakes.weight_store.add(format!("wall-{number}"), 1);
    }
    cluster.apply_first_contract(&Cluster::contract(CUSTOMER, "wall-")).await;
    cluster.wait_until_serving(&[0, 1, 2]).await;

    let stop = Arc::new(AtomicBool::new(false));
    let all_entries: Vec<SocketAddr> =
        (0..3).map(|position| cluster.callers_address(position)).collect();
    let mut callers = JoinSet::new();
    for number in 0..6 {
        let (caller, stop, mut entries) =
            (cluster.caller(CUSTOMER), stop.clone(), all_entries.clone());
        callers.spawn(async move {
            let adapter = format!("wall-{number}");
            let mut answered = 0;
            while !stop.load(Ordering::Relaxed) {
                let prompt = format!("{number} {answered}");
                // Every third response takes 2 s, longer than a leadership transfer.
                let tokens = if answered % 3 == 0 { 100 } else { 5 };
                complete(&caller, &mut entries, &adapter, &prompt, tokens).await;
                answered += 1;
            }
            answered
        });
    }
    for position in 0..3 {
        sleep(Duration::from_millis(500)).await;
        cluster.terminate(position);
        assert_eq!(cluster.exit_code(position).await, Some(0));
        cluster.spawn(position);
        cluster.wait_until_serving(&[position]).await;
    }
    stop.store(true, Ordering::Relaxed);
    let answered: Vec<usize> = callers.join_all().await;
    assert!(answered.iter().all(|answered| 3 <= *answered), "{answered:?}");
    let evictions = cluster.fakes.engines.iter().flat_map(FakeEngine::evictions);
    assert_eq!(evictions.filter(|eviction| !eviction.in_flight.is_empty()).count(), 0);
}
