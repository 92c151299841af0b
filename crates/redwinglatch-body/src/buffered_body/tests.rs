use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Body;

use super::{BufferBudget, BufferError};
use crate::body_channel;

#[tokio::test]
async fn body_is_read_and_sent_as_it_came() {
    let budget = BufferBudget::new(1 << 20);
    let (sender, source) = body_channel(1);
    tokio::spawn(async move {
        for number in 0..50_000u32 {
            sender.send(Bytes::copy_from_slice(&number.to_le_bytes())).await.expect("it is read");
        }
        sender.finish();
    });
    let body = budget.read(source, 1 << 20).await.expect("it fits");
    assert_eq!(body.size_hint().exact(), Some(200_000));
    let bytes = body.collect().await.expect("infallible").to_bytes();
    let expected: Vec<u8> = (0..50_000u32).flat_map(u32::to_le_bytes).collect();
    assert_eq!(bytes, expected);
}

#[tokio::test]
async fn body_that_breaks_off_is_no_body() {
    let (sender, source) = body_channel(1);
    tokio::spawn(async move { sender.send("first".into()).await });
    let read = BufferBudget::new(1 << 20).read(source, 1 << 20).await;
    assert!(matches!(read, Err(BufferError::Interrupted(_))), "{read:?}");
}

/// Several servers send bodies without end: each is stopped by its own limit or by that of all together.
#[tokio::test]
async fn bodies_share_one_budget_until_they_are_dropped() {
    const BODY_BYTES: usize = 400 << 10;
    let budget = BufferBudget::new(500 << 10);
    let full = |size: usize| Full::new(Bytes::from(vec![b'a'; size]));
    let read = budget.read(full(BODY_BYTES), BODY_BYTES - 1).await;
    assert!(matches!(read, Err(BufferError::TooLarge { .. })), "{read:?}");
    let first = budget.read(full(BODY_BYTES), BODY_BYTES).await.expect("there is room");
    let read = budget.read(full(BODY_BYTES), BODY_BYTES).await;
    assert!(matches!(read, Err(BufferError::NoRoom)), "{read:?}");
    let small: Vec<_> = (0..50).map(|_| budget.read(full(60 << 10), BODY_BYTES)).collect();
    for small in small {
        small.await.expect("small bodies always have room");
    }
    drop(first);
    budget.read(full(BODY_BYTES), BODY_BYTES).await.expect("there is room again");
}
