//! Maps backend client errors to the failure classes of the retry policy.

use redwinglatch_admission::{BackendCode, Failure};
use redwinglatch_backends::{BackendError, BackendErrorKind};
use redwinglatch_core::RunStatus;

/// Returns the failure class of an error that occurred before any token was sent to the caller.
pub(crate) fn failure_class(error: &BackendError) -> Failure {
    let not_run = error.ran == RunStatus::NotRun;
    let refused = |code| Failure::Refused { code, not_run };
    match error.kind {
        BackendErrorKind::ConnectRefused => Failure::ConnectRefused,
        BackendErrorKind::WrongAdapter => Failure::WrongAdapter,
        BackendErrorKind::AdapterMissing => refused(BackendCode::AdapterMissing),
        BackendErrorKind::QueueFull => refused(BackendCode::QueueFull),
        BackendErrorKind::Leaving => refused(BackendCode::Leaving),
        BackendErrorKind::UnknownAdapter => refused(BackendCode::UnknownAdapter),
        BackendErrorKind::Refused => refused(BackendCode::Other),
        _ if not_run => Failure::NotWritten,
        BackendErrorKind::Silent | BackendErrorKind::DeadlinePassed => Failure::Timeout,
        _ => Failure::ResetAfterFirstByte,
    }
}
