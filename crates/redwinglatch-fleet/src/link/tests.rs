use super::{Frame, LinkQueue, ReconnectDelay};
use crate::message::FleetMessage;

fn document(bytes: usize) -> FleetMessage {
    FleetMessage::Configuration { version: 1, document: vec![1; bytes] }
}

/// A peer that reads nothing must not make the sender's memory grow.
#[test]
fn queue_of_a_slow_peer_is_bounded_in_bytes() {
    let (sender, queue) = LinkQueue::without_connection(10_000);
    let accepted = (0..100).filter(|_| sender.send(&document(1_000))).count();
    assert_eq!(accepted, 9);
    assert!(queue.queued_bytes() <= 10_000);
}

/// Later changes build on the message that was not queued, so the link must be closed.
#[tokio::test]
async fn overflow_closes_the_link() {
    let (sender, mut queue) = LinkQueue::without_connection(10_000);
    while sender.send(&document(1_000)) {}
    assert!(queue.overflowed_or_empty().await);
    drop(queue);
    assert!(sender.is_closed());
    assert!(!sender.send(&FleetMessage::Ping));
}

#[test]
fn frame_larger_than_the_limit_is_accepted_by_an_empty_queue() {
    let (sender, mut queue) = LinkQueue::without_connection(1_000);
    assert!(sender.send(&document(5_000)));
    assert!(!sender.send(&FleetMessage::Ping));
    assert!(queue.try_next().is_some());
    assert!(sender.send(&FleetMessage::Ping));
}

#[test]
fn frame_starts_with_the_length_of_its_message() {
    let frame = Frame::encode(&document(3));
    let (length, body) = frame.bytes().split_at(4);
    assert_eq!(length, u32::try_from(body.len()).expect("short").to_le_bytes());
    let message: FleetMessage = postcard::from_bytes(body).expect("a message");
    assert_eq!(message.kind(), "configuration");
}

/// Processes that start together reach each other soon; one that stays away costs few attempts.
#[test]
fn attempts_to_connect_become_rare() {
    let mut delay = ReconnectDelay::default();
    let first: u128 = (0..2).map(|_| delay.after_failure().as_millis()).sum();
    assert!(first < 150, "{first} ms until the third attempt");
    let minute = 60_000;
    let attempts = std::iter::repeat_with(|| delay.after_failure().as_millis())
        .scan(0, |elapsed, delay| {
            *elapsed += delay;
            (*elapsed < minute).then_some(())
        })
        .count();
    assert!(attempts < 400, "{attempts} attempts in a minute");
}
