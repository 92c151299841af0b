//! Helpers shared by the failure tests.

#![allow(dead_code, reason = "each test file uses only some of the helpers")]

use redwinglatch_backends::{
    BackendClient, BackendError, BackendSettings, CompletionRequest, ResumingStream,
};
use redwinglatch_fakes::{EngineSettings, FakeEngine, expected_text};

pub(crate) const PROMPT: &str = "Scope the wall at pier 9.";

/// Returns settings with short timeouts, which are still long enough not to expire on a busy
/// machine by accident.
pub(crate) fn short_timeouts() -> BackendSettings {
    BackendSettings {
        stall_ms: 400,
        probe_timeout_ms: 300,
        order_timeout_ms: 5_000,
        resume_delay_ms: 1,
        max_resume_delay_ms: 4,
        ..BackendSettings::default()
    }
}

/// Returns settings with long timeouts for tests in which no connection stalls, so that a busy
/// machine can't make one appear stalled.
pub(crate) fn long_timeouts() -> BackendSettings {
    BackendSettings { stall_ms: 30_000, probe_timeout_ms: 30_000, ..short_timeouts() }
}

pub(crate) fn client_with_short_timeouts() -> BackendClient {
    BackendClient::new(short_timeouts())
}

/// Starts an engine that has adapter `scope` loaded at version 1 and sends frequent keep-alive
/// comments.
pub(crate) fn start_engine() -> FakeEngine {
    let engine = FakeEngine::start(EngineSettings::new("base").keep_alive_ms(20)).unwrap();
    assert!(engine.preload("scope", 1));
    engine
}

pub(crate) fn request(id: &str, max_tokens: u32) -> CompletionRequest {
    CompletionRequest::new(id, "base", "scope", 1, PROMPT).max_tokens(max_tokens)
}

pub(crate) fn expected_completion(max_tokens: u32) -> String {
    expected_text(PROMPT, "scope", 1, max_tokens)
}

/// Reads a stream to its end and checks that each token arrives once and in order.
pub(crate) async fn read_all(stream: &mut ResumingStream) -> Result<String, BackendError> {
    let mut completion = String::new();
    let mut index = stream.next_index();
    while let Some(token) = stream.next().await? {
        assert_eq!(token.index, index);
        index += 1;
        completion.push_str(&token.text);
    }
    Ok(completion)
}

pub(crate) async fn read_tokens(stream: &mut ResumingStream, count: usize) {
    for _ in 0..count {
        stream.next().await.unwrap().unwrap();
    }
}
