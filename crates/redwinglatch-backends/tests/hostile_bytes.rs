//! Responses that violate the protocol, and event streams split at any byte.

mod common;

use std::net::SocketAddr;

use common::{client_with_short_timeouts, read_all, request, short_timeouts};
use quickcheck::{Gen, QuickCheck, TestResult};
use redwinglatch_backends::{
    BackendClient, BackendErrorKind, BackendSettings, EventParser, EventParserError, ParsedEvent,
    ServiceRequest,
};
use redwinglatch_core::RunStatus;
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::{TcpListener, TcpSocket},
};

const LIMIT_BYTES: usize = 24;
const SEED: u64 = 0x5eed_0001;

/// Returns a checker that draws the same cases in each run; the seed is shown when a test fails.
fn seeded_quickcheck() -> QuickCheck {
    println!("seed {SEED:#x}");
    QuickCheck::new().rng(Gen::from_size_and_seed(100, SEED)).tests(5_000)
}

/// Parses `bytes` in chunks, whose sizes cycle through `sizes`.
fn parse(bytes: &[u8], sizes: &[u8]) -> (Vec<ParsedEvent>, Option<EventParserError>) {
    let mut parser = EventParser::new(LIMIT_BYTES);
    let mut events = Vec::new();
    let mut rest = bytes;
    let mut sizes = sizes.iter().map(|size| usize::from(*size).max(1)).cycle();
    while !rest.is_empty() {
        let (mut chunk, after) = rest.split_at(sizes.next().unwrap_or(rest.len()).min(rest.len()));
        rest = after;
        loop {
            match parser.next(&mut chunk) {
                Ok(Some(event)) => events.push(event),
                Ok(None) => break,
                Err(error) => return (events, Some(error)),
            }
        }
    }
    (events, None)
}

/// Maps arbitrary bytes to a stream that often contains the parser's special cases.
fn event_stream_from(bytes: &[u8]) -> Vec<u8> {
    const PARTS: [&[u8]; 12] = [
        b"data: ",
        b"data:",
        b"data",
        b"\n",
        b"\r",
        b"\r\n",
        b"\n\n",
        b": comment\n",
        b"event: x\n",
        b"\xef\xbb\xbf",
        b"{\"index\":1}",
        b"\xff\x00",
    ];
    bytes.iter().flat_map(|byte| PARTS[usize::from(*byte) % PARTS.len()]).copied().collect()
}

/// Guards against events that depend on how the network splits the stream.
#[test]
fn events_are_the_same_however_the_bytes_are_split() {
    fn property(bytes: Vec<u8>, sizes: Vec<u8>) -> bool {
        let stream = event_stream_from(&bytes);
        let chunk_sizes: Vec<u8> = sizes.iter().map(|size| size % 9).collect();
        let whole = parse(&stream, &[]);
        whole == parse(&stream, &chunk_sizes) && whole == parse(&stream, &[1])
    }
    seeded_quickcheck().quickcheck(property as fn(Vec<u8>, Vec<u8>) -> bool);
}

/// Guards against a panic, and against events above the limit, on arbitrary bytes.
#[test]
fn arbitrary_bytes_never_panic_and_never_exceed_the_limit() {
    fn property(bytes: Vec<u8>, sizes: Vec<u8>) -> TestResult {
        let (events, _) = parse(&bytes, &sizes);
        TestResult::from_bool(events.iter().all(|event| match event {
            ParsedEvent::Data(data) => data.len() <= LIMIT_BYTES,
            ParsedEvent::Comment => true,
        }))
    }
    seeded_quickcheck().quickcheck(property as fn(Vec<u8>, Vec<u8>) -> TestResult);
}

/// Guards against a parser that is consistent but violates the format of server-sent events.
#[test]
fn the_parser_follows_the_event_stream_format() {
    let data = |text: &str| ParsedEvent::Data(text.as_bytes().to_vec());
    let stream = "\u{feff}data: a\r\ndata:b\r\r\n: c\ndata\n\nevent: x\nid: 1\n\ndata: d";
    let (events, error) = parse(stream.as_bytes(), &[]);
    assert_eq!(events, [data("a\nb"), ParsedEvent::Comment, data("")]);
    assert_eq!(error, None);
    let too_large = Some(EventParserError::TooLarge { limit_bytes: LIMIT_BYTES });
    assert_eq!(parse(&[b'x'; LIMIT_BYTES + 1], &[1]), (vec![], too_large));
    let lines = format!("{}\n", "data: 1234567890\n".repeat(3));
    assert_eq!(parse(lines.as_bytes(), &[1]), (vec![], too_large));
}

