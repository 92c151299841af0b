//! Instances are stopped gracefully, one after the other, under load.

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

/// Sends one completion as a caller does: by its list of entries, the next one when an address
/// fails or refuses. Returns the number of addresses that were tried.
async fn complete(
    caller: &FakeCaller,
    entries: &mut Vec<SocketAddr>,
    adapter: &str,
    prompt: &str,
    tokens: u32,
) -> usize {
    let request = CallerRequest::completion(Fakes::MODEL, adapter, 1, prompt, tokens, true);
    for tried in 1..=20 {
        let entry = entries[tried % entries.len()];
        match caller.stream(entry, &request).await {
            Ok(mut stream) => {
                // Once a stream has begun, a planned stop must not cut it off.
                let text = stream.text().await.unwrap();
                assert_eq!(text, expected_text(prompt, adapter, 1, tokens));
                return tried;
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

/// Guards against streams that a planned stop cuts off, also on the instance that coordinates and
/// the one that leads, and against requests that find no instance meanwhile.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_rolling_restart_cuts_off_no_stream() {
    let options =
        FakesOptions { engines: 3, slots: 3, step_ms: 20, loads_per_s: 20.0, ..Default::default() };
    let mut cluster = Cluster::start("rolling", 3, 3, options).await;
    for number in 0..6 {
        cluster.fakes.weight_store.add(format!("wall-{number}"), 1);
    }
    cluster.first_contract(&Cluster::contract(CUSTOMER, "wall-")).await;
    cluster.serving(&[0, 1, 2]).await;

    let stop = Arc::new(AtomicBool::new(false));
    let all: Vec<SocketAddr> = (0..3).map(|position| cluster.callers(position)).collect();
    let mut callers = JoinSet::new();
    for number in 0..6 {
        let (caller, stop, mut entries) = (cluster.caller(CUSTOMER), stop.clone(), all.clone());
        callers.spawn(async move {
            let adapter = format!("wall-{number}");
            let mut answered = 0;
            while !stop.load(Ordering::Relaxed) {
                let prompt = format!("{number} {answered}");
                // Every third answer takes 2 s, longer than a handover.
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
        assert_eq!(cluster.ended(position).await, Some(0));
        cluster.spawn(position);
        cluster.serving(&[position]).await;
    }
    stop.store(true, Ordering::Relaxed);
    let answered: Vec<usize> = callers.join_all().await;
    assert!(answered.iter().all(|answered| 3 <= *answered), "{answered:?}");
    let evictions = cluster.fakes.engines.iter().flat_map(FakeEngine::evictions);
    assert_eq!(evictions.filter(|eviction| !eviction.in_flight.is_empty()).count(), 0);
}
