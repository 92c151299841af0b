//! The typed response to a request that has no response from a backend server.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::RefusalReason;

/// Whether a refused request ran.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RunStatus {
    /// The request certainly did not run.
    NotRun,
    /// The request may have run.
    Unknown,
    /// The request ran, but its response can't be returned.
    Ran,
}

/// A refused request, order or change, with the reason and its details.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// The reason.
    pub reason: RefusalReason,
    /// Whether the request ran.
    pub ran: RunStatus,
    /// A description of the failure, with the values that caused it.
    pub detail: Box<str>,
    /// Time after which a retry makes sense.
    pub retry_after_ms: Option<u32>,
}

impl Refusal {
    /// Creates a refusal of a request that did not run.
    #[must_use]
    pub fn not_run(reason: RefusalReason, detail: impl Into<Box<str>>) -> Refusal {
        Refusal { reason, ran: RunStatus::NotRun, detail: detail.into(), retry_after_ms: None }
    }

    /// Creates a refusal of a request that may have run.
    #[must_use]
    pub fn unknown(reason: RefusalReason, detail: impl Into<Box<str>>) -> Refusal {
        Refusal { reason, ran: RunStatus::Unknown, detail: detail.into(), retry_after_ms: None }
    }

    /// Sets the time after which a retry makes sense.
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
