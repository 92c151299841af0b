//! Concurrent streams with random faults; a checker verifies the engine's records of its runs.

mod common;

use common::{expected_completion, read_all, request, short_timeouts, start_engine};
use fastrand::Rng;
use redwinglatch_backends::{BackendClient, BackendSettings};
use redwinglatch_fakes::{RunEnd, RunRecord, StreamFault};

const STREAMS: u32 = 8;
const TOKENS: u32 = 60;

fn random_fault(rng: &mut Rng) -> StreamFault {
    match rng.u32(0..10) {
        0 => StreamFault::Stall,
        1 => StreamFault::Skip,
        2 | 3 => StreamFault::Reset,
        4 | 5 => StreamFault::EndEarly,
        6 | 7 => StreamFault::Duplicate,
        _ => StreamFault::Late { by: rng.u32(1..20) },
    }
}

/// Checks that each request ran exactly once, completely and on its adapter; returns a description
/// of the first violation.
fn check_runs(runs: &[RunRecord], requests: u32) -> Result<(), String> {
    for number in 0..requests {
        let id = format!("r-{number}");
        let request_runs: Vec<_> = runs.iter().filter(|run| *run.request_id == *id).collect();
        let [run] = request_runs[..] else {
            return Err(format!("{id} ran {} times", request_runs.len()));
        };
        let is_complete =
            run.end_reason == Some(RunEnd::Finished) && run.tokens_generated == TOKENS;
        if !is_complete || (&*run.adapter, run.version) != ("scope", 1) {
            return Err(format!("{id} did not run completely on its adapter: {run:?}"));
        }
    }
    if runs.len() != requests as usize { Err("unknown requests ran".to_owned()) } else { Ok(()) }
}

/// Guards against lost, repeated or mixed tokens when several faults hit streams that share a pool.
#[tokio::test]
async fn every_stream_is_complete_and_runs_once() {
    for seed in 0..12 {
        let mut rng = Rng::with_seed(seed);
        let engine = start_engine();
        for _ in 0..rng.u32(0..30) {
            engine.inject_stream_fault(rng.u32(0..TOKENS), random_fault(&mut rng));
        }
        let settings = BackendSettings { max_resume_attempts: 40, ..short_timeouts() };
        let client = BackendClient::new(settings);
        let mut streams = tokio::task::JoinSet::new();
        for number in 0..STREAMS {
            let (client, address) = (client.clone(), engine.address());
            streams.spawn(async move {
                let request = request(&format!("r-{number}"), TOKENS);
                let mut stream = client.complete(address, request).await?;
                read_all(&mut stream).await
            });
        }
        while let Some(completion) = streams.join_next().await {
            let completion = completion.unwrap_or_else(|error| panic!("seed {seed}: {error}"));
            assert_eq!(completion, Ok(expected_completion(TOKENS)), "seed {seed}");
        }
        assert_eq!(check_runs(&engine.runs(), STREAMS), Ok(()), "seed {seed}");
    }
}

/// Guards against a checker that accepts invalid records.
#[tokio::test]
async fn the_checker_rejects_invalid_records() {
    let engine = start_engine();
    let client = BackendClient::new(short_timeouts());
    for number in 0..2 {
        let request = request(&format!("r-{number}"), TOKENS);
        read_all(&mut client.complete(engine.address(), request).await.unwrap()).await.unwrap();
    }
    let valid_runs = engine.runs();
    assert_eq!(check_runs(&valid_runs, 2), Ok(()));
    let assert_rejected = |change: fn(&mut Vec<RunRecord>)| {
        let mut runs = valid_runs.clone();
        change(&mut runs);
        assert!(check_runs(&runs, 2).is_err());
    };
    assert_rejected(|runs| runs.push(runs[0].clone()));
    assert_rejected(|runs| drop(runs.pop()));
    assert_rejected(|runs| runs[1].version = 2);
    assert_rejected(|runs| runs[1].tokens_generated -= 1);
    assert_rejected(|runs| runs[1].end_reason = Some(RunEnd::Cancelled));
    assert_rejected(|runs| runs.push(RunRecord { request_id: "r-9".into(), ..runs[0].clone() }));
}
