//! Polls the platform's list of backend servers.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Request, StatusCode, header::HOST};
use thiserror::Error;
use tokio::sync::mpsc;

use crate::{
    BackendEntry, Dialect,
    http::{CallError, HttpClient},
};

use super::driver::Input;

/// How often the list is fetched; a leaving server must be known well within 3 s.
const POLL_INTERVAL: Duration = Duration::from_millis(700);
/// How long one page may take.
const PAGE_TIMEOUT: Duration = Duration::from_millis(800);
/// A list with more pages is taken for one that never ends.
const MAX_PAGES: usize = 400;

/// Why the list could not be fetched.
#[derive(Debug, Error)]
pub(crate) enum ListError {
    #[error(transparent)]
    Call(#[from] CallError),
    #[error("the platform answers {0}")]
    Status(StatusCode),
    #[error("the list can't be read: {0}")]
    Malformed(Box<str>),
    #[error("the list has more than {MAX_PAGES} pages")]
    Endless,
}

/// Fetches the list again and again and hands it to the driver.
pub(super) async fn run(
    address: SocketAddr,
    inputs: mpsc::Sender<Input>,
    dialect: &'static Dialect,
) {
    let client = HttpClient::new();
    let mut failing = false;
    let mut skipped = 0;
    loop {
        match fetch(&client, address, dialect).await {
            Ok((entries, malformed)) => {
                if malformed != skipped {
                    log::warn!("platform: {malformed} malformed entries of the list are left out");
                    skipped = malformed;
                }
                if failing {
                    log::info!("platform: the list of backend servers can be fetched again");
                }
                failing = false;
                if inputs.send(Input::Listed(entries)).await.is_err() {
                    return;
                }
            }
            Err(error) => {
                if !failing {
                    log::warn!("platform: {error}; the last list is kept");
                }
                failing = true;
            }
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Fetches all pages of the list; also returns the number of malformed entries.
pub(crate) async fn fetch(
    client: &Arc<HttpClient>,
    address: SocketAddr,
    dialect: &Dialect,
) -> Result<(Vec<BackendEntry>, usize), ListError> {
    let mut entries = Vec::new();
    let mut skipped = 0;
    let mut next: Option<Box<str>> = None;
    for _ in 0..MAX_PAGES {
        let request = Request::get((dialect.list_path)(next.as_deref()))
            .header(HOST, address.to_string())
            .body(Full::new(Bytes::new()))
            .map_err(|error| ListError::Malformed(error.to_string().into()))?;
        let (status, _, body) = client.call(address, request, PAGE_TIMEOUT).await?;
        if status != StatusCode::OK {
            return Err(ListError::Status(status));
        }
        let page = (dialect.decode_backends)(&body).map_err(ListError::Malformed)?;
        entries.extend(page.entries);
        skipped += page.skipped;
        match page.next {
            Some(token) => next = Some(token),
            None => return Ok((entries, skipped)),
        }
    }
    Err(ListError::Endless)
}
