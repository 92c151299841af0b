//! Errors of the client of the operators' HTTP API.

use std::fmt;
use std::net::SocketAddr;

use redwinglatch_core::RunStatus;

use crate::{ConflictDocument, ErrorBody};

/// The cause of a [`ClientError`].
#[derive(Debug, Clone, PartialEq, Eq)]
#[non_exhaustive]
pub enum ClientErrorKind {
    /// The expected revision of the change is not the current one.
    Conflict(ConflictDocument),
    /// The instance refused the request.
    Refused {
        /// The HTTP status.
        status: u16,
        /// The refusal.
        error: ErrorBody,
    },
    /// No address gave a response.
    NoResponse {
        /// The attempts in order.
        attempts: Vec<FailedAttempt>,
    },
    /// A response is not in the format of this version.
    InvalidResponse {
        /// The status and the parse error.
        detail: Box<str>,
    },
    /// The request can't be written as HTTP, for example because of a character in a header.
    InvalidRequest {
        /// The reason.
        detail: Box<str>,
    },
}

/// An attempt that got no response, or status 503.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FailedAttempt {
    /// The address that the request was sent to.
    pub address: SocketAddr,
    /// The cause of the failure.
    pub detail: Box<str>,
    /// Whether the request may have run.
    pub ran: RunStatus,
}

/// A failed request of an operator.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClientError {
    /// The cause, with its details.
    pub kind: ClientErrorKind,
}

impl From<ClientErrorKind> for ClientError {
    fn from(kind: ClientErrorKind) -> ClientError {
        ClientError { kind }
    }
}

impl ClientError {
    /// Returns whether the request may have run.
    #[must_use]
    pub fn run_status(&self) -> RunStatus {
        match &self.kind {
            ClientErrorKind::Conflict(_) | ClientErrorKind::InvalidRequest { .. } => {
                RunStatus::NotRun
            }
            ClientErrorKind::Refused { error, .. } => error.ran,
            ClientErrorKind::NoResponse { attempts } => attempts
                .iter()
                .map(|attempt| attempt.ran)
                .find(|ran| *ran != RunStatus::NotRun)
                .unwrap_or(RunStatus::NotRun),
            ClientErrorKind::InvalidResponse { .. } => RunStatus::Unknown,
        }
    }

    /// Returns advice on how to resolve the error.
    #[must_use]
    pub fn remedy(&self) -> &str {
        match &self.kind {
            ClientErrorKind::Conflict(_) => {
                "compare the change with the current contract, and send it with its revision"
            }
            ClientErrorKind::Refused { error, .. } => &error.remedy,
            ClientErrorKind::NoResponse { .. } if self.run_status() == RunStatus::NotRun => {
                "check the addresses and that an instance is running at them; nothing was changed"
            }
            ClientErrorKind::NoResponse { .. } => {
                "send the same request again under the same change id; it is applied only once"
            }
            ClientErrorKind::InvalidResponse { .. } => {
                "check that the address is the operators' address of an instance, and that client \
                 and instance have the same version"
            }
            ClientErrorKind::InvalidRequest { .. } => "use visible ASCII characters",
        }
    }
}

impl fmt::Display for ClientError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.kind {
            ClientErrorKind::Conflict(conflict) => write!(
                f,
                "the change expected another revision; the current revision is {}",
                conflict.current_revision
            ),
            ClientErrorKind::Refused { error, .. } => {
                write!(f, "{}: {}", error.code, error.message)
            }
            ClientErrorKind::NoResponse { attempts } => {
                f.write_str("no instance responded")?;
                attempts
                    .iter()
                    .try_for_each(|attempt| write!(f, "; {}: {}", attempt.address, attempt.detail))
            }
            ClientErrorKind::InvalidResponse { detail } => {
                write!(f, "the response is not in the expected format: {detail}")
            }
            ClientErrorKind::InvalidRequest { detail } => {
                write!(f, "the request can't be sent: {detail}")
            }
        }
    }
}

impl std::error::Error for ClientError {}
