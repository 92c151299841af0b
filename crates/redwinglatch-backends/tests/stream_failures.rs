//! Streams that stall, break, repeat or skip tokens, or send tokens of another adapter.

mod common;

use common::{
    client_with_short_timeouts, expected_completion, long_timeouts, read_all, read_tokens, request,
    short_timeouts, start_engine,
};
use redwinglatch_backends::{BackendClient, BackendErrorKind, BackendSettings};
use redwinglatch_core::{Epoch, RetryReason, RunStatus};
use redwinglatch_fakes::{RunEnd, StreamFault};

const TOKENS: u32 = 120;

/// Runs a request whose stream meets `faults` in order; returns the completion and the retry
/// counts.
async fn complete_with_faults(
    faults: &[(u32, StreamFault)],
    settings: BackendSettings,
) -> (String, redwinglatch_backends::RetryCounts) {
    let engine = start_engine();
    for (index, fault) in faults {
        engine.inject_stream_fault(*index, *fault);
    }
    let client = BackendClient::new(settings);
    let mut stream = client.complete(engine.address(), request("r-1", TOKENS)).await.unwrap();
    let completion = read_all(&mut stream).await.unwrap();
    assert_eq!(stream.end().unwrap().tokens, u64::from(TOKENS));
    let runs = engine.runs();
    assert_eq!(runs.len(), 1, "resuming does not start a second run");
    assert_eq!(runs[0].resumes, stream.resumes());
    (completion, client.take_retries())
}

/// Guards against endless waits and lost tokens when a connection stalls.
#[tokio::test]
async fn a_stalled_stream_is_resumed() {
    for index in [0, 1, 50, TOKENS - 1] {
        let (completion, retries) =
            complete_with_faults(&[(index, StreamFault::Stall)], short_timeouts()).await;
        assert_eq!(completion, expected_completion(TOKENS));
        assert!(retries.get(RetryReason::StreamResumed) >= 1);
    }
}

