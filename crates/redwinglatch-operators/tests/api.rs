//! Tests of the operators' HTTP server and client over loopback.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use redwinglatch_core::{
    AdapterRule, Contract, InstanceId, Refusal, RefusalReason, Revision, RunStatus,
};
use redwinglatch_metrics::{Counter, Metrics};
use redwinglatch_operators::{
    ChangeDocument, ClientError, ClientErrorKind, ConflictDocument, ContractDocument,
    ContractListDocument, OperatorCall, OperatorClient, OperatorLimits, OperatorReply,
    OperatorRequest, OperatorServer, SecretFile, StopDocument,
};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::mpsc;

const SECRET: &str = "correct-horse-battery";

fn contract(customer: &str) -> Contract {
    let adapter = AdapterRule { adapter: "scope-*".into(), min_version: 1, max_version: 3 };
    Contract {
        customer: customer.into(),
        adapters: vec![adapter],
        services: vec!["dispatch-desk".into()],
        request_rate_per_s: 20,
        concurrent_requests: 40,
        token_rate_per_s: 4_000,
        load_share_permille: 250,
        default_priority: 4,
        max_priority: 7,
        default_deadline_ms: 30_000,
        max_deadline_ms: 120_000,
    }
}

/// A secret file with a unique name that is removed on drop.
struct TemporarySecret(PathBuf);

impl TemporarySecret {
    fn new(text: &str) -> TemporarySecret {
        static COUNT: AtomicU32 = AtomicU32::new(0);
        let number = COUNT.fetch_add(1, Ordering::Relaxed);
        let name = format!("secret-{}-{number}", std::process::id());
        let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
        std::fs::write(&path, text).expect("the folder for temporary files is writable");
        TemporarySecret(path)
    }
}

impl Drop for TemporarySecret {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.0);
    }
}

struct TestServer {
    address: SocketAddr,
    calls: mpsc::Receiver<OperatorCall>,
    metrics: Arc<Metrics>,
    secret: TemporarySecret,
}

async fn start(limits: OperatorLimits) -> TestServer {
    let secret = TemporarySecret::new(SECRET);
    let file = Arc::new(SecretFile::open(&secret.0).expect("the file holds a secret"));
    let (sender, calls) = mpsc::channel(8);
    let metrics = Arc::new(Metrics::new());
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("loopback has a free port");
    let address = listener.local_addr().expect("the listener has an address");
    let server = OperatorServer::new(file, sender, Arc::clone(&metrics)).limits(limits);
    tokio::spawn(server.serve(listener, std::future::pending()));
    TestServer { address, calls, metrics, secret }
}

/// Replies to every call with the result of `reply_to`, until the server is dropped.
fn spawn_replies(
    mut calls: mpsc::Receiver<OperatorCall>,
    reply_to: impl Fn(OperatorRequest) -> OperatorReply + Send + 'static,
) {
    tokio::spawn(async move {
        while let Some(call) = calls.recv().await {
            let _ = call.reply.send(reply_to(call.request));
        }
    });
}

/// Sends `text` unchanged; returns whether all of it was written, and the whole response.
async fn send(address: SocketAddr, text: &str) -> (bool, String) {
    // A small buffer, so that the kernel does not accept bytes that the server never reads.
    let socket = TcpSocket::new_v4().expect("a socket");
    socket.set_send_buffer_size(4_096).expect("a socket");
    let mut stream = socket.connect(address).await.expect("the server listens");
    let is_sent = stream.write_all(text.as_bytes()).await.is_ok();
    let mut response = Vec::new();
    let _ = stream.read_to_end(&mut response).await;
    (is_sent, String::from_utf8(response).expect("the response is text"))
}

async fn exchange(address: SocketAddr, text: impl Into<String>) -> String {
    let (is_sent, response) = send(address, &text.into()).await;
    assert!(is_sent, "the server closed the connection before it had read the request");
    response
}

fn put(headers: &str, body: &str) -> String {
    let length = body.len();
    format!(
        "PUT /v1/contracts/north HTTP/1.1\r\nhost: a\r\ncontent-length: {length}\r\n{headers}\r\n\
         {body}"
    )
}

fn change_headers() -> String {
    format!(
        "authorization: Bearer {SECRET}\r\nx-redwinglatch-change-id: c1\r\n\
         x-redwinglatch-expected-revision: 0\r\n"
    )
}

