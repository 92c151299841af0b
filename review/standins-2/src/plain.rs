//! A replica of a plain service.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
};

use serde_json::json;
use tokio::net::TcpListener;

use crate::{
    http::{Connection, Message},
    record::Record,
};

const BORN_UNIX_MS: u64 = 1_760_000_000_000;

#[derive(Clone)]
pub struct Plain {
    pub name: &'static str,
    pub service: &'static str,
    pub address: SocketAddr,
    runs: Arc<Mutex<Vec<Message>>>,
    /// Answers a request instead of the sound answer, if it returns bytes.
    answer: fn(&Message) -> Option<Vec<u8>>,
    record: Record,
}

impl Plain {
    pub async fn start(
        record: &Record,
        name: &'static str,
        service: &'static str,
        answer: fn(&Message) -> Option<Vec<u8>>,
    ) -> Plain {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("an address");
        let runs = Arc::default();
        let plain = Plain { name, service, address, runs, answer, record: record.clone() };
        let accepting = plain.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let plain = accepting.clone();
                tokio::spawn(async move {
                    let mut connection = Connection::new(stream);
                    while let Ok(Some(request)) = connection.read_request().await {
                        if plain.serve(&mut connection, request).await.is_err() {
                            return;
                        }
                    }
                });
            }
        });
        plain
    }

    pub fn runs(&self) -> Vec<Message> {
        self.runs.lock().expect("no holder panics").clone()
    }

    /// Returns the entry of the platform's list.
    pub fn entry(&self) -> String {
        json!({
            "service": self.service, "address": self.address.to_string(), "zone": "hall-a", "version": "v1",
            "slots": 6, "state": "ready", "cold-left-ms": 0, "id": self.name, "born": BORN_UNIX_MS,
        })
        .to_string()
    }

    async fn serve(&self, connection: &mut Connection, request: Message) -> std::io::Result<()> {
        if request.path() == "/health" {
            let header = format!("X-Redwinglatch-Instance-Id: {}\r\n", self.name);
            return connection.answer("200 OK", &header, b"").await;
        }
        let id_header = match request.id() {
            "-" => String::new(),
            id => format!("X-Redwinglatch-Request-Id: {id}\r\n"),
        };
        let refusal = match request.header("x-redwinglatch-expect-instance") {
            Some(expected) if expected != self.name => Some("421 Misdirected Request"),
            _ if id_header.is_empty() => Some("400 Bad Request"),
            _ => None,
        };
        if let Some(status) = refusal {
            self.record.line(format!("{} refuses {}: {status}", self.name, request.id()));
            let headers = format!(
                "{id_header}X-Redwinglatch-Not-Executed: 1\r\nX-Redwinglatch-Instance-Id: {}\r\n",
                self.name
            );
            return connection.answer(status, &headers, b"").await;
        }
        self.record.line(format!("{} runs {} {}", self.name, request.id(), request.first_line));
        self.runs.lock().expect("no holder panics").push(request.clone());
        if let Some(bytes) = (self.answer)(&request) {
            return connection.write(&bytes).await;
        }
        let headers =
            format!("{id_header}X-Redwinglatch-Response-Stamp: {}.{}\r\n", self.name, request.id());
        let body = format!("{} answers {}", self.name, request.id());
        connection.answer("200 OK", &headers, body.as_bytes()).await
    }
}
