//! Calls between instances over loopback, and the failures of their connections.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use redwinglatch_core::{Incarnation, InstanceId};
use redwinglatch_instances::{
    Incoming, SharedSecret, Transport, TransportErrorKind, TransportEvent, TransportSettings,
};
use tokio::io::AsyncReadExt;
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::time::Instant;

const CALL_LIMIT: Duration = Duration::from_secs(20);

struct Node {
    transport: Transport<String>,
    incoming: mpsc::Receiver<Incoming<String>>,
    refused: Arc<AtomicUsize>,
    secret: SharedSecret,
    sent_bytes: Arc<AtomicUsize>,
    received_bytes: Arc<AtomicUsize>,
    address: SocketAddr,
}

async fn start(instance: u32, peer: Option<(u32, SocketAddr)>, secret: &str) -> Node {
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
    Node { transport, incoming, refused, secret, sent_bytes, received_bytes, address }
}

#[tokio::test]
async fn a_call_is_answered_with_the_sender_known() {
    let mut server = start(1, None, "secret").await;
    let client = start(2, Some((1, server.address)), "secret").await;
    let call = tokio::spawn(async move {
        client.transport.call(InstanceId(1), "ping".to_owned(), CALL_LIMIT).await
    });
    let incoming = server.incoming.recv().await.unwrap();
    assert_eq!((incoming.from, incoming.message.as_str()), (InstanceId(2), "ping"));
    incoming.reply.unwrap().send("pong".to_owned()).unwrap();
    assert_eq!(call.await.unwrap().unwrap(), "pong");
}

/// Guards against bytes that are left out of the control traffic or counted twice.
#[tokio::test]
async fn both_sides_count_the_same_bytes() {
    let mut server = start(1, None, "secret").await;
    let client = start(2, Some((1, server.address)), "secret").await;
    let call = tokio::spawn({
        let transport = client.transport.clone();
        async move { transport.call(InstanceId(1), "x".repeat(5_000), CALL_LIMIT).await }
    });
    server.incoming.recv().await.unwrap().reply.unwrap().send("y".repeat(3_000)).unwrap();
    call.await.unwrap().unwrap();
    let read = |counter: &AtomicUsize| counter.load(Ordering::Relaxed);
    // Both have read what the call needs; a ping may be under way, so an exact moment is awaited.
    let deadline = Instant::now() + CALL_LIMIT;
    while read(&client.sent_bytes) != read(&server.received_bytes)
        || read(&server.sent_bytes) != read(&client.received_bytes)
    {
        assert!(Instant::now() < deadline, "the counts differ");
        tokio::task::yield_now().await;
    }
    // A message, its header and envelope, and a handshake of less than 200 bytes.
    let sent = read(&client.sent_bytes);
    assert!((5_008..5_300).contains(&sent), "{sent}");
    assert!((3_008..3_300).contains(&read(&client.received_bytes)));
}

#[tokio::test]
async fn another_secret_is_refused_and_counted() {
    let mut server = start(1, None, "secret").await;
    let client = start(2, Some((1, server.address)), "other").await;
    let error = client
        .transport
        .call(InstanceId(1), "ping".to_owned(), CALL_LIMIT)
        .await
        .expect_err("the secrets differ");
    assert_eq!(error.kind, TransportErrorKind::NotConnected);
    assert_eq!(server.refused.load(Ordering::Relaxed), 1);
    assert!(server.incoming.try_recv().is_err());
}

/// Guards against a replacement of the secret that needs all instances to restart at once.
#[tokio::test]
async fn a_secret_is_replaced_step_by_step_without_a_restart() {
    let mut server = start(1, None, "old").await;
    let client = start(2, Some((1, server.address)), "new").await;
    let call = || client.transport.call(InstanceId(1), "ping".to_owned(), CALL_LIMIT);
    assert_eq!(call().await.unwrap_err().kind, TransportErrorKind::NotConnected);
    server.secret.replace([b"old".as_slice().into(), b"new".as_slice().into()]);
    // Attempts right after a failed one fail at once.
    tokio::time::sleep(Duration::from_millis(150)).await;
    let (answer, ()) = tokio::join!(call(), async {
        server.incoming.recv().await.unwrap().reply.unwrap().send("pong".to_owned()).unwrap();
    });
    assert_eq!(answer.unwrap(), "pong");
}

/// Guards against a silence limit that each ping restarts: the connection stayed open for good.
#[tokio::test]
async fn a_connection_that_goes_silent_is_closed_within_the_bound() {
    let mut server = start(1, None, "secret").await;
    let proxy = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let client = start(2, Some((1, proxy.local_addr().unwrap())), "secret").await;
    let upstream_address = server.address;
    // Forwards until the first call went through, then keeps both sides open without a byte.
    let (freeze, mut frozen) = tokio::sync::watch::channel(false);
    tokio::spawn(async move {
        let (mut downstream, _) = proxy.accept().await.unwrap();
        let mut upstream = tokio::net::TcpStream::connect(upstream_address).await.unwrap();
        tokio::select! {
            _ = tokio::io::copy_bidirectional(&mut downstream, &mut upstream) => {}
            _ = frozen.changed() => {}
        }
        // Reads on, so that writes of the client still succeed.
        let mut discard = [0; 1024];
        while downstream.read(&mut discard).await.is_ok_and(|read| 0 < read) {}
        drop(upstream);
    });
    let first = client.transport.clone();
    let first =
        tokio::spawn(async move { first.call(InstanceId(1), "one".to_owned(), CALL_LIMIT).await });
    server.incoming.recv().await.unwrap().reply.unwrap().send("ok".to_owned()).unwrap();
    first.await.unwrap().unwrap();
    freeze.send(true).unwrap();
    let asked_at = Instant::now();
    let error = client
        .transport
        .call(InstanceId(1), "two".to_owned(), CALL_LIMIT)
        .await
        .expect_err("nothing comes through any more");
    assert_eq!(error.kind, TransportErrorKind::ConnectionLost);
    assert!(asked_at.elapsed() < Duration::from_secs(4), "found after {:?}", asked_at.elapsed());
}
