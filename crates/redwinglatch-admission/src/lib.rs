//! Admission, queueing, replica choice and retry decisions of an entry instance.
//!
//! [`Limiter`] enforces a contract's limits with leased shares, [`FairQueue`] shares a saturated
//! instance among customers, [`ServiceRouter`] chooses replicas of plain services, and
//! [`RetryPolicy`] decides what follows a failed attempt within [`RetryBudgets`]. Nothing here
//! opens a socket or reads a clock; the current time is passed in as `now_ms`.
//!
//! ```
//! use redwinglatch_admission::{
//!     Admission, BackendKind, FailedAttempt, Failure, Limiter, RetryBudgets, RetryDecision,
//!     RetryPolicy,
//! };
//! use redwinglatch_control::Share;
//!
//! let mut limiter = Limiter::new();
//! // No share yet: renew at once with the demand, then decide again.
//! let Admission::AwaitShare { until_ms } = limiter.admit(1_000, "lakeshore", 64) else {
//!     panic!("a request of a customer without a share must wait");
//! };
//! assert_eq!(until_ms, 1_200);
//! let share =
//!     Share { request_rate_milli: 5_000, concurrent_requests: 2, token_rate_per_s: 1_000 };
//! limiter.set_shares(1_010, |_customer| share);
//! let Admission::Admitted(permit) = limiter.decide_again(1_010, 1_000, "lakeshore", 64) else {
//!     panic!("the share allows the request");
//! };
//!
//! // The engine refused the connection, so the request did not run and may be retried.
//! let mut budgets = RetryBudgets::new(Default::default());
//! let attempt = FailedAttempt {
//!     customer: "lakeshore",
//!     backend: 7_u32,
//!     kind: BackendKind::Engine { resumable: false },
//!     at_most_once: true,
//!     may_have_run: false,
//!     forwarded_tokens: 0,
//!     failed_attempts: 1,
//!     resumptions_without_progress: 0,
//!     now_ms: 1_020,
//!     deadline_ms: 11_000,
//! };
//! let mut rng = fastrand::Rng::with_seed(1);
//! let policy = RetryPolicy::default();
//! let decision = policy.decide(Failure::ConnectRefused, &attempt, &mut budgets, &mut rng);
//! assert!(matches!(decision, RetryDecision::Retry { .. }));
//! limiter.finish(permit, 0);
//! ```

mod backoff;
mod customer_cap;
mod customer_credits;
mod customer_ledger;
mod fair_queue;
mod limiter;
mod request_terms;
mod retry_budget;
mod retry_policy;
mod service_router;
mod stream_progress;
mod token_bucket;
mod windowed_count;

pub use backoff::Backoff;
pub use customer_cap::{CREDIT_VALIDITY_MS, CapBounds, CustomerCap};
pub use customer_credits::{Charge, CreditAsk, CreditDemand, CustomerCredits};
pub use customer_ledger::{CapState, CoreContact, CreditDecision, CustomerLedger, Leadership};
pub use fair_queue::{FairQueue, FairQueueSettings, QueueDecision, QueuedRequest};
pub use limiter::{Admission, Limiter, Permit};
pub use request_terms::{RequestTerms, check_deadline};
pub use retry_budget::{RetryBudgetSettings, RetryBudgets};
pub use retry_policy::{
    BackendErrorCode, BackendKind, FailedAttempt, Failure, RetryDecision, RetryPolicy,
};
pub use service_router::{AttemptOutcome, ListedReplica, ReplicaKey, ServiceRouter};
pub use stream_progress::{StreamProgress, TokenDisposition};
pub use token_bucket::TokenBucket;
