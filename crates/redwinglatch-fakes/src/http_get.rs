//! A GET request, by which fake engines fetch weights from the store.

use std::net::SocketAddr;

use bytes::Bytes;
use http_body_util::{BodyExt as _, Empty};
use hyper::{Request, client::conn::http1};
use hyper_util::rt::TokioIo;
use tokio::{net::TcpStream, task::AbortHandle};

struct AbortOnDrop(AbortHandle);

impl Drop for AbortOnDrop {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// Sends a GET for `path` on a new connection and returns the status after reading the body;
/// returns `None` on a connection error.
pub(crate) async fn get_status(address: SocketAddr, path: &str) -> Option<u16> {
    let socket = TcpStream::connect(address).await.ok()?;
    let (mut sender, connection) = http1::handshake(TokioIo::new(socket)).await.ok()?;
    let _driver = AbortOnDrop(tokio::spawn(connection).abort_handle());
    let request =
        Request::get(path).header("host", address.to_string()).body(Empty::<Bytes>::new()).ok()?;
    let response = sender.send_request(request).await.ok()?;
    let status = response.status().as_u16();
    let mut body = response.into_body();
    while let Some(frame) = body.frame().await {
        frame.ok()?;
    }
    Some(status)
}
