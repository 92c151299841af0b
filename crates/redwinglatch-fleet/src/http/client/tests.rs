use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Request, header::HeaderName};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpListener,
};

use super::{CallError, CallLimits, HttpClient};

const ID: HeaderName = HeaderName::from_static("x-id");
const BODY_BYTES: usize = 100 << 10;

/// Starts a server that answers each connection with a body of [`BODY_BYTES`].
async fn start_server() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("bound");
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {BODY_BYTES}\r\n\r\n");
            stream.read_buf(&mut Vec::with_capacity(1_024)).await.expect("a request");
            stream.write_all(head.as_bytes()).await.expect("the peer reads the head");
            // The peer closes the connection at its limit.
            let _ = stream.write_all(&[b'a'; BODY_BYTES]).await;
        }
    });
    address
}

/// Guards against a coordinator that ends for lack of memory: a hundred engines may send reports without
/// end at the same time.
#[tokio::test]
async fn response_above_the_limit_of_its_call_is_given_up() {
    let address = start_server().await;
    let call = async |response_bytes: usize| {
        let request = Request::get("/").body(Full::new(Bytes::new())).expect("a valid request");
        let limits = CallLimits { time: Duration::from_secs(10), response_bytes };
        HttpClient::new(ID).call(address, request, limits).await
    };
    let (_, _, body) = call(BODY_BYTES).await.expect("it fits");
    assert_eq!(body.len(), BODY_BYTES);
    let refused = call(BODY_BYTES - 1).await;
    assert!(matches!(refused, Err(CallError::Incomplete { .. })), "{refused:?}");
}
