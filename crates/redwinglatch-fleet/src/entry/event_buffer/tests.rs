use bytes::Bytes;

use super::{EventBuffer, MAX_HELD_BYTES};

#[test]
fn resumable_stream_forwards_only_complete_events() {
    let mut buffer = EventBuffer::new(true);
    assert_eq!(buffer.push("id: 1\ndata: a\n".into()), "");
    assert_eq!(buffer.push("\nid: 2\nda".into()), "id: 1\ndata: a\n\n");
    assert!(buffer.is_inside_event());
    assert_eq!(buffer.last_event_id(), Some(&Bytes::from("1")));
    buffer.start_body();
    assert_eq!(buffer.push("id: 2\r\ndata: b\r\n\r\n".into()), "id: 2\r\ndata: b\r\n\r\n");
    assert_eq!(buffer.last_event_id(), Some(&Bytes::from("2")));
    assert!(buffer.can_resume());
}

#[test]
fn other_streams_are_forwarded_as_they_arrive() {
    let mut buffer = EventBuffer::new(false);
    assert_eq!(buffer.push("id: 1\nda".into()), "id: 1\nda");
    assert!(buffer.is_inside_event());
    assert!(!buffer.can_resume());
}

/// Guards against a caller who gets the first part of a large event from one server and the whole event
/// from the next.
#[test]
fn stream_is_not_resumed_after_a_part_of_an_event_was_forwarded() {
    let mut buffer = EventBuffer::new(true);
    let large = Bytes::from(vec![b'a'; MAX_HELD_BYTES + 1]);
    assert_eq!(buffer.push(large.clone()), large);
    assert!(buffer.is_inside_event());
    assert!(!buffer.can_resume());
}
