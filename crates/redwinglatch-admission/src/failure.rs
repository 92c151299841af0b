//! What may follow a failed attempt.

use std::hash::Hash;

use fastrand::Rng;
use redwinglatch_core::prelude::*;

use crate::{Backoff, RetryBudgets};

/// What happened to an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Failure {
    /// The backend server refused the connection.
    ConnectRefused,
    /// The connection failed before any byte of the request was written.
    NotWritten,
    /// The backend server answered with an error.
    Refused {
        /// Its typed reason.
        code: BackendCode,
        /// Whether it says that the request did not run.
        not_run: bool,
    },
    /// The connection was reset after the first byte of the request, before an answer began.
    ResetAfterFirstByte,
    /// No answer began in time after the request was written.
    Timeout,
    /// The stream broke or went silent before the token at `next_index`.
    StreamBroken {
        /// The first token that is missing.
        next_index: u64,
    },
    /// The engine confirmed a cancel after that many tokens.
    Cancelled {
        /// Tokens that the engine had generated.
        tokens: u64,
    },
    /// The engine did not confirm a cancel.
    CancelFailed,
    /// The answer was for another adapter or version than the one asked for.
    WrongAdapter,
}

/// The typed reason of a backend server's refusal.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BackendCode {
    /// The adapter is not loaded any more.
    AdapterMissing,
    /// The queue is full.
    QueueFull,
    /// The backend server is leaving.
    Leaving,
    /// The adapter or version does not exist.
    UnknownAdapter,
    /// Any other error.
    Other,
}

/// How the backend server of an attempt can be asked about it afterwards.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BackendKind {
    /// An engine, which can cancel.
    Engine {
        /// Whether the stream can be resumed: the engine still has the same boot id.
        resumable: bool,
    },
    /// A plain service, which can't.
    Service {
        /// Whether the method is safe to repeat, such as GET.
        safe_method: bool,
    },
}

/// A request at the moment one of its attempts failed.
#[derive(Debug, Clone, Copy)]
pub struct Attempt<'a, Backend> {
    /// The customer.
    pub customer: &'a str,
    /// The backend server that failed.
    pub backend: Backend,
    /// What kind of backend server it is.
    pub kind: BackendKind,
    /// Whether the request must run at most once.
    pub at_most_once: bool,
    /// Whether an earlier attempt, or an earlier step of this one, may have run.
    pub may_have_run: bool,
    /// Tokens that were already passed on to the caller.
    pub passed_on: u64,
    /// Failed attempts of this request so far, this one included.
    pub failed_attempts: u32,
    /// Resumptions since the last new token, this one excluded.
    pub fruitless_resumptions: u32,
    /// The time now.
    pub now_ms: u64,
    /// When the answer is no longer useful.
    pub deadline_ms: u64,
}

/// What follows.
#[derive(Debug, Clone, PartialEq, Eq)]
#[must_use]
pub enum NextStep {
    /// Send the request again, elsewhere if possible.
    Retry {
        /// When.
        delay_ms: u64,
        /// For the counters.
        reason: RetryReason,
    },
    /// Open a new connection to the same engine and go on with the same run.
    Resume {
        /// The first token to ask for.
        from_index: u64,
        /// When.
        delay_ms: u64,
        /// For the counters.
        reason: RetryReason,
    },
    /// Cancel the attempt, then decide again with [`Failure::Cancelled`] or
    /// [`Failure::CancelFailed`].
    CancelThenRetry,
    /// Answer the caller now.
    Final(Refusal),
}

/// Bounds of [`FailurePolicy`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FailurePolicy {
    /// Attempts of one request.
    pub attempts: u32,
    /// Resumptions without a new token.
    pub resumptions: u32,
    /// Time that an attempt needs at least; with less left it is not worth starting.
    pub useful_ms: u64,
    /// Delays between attempts.
    pub backoff: Backoff,
}

