//! Why a request of an operator was not answered as asked.

use std::fmt;
use std::net::SocketAddr;

use redwinglatch_core::RunStatus;

use crate::{ConflictDocument, ErrorBody};

/// What kind of failure a [`ClientError`] is.
#[derive(Debug, Clone, PartialEq, Eq)]
#[non_exhaustive]
pub enum ErrorKind {
    /// The change expected another revision than the current one.
    Conflict(ConflictDocument),
    /// The instance refused the request.
    Refused {
        /// The HTTP status.
        status: u16,
        /// The refusal.
        error: ErrorBody,
    },
    /// No address gave an answer.
    NoAnswer {
        /// The attempts in order.
        attempts: Vec<FailedAttempt>,
    },
    /// An answer is not in the form of this version.
    UnknownAnswer {
        /// What is wrong with it.
        detail: Box<str>,
    },
    /// The request can't be written as HTTP, for example because of a character in a header.
    InvalidRequest {
        /// What is wrong with it.
        detail: Box<str>,
    },
}

/// One attempt that got no answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FailedAttempt {
    /// Where the request went.
    pub address: SocketAddr,
    /// What happened.
    pub detail: Box<str>,
    /// Whether the request may have run.
    pub ran: RunStatus,
}

/// A request of an operator that was not answered as asked.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClientError {
    /// The kind, with its context.
    pub kind: ErrorKind,
}

impl From<ErrorKind> for ClientError {
    fn from(kind: ErrorKind) -> ClientError {
        ClientError { kind }
    }
}

impl ClientError {
    /// Whether the request may have run.
    #[must_use]
    pub fn ran(&self) -> RunStatus {
        match &self.kind {
            ErrorKind::Conflict(_) | ErrorKind::InvalidRequest { .. } => RunStatus::NotRun,
            ErrorKind::Refused { error, .. } => error.ran,
            ErrorKind::NoAnswer { attempts } => attempts
                .iter()
                .map(|attempt| attempt.ran)
                .find(|ran| *ran != RunStatus::NotRun)
                .unwrap_or(RunStatus::NotRun),
            ErrorKind::UnknownAnswer { .. } => RunStatus::Unknown,
        }
    }

    /// What to do about it.
    #[must_use]
    pub fn remedy(&self) -> &str {
        match &self.kind {
            ErrorKind::Conflict(_) => {
                "look at the current contract, and send the change with its revision"
            }
            ErrorKind::Refused { error, .. } => &error.remedy,
            ErrorKind::NoAnswer { .. } if self.ran() == RunStatus::NotRun => {
                "check the addresses and that an instance runs there; nothing was changed"
            }
            ErrorKind::NoAnswer { .. } => {
                "send the same request again under the same change id; it is made once only"
            }
            ErrorKind::UnknownAnswer { .. } => {
                "check that the address is the operators' address of an instance, and that both \
                 sides have the same version"
            }
            ErrorKind::InvalidRequest { .. } => "use visible ASCII characters",
        }
    }
}

impl fmt::Display for ClientError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.kind {
            ErrorKind::Conflict(conflict) => write!(
                f,
                "the change expected another revision; the current one is {}",
                conflict.current_revision
            ),
            ErrorKind::Refused { error, .. } => write!(f, "{}: {}", error.code, error.message),
            ErrorKind::NoAnswer { attempts } => {
                f.write_str("no instance answered")?;
                attempts
                    .iter()
                    .try_for_each(|attempt| write!(f, "; {}: {}", attempt.address, attempt.detail))
            }
            ErrorKind::UnknownAnswer { detail } => write!(f, "the answer is unknown: {detail}"),
            ErrorKind::InvalidRequest { detail } => {
                write!(f, "the request can't be sent: {detail}")
            }
        }
    }
}

impl std::error::Error for ClientError {}
