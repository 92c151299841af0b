//! Polls the platform's list of backend servers.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Request, StatusCode, header::HOST};
use thiserror::Error;
use tokio::sync::{mpsc, watch};

use crate::{
    BackendEntry, Dialect,
    http::{CallError, CallLimits, HttpClient},
};

use super::driver::DriverEvent;

/// Interval between fetches; a leaving server must be known well within 3 s.
const POLL_INTERVAL: Duration = Duration::from_millis(700);
/// Interval between fetches of a long list by core processes that don't coordinate. Each page counts
/// against the rate of calls that the platform allows to all processes together.
const LONG_LIST_POLL_INTERVAL: Duration = Duration::from_millis(1_400);
/// Entries from which a list is long.
const LONG_LIST_ENTRIES: usize = 60;
/// Limits of the request for one page.
const PAGE_LIMITS: CallLimits =
    CallLimits { time: Duration::from_millis(800), response_bytes: 4 << 20 };
/// Maximum number of pages; a longer list is taken for an endless one.
const MAX_PAGES: usize = 400;

/// Error when fetching the backend list.
#[derive(Debug, Error)]
pub(crate) enum BackendListError {
    #[error(transparent)]
    Call(#[from] CallError),
    #[error("the platform responded {0}")]
    Status(StatusCode),
    #[error("cannot decode the backend list: {0}")]
    Malformed(Box<str>),
    #[error("the backend list has more than {MAX_PAGES} pages")]
    TooManyPages,
}

/// Fetches the list periodically and passes it to the driver.
pub(super) async fn run(
    address: SocketAddr,
    events: mpsc::Sender<DriverEvent>,
    dialect: &'static Dialect,
    is_coordinator: watch::Receiver<bool>,
) {
    let client = HttpClient::new(dialect.headers.request_id.clone());
    let mut is_failing = false;
    let mut last_malformed = 0;
    loop {
        let mut interval = POLL_INTERVAL;
        match fetch(&client, address, dialect).await {
            Ok((entries, malformed)) => {
                if malformed != last_malformed {
                    log::warn!(
                        "platform: skipping {malformed} malformed entries of the backend list"
                    );
                    last_malformed = malformed;
                }
                if is_failing {
                    log::info!("platform: the backend list is available again");
                }
                is_failing = false;
                if entries.len() >= LONG_LIST_ENTRIES && !*is_coordinator.borrow() {
                    interval = LONG_LIST_POLL_INTERVAL;
                }
                if events.send(DriverEvent::BackendsListed(entries)).await.is_err() {
                    return;
                }
            }
            Err(error) => {
                if !is_failing {
                    log::warn!(
                        "platform: cannot fetch the backend list: {error}; keeping the last one"
                    );
                }
                is_failing = true;
            }
        }
        tokio::time::sleep(interval).await;
    }
}

/// Fetches all pages of the list; also returns the number of malformed entries that were skipped.
pub(crate) async fn fetch(
    client: &Arc<HttpClient>,
    address: SocketAddr,
    dialect: &Dialect,
) -> Result<(Vec<BackendEntry>, usize), BackendListError> {
    let mut entries = Vec::new();
    let mut skipped = 0;
    let mut next_page: Option<Box<str>> = None;
    for _ in 0..MAX_PAGES {
        let request = Request::get((dialect.list_path)(next_page.as_deref()))
            .header(HOST, address.to_string())
            .body(Full::new(Bytes::new()))
            .map_err(|error| BackendListError::Malformed(error.to_string().into()))?;
        let (status, _, body) = client.call(address, request, PAGE_LIMITS).await?;
        if status != StatusCode::OK {
            return Err(BackendListError::Status(status));
        }
        let page = (dialect.decode_backends)(&body).map_err(BackendListError::Malformed)?;
        entries.extend(page.entries);
        skipped += page.skipped;
        match page.next {
            Some(token) => next_page = Some(token),
            None => return Ok((entries, skipped)),
        }
    }
    Err(BackendListError::TooManyPages)
}
