use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Request, header::HeaderName};
use socket2::SockRef;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    time::Instant,
};

use super::{ACKNOWLEDGE_TIMEOUT, CallError, CallLimits, HttpClient};
use crate::link::set_tcp_timeouts;

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

/// Guards against requests that are lost at a sound server, which may be silent for a second or two. The timeout
/// for acknowledgements also decides when keep-alive probes give up, whatever their number.
#[tokio::test]
async fn connection_outlasts_the_silence_of_a_sound_server() {
    const MAX_SILENCE: Duration = Duration::from_secs(2);
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("bound");
    let stream = TcpStream::connect(address).await.expect("it accepts");
    set_tcp_timeouts(&stream, ACKNOWLEDGE_TIMEOUT).expect("the options can be set");
    let socket = SockRef::from(&stream);
    let acknowledge_timeout = socket.tcp_user_timeout().expect("an option").expect("a timeout");
    assert!(acknowledge_timeout > MAX_SILENCE, "{acknowledge_timeout:?}");
    // The silence may begin just before a probe, which is the first that isn't acknowledged.
    let interval = socket.tcp_keepalive_interval().expect("an option");
    let probes = acknowledge_timeout.as_millis().div_ceil(interval.as_millis());
    let given_up_after = interval * u32::try_from(probes).expect("few probes");
    assert!(given_up_after >= MAX_SILENCE + interval, "{given_up_after:?}");
}

/// Guards against an order of a coordinator that was suspended while it connected: it has a successor when it goes on.
#[tokio::test]
async fn request_whose_time_has_passed_is_not_sent() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("bound");
    let client = HttpClient::new(ID);
    let request = Request::get("/").body(Full::new(Bytes::new())).expect("a valid request");
    let limits = CallLimits { time: Duration::from_secs(1), response_bytes: BODY_BYTES };
    let by = Instant::now() - Duration::from_millis(1);
    let error = client.call_by(address, request, limits, Some(by)).await.expect_err("too late");
    assert!(error.to_string().contains("its time has passed"), "{error}");
}

/// Guards against a backend list, a report or an answer to an order that breaks off and is taken for complete.
#[tokio::test]
async fn response_that_breaks_off_is_incomplete() {
    const BROKEN: [&str; 3] = [
        "HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\n[]",
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\n[]\r\n",
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n9\r\n[]",
    ];
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("bound");
    tokio::spawn(async move {
        for answer in BROKEN {
            let (mut stream, _) = listener.accept().await.expect("a connection");
            stream.read_buf(&mut Vec::with_capacity(1_024)).await.expect("a request");
            stream.write_all(answer.as_bytes()).await.expect("the peer reads");
        }
    });
    let client = HttpClient::new(ID);
    for broken in BROKEN {
        let request = Request::get("/").body(Full::new(Bytes::new())).expect("a valid request");
        let limits = CallLimits { time: Duration::from_secs(1), response_bytes: BODY_BYTES };
        let result = client.call(address, request, limits).await;
        assert!(matches!(result, Err(CallError::Incomplete { .. })), "{broken:?}: {result:?}");
    }
}

/// Guards against a report, an answer to an order, a page of the list or a health check that passes for one although its
/// status isn't one of the protocol.
#[tokio::test]
async fn response_with_an_invalid_status_is_an_error() {
    for status in ["000 Unknown", "000", "001 OK", "099 OK", "20 OK", "2000 OK", "-00 OK", "0x0 OK"]
    {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("bound");
        let response = format!("HTTP/1.1 {status}\r\ncontent-length: 2\r\n\r\n[]");
        tokio::spawn(async move {
            let (mut stream, _) = listener.accept().await.expect("a connection");
            stream.read_buf(&mut Vec::with_capacity(1_024)).await.expect("a request");
            stream.write_all(response.as_bytes()).await.expect("the peer reads the response");
            // The connection stays open until the peer closes it.
            let _ = stream.read_buf(&mut Vec::with_capacity(1)).await;
        });
        let request = Request::get("/").body(Full::new(Bytes::new())).expect("a valid request");
        let limits = CallLimits { time: Duration::from_secs(10), response_bytes: BODY_BYTES };
        let result = HttpClient::new(ID).call(address, request, limits).await;
        assert!(matches!(result, Err(CallError::Send(_))), "{status}: {result:?}");
    }
}
