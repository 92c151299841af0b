//! The decisions of an entry instance before and after it sends a request.
//!
//! [`Limiter`] enforces a contract's limits over leased shares, [`FairQueue`] shares a saturated
//! instance among customers, [`ServiceRouter`] chooses replicas of plain services, and
//! [`FailurePolicy`] decides what may follow a failed attempt within [`RetryBudgets`]. Nothing
//! here opens a socket or reads a clock; time comes in as `now_ms`.
//!
//! ```
//! use redwinglatch_admission::{
//!     Admission, Attempt, BackendKind, Failure, FailurePolicy, Limiter, NextStep, RetryBudgets,
//! };
//! use redwinglatch_control::Share;
//!
//! let mut limiter = Limiter::new();
//! // No share yet: renew at once with the demand, then decide again.
//! let Admission::AskForShare { until_ms } = limiter.admit(1_000, "lakeshore", 64) else {
//!     panic!("a customer without a share must ask");
//! };
//! assert_eq!(until_ms, 1_200);
//! let share =
//!     Share { request_rate_milli: 5_000, concurrent_requests: 2, token_rate_per_s: 1_000 };
//! limiter.set_shares(1_010, |_customer| share);
//! let Admission::Admitted(permit) = limiter.decide_again(1_010, 1_000, "lakeshore", 64) else {
//!     panic!("the share allows the request");
//! };
//!
//! // The engine refused the connection, so the request did not run and may be sent again.
//! let mut budgets = RetryBudgets::new(Default::default());
//! let attempt = Attempt {
//!     customer: "lakeshore",
//!     backend: 7_u32,
//!     kind: BackendKind::Engine { resumable: false },
//!     at_most_once: true,
//!     may_have_run: false,
//!     passed_on: 0,
//!     failed_attempts: 1,
//!     fruitless_resumptions: 0,
//!     now_ms: 1_020,
//!     deadline_ms: 11_000,
//! };
//! let mut rng = fastrand::Rng::with_seed(1);
//! let policy = FailurePolicy::default();
//! let next = policy.next_step(Failure::ConnectRefused, &attempt, &mut budgets, &mut rng);
//! assert!(matches!(next, NextStep::Retry { .. }));
//! limiter.finish(permit, 0);
//! ```

mod backoff;
mod failure;
mod fair_queue;
mod limiter;
mod meter;
mod retry_budget;
mod service_router;
mod stream_progress;
mod terms;
mod token_bucket;

pub use backoff::Backoff;
pub use failure::{Attempt, BackendCode, BackendKind, Failure, FailurePolicy, NextStep};
pub use fair_queue::{Candidate, FairQueue, FairQueueSettings, Turn};
pub use limiter::{Admission, Limiter, Permit};
pub use retry_budget::{RetryBudgetSettings, RetryBudgets};
pub use service_router::{AttemptEnd, ListedReplica, ReplicaKey, ServiceRouter};
pub use stream_progress::{StreamProgress, TokenStep};
pub use terms::{RequestTerms, check_deadline};
pub use token_bucket::TokenBucket;