/// Guards against a path that is served without the secret, and against a refusal that is not
/// counted.
#[tokio::test]
async fn unauthenticated_requests_are_refused_and_counted() {
    let mut server = start(OperatorLimits::default()).await;
    let paths = ["/v1/contracts", "/v1/contracts/north", "/v1/status", "/v1/instances", "/metrics"];
    for path in paths {
        let request = format!("GET {path} HTTP/1.1\r\nhost: a\r\n\r\n");
        let response = exchange(server.address, request).await;
        assert!(response.starts_with("HTTP/1.1 401 "), "{path}: {response}");
        assert!(response.contains("www-authenticate: Bearer"), "{response}");
    }
    for secret in ["Bearer", "Bearer ", "Bearer correct-horse-batterz", "Basic Og==", SECRET] {
        let response = exchange(server.address, put(&format!("authorization: {secret}\r\n"), "{}"));
        assert!(response.await.starts_with("HTTP/1.1 401 "), "{secret}");
    }
    let prefix = OperatorClient::new([server.address], &SECRET[..20]);
    let error = prefix.status().await.expect_err("a part of the secret is not the secret");
    assert!(matches!(error.kind, ClientErrorKind::Refused { status: 401, .. }), "{error}");
    assert_eq!(server.metrics.refusals(RefusalReason::Unauthenticated), 11);
    assert!(server.calls.try_recv().is_err());
}

/// Guards against a secret that can be replaced only by a restart, against a broken file that locks
/// operators out, and against a secret that appears in debug output.
#[tokio::test]
async fn secret_is_replaced_without_restart() {
    let secret = TemporarySecret::new(SECRET);
    let file = SecretFile::open(&secret.0).expect("the file holds a secret");
    assert!(file.matches(SECRET.as_bytes()));
    std::fs::write(&secret.0, format!("{SECRET}\nanother-secret-0123\n")).expect("writable");
    assert!(file.reload().expect("two secrets"));
    assert!(file.matches(SECRET.as_bytes()) && file.matches(b"another-secret-0123"));
    std::fs::write(&secret.0, "another-secret-0123\n").expect("writable");
    assert!(file.reload().expect("one secret"));
    assert!(!file.matches(SECRET.as_bytes()));
    for broken in ["", "\n", "too short", "with spaces in between it"] {
        std::fs::write(&secret.0, broken).expect("writable");
        assert!(file.reload().is_err(), "{broken:?}");
        assert!(file.matches(b"another-secret-0123"), "{broken:?}");
    }
    assert!(!file.matches(b"") && !file.matches(&[b'a'; 1_000]));
    let shown = format!("{file:?} {:?}", OperatorClient::new([], "another-secret-0123"));
    assert!(!shown.contains("another-secret"), "{shown}");
}

/// Fails a test that would wait forever.
async fn within<T>(future: impl Future<Output = T>) -> T {
    tokio::time::timeout(Duration::from_secs(60), future).await.expect("no result within 60 s")
}

/// Advances the clock while every task is waiting. The clock is paused only for this moment,
/// because a paused clock would jump to the next timeout while bytes are still in transit.
async fn advance(duration: Duration) {
    tokio::time::pause();
    tokio::time::advance(duration).await;
    for _ in 0..100 {
        tokio::task::yield_now().await;
    }
    tokio::time::resume();
}

/// Guards against a server that ignores changes of its secret file after the start.
#[tokio::test]
async fn server_watches_its_secret_file() {
    let server = start(OperatorLimits::default()).await;
    let request = |secret| {
        format!("GET /metrics HTTP/1.1\r\nhost: a\r\nauthorization: Bearer {secret}\r\n\r\n")
    };
    let response = exchange(server.address, request(SECRET)).await;
    assert!(response.starts_with("HTTP/1.1 200 "), "{response}");
    std::fs::write(&server.secret.0, "another-secret-0123").expect("writable");
    advance(Duration::from_secs(2)).await;
    assert_eq!(server.metrics.counter(Counter::SecretsReplaced), 1);
    let response = exchange(server.address, request(SECRET)).await;
    assert!(response.starts_with("HTTP/1.1 401 "), "{response}");
    let response = exchange(server.address, request("another-secret-0123")).await;
    assert!(response.starts_with("HTTP/1.1 200 "), "{response}");
    assert!(response.contains("redwinglatch_refusals_total{reason=\"unauthenticated\"} 1\n"));
}

