//! Writes the server-sent events of one stream, including injected faults.

use std::{fmt::Write as _, sync::Arc};

use bytes::Bytes;
use http_body_util::BodyExt as _;
use hyper::Response;
use redwinglatch_body::body_channel;
use tokio::time::{Duration, timeout};

use crate::{
    RunEnd, connection_control::ConnectionControl, engine::EngineContext,
    engine_state::StreamSource, response::ResponseBody, text::token_text,
};

/// Chunks buffered between a stream's task and its connection.
const CHANNEL_CAPACITY: usize = 16;

/// A fault injected when a stream reaches a given token index.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StreamFault {
    /// The connection stalls before the token: it stays open, but no byte is read or written.
    Stall,
    /// The connection is reset before the token.
    Reset,
    /// The body ends cleanly before the token, without the last event.
    EndEarly,
    /// The token's event names another adapter.
    WrongAdapter,
    /// The token's event names another version.
    WrongVersion,
    /// The token's event is sent twice.
    Duplicate,
    /// The token's event is delayed until the next `by` tokens have been sent.
    Late {
        /// Number of later tokens that are sent first.
        by: u32,
    },
    /// The token's event is never sent.
    Skip,
    /// An event with 1 MiB of text is sent instead of the token's event.
    Oversized,
    /// An event that is not valid JSON is sent instead of the token's event.
    Malformed,
    /// The last event follows the token and gives a token count that is too low by one.
    WrongCount,
}

struct EventWriter {
    source: StreamSource,
    index: u32,
    chunk: String,
    delayed: Option<(u32, String)>,
    adapter_json: String,
}

/// What to do with the connection after writing the pending events.
enum NextAction {
    Continue,
    End,
    Stall,
    Reset,
}

/// Returns a response that streams from token `from` on; a task of its own writes the events.
pub(crate) fn stream_response(
    context: Arc<EngineContext>,
    connection: Arc<ConnectionControl>,
    source: StreamSource,
    from: u32,
) -> Response<ResponseBody> {
    let boot_id = source.boot_id.clone();
    let (sender, body) = body_channel(CHANNEL_CAPACITY);
    let keep_alive = Duration::from_millis(context.state().settings.keep_alive_ms);
    tokio::spawn(async move {
        let adapter_json =
            serde_json::to_string(&source.adapter).expect("adapter names can be serialized");
        let mut writer =
            EventWriter { source, index: from, chunk: String::new(), delayed: None, adapter_json };
        loop {
            let progress = *writer.source.progress.borrow_and_update();
            let mut next_action = writer.write_tokens_before(progress.tokens);
            if matches!(next_action, NextAction::Continue) {
                match progress.end {
                    Some(RunEnd::Finished) => next_action = writer.write_end("stop"),
                    Some(RunEnd::Cancelled) => next_action = writer.write_end("cancelled"),
                    Some(RunEnd::Restarted | RunEnd::Evicted) => next_action = NextAction::Reset,
                    None => {}
                }
            }
            if !writer.chunk.is_empty() {
                let chunk = Bytes::from(std::mem::take(&mut writer.chunk));
                if sender.send(chunk).await.is_err() {
                    return;
                }
                context.record_delivered(writer.source.record_index, writer.index);
            }
            match next_action {
                NextAction::Continue => {}
                NextAction::End => return sender.finish(),
                NextAction::Stall => connection.stall(),
                NextAction::Reset => return connection.reset(),
            }
            match timeout(keep_alive, writer.source.progress.changed()).await {
                Ok(Ok(())) => {}
                Ok(Err(_)) if writer.source.progress.borrow().end.is_some() => {}
                Ok(Err(_)) => return connection.reset(),
                Err(_) => {
                    let comment = Bytes::from_static(b": keep-alive\n\n");
                    if sender.send(comment).await.is_err() {
                        return;
                    }
                }
            }
        }
    });
    Response::builder()
        .header("content-type", "text/event-stream")
        .header("x-engine-boot-id", &*boot_id)
        .body(body.boxed())
        .expect("the headers are valid")
}

impl EventWriter {
    fn write_tokens_before(&mut self, tokens: u32) -> NextAction {
        while self.index < tokens {
            let index = self.index;
            let fault = self.source.fault.filter(|(at, _)| *at == index).map(|(_, fault)| fault);
            if fault.is_some() {
                self.source.fault = None;
            }
            match fault {
                None => self.write_token(index),
                Some(StreamFault::Stall) => return NextAction::Stall,
                Some(StreamFault::Reset) => return NextAction::Reset,
                Some(StreamFault::EndEarly) => return NextAction::End,
                Some(StreamFault::WrongAdapter) => self.write_token_as(index, "\"other\"", 0),
                Some(StreamFault::WrongVersion) => {
                    let adapter = self.adapter_json.clone();
                    self.write_token_as(index, &adapter, 1);
                }
                Some(StreamFault::Duplicate) => {
                    self.write_token(index);
                    self.write_token(index);
                }
                Some(StreamFault::Late { by }) => {
                    let before = std::mem::take(&mut self.chunk);
                    self.write_token(index);
                    self.delayed = Some((index + by, std::mem::replace(&mut self.chunk, before)));
                }
                Some(StreamFault::Skip) => {}
                Some(StreamFault::Oversized) => {
                    let text = "x".repeat(1 << 20);
                    let _ =
                        write!(self.chunk, "data: {{\"index\":{index},\"text\":\"{text}\"}}\n\n");
                }
                Some(StreamFault::Malformed) => self.chunk.push_str("data: {\"index\":\n\n"),
                Some(StreamFault::WrongCount) => {
                    self.write_token(index);
                    self.write_last_event("stop", index);
                    return NextAction::End;
                }
            }
            if let Some((_, event)) = self.delayed.take_if(|(after, _)| *after == index) {
                self.chunk.push_str(&event);
            }
            self.index += 1;
        }
        NextAction::Continue
    }

    fn write_end(&mut self, reason: &str) -> NextAction {
        if let Some((_, event)) = self.delayed.take() {
            self.chunk.push_str(&event);
        }
        let tokens = self.source.progress.borrow().tokens;
        self.write_last_event(reason, tokens);
        NextAction::End
    }

    fn write_last_event(&mut self, reason: &str, tokens: u32) {
        let _ = write!(
            self.chunk,
            "data: {{\"done\":true,\"finish_reason\":\"{reason}\",\"tokens\":{tokens},\
             \"adapter\":{},\"version\":{}}}\n\n",
            self.adapter_json, self.source.version
        );
    }

    fn write_token(&mut self, index: u32) {
        let adapter = std::mem::take(&mut self.adapter_json);
        self.write_token_as(index, &adapter, 0);
        self.adapter_json = adapter;
    }

    fn write_token_as(&mut self, index: u32, adapter_json: &str, version_offset: u32) {
        let text = token_text(self.source.seed, index);
        let version = self.source.version + version_offset;
        let _ = write!(
            self.chunk,
            "data: {{\"index\":{index},\"text\":\"{text}\",\"adapter\":{adapter_json},\
             \"version\":{version}}}\n\n"
        );
    }
}
