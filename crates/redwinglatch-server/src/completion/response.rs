//! Response formats of a completion and their delivery to the caller.

use std::net::SocketAddr;

use bytes::Bytes;
use redwinglatch_backends::Token;
use redwinglatch_callers::{CallerEvent, CallerResponse, ServedBy};
use redwinglatch_core::prelude::*;
use serde::{Deserialize, Serialize};
use tokio::sync::{mpsc, oneshot};

use crate::callers::refuse;
use crate::instance_context::InstanceContext;

/// The complete response of a completion, as JSON; also recorded under an idempotency key.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(super) struct CompletionDocument {
    pub(super) model: Box<str>,
    pub(super) adapter: Box<str>,
    pub(super) version: u32,
    pub(super) backend: SocketAddr,
    pub(super) text: String,
    pub(super) finish_reason: Box<str>,
    pub(super) tokens: u32,
}

/// Delivers a response to the caller, as a stream or whole.
pub(super) enum ResponseSink {
    Stream(mpsc::Sender<CallerEvent>),
    Whole(ServedBy, oneshot::Sender<CallerResponse>),
}

impl ResponseSink {
    /// Sends a token; returns false when the caller has disconnected.
    pub(super) async fn send_token(&mut self, token: Token) -> bool {
        match self {
            ResponseSink::Stream(events) => {
                let index = u32::try_from(token.index).unwrap_or(u32::MAX);
                events.send(CallerEvent::Token { index, text: token.text }).await.is_ok()
            }
            ResponseSink::Whole(_, reply) => !reply.is_closed(),
        }
    }

    pub(super) async fn finish(self, document: &CompletionDocument, body: Bytes) {
        match self {
            ResponseSink::Stream(events) => {
                let finish_reason = document.finish_reason.clone();
                let done = CallerEvent::Done { finish_reason, tokens: document.tokens };
                let _ = events.send(done).await;
            }
            ResponseSink::Whole(served_by, reply) => {
                let content_type = "application/json".into();
                let served_by = Some(served_by);
                drop(reply.send(CallerResponse::Complete {
                    served_by,
                    status: 200,
                    content_type,
                    body,
                }));
            }
        }
    }

    pub(super) async fn fail(self, context: &InstanceContext, refusal: Refusal) {
        match self {
            ResponseSink::Stream(events) => {
                context.metrics.refused(refusal.reason);
                let _ = events.send(CallerEvent::Failed(refusal)).await;
            }
            ResponseSink::Whole(_, reply) => refuse(context, reply, refusal).await,
        }
    }
}

/// Builds the response recorded under an idempotency key, as a stream or whole.
pub(super) fn recorded_response(status: u16, body: &[u8], stream: bool) -> CallerResponse {
    let document = serde_json::from_slice::<CompletionDocument>(body).ok();
    if let (true, Some(document)) = (stream, document) {
        let (events, receiver) = mpsc::channel(2);
        let CompletionDocument { text, finish_reason, tokens, .. } = document;
        // The channel has room for both events.
        let _ = events.try_send(CallerEvent::Token { index: 0, text: text.into() });
        let _ = events.try_send(CallerEvent::Done { finish_reason, tokens });
        let adapter = AdapterVersion::new(document.adapter, document.version);
        let served_by = ServedBy { adapter: Some(adapter), backend: document.backend };
        return CallerResponse::Stream { served_by, events: receiver };
    }
    let body = Bytes::copy_from_slice(body);
    let content_type = "application/json".into();
    CallerResponse::Complete { served_by: None, status, content_type, body }
}
