//! Errors of calls to backend servers.

use std::fmt;

use redwinglatch_core::RunStatus;

/// What went wrong.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
#[non_exhaustive]
pub enum BackendErrorKind {
    /// The request can't be sent as it is.
    InvalidRequest,
    /// The server refused the connection.
    ConnectRefused,
    /// The connection could not be opened for another reason, or not in time.
    ConnectFailed,
    /// Every connection that the address may have is in use.
    PoolFull,
    /// The connection closed before the request was written.
    NotSent,
    /// The connection broke after the request was written.
    ConnectionLost,
    /// No answer came in time.
    Silent,
    /// The deadline passed.
    DeadlinePassed,
    /// The engine no longer knows the stream, or resuming it failed too often.
    StreamLost,
    /// The answer is not in the protocol's form.
    Malformed,
    /// The answer, an event or the request exceeds its limit.
    TooLarge,
    /// The engine answered for another adapter or version.
    WrongAdapter,
    /// The engine does not hold the adapter.
    AdapterMissing,
    /// The engine's queue is full.
    QueueFull,
    /// The server is leaving.
    Leaving,
    /// The order's fencing token is old.
    StaleToken,
    /// The engine has no free adapter slot.
    NoSlot,
    /// Requests use the adapter that was to be unloaded.
    AdapterInUse,
    /// The weight store has no such adapter or version.
    UnknownAdapter,
    /// Loading the adapter failed.
    LoadFailed,
    /// The server refused for another reason.
    Refused,
}

impl BackendErrorKind {
    /// The kind that a refusal's code stands for.
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

    /// A sentence with the remedy.
    #[must_use]
    pub fn message(self) -> &'static str {
        match self {
            BackendErrorKind::InvalidRequest => "the request can't be sent; correct its fields",
            BackendErrorKind::ConnectRefused => "connection refused; use another backend server",
            BackendErrorKind::ConnectFailed => "connecting failed; use another backend server",
            BackendErrorKind::PoolFull => {
                "all connections to the address are in use; use another server or raise the limit"
            }
            BackendErrorKind::NotSent => "the connection closed before the request; send it again",
            BackendErrorKind::ConnectionLost => {
                "the connection broke after the request was written; resume or cancel it"
            }
            BackendErrorKind::Silent => "no answer in time; resume or cancel the request",
            BackendErrorKind::DeadlinePassed => "the deadline passed; allow more time",
            BackendErrorKind::StreamLost => "the engine lost the stream; start a new request",
            BackendErrorKind::Malformed => "the answer is malformed; check the server's version",
            BackendErrorKind::TooLarge => "a size limit was exceeded; send or ask for less",
            BackendErrorKind::WrongAdapter => {
                "the answer is for another adapter; read back the engine's slots"
            }
            BackendErrorKind::AdapterMissing => "the adapter is not loaded; load it first",
            BackendErrorKind::QueueFull => "the queue is full; use another engine or wait",
            BackendErrorKind::Leaving => "the server is leaving; use another one",
            BackendErrorKind::StaleToken => "the fencing token is old; stop sending orders",
            BackendErrorKind::NoSlot => "no adapter slot is free; unload an adapter first",
            BackendErrorKind::AdapterInUse => "requests use the adapter; wait for their end",
            BackendErrorKind::UnknownAdapter => "the adapter does not exist; correct its name",
            BackendErrorKind::LoadFailed => "loading failed; try again later or elsewhere",
            BackendErrorKind::Refused => "the server refused; see its code",
        }
    }
}

impl fmt::Display for BackendErrorKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.message())
    }
}

/// The failure of a call, with an honest statement of whether the request ran.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{kind} ({detail})")]
pub struct BackendError {
    /// What went wrong.
    pub kind: BackendErrorKind,
    /// Whether the request ran; `RunStatus::NotRun` is certain.
    pub ran: RunStatus,
    /// Whether the server said that it is leaving.
    pub leaving: bool,
    /// What happened, with the values at fault.
    pub detail: Box<str>,
}

impl BackendError {
    pub(crate) fn not_run(kind: BackendErrorKind, detail: impl Into<Box<str>>) -> BackendError {
        BackendError { kind, ran: RunStatus::NotRun, leaving: false, detail: detail.into() }
    }

    pub(crate) fn unknown(kind: BackendErrorKind, detail: impl Into<Box<str>>) -> BackendError {
        BackendError { kind, ran: RunStatus::Unknown, leaving: false, detail: detail.into() }
    }
}
