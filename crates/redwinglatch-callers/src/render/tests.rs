use std::time::Duration;

use http_body_util::BodyExt;
use tokio::sync::mpsc;

use super::render_response;
use crate::{CallerEvent, CallerResponse, ServedBy};

/// Streams, enough for a sender on one thread and a connection on another to meet in each order.
const STREAMS: usize = 20_000;

/// Starts a stream of these events and returns its body, or the error with which it ended.
async fn read_stream(events: Vec<CallerEvent>) -> std::io::Result<String> {
    let (sender, receiver) = mpsc::channel(4);
    let served_by = ServedBy { adapter: None, backend: ([192, 0, 2, 1], 80).into() };
    let response = CallerResponse::Stream { served_by, events: receiver };
    let second = Duration::from_secs(1);
    let body = render_response(response, second, second).into_body();
    tokio::spawn(async move {
        for event in events {
            // An error means that the body was dropped, which the test sees.
            let _ = sender.send(event).await;
        }
    });
    let body = body.collect().await?.to_bytes();
    Ok(String::from_utf8(body.to_vec()).expect("text"))
}

/// Guards against a stream that ends as complete without its last event, because its sender stopped
/// between two checks of the connection.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn stream_ends_with_its_last_event() {
    for number in 0..STREAMS {
        let done = CallerEvent::Done { finish_reason: "stop".into(), tokens: 0 };
        let body = read_stream(vec![done]).await.expect("a complete stream");
        assert!(body.contains("\"done\":true"), "stream {number} is {body:?}");
    }
}

/// Guards against a stream that ends as complete although its source stopped before the last event.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn stream_whose_source_stops_early_is_not_complete() {
    for number in 0..STREAMS {
        let token = CallerEvent::Token { index: 0, text: "a".into() };
        let body = read_stream(vec![token]).await;
        assert!(body.is_err(), "stream {number} is complete: {body:?}");
    }
}
