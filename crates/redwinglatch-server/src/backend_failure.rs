//! Maps backend client errors to the failure classes of the retry policy.

use redwinglatch_admission::{BackendErrorCode, Failure};
use redwinglatch_backends::{BackendError, BackendErrorKind};
use redwinglatch_core::RunStatus;

/// Returns the failure class of an error that occurred before any token was sent to the caller.
pub(crate) fn failure_class(error: &BackendError) -> Failure {
    let not_run = error.ran == RunStatus::NotRun;
    let refused = |code| Failure::Refused { code, not_run };
    match error.kind {
        BackendErrorKind::ConnectRefused => Failure::ConnectRefused,
        BackendErrorKind::WrongAdapter => Failure::WrongAdapter,
        BackendErrorKind::AdapterMissing => refused(BackendErrorCode::AdapterMissing),
        BackendErrorKind::QueueFull => refused(BackendErrorCode::QueueFull),
        BackendErrorKind::Leaving => refused(BackendErrorCode::Leaving),
        BackendErrorKind::UnknownAdapter => refused(BackendErrorCode::UnknownAdapter),
        BackendErrorKind::Refused => refused(BackendErrorCode::Other),
        _ if not_run => Failure::NotWritten,
        BackendErrorKind::Unresponsive | BackendErrorKind::DeadlinePassed => Failure::Timeout,
        _ => Failure::ResetAfterFirstByte,
    }
}