/// Guards against a conflict without the current contract and its revision.
#[tokio::test]
async fn conflict_carries_the_current_contract() {
    let server = start(OperatorLimits::default()).await;
    let current = contract("Příručka/Brno");
    let conflict =
        ConflictDocument { current_revision: Revision(9), current: Some(current.clone()) };
    let reply = OperatorReply::Conflict(conflict.clone());
    spawn_replies(server.calls, move |_| reply.clone());
    let client = OperatorClient::new([server.address], SECRET);
    let error = client.apply_contract("c1", Revision(8), &current).await.expect_err("a conflict");
    assert_eq!(error, ClientError::from(ClientErrorKind::Conflict(conflict)));
    assert_eq!(error.run_status(), RunStatus::NotRun);
    assert_eq!(server.metrics.refusals(RefusalReason::RevisionConflict), 1);
}

/// Guards against a body that is read without a limit, and against a refusal that does not arrive.
#[tokio::test]
async fn oversized_bodies_and_headers_are_refused() {
    let limits = OperatorLimits { max_body_bytes: 1_000, ..OperatorLimits::default() };
    let mut server = start(limits).await;
    for size_bytes in [1_001, 400_000] {
        let response = exchange(server.address, put(&change_headers(), &"a".repeat(size_bytes)));
        let response = response.await;
        assert!(response.starts_with("HTTP/1.1 413 "), "{size_bytes}: {response}");
        assert!(response.contains("the body exceeds 1000 bytes"), "{response}");
    }
    let chunked = format!(
        "PUT /v1/contracts/north HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n{}\r\n\
         7d0\r\n{}\r\n0\r\n\r\n",
        change_headers(),
        "a".repeat(2_000)
    );
    assert!(exchange(server.address, chunked).await.starts_with("HTTP/1.1 413 "));
    let large_header = put(&format!("a: {}\r\n", "b".repeat(17_000)), "{}");
    let (_, response) = send(server.address, &large_header).await;
    assert!(response.starts_with("HTTP/1.1 431 "), "{response}");
    let mut large = contract("north");
    large.adapters = vec![large.adapters[0].clone(); 50_000];
    let client = OperatorClient::new([server.address], SECRET).rounds(1);
    let error = client.apply_contract("c1", Revision(0), &large).await.expect_err("too large");
    assert!(matches!(error.kind, ClientErrorKind::Refused { status: 413, .. }), "{error}");
    assert_eq!(server.metrics.refusals(RefusalReason::TooLarge), 5);
    assert!(server.calls.try_recv().is_err());
}

/// Guards against malformed requests that reach the daemon or get another status than 400 or 404.
#[tokio::test]
async fn malformed_requests_are_refused() {
    let mut server = start(OperatorLimits::default()).await;
    let other = serde_json::to_string(&contract("south")).expect("a contract is JSON");
    let without_id = change_headers().replace("x-redwinglatch-change-id: c1\r\n", "");
    let bad_revision = change_headers().replace("revision: 0", "revision: first");
    let long_id = change_headers().replace("c1", &"c".repeat(129));
    let cases = [
        (put(&change_headers(), "{"), "400", "the body is not a contract"),
        (put(&change_headers(), "\u{0}\u{1}"), "400", "the body is not a contract"),
        (put(&change_headers(), "{\"customer\":\"north\"}"), "400", "missing field"),
        (put(&change_headers(), &other), "400", "the path names the customer"),
        (put(&without_id, "{}"), "400", "x-redwinglatch-change-id"),
        (put(&long_id, "{}"), "400", "x-redwinglatch-change-id"),
        (put(&bad_revision, "{}"), "400", "x-redwinglatch-expected-revision"),
        (put(&change_headers(), "{}").replace("/north", "/%zz"), "400", "not a customer's name"),
        (put(&change_headers(), "{}").replace("/north", "/"), "400", "not a customer's name"),
        (put(&change_headers(), "{}").replace("PUT", "PATCH"), "404", "no such path"),
        (put(&change_headers(), "{}").replace("/v1/", "/v2/"), "404", "no such path"),
    ];
    for (request, status, detail) in cases {
        let response = exchange(server.address, request.clone()).await;
        assert!(response.starts_with(&format!("HTTP/1.1 {status} ")), "{request}\n{response}");
        assert!(response.contains(detail), "{request}\n{response}");
        assert!(response.contains("\"ran\":\"not_run\""), "{response}");
    }
    assert_eq!(server.metrics.refusals(RefusalReason::MalformedRequest), 9);
    assert_eq!(server.metrics.refusals(RefusalReason::NotFound), 2);
    assert!(server.calls.try_recv().is_err());
}

