//! A token stream that survives unresponsive and broken connections.

use std::{collections::BTreeMap, net::SocketAddr, pin::Pin, sync::Arc};

use redwinglatch_core::{RetryReason, RunStatus};
use tokio::time::{Duration, Instant, sleep_until, timeout_at};

use crate::{
    BackendError, BackendErrorKind, CompletionRequest, StreamEnd, Token,
    client::open_resumed_stream,
    pool::Pool,
    stream_event::StreamEvent,
    token_stream::{StreamError, TokenStream},
};

/// Tokens buffered while an earlier token is missing; at this limit the stream is resumed.
const MAX_OUT_OF_ORDER_TOKENS: usize = 64;

type ResumeFuture = Pin<Box<dyn Future<Output = Result<TokenStream, BackendError>> + Send + Sync>>;

/// A token stream that delivers each token once and in order, and resumes automatically.
///
/// The stream resumes on a new connection, at the next token index, when the current connection
/// receives nothing for `stall_ms`, breaks, or leaves a gap between tokens. Dropping the stream
/// before its end closes its connection; the engine runs the request on until it ends or is
/// cancelled.
pub struct ResumingStream {
    pool: Arc<Pool>,
    address: SocketAddr,
    request_id: Box<str>,
    adapter: Box<str>,
    version: u32,
    max_tokens: u64,
    deadline: Instant,
    token_stream: Option<TokenStream>,
    pending_resume: Option<ResumeFuture>,
    resume_reason: RetryReason,
    attempts_without_token: u32,
    last_failure: Option<BackendError>,
    resumes: u32,
    boot_id: Option<Box<str>>,
    next_index: u64,
    out_of_order: BTreeMap<u64, Token>,
    gap_since: Option<Instant>,
    end: Option<StreamEnd>,
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
            token_stream: None,
            pending_resume: None,
            resume_reason: RetryReason::StreamResumed,
            attempts_without_token: 0,
            last_failure: None,
            resumes: 0,
            boot_id: None,
            next_index: from,
            out_of_order: BTreeMap::new(),
            gap_since: None,
            end: None,
            failure: None,
        }
    }

    /// Reads tokens from `stream` until it ends or breaks.
    pub(crate) fn attach(&mut self, stream: TokenStream) {
        self.boot_id = Some(stream.boot_id().into());
        self.token_stream = Some(stream);
    }

    /// Makes the first call of `next` open the stream by resuming it, which counts as a retry for
    /// `reason`.
    pub(crate) fn resume_for(&mut self, reason: RetryReason) {
        self.resume_reason = reason;
    }

    /// Returns the engine's address.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the boot id of the engine, once a response has begun.
    #[must_use]
    pub fn boot_id(&self) -> Option<&str> {
        self.boot_id.as_deref()
    }

    /// Returns the index of the next token. It equals the number of tokens delivered, unless the
    /// stream was resumed from a later index.
    #[must_use]
    pub fn next_index(&self) -> u64 {
        self.next_index
    }

    /// Returns the number of times that the stream was resumed.
    #[must_use]
    pub fn resumes(&self) -> u32 {
        self.resumes
    }

    /// Returns the end of the stream, once all tokens were delivered.
    #[must_use]
    pub fn end(&self) -> Option<&StreamEnd> {
        self.end.as_ref().filter(|end| end.tokens == self.next_index)
    }

    /// Returns the next token, or `None` after the last one.
    ///
    /// This method is cancel safe: no token is lost. After an error each further call returns the
    /// same error.
    ///
    /// # Errors
    ///
    /// Fails when the deadline has passed, the engine no longer knows the stream or reports another
    /// boot id, too many attempts to resume failed, or a response is malformed, too large or for
    /// another adapter or version. The request may have run in each of these cases.
    pub async fn next(&mut self) -> Result<Option<Token>, BackendError> {
        if let Some(error) = &self.failure {
            return Err(error.clone());
        }
        let result = self.advance().await;
        if let Err(error) = &result {
            self.token_stream = None;
            self.pending_resume = None;
            self.failure = Some(error.clone());
        }
        result
    }

    async fn advance(&mut self) -> Result<Option<Token>, BackendError> {
        loop {
            if let Some(token) = self.out_of_order.remove(&self.next_index) {
                return Ok(Some(self.deliver(token)));
            }
            if self.end().is_some() {
                return Ok(None);
            }
            if Instant::now() >= self.deadline {
                return Err(self.deadline_passed());
            }
            let Some(token_stream) = &mut self.token_stream else {
                self.attempt_resume().await?;
                continue;
            };
            let stall_timeout = Duration::from_millis(self.pool.settings.stall_ms);
            let gap_deadline = self.gap_since.map(|since| since + stall_timeout);
            let read_deadline = gap_deadline.map_or(self.deadline, |gap| gap.min(self.deadline));
            match token_stream.next(&self.adapter, self.version, read_deadline).await {
                Ok(StreamEvent::KeepAlive) => {}
                Ok(StreamEvent::Token(token)) => {
                    if let Some(token) = self.accept_token(token)? {
                        return Ok(Some(token));
                    }
                }
                Ok(StreamEvent::End(end)) => self.accept_end(end)?,
                Err(StreamError::Stalled) => {
                    self.pool.drop_idle_connections(self.address);
                    self.close_connection(RetryReason::StreamResumed);
                }
                Err(StreamError::ConnectionLost(detail)) => {
                    log::debug!("backends: stream {} broke: {detail}", self.request_id);
                    self.close_connection(RetryReason::ConnectionLost);
                }
                Err(StreamError::Unusable(error)) => return Err(error),
                Err(StreamError::TimedOut) if Instant::now() >= self.deadline => {
                    return Err(self.deadline_passed());
                }
                Err(StreamError::TimedOut) => self.close_connection(RetryReason::StreamResumed),
            }
        }
    }

    fn deliver(&mut self, token: Token) -> Token {
        self.next_index += 1;
        self.attempts_without_token = 0;
        self.gap_since = if self.out_of_order.is_empty() { None } else { Some(Instant::now()) };
        token
    }

    /// Returns the token if it is the next one; buffers a later one and drops an earlier one.
    fn accept_token(&mut self, token: Token) -> Result<Option<Token>, BackendError> {
        if token.index >= self.max_tokens {
            let detail = format!(
                "token index {} is out of range; at most {} tokens were requested",
                token.index, self.max_tokens
            );
            return Err(BackendError::unknown(BackendErrorKind::Malformed, detail));
        }
        if token.index == self.next_index {
            return Ok(Some(self.deliver(token)));
        }
        if token.index > self.next_index {
            if self.out_of_order.len() >= MAX_OUT_OF_ORDER_TOKENS {
                self.close_connection(RetryReason::StreamResumed);
                return Ok(None);
            }
            self.out_of_order.insert(token.index, token);
            self.gap_since.get_or_insert_with(Instant::now);
        }
        Ok(None)
    }

    fn accept_end(&mut self, end: StreamEnd) -> Result<(), BackendError> {
        let received =
            self.out_of_order.last_key_value().map_or(self.next_index, |(index, _)| index + 1);
        if end.tokens < received || end.tokens > self.max_tokens {
            let detail = format!("the end event counts {} tokens, {received} received", end.tokens);
            return Err(BackendError::unknown(BackendErrorKind::Malformed, detail));
        }
        self.end = Some(end);
        // If a token is still missing, the next iteration resumes the stream to fetch it.
        self.close_connection(RetryReason::StreamResumed);
        Ok(())
    }

    fn close_connection(&mut self, reason: RetryReason) {
        self.token_stream = None;
        self.gap_since = None;
        self.resume_reason = reason;
    }

    /// Makes one attempt to resume the stream; an attempt whose call is cancelled continues in the
    /// next call.
    async fn attempt_resume(&mut self) -> Result<(), BackendError> {
        let settings = &self.pool.settings;
        if self.attempts_without_token >= settings.max_resume_attempts {
            let last_failure = self.last_failure.as_ref();
            let detail = format!(
                "stream {} delivered no token in {} attempts to resume it; last failure: {}",
                self.request_id,
                self.attempts_without_token,
                last_failure.map_or(
                    "the stream opened but delivered no token".to_owned(),
                    ToString::to_string
                )
            );
            let is_leaving = last_failure.is_some_and(|error| error.is_leaving);
            let error = BackendError::unknown(BackendErrorKind::StreamLost, detail);
            return Err(BackendError { is_leaving, ..error });
        }
        let pending_resume = match &mut self.pending_resume {
            Some(pending_resume) => pending_resume,
            None => {
                let doubled_ms = settings.resume_delay_ms << self.attempts_without_token.min(16);
                let delay_ms = match self.attempts_without_token {
                    0 => 0,
                    _ => doubled_ms.min(settings.max_resume_delay_ms),
                };
                let starts_at = Instant::now() + Duration::from_millis(delay_ms);
                let (pool, address) = (self.pool.clone(), self.address);
                let (id, from, deadline) =
                    (self.request_id.clone(), self.next_index, self.deadline);
                self.pool.retries.increment(self.resume_reason);
                self.attempts_without_token += 1;
                self.pending_resume.insert(Box::pin(async move {
                    sleep_until(starts_at).await;
                    open_resumed_stream(&pool, address, &id, from, deadline).await
                }))
            }
        };
        let Ok(result) = timeout_at(self.deadline, pending_resume).await else {
            return Err(self.deadline_passed());
        };
        self.pending_resume = None;
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
                    // Whether the resume request ran says nothing about the original request.
                    Err(BackendError { ran: RunStatus::Unknown, ..error })
                }
                kind => {
                    if kind == BackendErrorKind::ConnectRefused {
                        self.resume_reason = RetryReason::ConnectRefused;
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
