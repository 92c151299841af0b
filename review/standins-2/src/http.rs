//! HTTP/1.1 by hand, so that a stand-in decides on every byte.

use std::{io, net::SocketAddr, time::Duration};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time::timeout,
};

const MAX_HEAD_BYTES: usize = 64 << 10;

/// The head of a request or answer, and its body if it has a length.
#[derive(Debug, Clone, Default)]
pub struct Message {
    /// The request line or status line.
    pub first_line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn method(&self) -> &str {
        self.first_line.split(' ').next().unwrap_or_default()
    }

    pub fn path(&self) -> &str {
        self.first_line.split(' ').nth(1).unwrap_or_default()
    }

    pub fn status(&self) -> u16 {
        self.first_line.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or(0)
    }

    pub fn id(&self) -> &str {
        self.header("x-redwinglatch-request-id").unwrap_or("-")
    }
}

/// A connection with what has been read ahead.
pub struct Connection {
    pub stream: TcpStream,
    ahead: Vec<u8>,
}

impl Connection {
    pub fn new(stream: TcpStream) -> Connection {
        // Small writes are sent at once; without the option they would only be later.
        let _ = stream.set_nodelay(true);
        Connection { stream, ahead: Vec::new() }
    }

    /// Reads a head; `None` if the peer closes before one begins.
    pub async fn read_head(&mut self) -> io::Result<Option<Message>> {
        let end = loop {
            if let Some(at) = self.ahead.windows(4).position(|window| window == b"\r\n\r\n") {
                break at;
            }
            if self.ahead.len() > MAX_HEAD_BYTES {
                return Err(io::Error::other("the head is too large"));
            }
            if self.read_more().await? == 0 {
                let is_empty = self.ahead.is_empty();
                return if is_empty { Ok(None) } else { Err(io::ErrorKind::UnexpectedEof.into()) };
            }
        };
        let head: Vec<u8> = self.ahead.drain(..end + 4).collect();
        let text = String::from_utf8_lossy(&head).into_owned();
        let mut lines = text.split("\r\n").filter(|line| !line.is_empty());
        let first_line = lines.next().unwrap_or_default().to_owned();
        let headers = lines.filter_map(|line| line.split_once(':'));
        let headers = headers.map(|(key, value)| (key.to_owned(), value.trim().to_owned()));
        Ok(Some(Message { first_line, headers: headers.collect(), body: Vec::new() }))
    }

    /// Reads a request with its body.
    pub async fn read_request(&mut self) -> io::Result<Option<Message>> {
        let Some(mut message) = self.read_head().await? else { return Ok(None) };
        let length = message.header("content-length").and_then(|text| text.parse().ok());
        self.fill(length.unwrap_or(0)).await?;
        message.body = self.ahead.drain(..length.unwrap_or(0)).collect();
        Ok(Some(message))
    }

    async fn fill(&mut self, bytes: usize) -> io::Result<()> {
        while self.ahead.len() < bytes {
            if self.read_more().await? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
        Ok(())
    }

    /// Reads what comes next; returns 0 at the end.
    pub async fn read_more(&mut self) -> io::Result<usize> {
        let mut chunk = [0; 8 << 10];
        let count = self.stream.read(&mut chunk).await?;
        self.ahead.extend_from_slice(&chunk[..count]);
        Ok(count)
    }

    /// Waits until the peer closes or resets the connection.
    pub async fn closed(&mut self) {
        while let Ok(1..) = self.read_more().await {}
    }

    /// Reads one chunk of a chunked body; an empty one is the last.
    pub async fn read_chunk(&mut self) -> io::Result<Vec<u8>> {
        let end = loop {
            if let Some(at) = self.ahead.windows(2).position(|window| window == b"\r\n") {
                break at;
            }
            if self.read_more().await? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        };
        let size = String::from_utf8_lossy(&self.ahead[..end]).into_owned();
        let size = usize::from_str_radix(size.trim(), 16).map_err(io::Error::other)?;
        self.fill(end + 2 + size + 2).await?;
        let chunk = self.ahead[end + 2..end + 2 + size].to_vec();
        self.ahead.drain(..end + 2 + size + 2);
        Ok(chunk)
    }

    /// Reads the body of an answer.
    pub async fn read_body(&mut self, head: &Message) -> io::Result<Vec<u8>> {
        if head.header("transfer-encoding").is_some() {
            let mut body = Vec::new();
            loop {
                let chunk = self.read_chunk().await?;
                if chunk.is_empty() {
                    return Ok(body);
                }
                body.extend(chunk);
            }
        }
        let length = head.header("content-length").and_then(|text| text.parse().ok());
        self.fill(length.unwrap_or(0)).await?;
        Ok(self.ahead.drain(..length.unwrap_or(0)).collect())
    }

    pub async fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes).await?;
        self.stream.flush().await
    }

    /// Writes an answer with a length.
    pub async fn answer(&mut self, status: &str, headers: &str, body: &[u8]) -> io::Result<()> {
        let head = format!("HTTP/1.1 {status}\r\n{headers}Content-Length: {}\r\n\r\n", body.len());
        self.write(&[head.as_bytes(), body].concat()).await
    }

    pub async fn write_chunk(&mut self, data: &[u8]) -> io::Result<()> {
        let head = format!("{:x}\r\n", data.len());
        self.write(&[head.as_bytes(), data, b"\r\n"].concat()).await
    }
}

/// Sends a request on a new connection and reads the whole answer within a time.
pub async fn call(
    address: SocketAddr,
    request: &str,
    body: &[u8],
    limit: Duration,
) -> io::Result<Message> {
    let exchange = async {
        let mut connection = Connection::new(TcpStream::connect(address).await?);
        connection.write(&[request.as_bytes(), body].concat()).await?;
        let head = connection.read_head().await?;
        let mut answer = head.ok_or(io::Error::from(io::ErrorKind::UnexpectedEof))?;
        answer.body = connection.read_body(&answer).await?;
        Ok(answer)
    };
    timeout(limit, exchange).await?
}