/// Starts a server that sends one of `responses` on each connection, in order of the connections;
/// further connections receive the last one. Connections stay open without a second response.
async fn start_server(responses: Vec<Vec<u8>>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        for number in 0.. {
            let (mut socket, _) = listener.accept().await.unwrap();
            let response = responses[usize::min(number, responses.len() - 1)].clone();
            tokio::spawn(async move {
                let mut request = [0; 4096];
                let _ = socket.read(&mut request).await;
                let _ = socket.write_all(&response).await;
                while socket.read(&mut request).await.is_ok_and(|read| read > 0) {}
            });
        }
    });
    address
}

fn http_response(head: &str, body: &str) -> Vec<u8> {
    format!("HTTP/1.1 {head}\r\n\r\n{body}").into_bytes()
}

/// Returns a response with a complete event stream and its content length.
fn event_stream_response(events: &[String]) -> Vec<u8> {
    let body: String = events.iter().map(|event| format!("data: {event}\n\n")).collect();
    let size = body.len();
    let head = "content-type: text/event-stream\r\nx-engine-boot-id: b\r\ncontent-length: ";
    http_response(&format!("200 OK\r\n{head}{size}"), &body)
}

fn token_event(index: u32) -> String {
    format!(r#"{{"index":{index},"text":"{index}","adapter":"scope","version":1}}"#)
}

fn end_event(tokens: u32) -> String {
    format!(
        r#"{{"done":true,"finish_reason":"stop","tokens":{tokens},"adapter":"scope","version":1}}"#
    )
}

/// Guards against panics, endless waits and "not run" on malformed responses.
#[tokio::test]
async fn malformed_responses_have_an_unknown_run_status() {
    let stream_head = "200 OK\r\ncontent-type: text/event-stream\r\nx-engine-boot-id: b";
    let event = r#"data: {"index":9,"text":"a","adapter":"scope","version":1}"#;
    let cases = [
        b"\x16\x03\x01 this is not HTTP\r\n\r\n".to_vec(),
        vec![b'x'; 1 << 20],
        http_response(&format!("200 OK\r\nx: {}", "y".repeat(1 << 20)), ""),
        http_response("200 OK\r\ncontent-length: 2", "{}"),
        http_response("200 OK\r\ncontent-type: text/event-stream\r\ncontent-length: 0", ""),
        http_response("500 Oops\r\ncontent-length: 3", "\u{1}{}"),
        http_response(&format!("{stream_head}\r\ncontent-length: 9999999"), "data: [DONE]\n\n"),
        http_response(
            &format!("{stream_head}\r\ncontent-length: 9999999"),
            &format!("{event}\n\n"),
        ),
        http_response(&format!("{stream_head}\r\ntransfer-encoding: chunked"), "zz\r\n"),
        http_response(&format!("{stream_head}\r\ncontent-length: 9999999"), &"y".repeat(1 << 20)),
    ];
    for (number, response) in cases.into_iter().enumerate() {
        let address = start_server(vec![response]).await;
        let settings = BackendSettings { max_resume_attempts: 2, ..short_timeouts() };
        let client = BackendClient::new(settings);
        let error = match client.complete(address, request("r-1", 5)).await {
            Ok(mut stream) => read_all(&mut stream).await.unwrap_err(),
            Err(error) => error,
        };
        assert_eq!(error.ran, RunStatus::Unknown, "case {number}: {error}");
    }
}

/// Guards against reading a body without a limit, whether or not its length is declared.
#[tokio::test]
async fn a_body_above_the_limit_is_not_read() {
    for head in ["200 OK\r\ncontent-length: 99999999999", "200 OK\r\nconnection: close"] {
        let address = start_server(vec![http_response(head, &" ".repeat((1 << 20) + 1))]).await;
        let error = client_with_short_timeouts().report(address).await.unwrap_err();
        assert_eq!((error.kind, error.ran), (BackendErrorKind::TooLarge, RunStatus::Unknown));
    }
}

/// Guards against accepting a report with wrong or missing fields.
#[tokio::test]
async fn an_invalid_report_is_malformed() {
    for body in ["", "[]", "{\"boot_id\":1}", "{\"boot_id\":\"b\"}", &"[".repeat(10_000)] {
        let address = start_server(vec![http_response(
            &format!("200 OK\r\ncontent-length: {}", body.len()),
            body,
        )])
        .await;
        let error = client_with_short_timeouts().report(address).await.unwrap_err();
        assert_eq!(error.kind, BackendErrorKind::Malformed);
    }
}

/// Guards against repeated tokens that fill the buffer for out-of-order tokens.
#[tokio::test]
async fn repeated_tokens_are_dropped() {
    let mut events: Vec<String> = (0..100).chain(0..100).map(token_event).collect();
    events.extend([token_event(100), end_event(101)]);
    let address = start_server(vec![event_stream_response(&events)]).await;
    let client = client_with_short_timeouts();
    let mut stream = client.complete(address, request("r-1", 101)).await.unwrap();
    assert_eq!(
        read_all(&mut stream).await.unwrap(),
        (0..=100).map(|n| n.to_string()).collect::<String>()
    );
    assert!(client.take_retries().is_empty());
}

/// Guards against a stream with more tokens than requested, and against a token count above the
/// requested maximum.
#[tokio::test]
async fn more_tokens_than_requested_are_malformed() {
    for events in [
        vec![token_event(0), token_event(1), token_event(2), end_event(2)],
        vec![token_event(0), token_event(1), end_event(3)],
    ] {
        let address = start_server(vec![event_stream_response(&events)]).await;
        let mut stream =
            client_with_short_timeouts().complete(address, request("r-1", 2)).await.unwrap();
        let error = read_all(&mut stream).await.unwrap_err();
        assert_eq!((error.kind, error.ran), (BackendErrorKind::Malformed, RunStatus::Unknown));
        assert_eq!(stream.next_index(), 2, "no token above the limit is delivered");
    }
}

/// Guards against applying the "not run" of a refused resume to the original request.
#[tokio::test]
async fn a_refused_resume_does_not_report_a_started_request_as_not_run() {
    let body = r#"{"error":{"code":"unknown_stream","message":"r-1"}}"#;
    let head = format!("404 Not Found\r\nx-not-run: true\r\ncontent-length: {}", body.len());
    let address =
        start_server(vec![event_stream_response(&[token_event(0)]), http_response(&head, body)])
            .await;
    let mut stream =
        client_with_short_timeouts().complete(address, request("r-1", 5)).await.unwrap();
    let error = read_all(&mut stream).await.unwrap_err();
    assert_eq!((error.kind, error.ran), (BackendErrorKind::StreamLost, RunStatus::Unknown));
}

/// Guards against reusing a connection on which bytes followed the last event.
#[tokio::test]
async fn a_connection_with_bytes_after_the_end_is_not_reused() {
    let address =
        start_server(vec![event_stream_response(&[token_event(0), end_event(1), token_event(0)])])
            .await;
    let client = client_with_short_timeouts();
    for id in ["r-1", "r-2", "r-3"] {
        let mut stream = client.complete(address, request(id, 5)).await.unwrap();
        assert_eq!(read_all(&mut stream).await.unwrap(), "0");
        // Lets the task run that would return the connection to the pool.
        tokio::task::yield_now().await;
    }
    assert!(client.take_retries().is_empty());
}

/// Guards against leaked tasks and sockets when a peer sends part of a response and stops reading.
#[tokio::test]
async fn a_call_to_a_peer_that_stops_reading_leaves_no_task() {
    // More than the kernel buffers for one connection.
    const SIZE_BYTES: usize = 32 << 20;
    let socket = TcpSocket::new_v4().unwrap();
    socket.set_recv_buffer_size(4096).unwrap();
    socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
    let listener = socket.listen(16).unwrap();
    let address = listener.local_addr().unwrap();
    let call =
        ServiceRequest::new(hyper::Method::POST, "/").body(vec![0; SIZE_BYTES]).timeout_ms(300);
    let client =
        BackendClient::new(BackendSettings { body_limit_bytes: SIZE_BYTES, ..short_timeouts() });
    let (result, server_socket) = tokio::join!(client.call_service(address, call), async {
        let (mut socket, _) = listener.accept().await.unwrap();
        socket.write_all(&http_response("200 OK\r\ncontent-length: 9", "half")).await.unwrap();
        socket
    });
    let error = result.unwrap_err();
    assert_eq!((error.kind, error.ran), (BackendErrorKind::Unresponsive, RunStatus::Unknown));
    for _ in 0..10 {
        tokio::task::yield_now().await;
    }
    assert_eq!(tokio::runtime::Handle::current().metrics().num_alive_tasks(), 0);
    drop(server_socket);
}
