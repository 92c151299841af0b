//! Small calls over UDP, and datagrams that are refused or too large.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use redwinglatch_core::{Incarnation, InstanceId};
use redwinglatch_instances::{
    DATAGRAM_LIMIT_BYTES, Datagrams, Incoming, SharedSecret, TransportErrorKind, TransportSettings,
};
use tokio::net::UdpSocket;
use tokio::sync::mpsc;

const LIMIT: Duration = Duration::from_secs(10);

struct Node {
    datagrams: Datagrams<String>,
    incoming: mpsc::Receiver<Incoming<String>>,
    refused: Arc<AtomicUsize>,
    address: SocketAddr,
}

async fn start(instance: u32, peer: Option<SocketAddr>, secret: &str) -> Node {
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
    let datagrams = Datagrams::start(&settings, socket, sender, move |_| {
        counter.fetch_add(1, Ordering::Relaxed);
    });
    Node { datagrams, incoming, refused, address }
}

#[tokio::test]
async fn a_small_call_is_answered() {
    let mut server = start(1, None, "secret").await;
    let client = start(2, Some(server.address), "secret").await;
    let call = client.datagrams.call(InstanceId(1), "ping".to_owned(), LIMIT);
    let (answer, ()) = tokio::join!(call, async {
        let incoming = server.incoming.recv().await.unwrap();
        assert_eq!((incoming.from, incoming.message.as_str()), (InstanceId(2), "ping"));
        incoming.reply.unwrap().send("pong".to_owned()).unwrap();
    });
    assert_eq!(answer.unwrap(), "pong");
}

/// Guards against datagrams of strangers that reach the tasks, and against a counter that hides
/// them.
#[tokio::test]
async fn datagrams_with_another_secret_or_noise_are_refused() {
    let mut server = start(1, None, "secret").await;
    let client = start(2, Some(server.address), "other").await;
    let error = client
        .datagrams
        .call(InstanceId(1), "ping".to_owned(), Duration::from_millis(200))
        .await
        .expect_err("the secrets differ");
    assert_eq!(error.kind, TransportErrorKind::TimedOut);
    let stranger = UdpSocket::bind("127.0.0.1:0").await.unwrap();
    let mut rng = fastrand::Rng::with_seed(3);
    for size in [0, 1, 31, 32, 33, 500, DATAGRAM_LIMIT_BYTES] {
        let noise: Vec<u8> = (0..size).map(|_| rng.u8(..)).collect();
        stranger.send_to(&noise, server.address).await.unwrap();
    }
    while server.refused.load(Ordering::Relaxed) < 8 {
        tokio::task::yield_now().await;
    }
    assert!(server.incoming.try_recv().is_err());
}

/// Guards against a caller that waits for a reply that can't be sent.
#[tokio::test]
async fn a_reply_that_is_too_large_is_reported_at_once() {
    let mut server = start(1, None, "secret").await;
    let client = start(2, Some(server.address), "secret").await;
    let call = client.datagrams.call(InstanceId(1), "ping".to_owned(), LIMIT);
    let (answer, ()) = tokio::join!(call, async {
        let incoming = server.incoming.recv().await.unwrap();
        incoming.reply.unwrap().send("x".repeat(DATAGRAM_LIMIT_BYTES)).unwrap();
    });
    assert_eq!(answer.unwrap_err().kind, TransportErrorKind::TooLarge);
    let large = "x".repeat(DATAGRAM_LIMIT_BYTES);
    let error = client.datagrams.call(InstanceId(1), large, LIMIT).await.unwrap_err();
    assert_eq!(error.kind, TransportErrorKind::TooLarge);
}
