//! Advice for callers on how to resolve a refusal.

use crate::RefusalReason;

impl RefusalReason {
    /// Returns the advice to the caller, as one sentence for the `remedy` field of the response.
    #[must_use]
    pub fn remedy(self) -> &'static str {
        match self {
            RefusalReason::MalformedRequest => "Correct the field that the message names.",
            RefusalReason::TooLarge => "Send a smaller body or fewer headers.",
            RefusalReason::NotFound => "Use one of the documented paths and methods.",
            RefusalReason::Unauthenticated => {
                "Send the shared secret as `authorization: Bearer SECRET`."
            }
            RefusalReason::UnknownCustomer => {
                "Name a customer with a contract in `x-redwinglatch-customer`."
            }
            RefusalReason::AdapterNotAllowed => {
                "Ask the operators to add the adapter and version to the contract."
            }
            RefusalReason::ServiceNotAllowed => {
                "Ask the operators to add the service to the contract."
            }
            RefusalReason::UnknownModel => "Name the base model of a pool in `model`.",
            RefusalReason::UnknownAdapter => "Publish the adapter version to the weight store.",
            RefusalReason::DeadlinePassed => "Retry with a longer time budget.",
            RefusalReason::RequestRate | RefusalReason::TokenRate => {
                "Reduce the rate, or ask the operators for a higher rate in the contract."
            }
            RefusalReason::Concurrency => {
                "Wait until a running request ends, or ask the operators for a higher limit."
            }
            RefusalReason::Overloaded
            | RefusalReason::LoadTooLate
            | RefusalReason::NoEngine
            | RefusalReason::NoServiceReplica
            | RefusalReason::NoCoordinator
            | RefusalReason::ControlUnavailable
            | RefusalReason::BackendUnavailable => "Retry after `retry_after_ms`.",
            RefusalReason::LoadFailed => "Check the adapter's weights, then retry.",
            RefusalReason::NotCurrent | RefusalReason::Draining => {
                "Send the request to one of the instances in `entries`."
            }
            RefusalReason::StillRunning => {
                "Retry with the same idempotency key after `retry_after_ms`."
            }
            RefusalReason::OutcomeUnknown => {
                "Check whether the request took effect before using a new idempotency key."
            }
            RefusalReason::KeyReused => "Use a new idempotency key for a different request.",
            RefusalReason::RecordsFull => {
                "Retry later; records of idempotency keys expire after 24 h."
            }
            RefusalReason::BackendFailed | RefusalReason::WrongAdapter => {
                "If the request must not run twice, check whether it took effect before retrying."
            }
            RefusalReason::RevisionConflict => {
                "Read the current revision and apply the change again."
            }
            RefusalReason::InvalidChange => "Correct the field that the message names.",
            RefusalReason::TooManyConnections => "Use another instance or fewer connections.",
            RefusalReason::StaleEpoch => "No action is needed; a newer coordinator is active.",
        }
    }

    /// Returns the HTTP status of a response with this reason.
    #[must_use]
    pub fn http_status(self) -> u16 {
        match self {
            RefusalReason::MalformedRequest | RefusalReason::InvalidChange => 400,
            RefusalReason::Unauthenticated => 401,
            RefusalReason::UnknownCustomer
            | RefusalReason::AdapterNotAllowed
            | RefusalReason::ServiceNotAllowed => 403,
            RefusalReason::NotFound
            | RefusalReason::UnknownModel
            | RefusalReason::UnknownAdapter => 404,
            RefusalReason::StillRunning
            | RefusalReason::OutcomeUnknown
            | RefusalReason::RevisionConflict
            | RefusalReason::StaleEpoch => 409,
            RefusalReason::TooLarge => 413,
            RefusalReason::KeyReused => 422,
            RefusalReason::RequestRate | RefusalReason::TokenRate | RefusalReason::Concurrency => {
                429
            }
            RefusalReason::BackendFailed | RefusalReason::WrongAdapter => 502,
            RefusalReason::DeadlinePassed => 504,
            _ => 503,
        }
    }
}
