use std::{
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use http_body_util::BodyExt;

use super::{MAX_QUEUED_BYTES, body_channel};

/// Bodies, enough for a sender on one thread and a reader on another to meet in each order.
const BODIES: usize = 20_000;

/// Guards against a body that ends as complete without its last chunk.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn finished_body_has_all_chunks() {
    for _ in 0..BODIES {
        let (sender, body) = body_channel(1);
        tokio::spawn(async move {
            for chunk in ["first", "last"] {
                sender.send(chunk.into()).await.expect("the body is read");
            }
            sender.finish();
        });
        assert_eq!(body.collect().await.expect("complete").to_bytes(), "firstlast");
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn body_whose_sender_is_dropped_is_interrupted() {
    for _ in 0..BODIES {
        let (sender, mut body) = body_channel(1);
        tokio::spawn(async move {
            sender.send("first".into()).await.expect("the body is read");
        });
        let first = body.frame().await.expect("a chunk").expect("a chunk").into_data();
        assert_eq!(first.expect("data"), "first");
        assert!(body.frame().await.expect("an error").is_err());
    }
}

#[tokio::test]
async fn sender_learns_that_the_body_was_dropped() {
    let (sender, body) = body_channel(1);
    drop(body);
    sender.closed().await;
    assert!(sender.send("late".into()).await.is_err());
}

/// A reader that is slow or absent doesn't make the queue grow beyond its bytes, whatever the size of chunks.
#[tokio::test(start_paused = true)]
async fn large_chunks_wait_for_room() {
    let (sender, mut body) = body_channel(100);
    let chunk = Bytes::from(vec![b'a'; MAX_QUEUED_BYTES / 2]);
    let sent = Arc::new(AtomicUsize::new(0));
    let counter = Arc::clone(&sent);
    let writer = tokio::spawn(async move {
        while sender.send(chunk.clone()).await.is_ok() {
            counter.fetch_add(1, Ordering::Relaxed);
        }
    });
    tokio::time::sleep(Duration::from_secs(1)).await;
    assert_eq!(sent.load(Ordering::Relaxed), 2);
    body.frame().await.expect("a chunk").expect("no error");
    tokio::time::sleep(Duration::from_secs(1)).await;
    assert_eq!(sent.load(Ordering::Relaxed), 3);
    drop(body);
    writer.await.expect("the writer ends with the body");
}
