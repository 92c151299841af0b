//! Errors of calls to backend servers.

use std::fmt;

use redwinglatch_core::RunStatus;

/// The kind of a failure.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
#[non_exhaustive]
pub enum BackendErrorKind {
    /// The request is invalid and was not sent.
    InvalidRequest,
    /// The server refused the connection.
    ConnectRefused,
    /// The connection could not be opened for another reason, or not in time.
    ConnectFailed,
    /// All connections allowed for the address are in use.
    PoolFull,
    /// The connection closed before the request was written.
    NotSent,
    /// The connection broke after the request was written.
    ConnectionLost,
    /// No response arrived within the time limit.
    Unresponsive,
    /// The deadline passed.
    DeadlinePassed,
    /// The engine no longer knows the stream, or resuming it failed too often.
    StreamLost,
    /// The response violates the protocol.
    Malformed,
    /// The response, an event or the request exceeds its size limit.
    TooLarge,
    /// The response is for another adapter or version than the request.
    WrongAdapter,
    /// The adapter is not loaded on the engine.
    AdapterMissing,
    /// The engine's queue is full.
    QueueFull,
    /// The server is leaving its pool.
    Leaving,
    /// The fencing token of the order is stale.
    StaleToken,
    /// The engine has no free adapter slot.
    NoSlot,
    /// The adapter was not unloaded, because requests in flight use it.
    AdapterInUse,
    /// The weight store has no such adapter or version.
    UnknownAdapter,
    /// Loading the adapter failed.
    LoadFailed,
    /// The server refused for another reason.
    Refused,
}

impl BackendErrorKind {
    /// Maps the `code` of a refusal to an error kind.
    pub(crate) fn from_code(code: &str) -> BackendErrorKind {
        match code {
            "adapter_missing" => BackendErrorKind::AdapterMissing,
            "queue_full" => BackendErrorKind::QueueFull,
            "leaving" => BackendErrorKind::Leaving,
            "stale_token" => BackendErrorKind::StaleToken,
            "no_slot" => BackendErrorKind::NoSlot,
            "adapter_in_use" => BackendErrorKind::AdapterInUse,
            "unknown_adapter" => BackendErrorKind::UnknownAdapter,
            "load_failed" => BackendErrorKind::LoadFailed,
            "unknown_stream" => BackendErrorKind::StreamLost,
            _ => BackendErrorKind::Refused,
        }
    }

    /// Returns a description with a remedy.
    #[must_use]
    pub fn message(self) -> &'static str {
        match self {
            BackendErrorKind::InvalidRequest => "the request is invalid; correct its fields",
            BackendErrorKind::ConnectRefused => "connection refused; use another backend server",
            BackendErrorKind::ConnectFailed => "cannot connect; use another backend server",
            BackendErrorKind::PoolFull => {
                "all connections to the address are in use; use another server or raise the limit"
            }
            BackendErrorKind::NotSent => {
                "the connection closed before the request was written; send it again"
            }
            BackendErrorKind::ConnectionLost => {
                "the connection broke after the request was written; resume or cancel it"
            }
            BackendErrorKind::Unresponsive => {
                "no response within the time limit; resume or cancel the request"
            }
            BackendErrorKind::DeadlinePassed => "the deadline passed; use a longer deadline",
            BackendErrorKind::StreamLost => "the stream cannot be resumed; start a new request",
            BackendErrorKind::Malformed => "the response is malformed; check the server's version",
            BackendErrorKind::TooLarge => "a size limit was exceeded; send or request less data",
            BackendErrorKind::WrongAdapter => {
                "the response is for another adapter; check the slots in the engine's report"
            }
            BackendErrorKind::AdapterMissing => "the adapter is not loaded; load it first",
            BackendErrorKind::QueueFull => {
                "the engine's queue is full; use another engine or retry later"
            }
            BackendErrorKind::Leaving => "the server is leaving its pool; use another one",
            BackendErrorKind::StaleToken => "the fencing token is stale; stop sending orders",
            BackendErrorKind::NoSlot => "no adapter slot is free; unload an adapter first",
            BackendErrorKind::AdapterInUse => {
                "requests in flight use the adapter; wait until they end"
            }
            BackendErrorKind::UnknownAdapter => {
                "the weight store has no such adapter or version; correct them"
            }
            BackendErrorKind::LoadFailed => {
                "loading the adapter failed; retry later or use another engine"
            }
            BackendErrorKind::Refused => "the server refused the request; see the error code",
        }
    }
}

impl fmt::Display for BackendErrorKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.message())
    }
}

/// The failure of a call, with what is known about whether the request ran.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{kind} ({detail})")]
pub struct BackendError {
    /// The kind of the failure.
    pub kind: BackendErrorKind,
    /// Whether the request ran; `RunStatus::NotRun` is set only when that is certain.
    pub ran: RunStatus,
    /// Whether the server reported that it is leaving its pool.
    pub is_leaving: bool,
    /// A description of the failure, with the offending values.
    pub detail: Box<str>,
}

impl BackendError {
    pub(crate) fn not_run(kind: BackendErrorKind, detail: impl Into<Box<str>>) -> BackendError {
        BackendError { kind, ran: RunStatus::NotRun, is_leaving: false, detail: detail.into() }
    }

    pub(crate) fn unknown(kind: BackendErrorKind, detail: impl Into<Box<str>>) -> BackendError {
        BackendError { kind, ran: RunStatus::Unknown, is_leaving: false, detail: detail.into() }
    }
}
