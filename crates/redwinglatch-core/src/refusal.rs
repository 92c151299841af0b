//! The typed answer to a request that got no answer from a backend server.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::RefusalReason;

/// Whether a refused request ran.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RunStatus {
    /// The request surely did not run.
    NotRun,
    /// The request may have run.
    Unknown,
    /// The request ran, but its answer can't be given.
    Ran,
}

/// A refusal with its context and the way out.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// Why.
    pub reason: RefusalReason,
    /// Whether the request ran.
    pub ran: RunStatus,
    /// What happened, with the values at fault.
    pub detail: Box<str>,
    /// When it makes sense to ask again.
    pub retry_after_ms: Option<u32>,
}

impl Refusal {
    /// Refuses a request that did not run.
    #[must_use]
    pub fn not_run(reason: RefusalReason, detail: impl Into<Box<str>>) -> Refusal {
        Refusal { reason, ran: RunStatus::NotRun, detail: detail.into(), retry_after_ms: None }
    }

    /// Refuses a request that may have run.
    #[must_use]
    pub fn unknown(reason: RefusalReason, detail: impl Into<Box<str>>) -> Refusal {
        Refusal { reason, ran: RunStatus::Unknown, detail: detail.into(), retry_after_ms: None }
    }

    /// Says when it makes sense to ask again.
    #[must_use]
    pub fn retry_after_ms(mut self, retry_after_ms: u32) -> Refusal {
        self.retry_after_ms = Some(retry_after_ms);
        self
    }
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.reason.code(), self.detail)
    }
}

impl std::error::Error for Refusal {}
