//! Many streams at once through random faults; a checker decides from the engine's records.

mod common;

use common::{engine, expected, quick, read_all, request};
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

/// Says what is wrong with the records of requests that were all answered in full.
fn check_runs(runs: &[RunRecord], requests: u32) -> Result<(), String> {
    for number in 0..requests {
        let id = format!("r-{number}");
        let of_request: Vec<_> = runs.iter().filter(|run| *run.request_id == *id).collect();
        let [run] = of_request[..] else {
            return Err(format!("{id} ran {} times", of_request.len()));
        };
        let complete = run.end_reason == Some(RunEnd::Finished) && run.tokens_generated == TOKENS;
        if !complete || (&*run.adapter, run.version) != ("scope", 1) {
            return Err(format!("{id} is not a whole run on its adapter: {run:?}"));
        }
    }
    if runs.len() != requests as usize { Err("unknown requests ran".to_owned()) } else { Ok(()) }
}

/// Guards against lost, repeated or mixed tokens when faults meet on streams that share a pool.
#[tokio::test]
async fn every_stream_is_whole_and_runs_once() {
    for seed in 0..12 {
        let mut rng = Rng::with_seed(seed);
        let engine = engine();
        for _ in 0..rng.u32(0..30) {
            engine.inject_stream_fault(rng.u32(0..TOKENS), random_fault(&mut rng));
        }
        let settings = BackendSettings { resume_attempts: 40, ..quick() };
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
        while let Some(answer) = streams.join_next().await {
            let answer = answer.unwrap_or_else(|error| panic!("seed {seed}: {error}"));
            assert_eq!(answer, Ok(expected(TOKENS)), "seed {seed}");
        }
        assert_eq!(check_runs(&engine.runs(), STREAMS), Ok(()), "seed {seed}");
    }
}

/// Guards against a checker that finds nothing.
#[tokio::test]
async fn the_checker_finds_bad_histories() {
    let engine = engine();
    let client = BackendClient::new(quick());
    for number in 0..2 {
        let request = request(&format!("r-{number}"), TOKENS);
        read_all(&mut client.complete(engine.address(), request).await.unwrap()).await.unwrap();
    }
    let good = engine.runs();
    assert_eq!(check_runs(&good, 2), Ok(()));
    let bad = |change: fn(&mut Vec<RunRecord>)| {
        let mut runs = good.clone();
        change(&mut runs);
        assert!(check_runs(&runs, 2).is_err());
    };
    bad(|runs| runs.push(runs[0].clone()));
    bad(|runs| drop(runs.pop()));
    bad(|runs| runs[1].version = 2);
    bad(|runs| runs[1].tokens_generated -= 1);
    bad(|runs| runs[1].end_reason = Some(RunEnd::Cancelled));
    bad(|runs| runs.push(RunRecord { request_id: "r-9".into(), ..runs[0].clone() }));
}
