//! Calls between instances over loopback, and the failures of their connections.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use redwinglatch_core::{Incarnation, InstanceId};
use redwinglatch_instances::{
    IncomingMessage, SharedSecret, Transport, TransportErrorKind, TransportEvent, TransportSettings,
};
use tokio::io::AsyncReadExt;
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::time::Instant;

const CALL_TIMEOUT: Duration = Duration::from_secs(20);

struct TestInstance {
    transport: Transport<String>,
    incoming: mpsc::Receiver<IncomingMessage<String>>,
    refused: Arc<AtomicUsize>,
    secret: SharedSecret,
    sent_bytes: Arc<AtomicUsize>,
    received_bytes: Arc<AtomicUsize>,
    address: SocketAddr,
}

async fn start_instance(
    instance: u32,
    peer: Option<(u32, SocketAddr)>,
    secret: &str,
) -> TestInstance {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let (sender, incoming) = mpsc::channel(16);
    let refused = Arc::new(AtomicUsize::new(0));
    let (sent_bytes, received_bytes) = (Arc::default(), Arc::default());
    let counters: [Arc<AtomicUsize>; 3] =
        [refused.clone(), Arc::clone(&sent_bytes), Arc::clone(&received_bytes)];
    let secret = SharedSecret::new(secret.as_bytes());
    let settings = TransportSettings {
        instance: InstanceId(instance),
        incarnation: Incarnation(7),
        addresses: peer
            .map(|(instance, address)| (InstanceId(instance), address))
            .into_iter()
            .collect::<HashMap<_, _>>(),
        secret: secret.clone(),
        max_connections: 8,
    };
    let transport = Transport::start_with_events(settings, listener, sender, move |event| {
        let (counter, amount) = match event {
            TransportEvent::Refused(_) => (&counters[0], 1),
            TransportEvent::Sent(bytes) => (&counters[1], bytes),
            TransportEvent::Received(bytes) => (&counters[2], bytes),
        };
        counter.fetch_add(amount, Ordering::Relaxed);
    });
    TestInstance { transport, incoming, refused, secret, sent_bytes, received_bytes, address }
}

#[tokio::test]
async fn a_call_receives_its_reply_and_identifies_its_sender() {
    let mut server = start_instance(1, None, "secret").await;
    let client = start_instance(2, Some((1, server.address)), "secret").await;
    let call = tokio::spawn(async move {
        client.transport.call(InstanceId(1), "ping".to_owned(), CALL_TIMEOUT).await
    });
    let incoming = server.incoming.recv().await.unwrap();
    assert_eq!((incoming.from, incoming.message.as_str()), (InstanceId(2), "ping"));
    incoming.reply.unwrap().send("pong".to_owned()).unwrap();
    assert_eq!(call.await.unwrap().unwrap(), "pong");
}

/// Guards against counting bytes of the control traffic twice or not at all.
#[tokio::test]
async fn both_sides_count_the_same_bytes() {
    let mut server = start_instance(1, None, "secret").await;
    let client = start_instance(2, Some((1, server.address)), "secret").await;
    let call = tokio::spawn({
        let transport = client.transport.clone();
        async move { transport.call(InstanceId(1), "x".repeat(5_000), CALL_TIMEOUT).await }
    });
    server.incoming.recv().await.unwrap().reply.unwrap().send("y".repeat(3_000)).unwrap();
    call.await.unwrap().unwrap();
    let read = |counter: &AtomicUsize| counter.load(Ordering::Relaxed);
    // Both sides have read the call and its reply, but a ping may be in flight; waits until the
    // counts are equal.
    let deadline = Instant::now() + CALL_TIMEOUT;
    while read(&client.sent_bytes) != read(&server.received_bytes)
        || read(&server.sent_bytes) != read(&client.received_bytes)
    {
        assert!(Instant::now() < deadline, "the byte counts of the two sides differ");
        tokio::task::yield_now().await;
    }
    // A message with its header and envelope, and a handshake of less than 200 bytes.
    let sent = read(&client.sent_bytes);
    assert!((5_008..5_300).contains(&sent), "{sent}");
    assert!((3_008..3_300).contains(&read(&client.received_bytes)));
}

#[tokio::test]
async fn a_connection_with_another_secret_is_refused_and_counted() {
    let mut server = start_instance(1, None, "secret").await;
    let client = start_instance(2, Some((1, server.address)), "other").await;
    let error = client
        .transport
        .call(InstanceId(1), "ping".to_owned(), CALL_TIMEOUT)
        .await
        .expect_err("the secrets differ");
    assert_eq!(error.kind, TransportErrorKind::NotConnected);
    assert_eq!(server.refused.load(Ordering::Relaxed), 1);
    assert!(server.incoming.try_recv().is_err());
}

/// Guards against a secret rotation that requires a simultaneous restart of all instances.
#[tokio::test]
async fn a_secret_is_rotated_without_a_restart() {
    let mut server = start_instance(1, None, "old").await;
    let client = start_instance(2, Some((1, server.address)), "new").await;
    let call = || client.transport.call(InstanceId(1), "ping".to_owned(), CALL_TIMEOUT);
    assert_eq!(call().await.unwrap_err().kind, TransportErrorKind::NotConnected);
    server.secret.replace([b"old".as_slice().into(), b"new".as_slice().into()]);
    // Calls fail immediately during the reconnect delay after a failed connection attempt.
    tokio::time::sleep(Duration::from_millis(150)).await;
    let (reply, ()) = tokio::join!(call(), async {
        server.incoming.recv().await.unwrap().reply.unwrap().send("pong".to_owned()).unwrap();
    });
    assert_eq!(reply.unwrap(), "pong");
}

/// Guards against a read timeout that each ping restarts, which left a stalled connection open for
/// ever.
#[tokio::test]
async fn a_stalled_connection_is_closed_within_the_read_timeout() {
    let mut server = start_instance(1, None, "secret").await;
    let proxy = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let client = start_instance(2, Some((1, proxy.local_addr().unwrap())), "secret").await;
    let upstream_address = server.address;
    // Forwards until the first call is complete, then keeps both sides open without sending a byte.
    let (stall_sender, mut stall_receiver) = tokio::sync::watch::channel(false);
    tokio::spawn(async move {
        let (mut downstream, _) = proxy.accept().await.unwrap();
        let mut upstream = tokio::net::TcpStream::connect(upstream_address).await.unwrap();
        tokio::select! {
            _ = tokio::io::copy_bidirectional(&mut downstream, &mut upstream) => {}
            _ = stall_receiver.changed() => {}
        }
        // Continues to read, so that writes of the client still succeed.
        let mut discard = [0; 1024];
        while downstream.read(&mut discard).await.is_ok_and(|read| 0 < read) {}
        drop(upstream);
    });
    let first = client.transport.clone();
    let first =
        tokio::spawn(
            async move { first.call(InstanceId(1), "one".to_owned(), CALL_TIMEOUT).await },
        );
    server.incoming.recv().await.unwrap().reply.unwrap().send("ok".to_owned()).unwrap();
    first.await.unwrap().unwrap();
    stall_sender.send(true).unwrap();
    let called_at = Instant::now();
    let error = client
        .transport
        .call(InstanceId(1), "two".to_owned(), CALL_TIMEOUT)
        .await
        .expect_err("the proxy forwards nothing any more");
    assert_eq!(error.kind, TransportErrorKind::ConnectionLost);
    assert!(
        called_at.elapsed() < Duration::from_secs(4),
        "detected after {:?}",
        called_at.elapsed()
    );
}
