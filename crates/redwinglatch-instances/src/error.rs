//! Errors of the transport.

use redwinglatch_core::InstanceId;
use thiserror::Error;

/// What kind of failure a call met.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[non_exhaustive]
pub enum TransportErrorKind {
    /// The settings name no address for the instance.
    UnknownInstance,
    /// No connection could be made; the message was not sent.
    NotConnected,
    /// The queue towards the instance is full; the message was not sent.
    QueueFull,
    /// The connection was lost after the message may have been sent.
    ConnectionLost,
    /// The message or its reply is too large for a datagram; the message may have been handled.
    TooLarge,
    /// No reply came in time; the message may have been handled.
    TimedOut,
}

impl TransportErrorKind {
    /// Whether the message surely never reached the other instance.
    #[must_use]
    pub fn surely_not_sent(self) -> bool {
        matches!(
            self,
            TransportErrorKind::UnknownInstance
                | TransportErrorKind::NotConnected
                | TransportErrorKind::QueueFull
        )
    }
}

/// A failed call to another instance.
#[derive(Debug, Clone, Error)]
#[error("call to instance {to} failed: {}; {}", describe(*.kind), remedy(*.kind))]
pub struct TransportError {
    /// The instance that was called.
    pub to: InstanceId,
    /// What failed.
    pub kind: TransportErrorKind,
}

fn describe(kind: TransportErrorKind) -> &'static str {
    match kind {
        TransportErrorKind::UnknownInstance => "it has no address",
        TransportErrorKind::NotConnected => "no connection could be made",
        TransportErrorKind::QueueFull => "the queue of messages to it is full",
        TransportErrorKind::ConnectionLost => "the connection was lost",
        TransportErrorKind::TooLarge => "the message or its reply is too large for a datagram",
        TransportErrorKind::TimedOut => "no reply came in time",
    }
}

fn remedy(kind: TransportErrorKind) -> &'static str {
    match kind {
        TransportErrorKind::UnknownInstance => "add its section to the settings",
        TransportErrorKind::NotConnected => "check that it runs and that the secret is the same",
        TransportErrorKind::QueueFull => "the call may be repeated later",
        TransportErrorKind::TooLarge => "repeat the call over TCP",
        TransportErrorKind::ConnectionLost | TransportErrorKind::TimedOut => {
            "repeat the call only if it is idempotent"
        }
    }
}
