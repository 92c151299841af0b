//! A token stream that survives silent and broken connections.

use std::{collections::BTreeMap, net::SocketAddr, pin::Pin, sync::Arc};

use redwinglatch_core::{RetryReason, RunStatus};
use tokio::time::{Duration, Instant, sleep_until, timeout_at};

use crate::{
    BackendError, BackendErrorKind, CompletionRequest, Finish, Token,
    client::open_resumed,
    pool::Pool,
    stream_event::StreamEvent,
    token_stream::{StreamBreak, TokenStream},
};

/// Tokens held that came before an earlier one; a longer gap is closed by resuming.
const EARLY_TOKENS: usize = 64;

type Opening = Pin<Box<dyn Future<Output = Result<TokenStream, BackendError>> + Send + Sync>>;

/// A token stream that passes each token on once and in order, and resumes by itself.
///
/// The stream resumes on a new connection, at the next token index, when the current connection
/// is silent for `stall_ms`, breaks, or leaves a gap between tokens. Dropping the stream before its
/// end closes its connection; the engine's run continues until it ends or is cancelled.
pub struct ResumingStream {
    pool: Arc<Pool>,
    address: SocketAddr,
    request_id: Box<str>,
    adapter: Box<str>,
    version: u32,
    max_tokens: u64,
    deadline: Instant,
    current: Option<TokenStream>,
    opening: Option<Opening>,
    reason: RetryReason,
    failed_attempts: u32,
    last_failure: Option<BackendError>,
    resumes: u32,
    boot_id: Option<Box<str>>,
    next_index: u64,
    early: BTreeMap<u64, Token>,
    gap_since: Option<Instant>,
    finish: Option<Finish>,
    failure: Option<BackendError>,
}

impl ResumingStream {
    pub(crate) fn new(
        pool: Arc<Pool>,
        address: SocketAddr,
        request: &CompletionRequest,
        deadline: Instant,
        from: u64,
    ) -> ResumingStream {
        ResumingStream {
            pool,
            address,
            request_id: request.request_id.clone(),
            adapter: request.adapter.clone(),
            version: request.version,
            max_tokens: request.max_tokens.into(),
            deadline,
            current: None,
            opening: None,
            reason: RetryReason::StreamResumed,
            failed_attempts: 0,
            last_failure: None,
            resumes: 0,
            boot_id: None,
            next_index: from,
            early: BTreeMap::new(),
            gap_since: None,
            finish: None,
            failure: None,
        }
    }

    /// Reads from `stream` first.
    pub(crate) fn attach(&mut self, stream: TokenStream) {
        self.boot_id = Some(stream.boot_id().into());
        self.current = Some(stream);
    }

    /// Has no stream yet and resumes for `reason` at the first call of `next`.
    pub(crate) fn resume_for(&mut self, reason: RetryReason) {
        self.reason = reason;
    }

    /// The engine's address.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// The boot id of the engine that answers, once an answer has begun.
    #[must_use]
    pub fn boot_id(&self) -> Option<&str> {
        self.boot_id.as_deref()
    }

    /// The index of the next token, which is the number of tokens passed on if none was skipped.
    #[must_use]
    pub fn next_index(&self) -> u64 {
        self.next_index
    }

    /// How often the stream was resumed.
    #[must_use]
    pub fn resumes(&self) -> u32 {
        self.resumes
    }

    /// The end of the answer, once `next` has returned `None`.
    #[must_use]
    pub fn finish(&self) -> Option<&Finish> {
        self.finish.as_ref().filter(|finish| finish.tokens == self.next_index)
    }

    /// Returns the next token, or `None` after the last one.
    ///
    /// Cancelling the call loses no token. After an error each further call returns it again.
    ///
    /// # Errors
    ///
    /// Fails when the deadline has passed, the engine has lost the stream or names another boot id,
    /// resuming failed too often, or an answer is malformed, too large or for another adapter or
    /// version. The request may have run in each of these cases.
    pub async fn next(&mut self) -> Result<Option<Token>, BackendError> {
        if let Some(error) = &self.failure {
            return Err(error.clone());
        }
        let result = self.advance().await;
        if let Err(error) = &result {
            self.current = None;
            self.opening = None;
            self.failure = Some(error.clone());
        }
        result
    }

    async fn advance(&mut self) -> Result<Option<Token>, BackendError> {
        loop {
            if let Some(token) = self.early.remove(&self.next_index) {
                return Ok(Some(self.pass_on(token)));
            }
            if self.finish().is_some() {
                return Ok(None);
            }
            if Instant::now() >= self.deadline {
                return Err(self.deadline_passed());
            }
            let Some(current) = &mut self.current else {
                self.reopen().await?;
                continue;
            };
            let stall = Duration::from_millis(self.pool.settings.stall_ms);
            let gap_until = self.gap_since.map(|since| since + stall);
            let until = gap_until.map_or(self.deadline, |gap| gap.min(self.deadline));
            match current.next(&self.adapter, self.version, until).await {
                Ok(StreamEvent::KeepAlive) => {}
                Ok(StreamEvent::Token(token)) => {
                    if let Some(token) = self.take_token(token)? {
                        return Ok(Some(token));
                    }
                }
                Ok(StreamEvent::Finish(finish)) => self.take_finish(finish)?,
                Err(StreamBreak::Silent) => {
                    self.pool.drop_suspects(self.address);
                    self.leave_current(RetryReason::StreamResumed);
                }
                Err(StreamBreak::Lost(detail)) => {
                    log::debug!("backends: stream {} broke: {detail}", self.request_id);
                    self.leave_current(RetryReason::ConnectionLost);
                }
                Err(StreamBreak::Fatal(error)) => return Err(error),
                Err(StreamBreak::TimeUp) if Instant::now() >= self.deadline => {
                    return Err(self.deadline_passed());
                }
                Err(StreamBreak::TimeUp) => self.leave_current(RetryReason::StreamResumed),
            }
        }
    }

