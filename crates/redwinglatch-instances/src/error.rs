//! Errors of calls between instances.

use redwinglatch_core::InstanceId;
use thiserror::Error;

/// The kind of a failed call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[non_exhaustive]
pub enum TransportErrorKind {
    /// The settings contain no address of the instance.
    UnknownInstance,
    /// The connection could not be opened; the message was not sent.
    NotConnected,
    /// The queue of messages to the instance is full; the message was not sent.
    QueueFull,
    /// The connection was lost after the message may have been sent.
    ConnectionLost,
    /// The message or its reply is too large for a datagram; the message may have been handled.
    TooLarge,
    /// No reply arrived within the time limit; the message may have been handled.
    TimedOut,
}

impl TransportErrorKind {
    /// Returns whether the message was certainly not sent to the other instance.
    #[must_use]
    pub fn is_not_sent(self) -> bool {
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
    /// The called instance.
    pub to: InstanceId,
    /// The kind of the failure.
    pub kind: TransportErrorKind,
}

fn describe(kind: TransportErrorKind) -> &'static str {
    match kind {
        TransportErrorKind::UnknownInstance => "the instance has no address",
        TransportErrorKind::NotConnected => "the connection could not be opened",
        TransportErrorKind::QueueFull => "the queue of messages to the instance is full",
        TransportErrorKind::ConnectionLost => "the connection was lost",
        TransportErrorKind::TooLarge => "the message or its reply is too large for a datagram",
        TransportErrorKind::TimedOut => "no reply within the time limit",
    }
}

fn remedy(kind: TransportErrorKind) -> &'static str {
    match kind {
        TransportErrorKind::UnknownInstance => "add the section of the instance to the settings",
        TransportErrorKind::NotConnected => "check that the instance runs and has the same secret",
        TransportErrorKind::QueueFull => "repeat the call later",
        TransportErrorKind::TooLarge => "repeat the call over TCP",
        TransportErrorKind::ConnectionLost | TransportErrorKind::TimedOut => {
            "repeat the call only if it is idempotent"
        }
    }
}
