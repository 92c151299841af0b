use http_body_util::BodyExt;

use super::body_channel;

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