    fn pass_on(&mut self, token: Token) -> Token {
        self.next_index += 1;
        self.failed_attempts = 0;
        self.gap_since = if self.early.is_empty() { None } else { Some(Instant::now()) };
        token
    }

    /// Returns the token if it is the next one; holds a later one and drops an earlier one.
    fn take_token(&mut self, token: Token) -> Result<Option<Token>, BackendError> {
        if token.index >= self.max_tokens {
            let detail = format!("token {} of at most {}", token.index, self.max_tokens);
            return Err(BackendError::unknown(BackendErrorKind::Malformed, detail));
        }
        if token.index == self.next_index {
            return Ok(Some(self.pass_on(token)));
        }
        if token.index > self.next_index {
            if self.early.len() >= EARLY_TOKENS {
                self.leave_current(RetryReason::StreamResumed);
                return Ok(None);
            }
            self.early.insert(token.index, token);
            self.gap_since.get_or_insert_with(Instant::now);
        }
        Ok(None)
    }

    fn take_finish(&mut self, finish: Finish) -> Result<(), BackendError> {
        let held = self.early.last_key_value().map_or(self.next_index, |(index, _)| index + 1);
        if finish.tokens < held || finish.tokens > self.max_tokens {
            let detail = format!("{} tokens counted, {held} received", finish.tokens);
            return Err(BackendError::unknown(BackendErrorKind::Malformed, detail));
        }
        self.finish = Some(finish);
        // If a token is still missing, the next round resumes for it.
        self.leave_current(RetryReason::StreamResumed);
        Ok(())
    }

    fn leave_current(&mut self, reason: RetryReason) {
        self.current = None;
        self.gap_since = None;
        self.reason = reason;
    }

    /// Makes one attempt to resume; its progress is kept when the call is cancelled.
    async fn reopen(&mut self) -> Result<(), BackendError> {
        let settings = &self.pool.settings;
        if self.failed_attempts >= settings.resume_attempts {
            let last = self.last_failure.as_ref();
            let detail = format!(
                "stream {} gave no token in {} attempts to resume it; last: {}",
                self.request_id,
                self.failed_attempts,
                last.map_or("opened, but without a token".to_owned(), ToString::to_string)
            );
            let leaving = last.is_some_and(|error| error.leaving);
            let error = BackendError::unknown(BackendErrorKind::StreamLost, detail);
            return Err(BackendError { leaving, ..error });
        }
        let opening = match &mut self.opening {
            Some(opening) => opening,
            None => {
                let doubled = settings.resume_pause_ms << self.failed_attempts.min(16);
                let pause_ms = match self.failed_attempts {
                    0 => 0,
                    _ => doubled.min(settings.resume_pause_limit_ms),
                };
                let start = Instant::now() + Duration::from_millis(pause_ms);
                let (pool, address) = (self.pool.clone(), self.address);
                let (id, from, deadline) =
                    (self.request_id.clone(), self.next_index, self.deadline);
                self.pool.retries.count(self.reason);
                self.failed_attempts += 1;
                self.opening.insert(Box::pin(async move {
                    sleep_until(start).await;
                    open_resumed(&pool, address, &id, from, deadline).await
                }))
            }
        };
        let Ok(result) = timeout_at(self.deadline, opening).await else {
            return Err(self.deadline_passed());
        };
        self.opening = None;
        match result {
            Ok(stream) => {
                if self.boot_id.as_deref().is_some_and(|boot_id| boot_id != stream.boot_id()) {
                    let detail = format!("engine {} restarted", self.address);
                    return Err(BackendError::unknown(BackendErrorKind::StreamLost, detail));
                }
                self.resumes += 1;
                self.last_failure = None;
                self.attach(stream);
                Ok(())
            }
            Err(error) => match error.kind {
                BackendErrorKind::StreamLost
                | BackendErrorKind::Malformed
                | BackendErrorKind::InvalidRequest => {
                    // What a resume says about itself is not what became of the request.
                    Err(BackendError { ran: RunStatus::Unknown, ..error })
                }
                kind => {
                    if kind == BackendErrorKind::ConnectRefused {
                        self.reason = RetryReason::ConnectRefused;
                    }
                    self.last_failure = Some(error);
                    Ok(())
                }
            },
        }
    }

    fn deadline_passed(&self) -> BackendError {
        let detail = format!("stream {} at token {}", self.request_id, self.next_index);
        BackendError::unknown(BackendErrorKind::DeadlinePassed, detail)
    }
}