/// Guards against using idle connections after a stream of the same engine stalled.
#[tokio::test]
async fn a_stalled_stream_drops_the_idle_connections_of_its_engine() {
    let engine = start_engine();
    engine.hold_at(Some(2));
    let client =
        BackendClient::new(BackendSettings { order_timeout_ms: 2_000, ..short_timeouts() });
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
async fn a_broken_stream_is_resumed() {
    let faults = [(3, StreamFault::Reset), (40, StreamFault::EndEarly), (41, StreamFault::Reset)];
    let (completion, retries) = complete_with_faults(&faults, short_timeouts()).await;
    assert_eq!(completion, expected_completion(TOKENS));
    assert!(retries.get(RetryReason::ConnectionLost) >= 3);
}

/// Guards against abandoning a long stream whose connections break often but always deliver tokens.
#[tokio::test]
async fn resume_attempts_are_counted_from_the_last_token() {
    let faults: Vec<_> = (1..10).map(|number| (number * 10, StreamFault::EndEarly)).collect();
    let settings = BackendSettings { max_resume_attempts: 2, ..long_timeouts() };
    let (completion, retries) = complete_with_faults(&faults, settings).await;
    assert_eq!(completion, expected_completion(TOKENS));
    assert_eq!(retries.get(RetryReason::ConnectionLost), 9);
}

/// Guards against delivering tokens twice or out of order when events arrive that way.
#[tokio::test]
async fn duplicate_and_late_tokens_are_delivered_once_and_in_order() {
    for fault in [StreamFault::Duplicate, StreamFault::Late { by: 1 }, StreamFault::Late { by: 30 }]
    {
        let (completion, retries) = complete_with_faults(&[(7, fault)], long_timeouts()).await;
        assert_eq!(completion, expected_completion(TOKENS));
        assert!(retries.is_empty(), "{fault:?}");
    }
}

/// Guards against a completion with a gap, and against buffering tokens without a limit.
#[tokio::test]
async fn a_missing_token_is_fetched_by_resuming() {
    for fault in [StreamFault::Skip, StreamFault::Late { by: 90 }] {
        let (completion, retries) = complete_with_faults(&[(7, fault)], short_timeouts()).await;
        assert_eq!(completion, expected_completion(TOKENS));
        assert!(retries.get(RetryReason::StreamResumed) >= 1, "{fault:?}");
    }
    // The last token is missing, which the token count of the end event reveals.
    let (completion, _) =
        complete_with_faults(&[(TOKENS - 1, StreamFault::Skip)], short_timeouts()).await;
    assert_eq!(completion, expected_completion(TOKENS));
}

/// Guards against delivering tokens of another adapter or version, or a malformed event.
#[tokio::test]
async fn a_wrong_or_malformed_event_fails_the_stream() {
    let faults = [
        (StreamFault::WrongAdapter, BackendErrorKind::WrongAdapter),
        (StreamFault::WrongVersion, BackendErrorKind::WrongAdapter),
        (StreamFault::Malformed, BackendErrorKind::Malformed),
        (StreamFault::Oversized, BackendErrorKind::TooLarge),
        (StreamFault::WrongCount, BackendErrorKind::Malformed),
    ];
    let engine = start_engine();
    let client = client_with_short_timeouts();
    for (number, (fault, kind)) in faults.into_iter().enumerate() {
        engine.inject_stream_fault(5, fault);
        let request = request(&format!("r-{number}"), 20);
        let mut stream = client.complete(engine.address(), request).await.unwrap();
        read_tokens(&mut stream, 5).await;
        let error = read_all(&mut stream).await.unwrap_err();
        assert_eq!((error.kind, error.ran), (kind, RunStatus::Unknown), "{fault:?}");
        assert_eq!(
            stream.next().await.unwrap_err(),
            error,
            "each further call returns the same error"
        );
        if fault != StreamFault::WrongCount {
            // Only a stream that ended properly leaves a connection for reuse.
            engine.wait_for_connections(0).await;
        }
    }
}

/// Guards against resuming or waiting for a stream that the engine lost in a restart.
#[tokio::test]
async fn an_engine_restart_loses_the_stream() {
    let engine = start_engine();
    engine.hold_at(Some(4));
    let client = client_with_short_timeouts();
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

/// Guards against mixing completions when a restarted engine runs another request with the same
/// id.
#[tokio::test]
async fn a_stream_is_not_resumed_under_another_boot_id() {
    let engine = start_engine();
    engine.hold_at(Some(4));
    let mut stream =
        client_with_short_timeouts().complete(engine.address(), request("r-1", 20)).await.unwrap();
    read_tokens(&mut stream, 4).await;
    engine.restart_cold();
    engine.preload("scope", 1);
    let other =
        client_with_short_timeouts().complete(engine.address(), request("r-1", 20)).await.unwrap();
    let error = stream.next().await.unwrap_err();
    assert_eq!((error.kind, error.ran), (BackendErrorKind::StreamLost, RunStatus::Unknown));
    drop(other);
}

/// Guards against endless attempts to resume, and against reporting a started request as "not run".
#[tokio::test]
async fn a_stream_is_abandoned_after_too_many_resume_attempts() {
    let engine = start_engine();
    engine.hold_at(Some(4));
    let client = BackendClient::new(BackendSettings { max_resume_attempts: 3, ..long_timeouts() });
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
    assert!(client.take_retries().is_empty(), "taking the counts resets them");
}

/// Guards against a stream that outlives its deadline because keep-alive comments still arrive.
#[tokio::test]
async fn a_stream_ends_at_its_deadline() {
    let engine = start_engine();
    engine.hold_at(Some(2));
    let request = request("r-1", 20).deadline_ms(1_000);
    let mut stream =
        client_with_short_timeouts().complete(engine.address(), request).await.unwrap();
    let error = read_all(&mut stream).await.unwrap_err();
    assert_eq!((error.kind, error.ran), (BackendErrorKind::DeadlinePassed, RunStatus::Unknown));
    assert_eq!(stream.next_index(), 2);
}

/// Guards against losing tokens or resume attempts when a caller drops the future of `next` and
/// calls it again.
#[tokio::test]
async fn cancelling_next_loses_no_token() {
    let engine = start_engine();
    engine.inject_stream_fault(10, StreamFault::Reset);
    engine.inject_stream_fault(20, StreamFault::EndEarly);
    let client = BackendClient::new(long_timeouts());
    let mut stream = client.complete(engine.address(), request("r-1", 40)).await.unwrap();
    let mut completion = String::new();
    loop {
        tokio::select! {
            biased;
            token = stream.next() => match token.unwrap() {
                Some(token) => completion.push_str(&token.text),
                None => break,
            },
            () = tokio::task::yield_now() => {}
        }
    }
    assert_eq!(completion, expected_completion(40));
    assert_eq!(stream.resumes(), 2);
}

/// Guards against reusing the connection of a dropped stream while tokens still arrive on it.
#[tokio::test]
async fn dropping_a_stream_closes_its_connection() {
    let engine = start_engine();
    engine.hold_at(Some(4));
    let client = client_with_short_timeouts();
    let mut stream = client.complete(engine.address(), request("r-1", 20)).await.unwrap();
    read_tokens(&mut stream, 2).await;
    engine.wait_for_connections(1).await;
    drop(stream);
    engine.wait_for_connections(0).await;

    // The engine still runs the request, so its stream can be resumed from any index.
    let mut stream = client.resume(engine.address(), &request("r-1", 20), 2).await.unwrap();
    engine.hold_at(None);
    let rest = read_all(&mut stream).await.unwrap();
    assert_eq!(rest, expected_completion(20)[expected_completion(2).len()..]);
    assert_eq!(engine.runs().len(), 1);
}

/// Guards against reporting "not run", and against starting a second run, when a request was
/// written to an unresponsive connection.
#[tokio::test]
async fn a_request_on_an_unresponsive_connection_is_unknown_until_its_cancel_is_confirmed() {
    let engine = start_engine();
    let client = client_with_short_timeouts();
    // The body of a refusal is read completely, so its connection is in the pool when the call
    // returns.
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

/// Guards against a stream or client type that can't move between the daemon's tasks.
#[test]
fn streams_and_clients_can_be_sent_between_threads() {
    fn assert_send_and_sync<T: Send + Sync>() {}
    assert_send_and_sync::<redwinglatch_backends::ResumingStream>();
    assert_send_and_sync::<BackendClient>();
}
