//! One connection's part of a token stream.

use std::{net::SocketAddr, sync::Arc};

use bytes::{Buf as _, Bytes};
use http_body_util::BodyExt as _;
use hyper::body::Incoming;
use tokio::time::{Duration, Instant, timeout, timeout_at};

use crate::{
    BackendError, BackendErrorKind, EventParser, ParsedEvent,
    connection::Connection,
    pool::{Lane, Pool},
    stream_event::StreamEvent,
};

/// How long the end of the body may take after the last event for the connection to be reused.
const BODY_END_MS: u64 = 100;

/// Why no event could be read.
#[derive(Debug)]
pub(crate) enum StreamBreak {
    /// No byte came for the stall time.
    Silent,
    /// The caller's time passed first.
    TimeUp,
    /// The connection broke or the body ended before the last event.
    Lost(String),
    /// The stream can't be used.
    Fatal(BackendError),
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

    /// Returns the next event before `until`, which must name `adapter` and `version`.
    ///
    /// Cancelling the call loses nothing: the time of silence counts on from the first call.
    pub(crate) async fn next(
        &mut self,
        adapter: &str,
        version: u32,
        until: Instant,
    ) -> Result<StreamEvent, StreamBreak> {
        loop {
            let mut rest = &self.unread[..];
            let parsed = self.parser.next(&mut rest);
            let consumed = self.unread.len() - rest.len();
            self.unread.advance(consumed);
            match parsed {
                Ok(Some(ParsedEvent::Comment)) => return Ok(StreamEvent::KeepAlive),
                Ok(Some(ParsedEvent::Data(data))) => {
                    let event = StreamEvent::parse(&data, adapter, version);
                    let event = event.map_err(StreamBreak::Fatal)?;
                    if matches!(event, StreamEvent::Finish(_)) {
                        self.end();
                    }
                    return Ok(event);
                }
                Ok(None) => self.read(until).await?,
                Err(error) => {
                    let kind = BackendErrorKind::TooLarge;
                    let error = BackendError::unknown(kind, error.to_string());
                    return Err(StreamBreak::Fatal(error));
                }
            }
        }
    }

    async fn read(&mut self, until: Instant) -> Result<(), StreamBreak> {
        let Some(body) = &mut self.body else {
            return Err(StreamBreak::Lost("the stream has ended".to_owned()));
        };
        let stall = Duration::from_millis(self.pool.settings.stall_ms);
        let silent_at = *self.waiting_since.get_or_insert_with(Instant::now) + stall;
        // hyper's bodies take no part in the runtime's task budget, so a fast engine could
        // otherwise keep other tasks from running.
        tokio::task::coop::consume_budget().await;
        let frame = match timeout_at(silent_at.min(until), body.frame()).await {
            Err(_) if silent_at <= until => return Err(StreamBreak::Silent),
            Err(_) => return Err(StreamBreak::TimeUp),
            Ok(None) => {
                return Err(StreamBreak::Lost("the body ended before the last event".to_owned()));
            }
            Ok(Some(Err(error))) => return Err(StreamBreak::Lost(error.to_string())),
            Ok(Some(Ok(frame))) => frame,
        };
        self.waiting_since = None;
        self.unread = frame.into_data().unwrap_or_default();
        Ok(())
    }

    /// Hands the connection back once the body has ended, if nothing follows the last event.
    fn end(&mut self) {
        let (Some(connection), Some(mut body)) = (self.connection.take(), self.body.take()) else {
            return;
        };
        if !self.unread.is_empty() {
            return;
        }
        let (pool, address) = (self.pool.clone(), self.address);
        tokio::spawn(async move {
            let end = timeout(Duration::from_millis(BODY_END_MS), body.frame()).await;
            if let Ok(None) = end {
                pool.release(address, Lane::Work, connection);
            }
        });
    }
}
