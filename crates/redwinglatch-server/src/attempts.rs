//! From errors of backend servers to the failures that the retry policy knows.

use redwinglatch_admission::{BackendErrorCode, Failure};
use redwinglatch_backends::{BackendError, BackendErrorKind};
use redwinglatch_core::RunStatus;

/// The failure that `error` stands for, before any token was passed on.
pub(crate) fn failure_of(error: &BackendError) -> Failure {
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
