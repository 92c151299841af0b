//! The JSON document of a refused request.

use hyper::StatusCode;
use redwinglatch_core::{Refusal, RefusalReason, RunStatus};
use serde::{Deserialize, Serialize};

/// A refused request of an operator.
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
    /// What happened, with the values at fault.
    pub message: Box<str>,
    /// What to do about it.
    pub remedy: Box<str>,
    /// Whether the change was made.
    pub ran: RunStatus,
    /// When it makes sense to ask again.
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
        RefusalReason::MalformedRequest => "correct the request; `redwinglatch --help` shows how",
        RefusalReason::InvalidChange => "correct the contract and send it under a new change id",
        RefusalReason::Unauthenticated => {
            "send `authorization: Bearer SECRET` with the secret of operators"
        }
        RefusalReason::NotFound => "check the path, or the number of the instance in it",
        RefusalReason::UnknownCustomer => "list the customers with `redwinglatch contract list`",
        RefusalReason::RevisionConflict => {
            "look at the current contract, and send the change with its revision"
        }
        RefusalReason::KeyReused => "send a different change under a new change id",
        RefusalReason::TooLarge => "send a smaller contract",
        RefusalReason::NotCurrent | RefusalReason::Draining => "ask another instance",
        _ => "send the same change again under the same change id, here or at another instance",
    }
}
