//! The JSON document that is sent for a refused request, and its HTTP status.

use hyper::StatusCode;
use redwinglatch_core::{Refusal, RefusalReason, RunStatus};
use serde::{Deserialize, Serialize};

/// The response body for a refused request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorDocument {
    /// The refusal.
    pub error: ErrorBody,
}

/// The fields of a refusal.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorBody {
    /// The code of the refusal's reason.
    pub code: Box<str>,
    /// The description of the error, with the offending values.
    pub message: Box<str>,
    /// Advice on how to resolve the error.
    pub remedy: Box<str>,
    /// Whether the request ran.
    pub ran: RunStatus,
    /// How long the client should wait before it retries.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u32>,
}

impl ErrorDocument {
    pub(crate) fn new(refusal: &Refusal) -> ErrorDocument {
        ErrorDocument {
            error: ErrorBody {
                code: refusal.reason.code().into(),
                message: refusal.detail.clone(),
                remedy: remedy(refusal.reason).into(),
                ran: refusal.ran,
                retry_after_ms: refusal.retry_after_ms,
            },
        }
    }
}

pub(crate) fn status(reason: RefusalReason) -> StatusCode {
    match reason {
        RefusalReason::MalformedRequest | RefusalReason::InvalidChange => StatusCode::BAD_REQUEST,
        RefusalReason::Unauthenticated => StatusCode::UNAUTHORIZED,
        RefusalReason::NotFound | RefusalReason::UnknownCustomer => StatusCode::NOT_FOUND,
        RefusalReason::RevisionConflict | RefusalReason::KeyReused => StatusCode::CONFLICT,
        RefusalReason::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
        _ => StatusCode::SERVICE_UNAVAILABLE,
    }
}

fn remedy(reason: RefusalReason) -> &'static str {
    match reason {
        RefusalReason::MalformedRequest => "correct the request; see `redwinglatch --help`",
        RefusalReason::InvalidChange => "correct the contract and send it under a new change id",
        RefusalReason::Unauthenticated => {
            "send `authorization: Bearer SECRET` with the secret of operators"
        }
        RefusalReason::NotFound => "check the path and the instance number in it",
        RefusalReason::UnknownCustomer => "list the customers with `redwinglatch contract list`",
        RefusalReason::RevisionConflict => {
            "compare the change with the current contract, and send it with its revision"
        }
        RefusalReason::KeyReused => "send a different change under a new change id",
        RefusalReason::TooLarge => "send a smaller contract",
        RefusalReason::NotCurrent | RefusalReason::Draining => {
            "send the request to another instance"
        }
        _ => "send the same change again under the same change id, here or at another instance",
    }
}