impl Default for FailurePolicy {
    fn default() -> FailurePolicy {
        FailurePolicy { attempts: 3, resumptions: 3, useful_ms: 50, backoff: Backoff::default() }
    }
}

impl FailurePolicy {
    /// Decides what may follow a failure. A retry is taken from the budgets.
    pub fn next_step<Backend: Copy + Eq + Hash>(
        &self,
        failure: Failure,
        attempt: &Attempt<'_, Backend>,
        budgets: &mut RetryBudgets<Backend>,
        rng: &mut Rng,
    ) -> NextStep {
        match failure {
            Failure::ConnectRefused | Failure::NotWritten => {
                self.retry(failure, attempt, budgets, rng)
            }
            Failure::Refused { code: BackendCode::UnknownAdapter, not_run: true } => {
                self.refuse(failure, attempt, RefusalReason::UnknownAdapter, "it does not exist")
            }
            Failure::Refused { not_run: true, .. } => self.retry(failure, attempt, budgets, rng),
            Failure::Refused { not_run: false, .. } => {
                self.after_possible_run(failure, attempt, None, budgets, rng)
            }
            Failure::ResetAfterFirstByte | Failure::Timeout => {
                self.after_possible_run(failure, attempt, Some(attempt.passed_on), budgets, rng)
            }
            Failure::StreamBroken { next_index } => {
                self.after_possible_run(failure, attempt, Some(next_index), budgets, rng)
            }
            Failure::Cancelled { tokens: 0 } if !attempt.at_most_once && attempt.passed_on == 0 => {
                self.retry(failure, attempt, budgets, rng)
            }
            Failure::Cancelled { .. } | Failure::CancelFailed => {
                self.refuse(failure, attempt, RefusalReason::BackendFailed, "its outcome is open")
            }
            Failure::WrongAdapter => {
                let detail = "the engine answered for another adapter";
                self.refuse(failure, attempt, RefusalReason::WrongAdapter, detail)
            }
        }
    }

    /// The request surely did not run, or its run was cancelled before any token.
    fn retry<Backend: Copy + Eq + Hash>(
        &self,
        failure: Failure,
        attempt: &Attempt<'_, Backend>,
        budgets: &mut RetryBudgets<Backend>,
        rng: &mut Rng,
    ) -> NextStep {
        let unavailable = match failure {
            Failure::Refused { code: BackendCode::QueueFull, .. } => RefusalReason::Overloaded,
            _ => RefusalReason::BackendUnavailable,
        };
        if attempt.at_most_once && attempt.may_have_run {
            return self.refuse(failure, attempt, unavailable, "an earlier attempt may have run");
        }
        if attempt.failed_attempts >= self.attempts {
            return self.refuse(failure, attempt, unavailable, "all attempts failed");
        }
        let delay_ms = self.backoff.delay_ms(attempt.failed_attempts, rng);
        if !self.in_time(attempt, delay_ms) {
            let detail = "no time is left for another attempt";
            return self.refuse(failure, attempt, RefusalReason::DeadlinePassed, detail);
        }
        if !budgets.take_retry(attempt.now_ms, attempt.customer, attempt.backend) {
            return self.refuse(failure, attempt, unavailable, "the retry budget is used up");
        }
        NextStep::Retry { delay_ms, reason: retry_reason(failure) }
    }

