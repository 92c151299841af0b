//! Streams that go silent, break, repeat, skip or answer for another adapter.

mod common;

use common::{engine, expected, patient, quick, quick_client, read_all, read_tokens, request};
use redwinglatch_backends::{BackendClient, BackendErrorKind, BackendSettings};
use redwinglatch_core::{Epoch, RetryReason, RunStatus};
use redwinglatch_fakes::{RunEnd, StreamFault};

const TOKENS: u32 = 120;

/// Starts a request whose stream has `faults` in turn, and returns its answer and retry counts.
async fn answer_with(
    faults: &[(u32, StreamFault)],
    settings: BackendSettings,
) -> (String, redwinglatch_backends::RetryCounts) {
    let engine = engine();
    for (index, fault) in faults {
        engine.inject_stream_fault(*index, *fault);
    }
    let client = BackendClient::new(settings);
    let mut stream = client.complete(engine.address(), request("r-1", TOKENS)).await.unwrap();
    let answer = read_all(&mut stream).await.unwrap();
    assert_eq!(stream.finish().unwrap().tokens, u64::from(TOKENS));
    let runs = engine.runs();
    assert_eq!(runs.len(), 1, "a resume is not a second run");
    assert_eq!(runs[0].resumes, stream.resumes());
    (answer, client.take_retries())
}

/// Guards against a caller that waits for ever, or misses tokens, when a connection goes silent.
#[tokio::test]
async fn a_stream_that_goes_silent_is_resumed() {
    for index in [0, 1, 50, TOKENS - 1] {
        let (answer, retries) = answer_with(&[(index, StreamFault::Stall)], quick()).await;
        assert_eq!(answer, expected(TOKENS));
        assert!(retries.get(RetryReason::StreamResumed) >= 1);
    }
}

/// Guards against using idle connections after a stream to the same engine went silent.
#[tokio::test]
async fn a_silent_stream_drops_the_idle_connections_of_its_engine() {
    let engine = engine();
    engine.hold_at(Some(2));
    let client = BackendClient::new(BackendSettings { order_timeout_ms: 2_000, ..quick() });
    let mut stream = client.complete(engine.address(), request("r-1", 9)).await.unwrap();
    read_tokens(&mut stream, 2).await;
    client.report(engine.address()).await.unwrap();
    engine.stall_connections();
    engine.hold_at(None);
    read_all(&mut stream).await.unwrap();
    client.report(engine.address()).await.unwrap();
}

/// Guards against losing or repeating tokens when a connection is reset or its body ends early.
#[tokio::test]
async fn a_stream_that_breaks_is_resumed() {
    let faults = [(3, StreamFault::Reset), (40, StreamFault::EndEarly), (41, StreamFault::Reset)];
    let (answer, retries) = answer_with(&faults, quick()).await;
    assert_eq!(answer, expected(TOKENS));
    assert!(retries.get(RetryReason::ConnectionLost) >= 3);
}

/// Guards against giving up a long stream whose connections break often but always bring tokens.
#[tokio::test]
async fn attempts_are_counted_from_the_last_token() {
    let faults: Vec<_> = (1..10).map(|number| (number * 10, StreamFault::EndEarly)).collect();
    let settings = BackendSettings { resume_attempts: 2, ..patient() };
    let (answer, retries) = answer_with(&faults, settings).await;
    assert_eq!(answer, expected(TOKENS));
    assert_eq!(retries.get(RetryReason::ConnectionLost), 9);
}

/// Guards against passing tokens on twice or out of order when events arrive so.
#[tokio::test]
async fn duplicated_and_late_tokens_are_put_in_order() {
    for fault in [StreamFault::Duplicate, StreamFault::Late { by: 1 }, StreamFault::Late { by: 30 }]
    {
        let (answer, retries) = answer_with(&[(7, fault)], patient()).await;
        assert_eq!(answer, expected(TOKENS));
        assert!(retries.is_empty(), "{fault:?}");
    }
}