/// Guards against a change that is sent under a second id after its response is lost, which would
/// apply it twice.
#[tokio::test]
async fn change_is_retried_under_the_same_id_after_a_lost_response() {
    let broken = TcpListener::bind("127.0.0.1:0").await.expect("loopback has a free port");
    let broken_address = broken.local_addr().expect("an address");
    let mut first = start(OperatorLimits::default()).await;
    let mut second = start(OperatorLimits::default()).await;
    let client = OperatorClient::new([broken_address, first.address, second.address], SECRET);
    let change = tokio::spawn(async move {
        client.apply_contract("change-7", Revision(0), &contract("north")).await
    });
    // One instance ends after it has read the request, without a response.
    let (mut stream, _) = broken.accept().await.expect("the client connects");
    let mut received = Vec::new();
    while !received.ends_with(b"}") {
        let count = stream.read_buf(&mut received).await.expect("the client sends its request");
        assert_ne!(count, 0, "the client ended early");
    }
    let received = String::from_utf8(received).expect("the request is text");
    assert!(received.contains("x-redwinglatch-change-id: change-7\r\n"), "{received}");
    drop(stream);
    // Another one commits the change and drops the request without a reply.
    let expected = OperatorRequest::ApplyContract {
        change_id: "change-7".into(),
        expected_revision: Revision(0),
        contract: contract("north"),
    };
    let call = within(first.calls.recv()).await.expect("the first instance receives the request");
    assert_eq!(call.request, expected);
    drop(call);
    let call = within(second.calls.recv()).await.expect("the second instance receives the request");
    assert_eq!(call.request, expected);
    let document = ChangeDocument {
        customer: "north".into(),
        change_id: "change-7".into(),
        revision: Revision(4),
        is_in_force: false,
    };
    call.reply.send(OperatorReply::Change(document.clone())).expect("the server waits");
    assert_eq!(change.await.expect("the client ends"), Ok(document));
}

/// Guards against a client that reports a request as not run when the instance received it and
/// did not respond, and against a client that retries forever.
#[tokio::test]
async fn unreachable_and_unresponsive_instances_are_distinguished() {
    // Bound but not listening: the kernel refuses connections, and no other process gets the port.
    let closed = TcpSocket::new_v4().expect("a socket");
    closed.bind("127.0.0.1:0".parse().expect("an address")).expect("loopback has a free port");
    let closed_address = closed.local_addr().expect("an address");
    let client = OperatorClient::new([closed_address, closed_address], SECRET).rounds(1);
    let error = client
        .remove_contract("c", Revision(1), "north")
        .await
        .expect_err("connections are refused");
    assert_eq!(error.run_status(), RunStatus::NotRun);
    let ClientErrorKind::NoResponse { attempts } = &error.kind else { panic!("{error}") };
    assert_eq!(attempts.len(), 2);

    let unresponsive = TcpListener::bind("127.0.0.1:0").await.expect("loopback has a free port");
    let address = unresponsive.local_addr().expect("an address");
    let client = OperatorClient::new([address], SECRET).rounds(1);
    let removal =
        tokio::spawn(async move { client.remove_contract("c", Revision(1), "north").await });
    let (mut stream, _) = unresponsive.accept().await.expect("the client connects");
    stream.read_u8().await.expect("the client sends its request");
    advance(Duration::from_secs(20)).await;
    let error = removal.await.expect("the client ends").expect_err("no response");
    assert_eq!(error.run_status(), RunStatus::Unknown);
    assert!(error.remedy().contains("the same change id"));
}

