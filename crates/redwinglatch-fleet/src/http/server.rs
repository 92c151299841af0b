//! A small HTTP server.

use std::{convert::Infallible, net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use http_body_util::combinators::BoxBody;
use hyper::{Request, Response, body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::{
    net::{TcpListener, TcpSocket, TcpStream},
    sync::watch,
};

use crate::{FleetError, link::set_silence_limits};

/// Connections that wait to be accepted.
const BACKLOG: u32 = 1_024;
/// How long a caller may leave what was sent unacknowledged.
const UNACKNOWLEDGED_LIMIT: Duration = Duration::from_secs(10);
/// The smallest buffer that the library allows for a head.
const MIN_BUFFER_BYTES: usize = 8_192;
/// How long to wait after a failed accept, for example without free descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// What one connection may do.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ServerLimits {
    pub(crate) header_bytes: usize,
    pub(crate) idle: Duration,
}

impl Default for ServerLimits {
    fn default() -> ServerLimits {
        ServerLimits { header_bytes: 16 << 10, idle: Duration::from_secs(30) }
    }
}

pub(crate) type Body = BoxBody<Bytes, Box<dyn std::error::Error + Send + Sync>>;

/// Binds a listening socket.
///
/// # Errors
///
/// Fails when the address is in use or not on this machine.
pub(crate) fn bind(address: SocketAddr) -> Result<TcpListener, FleetError> {
    let listen = || {
        let socket = TcpSocket::new_v4()?;
        socket.set_reuseaddr(true)?;
        socket.bind(address)?;
        socket.listen(BACKLOG)
    };
    listen().map_err(|source| FleetError::Bind { address, source })
}

/// Serves connections until `stop` is true; connections then end after their last answer.
pub(crate) async fn serve<Handler, Answer>(
    listener: TcpListener,
    limits: impl Fn() -> ServerLimits,
    stop: watch::Receiver<bool>,
    handler: Handler,
) where
    Handler: Fn(Request<Incoming>) -> Answer + Send + Sync + 'static,
    Answer: Future<Output = Response<Body>> + Send + 'static,
{
    let handler = Arc::new(handler);
    let mut stopped = stop.clone();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = stopped.wait_for(|stop| *stop) => return,
        };
        match accepted {
            Ok((stream, _)) => {
                tokio::spawn(connection(stream, limits(), stop.clone(), Arc::clone(&handler)));
            }
            Err(error) => {
                log::warn!("server: cannot accept a connection: {error}");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn connection<Handler, Answer>(
    stream: TcpStream,
    limits: ServerLimits,
    mut stop: watch::Receiver<bool>,
    handler: Arc<Handler>,
) where
    Handler: Fn(Request<Incoming>) -> Answer + Send + Sync + 'static,
    Answer: Future<Output = Response<Body>> + Send + 'static,
{
    if let Err(error) = set_silence_limits(&stream, UNACKNOWLEDGED_LIMIT) {
        log::debug!("server: cannot set the timeouts of a connection: {error}");
    }
    let service = service_fn(move |request| {
        let answer = handler(request);
        async move { Ok::<_, Infallible>(answer.await) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.idle)
        .max_buf_size(limits.header_bytes.max(MIN_BUFFER_BYTES))
        .serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    tokio::select! {
        _ = connection.as_mut() => return,
        _ = stop.wait_for(|stop| *stop) => connection.as_mut().graceful_shutdown(),
    }
    if let Err(error) = connection.await {
        log::trace!("server: a connection ends: {error}");
    }
}