/// Guards against an answer with a hole, and against holding tokens without bound.
#[tokio::test]
async fn a_missing_token_is_fetched_by_a_resume() {
    for fault in [StreamFault::Skip, StreamFault::Late { by: 90 }] {
        let (answer, retries) = answer_with(&[(7, fault)], quick()).await;
        assert_eq!(answer, expected(TOKENS));
        assert!(retries.get(RetryReason::StreamResumed) >= 1, "{fault:?}");
    }
    // The last token is missing: the end event shows it.
    let (answer, _) = answer_with(&[(TOKENS - 1, StreamFault::Skip)], quick()).await;
    assert_eq!(answer, expected(TOKENS));
}

/// Guards against passing on an answer of another adapter or version, or a broken event.
#[tokio::test]
async fn a_wrong_or_malformed_event_ends_the_stream_with_its_error() {
    let faults = [
        (StreamFault::WrongAdapter, BackendErrorKind::WrongAdapter),
        (StreamFault::WrongVersion, BackendErrorKind::WrongAdapter),
        (StreamFault::Malformed, BackendErrorKind::Malformed),
        (StreamFault::Oversized, BackendErrorKind::TooLarge),
        (StreamFault::WrongCount, BackendErrorKind::Malformed),
    ];
    let engine = engine();
    let client = quick_client();
    for (number, (fault, kind)) in faults.into_iter().enumerate() {
        engine.inject_stream_fault(5, fault);
        let request = request(&format!("r-{number}"), 20);
        let mut stream = client.complete(engine.address(), request).await.unwrap();
        read_tokens(&mut stream, 5).await;
        let error = read_all(&mut stream).await.unwrap_err();
        assert_eq!((error.kind, error.ran), (kind, RunStatus::Unknown), "{fault:?}");
        assert_eq!(stream.next().await.unwrap_err(), error, "the error stays");
        if fault != StreamFault::WrongCount {
            // Only a stream that ended in order leaves a connection for reuse.
            engine.wait_for_connections(0).await;
        }
    }
}

/// Guards against taking a restarted engine's silence or answer for the old stream.
#[tokio::test]
async fn an_engine_restart_in_mid_stream_loses_the_stream() {
    let engine = engine();
    engine.hold_at(Some(4));
    let client = quick_client();
    let mut stream = client.complete(engine.address(), request("r-1", 20)).await.unwrap();
    read_tokens(&mut stream, 4).await;
    let boot_id = engine.boot_id();
    engine.restart_cold();
    assert_ne!(engine.boot_id(), boot_id);
    let error = stream.next().await.unwrap_err();
    assert_eq!((error.kind, error.ran), (BackendErrorKind::StreamLost, RunStatus::Unknown));
    assert_eq!(engine.runs()[0].end_reason, Some(RunEnd::Restarted));
    let error = client.complete(engine.address(), request("r-2", 1)).await.err().unwrap();
    assert_eq!((error.kind, error.ran), (BackendErrorKind::AdapterMissing, RunStatus::NotRun));
}

/// Guards against mixing answers when a restarted engine runs another request of the same id.
#[tokio::test]
async fn a_resume_that_meets_another_boot_id_is_refused() {
    let engine = engine();
    engine.hold_at(Some(4));
    let mut stream = quick_client().complete(engine.address(), request("r-1", 20)).await.unwrap();
    read_tokens(&mut stream, 4).await;
    engine.restart_cold();
    engine.preload("scope", 1);
    let other = quick_client().complete(engine.address(), request("r-1", 20)).await.unwrap();
    let error = stream.next().await.unwrap_err();
    assert_eq!((error.kind, error.ran), (BackendErrorKind::StreamLost, RunStatus::Unknown));
    drop(other);
}

/// Guards against resuming for ever, and against calling a started request "not run".
#[tokio::test]
async fn a_stream_is_given_up_after_its_resume_attempts() {
    let engine = engine();
    engine.hold_at(Some(4));
    let client = BackendClient::new(BackendSettings { resume_attempts: 3, ..patient() });
    let mut stream = client.complete(engine.address(), request("r-1", 20)).await.unwrap();
    read_tokens(&mut stream, 4).await;
    engine.refuse_connections().await;
    engine.reset_connections();
    let error = stream.next().await.unwrap_err();
    assert_eq!((error.kind, error.ran), (BackendErrorKind::StreamLost, RunStatus::Unknown));
    assert!(error.detail.contains("connection refused"), "{error}");
    let retries = client.take_retries();
    assert_eq!(retries.get(RetryReason::ConnectionLost), 1);
    assert_eq!(retries.get(RetryReason::ConnectRefused), 2);
    assert!(client.take_retries().is_empty(), "taking starts again from 0");
}

