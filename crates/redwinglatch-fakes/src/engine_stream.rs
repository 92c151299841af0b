//! Writes the server-sent events of one stream, with faults on demand.

use std::{convert::Infallible, fmt::Write as _, sync::Arc};

use bytes::Bytes;
use http_body_util::{BodyExt as _, channel::Channel};
use hyper::Response;
use tokio::time::{Duration, timeout};

use crate::{
    RunEnd, answer::AnswerBody, engine::Shared, engine_state::StreamSource, link::Link,
    text::token_of_seed,
};

/// Chunks that may wait for the connection.
const CHUNKS_BUFFERED: usize = 16;

/// A fault that a stream shows when it reaches a token index.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StreamFault {
    /// The connection goes silent before the token.
    Silent,
    /// The connection is reset before the token.
    Reset,
    /// The body ends in order before the token, without the last event.
    EndEarly,
    /// The token's event names another adapter.
    WrongAdapter,
    /// The token's event names another version.
    WrongVersion,
    /// The token's event is sent twice.
    Duplicate,
    /// The token's event is sent after the next `by` tokens.
    Late {
        /// How many later tokens are sent first.
        by: u32,
    },
    /// The token's event is never sent.
    Skip,
    /// An event with a megabyte of text comes instead of the token.
    Oversized,
    /// An event that is not JSON comes instead of the token.
    Malformed,
    /// A last event that counts one token too few follows the token.
    WrongCount,
}

struct Writer {
    source: StreamSource,
    index: u32,
    chunk: String,
    late: Option<(u32, String)>,
    adapter_json: String,
}

/// What happens to the connection after the tokens written so far.
enum Outcome {
    Continue,
    End,
    Silent,
    Reset,
}

/// Answers with a stream from token `from`, written by a task of its own.
pub(crate) fn stream_answer(
    shared: Arc<Shared>,
    link: Arc<Link>,
    source: StreamSource,
    from: u32,
) -> Response<AnswerBody> {
    let boot_id = source.boot_id.clone();
    let (mut sender, body) = Channel::<Bytes, Infallible>::new(CHUNKS_BUFFERED);
    let keep_alive = Duration::from_millis(shared.state().settings.keep_alive_ms);
    tokio::spawn(async move {
        let adapter_json = serde_json::to_string(&source.adapter).expect("names serialize");
        let mut writer =
            Writer { source, index: from, chunk: String::new(), late: None, adapter_json };
        loop {
            let progress = *writer.source.progress.borrow_and_update();
            let mut outcome = writer.write_up_to(progress.generated);
            if matches!(outcome, Outcome::Continue) {
                match progress.end {
                    Some(RunEnd::Finished) => outcome = writer.write_end("stop"),
                    Some(RunEnd::Cancelled) => outcome = writer.write_end("cancelled"),
                    Some(RunEnd::Restarted | RunEnd::Evicted) => outcome = Outcome::Reset,
                    None => {}
                }
            }
            if !writer.chunk.is_empty() {
                let chunk = Bytes::from(std::mem::take(&mut writer.chunk));
                if sender.send_data(chunk).await.is_err() {
                    return;
                }
                shared.note_delivered(writer.source.record, writer.index);
            }
            match outcome {
                Outcome::Continue => {}
                Outcome::End => return,
                Outcome::Silent => link.go_silent(),
                Outcome::Reset => return link.reset(),
            }
            match timeout(keep_alive, writer.source.progress.changed()).await {
                Ok(Ok(())) => {}
                Ok(Err(_)) if writer.source.progress.borrow().end.is_some() => {}
                Ok(Err(_)) => return link.reset(),
                Err(_) => {
                    let comment = Bytes::from_static(b": keep-alive\n\n");
                    if sender.send_data(comment).await.is_err() {
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

impl Writer {
    fn write_up_to(&mut self, generated: u32) -> Outcome {
        while self.index < generated {
            let index = self.index;
            let fault = self.source.fault.filter(|(at, _)| *at == index).map(|(_, fault)| fault);
            if fault.is_some() {
                self.source.fault = None;
            }
            match fault {
                None => self.write_token(index),
                Some(StreamFault::Silent) => return Outcome::Silent,
                Some(StreamFault::Reset) => return Outcome::Reset,
                Some(StreamFault::EndEarly) => return Outcome::End,
                Some(StreamFault::WrongAdapter) => self.write_named(index, "\"other\"", 0),
                Some(StreamFault::WrongVersion) => {
                    let adapter = self.adapter_json.clone();
                    self.write_named(index, &adapter, 1);
                }
                Some(StreamFault::Duplicate) => {
                    self.write_token(index);
                    self.write_token(index);
                }
                Some(StreamFault::Late { by }) => {
                    let before = std::mem::take(&mut self.chunk);
                    self.write_token(index);
                    self.late = Some((index + by, std::mem::replace(&mut self.chunk, before)));
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
                    self.write_done("stop", index);
                    return Outcome::End;
                }
            }
            if let Some((_, event)) = self.late.take_if(|(after, _)| *after == index) {
                self.chunk.push_str(&event);
            }
            self.index += 1;
        }
        Outcome::Continue
    }

    fn write_end(&mut self, reason: &str) -> Outcome {
        if let Some((_, event)) = self.late.take() {
            self.chunk.push_str(&event);
        }
        let tokens = self.source.progress.borrow().generated;
        self.write_done(reason, tokens);
        Outcome::End
    }

    fn write_done(&mut self, reason: &str, tokens: u32) {
        let _ = write!(
            self.chunk,
            "data: {{\"done\":true,\"finish_reason\":\"{reason}\",\"tokens\":{tokens},\
             \"adapter\":{},\"version\":{}}}\n\n",
            self.adapter_json, self.source.version
        );
    }

    fn write_token(&mut self, index: u32) {
        let adapter = std::mem::take(&mut self.adapter_json);
        self.write_named(index, &adapter, 0);
        self.adapter_json = adapter;
    }

    fn write_named(&mut self, index: u32, adapter_json: &str, version_offset: u32) {
        let text = token_of_seed(self.source.seed, index);
        let version = self.source.version + version_offset;
        let _ = write!(
            self.chunk,
            "data: {{\"index\":{index},\"text\":\"{text}\",\"adapter\":{adapter_json},\
             \"version\":{version}}}\n\n"
        );
    }
}