    /// The request may have run. Only the same run may go on, or a confirmed cancel lead on.
    fn after_possible_run<Backend: Copy + Eq + Hash>(
        &self,
        failure: Failure,
        attempt: &Attempt<'_, Backend>,
        resume_from: Option<u64>,
        budgets: &mut RetryBudgets<Backend>,
        rng: &mut Rng,
    ) -> NextStep {
        let failed = RefusalReason::BackendFailed;
        let in_time = self.in_time(attempt, 0);
        if let (BackendKind::Engine { resumable: true }, Some(from_index)) =
            (attempt.kind, resume_from)
            && attempt.fruitless_resumptions < self.resumptions
        {
            let tried = attempt.fruitless_resumptions;
            let delay_ms = if tried == 0 { 0 } else { self.backoff.delay_ms(tried, rng) };
            if self.in_time(attempt, delay_ms) {
                let reason = match failure {
                    Failure::Timeout => RetryReason::StreamResumed,
                    _ => RetryReason::ConnectionLost,
                };
                return NextStep::Resume { from_index, delay_ms, reason };
            }
        }
        if !in_time {
            let detail = "no time is left to go on";
            return self.refuse(failure, attempt, RefusalReason::DeadlinePassed, detail);
        }
        if attempt.at_most_once {
            return self.refuse(failure, attempt, failed, "it must not be sent again");
        }
        if attempt.passed_on > 0 {
            return self.refuse(failure, attempt, failed, "its answer had begun");
        }
        match attempt.kind {
            BackendKind::Engine { .. } if attempt.failed_attempts < self.attempts => {
                NextStep::CancelThenRetry
            }
            BackendKind::Service { safe_method: true } => {
                self.retry(failure, attempt, budgets, rng)
            }
            _ => self.refuse(failure, attempt, failed, "it can't be sent again safely"),
        }
    }

    fn in_time<Backend>(&self, attempt: &Attempt<'_, Backend>, delay_ms: u64) -> bool {
        attempt.now_ms + delay_ms + self.useful_ms < attempt.deadline_ms
    }

    fn refuse<Backend>(
        &self,
        failure: Failure,
        attempt: &Attempt<'_, Backend>,
        reason: RefusalReason,
        detail: &str,
    ) -> NextStep {
        let ran = outcome(failure, attempt);
        let attempts = attempt.failed_attempts;
        let detail = format!("{}: {detail} ({attempts} attempts)", describe(failure));
        let retry_after_ms = self.backoff.longest_ms.try_into().unwrap_or(u32::MAX);
        let refusal = Refusal { reason, ran, detail: detail.into(), retry_after_ms: None };
        NextStep::Final(refusal.retry_after_ms(retry_after_ms))
    }
}

/// Whether the request ran, as far as the caller may be told.
fn outcome<Backend>(failure: Failure, attempt: &Attempt<'_, Backend>) -> RunStatus {
    let tokens = match failure {
        Failure::StreamBroken { next_index } => next_index,
        Failure::Cancelled { tokens } => tokens,
        _ => 0,
    };
    if tokens > 0 || attempt.passed_on > 0 || failure == Failure::WrongAdapter {
        return RunStatus::Ran;
    }
    let not_run = matches!(
        failure,
        Failure::ConnectRefused | Failure::NotWritten | Failure::Refused { not_run: true, .. }
    );
    if not_run && !attempt.may_have_run { RunStatus::NotRun } else { RunStatus::Unknown }
}

fn retry_reason(failure: Failure) -> RetryReason {
    match failure {
        Failure::ConnectRefused => RetryReason::ConnectRefused,
        Failure::NotWritten => RetryReason::StaleConnection,
        Failure::Refused { code: BackendCode::AdapterMissing, .. } => RetryReason::AdapterMissing,
        Failure::Refused { code: BackendCode::Leaving, .. } => RetryReason::BackendLeaving,
        Failure::Refused { .. } => RetryReason::BackendRefused,
        _ => RetryReason::ConnectionLost,
    }
}

fn describe(failure: Failure) -> &'static str {
    match failure {
        Failure::ConnectRefused => "the connection was refused",
        Failure::NotWritten => "the request could not be written",
        Failure::Refused { .. } => "the backend server refused the request",
        Failure::ResetAfterFirstByte => "the connection was reset after the request was sent",
        Failure::Timeout => "no answer began in time",
        Failure::StreamBroken { .. } => "the stream broke",
        Failure::Cancelled { .. } => "the attempt was cancelled",
        Failure::CancelFailed => "the cancel of the attempt was not confirmed",
        Failure::WrongAdapter => "the answer was not usable",
    }
}
