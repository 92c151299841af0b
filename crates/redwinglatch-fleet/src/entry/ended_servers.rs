//! Whether a server that broke a request off has ended.
//!
//! For a process that is cut off, all servers look as if they had ended, so another process is asked whether the
//! server refuses its connections too.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Request, Response, StatusCode, header::HOST};
use tokio::time::sleep;

use crate::{
    http::{Body, CallLimits},
    ids::BackendKey,
};

use super::{
    EntryContext,
    refusal::full_body,
    request_outcomes::{ConnectionCheck, check_connection},
};

/// Path of the question whether a server refuses connections; its key follows.
const PATH: &str = "/redwinglatch/refuses-connections/";
/// Limits of the question. The other process waits as long for the server as this one.
const LIMITS: CallLimits = CallLimits { time: Duration::from_millis(600), response_bytes: 1 << 10 };
/// Time after which a server that accepts connections is tried once more. One that ends may close the
/// connections of its requests before its listening socket.
const RETRY_DELAY: Duration = Duration::from_millis(100);
/// The answers to the question.
const REFUSED: &[u8] = b"refused";
const ACCEPTED: &[u8] = b"accepted";

/// Returns whether a server that broke a request off has ended.
pub(super) async fn has_ended(
    context: &Arc<EntryContext>,
    server: BackendKey,
    address: SocketAddr,
) -> bool {
    let own = check_failed_server(address).await;
    if own != ConnectionCheck::Refused {
        return false;
    }
    let now_ms = context.now_ms();
    context.fleet_view().record_connect_failure(now_ms, server);
    let other = ask_other_process(context, server).await;
    is_end(own, other, context.fleet_view().is_server_path_lost(server))
}

/// Tries to connect to a server that has just broken a request off.
async fn check_failed_server(address: SocketAddr) -> ConnectionCheck {
    match check_connection(address).await {
        ConnectionCheck::Accepted => {
            sleep(RETRY_DELAY).await;
            check_connection(address).await
        }
        check => check,
    }
}

/// Decides whether a server has ended by what its connections show to this process and to another one, if one
/// can tell.
///
/// Answers a cut by refusals, in which the requests in progress at all servers break off together: taken for
/// ends of servers, they would be quarantined everywhere, though they are sound.
fn is_end(own: ConnectionCheck, other: Option<ConnectionCheck>, is_path_lost: bool) -> bool {
    let is_refused = own == ConnectionCheck::Refused;
    match other {
        Some(ConnectionCheck::Refused) => is_refused,
        Some(ConnectionCheck::Accepted) => false,
        Some(ConnectionCheck::Unknown) | None => is_refused && !is_path_lost,
    }
}

/// Asks another process what the connections of a server show to it; `None` if none answers.
async fn ask_other_process(context: &EntryContext, server: BackendKey) -> Option<ConnectionCheck> {
    let service = context.fleet_view().service_of(server)?;
    let (_, address) = context.choose_peer(&service, &[])?;
    let request = Request::get(format!("{PATH}{:x}", server.0)).header(HOST, address.to_string());
    let request = match request.body(Full::new(Bytes::new())) {
        Ok(request) => request,
        Err(error) => {
            log::error!("entry: cannot build a question about a server: {error}");
            return None;
        }
    };
    match context.client.call(address, request, LIMITS).await {
        Ok((_, _, body)) if body == REFUSED => Some(ConnectionCheck::Refused),
        Ok((_, _, body)) if body == ACCEPTED => Some(ConnectionCheck::Accepted),
        Ok(_) => Some(ConnectionCheck::Unknown),
        Err(error) => {
            log::debug!("entry: a question about a server was not answered: {error}");
            None
        }
    }
}

/// Answers the question of another process; `None` if the path is that of another request.
pub(super) async fn answer(context: &EntryContext, path: &str) -> Option<Response<Body>> {
    let key = path.strip_prefix(PATH)?;
    let server = u64::from_str_radix(key, 16).ok().map(BackendKey);
    let address = server.and_then(|server| context.fleet_view().backend_address(server));
    let check = match address {
        Some(address) => check_connection(address).await,
        None => ConnectionCheck::Unknown,
    };
    let body = match check {
        ConnectionCheck::Refused => REFUSED,
        ConnectionCheck::Accepted => ACCEPTED,
        ConnectionCheck::Unknown => b"",
    };
    let mut response = Response::new(full_body(Bytes::from_static(body)));
    if check == ConnectionCheck::Unknown {
        *response.status_mut() = StatusCode::NOT_FOUND;
    }
    Some(response)
}

#[cfg(test)]
mod tests;
