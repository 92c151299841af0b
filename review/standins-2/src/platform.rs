//! The platform's list of replicas.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
};

use tokio::net::TcpListener;

use crate::http::Connection;

/// The entries of the list, each one the text of a JSON object.
#[derive(Clone, Default)]
pub struct List(Arc<Mutex<Vec<String>>>);

impl List {
    pub fn set(&self, entries: Vec<String>) {
        *self.0.lock().expect("no holder panics") = entries;
    }

    pub async fn serve(&self) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("an address");
        let list = self.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let list = list.clone();
                tokio::spawn(async move {
                    let mut connection = Connection::new(stream);
                    while let Ok(Some(_)) = connection.read_request().await {
                        let entries = list.0.lock().expect("no holder panics").join(",");
                        let body = format!("{{\"instances\":[{entries}],\"next-token\":null}}");
                        let headers = "Content-Type: application/json\r\n";
                        if connection.answer("200 OK", headers, body.as_bytes()).await.is_err() {
                            return;
                        }
                    }
                });
            }
        });
        address
    }
}
