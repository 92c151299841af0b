//! The events of a token stream.

use std::borrow::Cow;

use serde::Deserialize;

use crate::{BackendError, BackendErrorKind};

/// One token.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Token {
    /// The token's position in the completion, counted from 0.
    pub index: u64,
    /// The token's text.
    pub text: Box<str>,
}

/// The end of a token stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StreamEnd {
    /// The engine's `finish_reason`.
    pub reason: Box<str>,
    /// The number of tokens in the completion.
    pub tokens: u64,
}

/// One event of a stream, whose adapter and version have been checked.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum StreamEvent {
    /// A token.
    Token(Token),
    /// The end of the stream.
    End(StreamEnd),
    /// A keep-alive comment.
    KeepAlive,
}

#[derive(Deserialize)]
struct WireEvent<'a> {
    index: Option<u64>,
    text: Option<Box<str>>,
    #[serde(borrow)]
    adapter: Option<Cow<'a, str>>,
    version: Option<u32>,
    #[serde(default)]
    done: bool,
    finish_reason: Option<Box<str>>,
    tokens: Option<u64>,
}

impl StreamEvent {
    /// Parses the data of one event, which must name `adapter` and `version`.
    pub(crate) fn parse(
        data: &[u8],
        adapter: &str,
        version: u32,
    ) -> Result<StreamEvent, BackendError> {
        let malformed = |detail: String| BackendError::unknown(BackendErrorKind::Malformed, detail);
        let event: WireEvent<'_> =
            serde_json::from_slice(data).map_err(|error| malformed(error.to_string()))?;
        let (Some(event_adapter), Some(event_version)) = (event.adapter, event.version) else {
            return Err(malformed("the event lacks an adapter or version".to_owned()));
        };
        if *event_adapter != *adapter || event_version != version {
            let detail =
                format!("requested {adapter}@{version}, received {event_adapter}@{event_version}");
            return Err(BackendError::unknown(BackendErrorKind::WrongAdapter, detail));
        }
        match (event.done, event.index, event.text, event.tokens) {
            (true, None, None, Some(tokens)) => {
                let reason = event.finish_reason.unwrap_or_default();
                Ok(StreamEvent::End(StreamEnd { reason, tokens }))
            }
            (false, Some(index), Some(text), None) => Ok(StreamEvent::Token(Token { index, text })),
            _ => Err(malformed("the event is neither a token nor the stream's end".to_owned())),
        }
    }
}
