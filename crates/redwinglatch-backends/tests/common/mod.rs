//! What the failure tests share.

#![allow(dead_code, reason = "each test file uses a part")]

use redwinglatch_backends::{
    BackendClient, BackendError, BackendSettings, CompletionRequest, ResumingStream,
};
use redwinglatch_fakes::{EngineSettings, FakeEngine, expected_text};

pub(crate) const PROMPT: &str = "Scope the wall at pier 9.";

/// Short timeouts, long enough that a busy machine does not pass them by accident.
pub(crate) fn quick() -> BackendSettings {
    BackendSettings {
        stall_ms: 400,
        probe_timeout_ms: 300,
        order_timeout_ms: 5_000,
        resume_pause_ms: 1,
        resume_pause_limit_ms: 4,
        ..BackendSettings::default()
    }
}

/// Settings for tests in which no connection is silent, so that a busy machine can't make one seem
/// so.
pub(crate) fn patient() -> BackendSettings {
    BackendSettings { stall_ms: 30_000, probe_timeout_ms: 30_000, ..quick() }
}

pub(crate) fn quick_client() -> BackendClient {
    BackendClient::new(quick())
}

/// An engine with adapter `scope` at version 1 and frequent keep-alive comments.
pub(crate) fn engine() -> FakeEngine {
    let engine = FakeEngine::start(EngineSettings::new("base").keep_alive_ms(20)).unwrap();
    assert!(engine.preload("scope", 1));
    engine
}

pub(crate) fn request(id: &str, max_tokens: u32) -> CompletionRequest {
    CompletionRequest::new(id, "base", "scope", 1, PROMPT).max_tokens(max_tokens)
}

pub(crate) fn expected(max_tokens: u32) -> String {
    expected_text(PROMPT, "scope", 1, max_tokens)
}

/// Reads a stream to its end; each token must come once and in order.
pub(crate) async fn read_all(stream: &mut ResumingStream) -> Result<String, BackendError> {
    let mut answer = String::new();
    let mut index = stream.next_index();
    while let Some(token) = stream.next().await? {
        assert_eq!(token.index, index);
        index += 1;
        answer.push_str(&token.text);
    }
    Ok(answer)
}

pub(crate) async fn read_tokens(stream: &mut ResumingStream, count: usize) {
    for _ in 0..count {
        stream.next().await.unwrap().unwrap();
    }
}
