//! Callers of streams.

use std::{net::SocketAddr, time::Duration};

use tokio::{net::TcpStream, sync::watch, time::timeout};

use crate::{http::Connection, record::Record};

/// What a caller of a stream has seen.
#[derive(Debug, Clone, Default)]
pub struct Seen {
    pub id: String,
    pub status: u16,
    pub events: Vec<String>,
    pub is_complete: bool,
    /// The time at which the caller closed its connection, if it left early.
    pub left_ms: Option<u64>,
}

/// A request for a stream.
#[derive(Clone)]
pub struct StreamRequest {
    pub front: SocketAddr,
    pub id: String,
    pub path: &'static str,
    pub model: String,
    /// The part of the prompt that requests share, and the one of this request, in tokens.
    pub shared_tokens: u64,
    pub own_tokens: u64,
    pub output_tokens: u64,
    pub deadline_ms: u64,
    /// The caller has had another answer on the same connection before.
    pub is_kept: bool,
}

impl StreamRequest {
    fn text(&self, id: &str, output_tokens: u64) -> String {
        let StreamRequest { path, model, shared_tokens, own_tokens, .. } = self;
        let body = "draft";
        format!(
            "POST {path} HTTP/1.1\r\nHost: review.example\r\nX-Redwinglatch-Request-Id: {id}\r\n\
             X-Redwinglatch-Model: {model}\r\nX-Redwinglatch-Token-Usage: {},{}\r\n\
             X-Redwinglatch-Prompt-Prefix: 5c1e07a2:{shared_tokens},{id}:{own_tokens}\r\n\
             X-Redwinglatch-Deadline-Ms: {}\r\nContent-Length: {}\r\n\r\n{body}",
            shared_tokens + own_tokens,
            output_tokens,
            self.deadline_ms,
            body.len(),
        )
    }

    /// Sends the request and reads the stream, until its end, for as long as a caller waits, or until `leaves` is true.
    pub async fn run(self, record: Record, mut leaves: watch::Receiver<bool>) -> Seen {
        let mut seen = Seen { id: self.id.clone(), ..Seen::default() };
        record.line(format!("caller sends {} to {}", self.id, self.front));
        let limit = Duration::from_millis(self.deadline_ms);
        let exchange = self.exchange(&mut seen);
        tokio::select! {
            _ = timeout(limit, exchange) => {}
            _ = leaves.wait_for(|leaves| *leaves) => {}
        }
        if *leaves.borrow() && !seen.is_complete {
            seen.left_ms = Some(record.now_ms());
        }
        record.line(format!(
            "caller of {}: status={} events={} complete={} left={:?}",
            seen.id,
            seen.status,
            seen.events.len(),
            seen.is_complete,
            seen.left_ms
        ));
        seen
    }

    async fn exchange(&self, seen: &mut Seen) -> std::io::Result<()> {
        let mut connection = Connection::new(TcpStream::connect(self.front).await?);
        if self.is_kept {
            connection.write(self.text(&format!("{}-0", self.id), 9).as_bytes()).await?;
            let Some(head) = connection.read_head().await? else { return Ok(()) };
            connection.read_body(&head).await?;
        }
        connection.write(self.text(&self.id, self.output_tokens).as_bytes()).await?;
        let Some(head) = connection.read_head().await? else { return Ok(()) };
        seen.status = head.status();
        if seen.status != 200 {
            return Ok(());
        }
        let mut text = String::new();
        loop {
            let chunk = connection.read_chunk().await?;
            if chunk.is_empty() {
                seen.is_complete = true;
                return Ok(());
            }
            text.push_str(&String::from_utf8_lossy(&chunk));
            while let Some(end) = text.find("\n\n") {
                let event: String = text.drain(..end + 2).collect();
                seen.events.push(event);
            }
        }
    }
}
