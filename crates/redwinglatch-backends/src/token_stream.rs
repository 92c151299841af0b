//! The part of a token stream that is read from one connection.

use std::{net::SocketAddr, sync::Arc};

use bytes::{Buf as _, Bytes};
use http_body_util::BodyExt as _;
use hyper::body::Incoming;
use tokio::time::{Duration, Instant, timeout, timeout_at};

use crate::{
    BackendError, BackendErrorKind, EventParser, ParsedEvent,
    connection::Connection,
    pool::{Pool, TrafficClass},
    stream_event::StreamEvent,
};

/// Time limit for the end of the body after the last event; a connection that exceeds it is not
/// reused.
const BODY_END_TIMEOUT_MS: u64 = 100;

/// The reason why no event could be read.
#[derive(Debug)]
pub(crate) enum StreamError {
    /// No byte was received for `stall_ms`.
    Stalled,
    /// The caller's deadline passed first.
    TimedOut,
    /// The connection broke or the body ended before the last event.
    ConnectionLost(String),
    /// The stream sent an invalid event and cannot be used any more.
    Unusable(BackendError),
}

/// Reads the events of one response. Dropping it before its last event closes the connection.
#[derive(Debug)]
pub(crate) struct TokenStream {
    pool: Arc<Pool>,
    address: SocketAddr,
    connection: Option<Connection>,
    body: Option<Incoming>,
    parser: EventParser,
    unread: Bytes,
    waiting_since: Option<Instant>,
    boot_id: Box<str>,
}

impl TokenStream {
    pub(crate) fn new(
        pool: Arc<Pool>,
        address: SocketAddr,
        connection: Connection,
        body: Incoming,
        boot_id: Box<str>,
    ) -> TokenStream {
        TokenStream {
            parser: EventParser::new(pool.settings.event_limit_bytes),
            pool,
            address,
            connection: Some(connection),
            body: Some(body),
            unread: Bytes::new(),
            waiting_since: None,
            boot_id,
        }
    }

    pub(crate) fn boot_id(&self) -> &str {
        &self.boot_id
    }

    /// Returns the next event that arrives before `deadline`; it must name `adapter` and `version`.
    ///
    /// This method is cancel safe: the stall timeout continues to count from the first call.
    pub(crate) async fn next(
        &mut self,
        adapter: &str,
        version: u32,
        deadline: Instant,
    ) -> Result<StreamEvent, StreamError> {
        loop {
            let mut rest = &self.unread[..];
            let parsed = self.parser.next(&mut rest);
            let consumed = self.unread.len() - rest.len();
            self.unread.advance(consumed);
            match parsed {
                Ok(Some(ParsedEvent::Comment)) => return Ok(StreamEvent::KeepAlive),
                Ok(Some(ParsedEvent::Data(data))) => {
                    let event = StreamEvent::parse(&data, adapter, version);
                    let event = event.map_err(StreamError::Unusable)?;
                    if matches!(event, StreamEvent::End(_)) {
                        self.release_connection();
                    }
                    return Ok(event);
                }
                Ok(None) => self.read_frame(deadline).await?,
                Err(error) => {
                    let kind = BackendErrorKind::TooLarge;
                    let error = BackendError::unknown(kind, error.to_string());
                    return Err(StreamError::Unusable(error));
                }
            }
        }
    }

    async fn read_frame(&mut self, deadline: Instant) -> Result<(), StreamError> {
        let Some(body) = &mut self.body else {
            return Err(StreamError::ConnectionLost("the stream has ended".to_owned()));
        };
        let stall_timeout = Duration::from_millis(self.pool.settings.stall_ms);
        let stalls_at = *self.waiting_since.get_or_insert_with(Instant::now) + stall_timeout;
        // hyper's bodies don't consume tokio's cooperative task budget, so a fast engine could
        // otherwise starve other tasks.
        tokio::task::coop::consume_budget().await;
        let frame = match timeout_at(stalls_at.min(deadline), body.frame()).await {
            Err(_) if stalls_at <= deadline => return Err(StreamError::Stalled),
            Err(_) => return Err(StreamError::TimedOut),
            Ok(None) => {
                return Err(StreamError::ConnectionLost(
                    "the body ended before the last event".to_owned(),
                ));
            }
            Ok(Some(Err(error))) => return Err(StreamError::ConnectionLost(error.to_string())),
            Ok(Some(Ok(frame))) => frame,
        };
        self.waiting_since = None;
        self.unread = frame.into_data().unwrap_or_default();
        Ok(())
    }

    /// Returns the connection to the pool once the body has ended, unless bytes follow the last
    /// event.
    fn release_connection(&mut self) {
        let (Some(connection), Some(mut body)) = (self.connection.take(), self.body.take()) else {
            return;
        };
        if !self.unread.is_empty() {
            return;
        }
        let (pool, address) = (self.pool.clone(), self.address);
        tokio::spawn(async move {
            let end = timeout(Duration::from_millis(BODY_END_TIMEOUT_MS), body.frame()).await;
            if let Ok(None) = end {
                pool.release(address, TrafficClass::Request, connection);
            }
        });
    }
}
