//! Small calls over UDP, and datagrams that are refused or too large.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use redwinglatch_core::{Incarnation, InstanceId};
use redwinglatch_instances::{
    DATAGRAM_LIMIT_BYTES, DatagramTransport, IncomingMessage, SharedSecret, TransportErrorKind,
    TransportEvent, TransportSettings,
};
use tokio::net::UdpSocket;
use tokio::sync::mpsc;

const CALL_TIMEOUT: Duration = Duration::from_secs(10);

struct TestInstance {
    datagrams: DatagramTransport<String>,
    incoming: mpsc::Receiver<IncomingMessage<String>>,
    refused: Arc<AtomicUsize>,
    address: SocketAddr,
}

async fn start_instance(instance: u32, peer: Option<SocketAddr>, secret: &str) -> TestInstance {
    let socket = UdpSocket::bind("127.0.0.1:0").await.unwrap();
    let address = socket.local_addr().unwrap();
    let (sender, incoming) = mpsc::channel(16);
    let refused = Arc::new(AtomicUsize::new(0));
    let counter = refused.clone();
    let settings = TransportSettings {
        instance: InstanceId(instance),
        incarnation: Incarnation(9),
        addresses: peer.map(|peer| (InstanceId(1), peer)).into_iter().collect::<HashMap<_, _>>(),
        secret: SharedSecret::new(secret.as_bytes()),
        max_connections: 8,
    };
    let datagrams = DatagramTransport::start(&settings, socket, sender, move |event| {
        if matches!(event, TransportEvent::Refused(_)) {
            counter.fetch_add(1, Ordering::Relaxed);
        }
    });
    TestInstance { datagrams, incoming, refused, address }
}

#[tokio::test]
async fn a_small_call_receives_its_reply() {
    let mut server = start_instance(1, None, "secret").await;
    let client = start_instance(2, Some(server.address), "secret").await;
    let call = client.datagrams.call(InstanceId(1), "ping".to_owned(), CALL_TIMEOUT);
    let (reply, ()) = tokio::join!(call, async {
        let incoming = server.incoming.recv().await.unwrap();
        assert_eq!((incoming.from, incoming.message.as_str()), (InstanceId(2), "ping"));
        incoming.reply.unwrap().send("pong".to_owned()).unwrap();
    });
    assert_eq!(reply.unwrap(), "pong");
}

/// Guards against handling unauthenticated datagrams, and against not counting them as refused.
#[tokio::test]
async fn datagrams_with_another_secret_or_random_bytes_are_refused() {
    let mut server = start_instance(1, None, "secret").await;
    let client = start_instance(2, Some(server.address), "other").await;
    let error = client
        .datagrams
        .call(InstanceId(1), "ping".to_owned(), Duration::from_millis(200))
        .await
        .expect_err("the secrets differ");
    assert_eq!(error.kind, TransportErrorKind::TimedOut);
    let unauthenticated_socket = UdpSocket::bind("127.0.0.1:0").await.unwrap();
    let mut rng = fastrand::Rng::with_seed(3);
    for size in [0, 1, 31, 32, 33, 500, DATAGRAM_LIMIT_BYTES] {
        let random_bytes: Vec<u8> = (0..size).map(|_| rng.u8(..)).collect();
        unauthenticated_socket.send_to(&random_bytes, server.address).await.unwrap();
    }
    while server.refused.load(Ordering::Relaxed) < 8 {
        tokio::task::yield_now().await;
    }
    assert!(server.incoming.try_recv().is_err());
}

/// Guards against a caller that waits until its timeout for a reply that is too large to send.
#[tokio::test]
async fn a_reply_that_is_too_large_is_reported_immediately() {
    let mut server = start_instance(1, None, "secret").await;
    let client = start_instance(2, Some(server.address), "secret").await;
    let call = client.datagrams.call(InstanceId(1), "ping".to_owned(), CALL_TIMEOUT);
    let (reply, ()) = tokio::join!(call, async {
        let incoming = server.incoming.recv().await.unwrap();
        incoming.reply.unwrap().send("x".repeat(DATAGRAM_LIMIT_BYTES)).unwrap();
    });
    assert_eq!(reply.unwrap_err().kind, TransportErrorKind::TooLarge);
    let large = "x".repeat(DATAGRAM_LIMIT_BYTES);
    let error = client.datagrams.call(InstanceId(1), large, CALL_TIMEOUT).await.unwrap_err();
    assert_eq!(error.kind, TransportErrorKind::TooLarge);
}