/// Guards against a stream that outlives its deadline because keep-alive comments still come.
#[tokio::test]
async fn a_stream_ends_at_its_deadline() {
    let engine = engine();
    engine.hold_at(Some(2));
    let request = request("r-1", 20).deadline_ms(1_000);
    let mut stream = quick_client().complete(engine.address(), request).await.unwrap();
    let error = read_all(&mut stream).await.unwrap_err();
    assert_eq!((error.kind, error.ran), (BackendErrorKind::DeadlinePassed, RunStatus::Unknown));
    assert_eq!(stream.next_index(), 2);
}

/// Guards against losing tokens or attempts when a caller drops `next` and calls it again.
#[tokio::test]
async fn cancelling_next_loses_no_token() {
    let engine = engine();
    engine.inject_stream_fault(10, StreamFault::Reset);
    engine.inject_stream_fault(20, StreamFault::EndEarly);
    let client = BackendClient::new(patient());
    let mut stream = client.complete(engine.address(), request("r-1", 40)).await.unwrap();
    let mut answer = String::new();
    loop {
        tokio::select! {
            biased;
            token = stream.next() => match token.unwrap() {
                Some(token) => answer.push_str(&token.text),
                None => break,
            },
            () = tokio::task::yield_now() => {}
        }
    }
    assert_eq!(answer, expected(40));
    assert_eq!(stream.resumes(), 2);
}

/// Guards against a dropped stream's connection being reused while tokens still come on it.
#[tokio::test]
async fn dropping_a_stream_closes_its_connection() {
    let engine = engine();
    engine.hold_at(Some(4));
    let client = quick_client();
    let mut stream = client.complete(engine.address(), request("r-1", 20)).await.unwrap();
    read_tokens(&mut stream, 2).await;
    engine.wait_for_connections(1).await;
    drop(stream);
    engine.wait_for_connections(0).await;

    // The run went on, so its stream can be resumed from any index.
    let mut stream = client.resume(engine.address(), &request("r-1", 20), 2).await.unwrap();
    engine.hold_at(None);
    let rest = read_all(&mut stream).await.unwrap();
    assert_eq!(rest, expected(20)[expected(2).len()..]);
    assert_eq!(engine.runs().len(), 1);
}

/// Guards against telling a caller "not run" or starting a second run when a request was written
/// to a connection that is silent.
#[tokio::test]
async fn a_request_on_a_silent_connection_is_unknown_until_its_cancel_is_confirmed() {
    let engine = engine();
    let client = quick_client();
    // A refusal is read whole, so its connection is in the pool when the call returns.
    engine.refuse_next(1, 429, "queue_full", true);
    client.complete(engine.address(), request("r-1", 1)).await.err().unwrap();
    engine.stall_connections();
    let mut stream = client.complete(engine.address(), request("r-2", 1)).await.unwrap();
    let error = stream.next().await.unwrap_err();
    assert_eq!((error.kind, error.ran), (BackendErrorKind::StreamLost, RunStatus::Unknown));
    let outcome = client.cancel(engine.address(), "r-2", Epoch(1)).await.unwrap();
    assert_eq!((outcome.cancelled, outcome.tokens), (true, 0));
    assert!(engine.runs().is_empty());
    let error = client.complete(engine.address(), request("r-2", 1)).await.err().unwrap();
    assert_eq!(error.ran, RunStatus::NotRun, "the engine refuses a cancelled id");
}

/// Guards against a stream type that can't move between the daemon's tasks.
#[test]
fn streams_and_clients_can_be_sent_between_threads() {
    fn sendable<T: Send + Sync>() {}
    sendable::<redwinglatch_backends::ResumingStream>();
    sendable::<BackendClient>();
}