/// Guards against a response with the wrong status, and against a daemon that never replies.
#[tokio::test]
async fn replies_have_the_documented_status() {
    let limits = OperatorLimits { response_timeout_ms: 500, ..OperatorLimits::default() };
    let mut server = start(limits).await;
    let change = |is_in_force| {
        OperatorReply::Change(ChangeDocument {
            customer: "north".into(),
            change_id: "c1".into(),
            revision: Revision(4),
            is_in_force,
        })
    };
    let refused = |reason| OperatorReply::Refused(Refusal::not_run(reason, "why"));
    let stop = StopDocument { instance: InstanceId(3), requests_in_flight: Some(2) };
    let cases = [
        (Some(change(true)), "200"),
        (Some(change(false)), "202"),
        (Some(OperatorReply::Stopping(stop)), "202"),
        (Some(refused(RefusalReason::InvalidChange)), "400"),
        (Some(refused(RefusalReason::UnknownCustomer)), "404"),
        (Some(refused(RefusalReason::KeyReused)), "409"),
        (Some(refused(RefusalReason::NotCurrent)), "503"),
        (None, "503"),
    ];
    let request = format!(
        "POST /v1/instances/3/stop HTTP/1.1\r\nhost: a\r\nauthorization: Bearer {SECRET}\r\n\r\n"
    );
    for (reply, status) in cases {
        let (address, request) = (server.address, request.clone());
        let response = tokio::spawn(exchange(address, request));
        let call = server.calls.recv().await.expect("the request arrives");
        assert_eq!(call.request, OperatorRequest::StopInstance { instance: InstanceId(3) });
        let is_reply_delayed = reply.is_none();
        let delayed_reply = match reply {
            Some(reply) => call
                .reply
                .send(reply)
                .is_err()
                .then(|| panic!("the server has dropped the receiver")),
            None => {
                advance(Duration::from_millis(500)).await;
                Some(call.reply)
            }
        };
        let response = response.await.expect("the exchange ends");
        assert!(response.starts_with(&format!("HTTP/1.1 {status} ")), "{response}");
        if is_reply_delayed {
            assert!(response.contains("\"ran\":\"unknown\""), "{response}");
            assert!(response.contains("retry-after: 1"), "{response}");
        }
        drop(delayed_reply);
    }
}

/// Guards against an unlimited number of connections, and against a connection that sends half a
/// request and then stays open forever.
#[tokio::test]
async fn connections_are_limited_and_unresponsive_ones_are_closed() {
    let limits = OperatorLimits { max_connections: 1, ..OperatorLimits::default() };
    let server = start(limits).await;
    let mut unresponsive = TcpStream::connect(server.address).await.expect("the server listens");
    unresponsive.write_all(b"GET /v1/sta").await.expect("the server reads");
    let mut refused = TcpStream::connect(server.address).await.expect("the kernel accepts");
    let mut response = String::new();
    let _ = refused.read_to_string(&mut response).await;
    assert!(response.starts_with("HTTP/1.1 503 "), "{response}");
    assert_eq!(server.metrics.refusals(RefusalReason::TooManyConnections), 1);

    advance(Duration::from_millis(limits.read_timeout_ms)).await;
    let mut rest = Vec::new();
    let ended =
        tokio::time::timeout(Duration::from_secs(5), unresponsive.read_to_end(&mut rest)).await;
    assert!(ended.is_ok(), "the connection is still open");
    spawn_replies(server.calls, |_| {
        OperatorReply::Refused(Refusal::not_run(RefusalReason::NotCurrent, "no lease"))
    });
    let client = OperatorClient::new([server.address], SECRET).rounds(1);
    let error = client.status().await.expect_err("refused");
    assert!(matches!(error.kind, ClientErrorKind::Refused { status: 503, .. }), "{error}");
}

/// Guards against an operator that stops reading in the middle of a response and keeps the
/// connection open.
#[tokio::test]
async fn connection_of_an_operator_that_does_not_read_is_closed() {
    let mut server = start(OperatorLimits::default()).await;
    let mut stream = TcpStream::connect(server.address).await.expect("the server listens");
    let request =
        format!("GET /v1/contracts HTTP/1.1\r\nhost: a\r\nauthorization: Bearer {SECRET}\r\n\r\n");
    stream.write_all(request.as_bytes()).await.expect("the server reads");
    let call = server.calls.recv().await.expect("the request arrives");
    // Larger than the buffers of both sockets.
    let document = ContractDocument { revision: Revision(1), contract: contract("north") };
    let contracts = vec![document; 100_000];
    let reply = OperatorReply::Contracts(ContractListDocument { contracts });
    call.reply.send(reply).expect("the server waits");
    stream.read_u8().await.expect("the response begins");
    assert_eq!(server.metrics.counter(Counter::SilentConnections), 0);
    advance(Duration::from_secs(45)).await;
    assert_eq!(server.metrics.counter(Counter::SilentConnections), 1);
}
