//! Reasons for refusals and retries; each reason has a counter on the metrics page.

use serde::{Deserialize, Serialize};

macro_rules! define_reason {
    ($(#[$doc:meta])* $name:ident { $($(#[$variant_doc:meta])* $variant:ident => $code:literal,)* }) => {
        $(#[$doc])*
        #[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[non_exhaustive]
        pub enum $name {
            $($(#[$variant_doc])* $variant,)*
        }

        impl $name {
            /// Every reason, in the order of the metrics page.
            pub const ALL: &[$name] = &[$($name::$variant,)*];

            /// Returns the stable code that is used in responses, metrics and logs.
            #[must_use]
            pub fn code(self) -> &'static str {
                match self {
                    $($name::$variant => $code,)*
                }
            }

            /// Returns the position in [`Self::ALL`], for tables of counters.
            #[must_use]
            pub fn index(self) -> usize {
                self as usize
            }
        }
    };
}

define_reason! {
    /// The reason for which a request, an order or a change was refused.
    RefusalReason {
        /// The request is not valid JSON or lacks a field.
        MalformedRequest => "malformed_request",
        /// The body or the headers exceed their limit.
        TooLarge => "too_large",
        /// The path or method does not exist.
        NotFound => "not_found",
        /// The secret is missing or wrong.
        Unauthenticated => "unauthenticated",
        /// The customer has no contract.
        UnknownCustomer => "unknown_customer",
        /// The customer's contract does not allow the adapter and version.
        AdapterNotAllowed => "adapter_not_allowed",
        /// The customer's contract does not allow the service, or no such service exists.
        ServiceNotAllowed => "service_not_allowed",
        /// No pool serves the base model.
        UnknownModel => "unknown_model",
        /// The adapter or version does not exist in the weight store.
        UnknownAdapter => "unknown_adapter",
        /// The deadline had passed when the request arrived, or passed while it waited.
        DeadlinePassed => "deadline_passed",
        /// The request rate of the contract is exhausted.
        RequestRate => "request_rate",
        /// The limit on concurrent requests of the contract is reached.
        Concurrency => "concurrency",
        /// The token rate of the contract is exhausted.
        TokenRate => "token_rate",
        /// The queue is too long to meet the deadline.
        Overloaded => "overloaded",
        /// The adapter can't be loaded before the deadline.
        LoadTooLate => "load_too_late",
        /// Loading the adapter failed on several engines.
        LoadFailed => "load_failed",
        /// No engine of the pool accepts new work.
        NoEngine => "no_engine",
        /// No backend server of the plain service accepts new work.
        NoServiceReplica => "no_service_replica",
        /// The instance can't confirm that its configuration is current.
        NotCurrent => "not_current",
        /// The instance is draining.
        Draining => "draining",
        /// The coordinator of the cell is unknown, changing or unreachable.
        NoCoordinator => "no_coordinator",
        /// The request with this idempotency key is still running.
        StillRunning => "still_running",
        /// The outcome of the request with this idempotency key is unknown.
        OutcomeUnknown => "outcome_unknown",
        /// The idempotency key was used before with another request.
        KeyReused => "key_reused",
        /// The store of idempotency records is full.
        RecordsFull => "records_full",
        /// The control log could not commit the change in time.
        ControlUnavailable => "control_unavailable",
        /// The backend server failed before it ran the request, and no retries remain.
        BackendUnavailable => "backend_unavailable",
        /// The backend server failed after the request was sent.
        BackendFailed => "backend_failed",
        /// The backend server responded for another adapter or version than requested.
        WrongAdapter => "wrong_adapter",
        /// The change is based on an old revision.
        RevisionConflict => "revision_conflict",
        /// The change is not valid.
        InvalidChange => "invalid_change",
        /// The connection limit is reached.
        TooManyConnections => "too_many_connections",
        /// An order carries an old fencing token.
        StaleEpoch => "stale_epoch",
    }
}

define_reason! {
    /// The reason for which a request or an order was retried.
    RetryReason {
        /// The backend server refused the connection.
        ConnectRefused => "connect_refused",
        /// The backend server reported that it did not run the request.
        BackendRefused => "backend_refused",
        /// The backend server reported that it is leaving.
        BackendLeaving => "backend_leaving",
        /// The adapter was no longer loaded on the engine.
        AdapterMissing => "adapter_missing",
        /// The stream became unresponsive and was resumed on another connection.
        StreamResumed => "stream_resumed",
        /// The connection broke during a stream, and the stream was resumed.
        ConnectionLost => "connection_lost",
        /// The coordinator had changed.
        CoordinatorChanged => "coordinator_changed",
        /// The log leader had changed.
        LeaderChanged => "leader_changed",
        /// A load of an adapter failed and was retried.
        LoadRetried => "load_retried",
        /// A pooled connection failed its probe.
        StaleConnection => "stale_connection",
    }
}
