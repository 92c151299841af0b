//! A small caller that uses the system as its users do.

use std::io;
use std::net::SocketAddr;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::{Method, Request, Response};
use hyper_util::rt::TokioIo;
use serde_json::Value;
use tokio::net::TcpStream;

/// Sends requests, each on a connection of its own.
#[derive(Debug, Clone)]
pub struct FakeCaller {
    customer: Box<str>,
    secret: Box<str>,
}

/// A request of a caller.
#[derive(Debug, Clone)]
pub struct CallerRequest {
    method: Method,
    path: Box<str>,
    body: Bytes,
    headers: Vec<(&'static str, Box<str>)>,
}

/// The whole answer to a request.
#[derive(Debug, Clone)]
pub struct CallerResponse {
    /// The HTTP status.
    pub status: u16,
    /// The value of `x-redwinglatch-adapter`, if there is one.
    pub adapter: Option<Box<str>>,
    /// The value of `x-redwinglatch-version`, if there is one.
    pub version: Option<u32>,
    /// The value of `x-redwinglatch-backend`, if there is one.
    pub backend: Option<SocketAddr>,
    /// The body as JSON; null when it is no JSON document.
    pub body: Value,
    /// The body.
    pub bytes: Bytes,
}

/// A streamed answer while it arrives.
#[derive(Debug)]
pub struct CallerStream {
    response: Response<Incoming>,
    buffer: Vec<u8>,
    ended: bool,
}

impl CallerRequest {
    /// A request of any kind.
    #[must_use]
    pub fn new(method: Method, path: impl Into<Box<str>>, body: impl Into<Bytes>) -> CallerRequest {
        CallerRequest { method, path: path.into(), body: body.into(), headers: Vec::new() }
    }

    /// A completion on an adapter.
    #[must_use]
    pub fn completion(
        model: &str,
        adapter: &str,
        version: u32,
        prompt: &str,
        max_tokens: u32,
        stream: bool,
    ) -> CallerRequest {
        let body = serde_json::json!({
            "model": model, "adapter": adapter, "version": version, "prompt": prompt,
            "max_tokens": max_tokens, "stream": stream,
        });
        CallerRequest::new(Method::POST, "/v1/completions", body.to_string())
    }

    /// Adds a header.
    #[must_use]
    pub fn header(mut self, name: &'static str, value: impl Into<Box<str>>) -> CallerRequest {
        self.headers.push((name, value.into()));
        self
    }
}

impl FakeCaller {
    /// A caller of `customer` with the callers' secret.
    #[must_use]
    pub fn new(customer: impl Into<Box<str>>, secret: impl Into<Box<str>>) -> FakeCaller {
        FakeCaller { customer: customer.into(), secret: secret.into() }
    }

    /// Asks an instance which addresses to use.
    ///
    /// # Errors
    ///
    /// Fails when the instance can't be reached or answers in another form.
    pub async fn entries(&self, address: SocketAddr) -> io::Result<Vec<SocketAddr>> {
        let request = CallerRequest::new(Method::GET, "/v1/entries", Bytes::new());
        let response = self.send(address, &request).await?;
        let entries = response.body["entries"].as_array();
        let entries = entries.ok_or_else(|| io::Error::other("the answer lists no entries"))?;
        let address = |entry: &Value| entry["address"].as_str()?.parse().ok();
        Ok(entries.iter().filter_map(address).collect())
    }

    /// Sends a request and reads the whole answer.
    ///
    /// # Errors
    ///
    /// Fails when the connection fails before the end of the answer.
    pub async fn send(
        &self,
        address: SocketAddr,
        request: &CallerRequest,
    ) -> io::Result<CallerResponse> {
        let response = self.start(address, request).await?;
        let (parts, body) = response.into_parts();
        let bytes = body.collect().await.map_err(io::Error::other)?.to_bytes();
        let header = |name: &str| parts.headers.get(name)?.to_str().ok();
        Ok(CallerResponse {
            status: parts.status.as_u16(),
            adapter: header("x-redwinglatch-adapter").map(Into::into),
            version: header("x-redwinglatch-version").and_then(|text| text.parse().ok()),
            backend: header("x-redwinglatch-backend").and_then(|text| text.parse().ok()),
            body: serde_json::from_slice(&bytes).unwrap_or(Value::Null),
            bytes,
        })
    }

    /// Sends a request whose answer is streamed.
    ///
    /// # Errors
    ///
    /// Fails when the instance can't be reached; a refusal is an error with its JSON as message.
    pub async fn stream(
        &self,
        address: SocketAddr,
        request: &CallerRequest,
    ) -> io::Result<CallerStream> {
        let response = self.start(address, request).await?;
        if response.status().is_success() {
            return Ok(CallerStream { response, buffer: Vec::new(), ended: false });
        }
        let refusal = response.into_body().collect().await.map_err(io::Error::other)?.to_bytes();
        Err(io::Error::other(String::from_utf8_lossy(&refusal).into_owned()))
    }

    async fn start(
        &self,
        address: SocketAddr,
        request: &CallerRequest,
    ) -> io::Result<Response<Incoming>> {
        let connection = TcpStream::connect(address).await?;
        connection.set_nodelay(true)?;
        let (mut sender, connection) =
            http1::handshake(TokioIo::new(connection)).await.map_err(io::Error::other)?;
        // Its end shows as the end of the answer.
        tokio::spawn(connection);
        let mut builder = Request::builder()
            .method(request.method.clone())
            .uri(&*request.path)
            .header("host", address.to_string())
            .header("x-redwinglatch-customer", &*self.customer)
            .header("authorization", format!("Bearer {}", self.secret));
        for (name, value) in &request.headers {
            builder = builder.header(*name, &**value);
        }
        let body = Full::new(request.body.clone());
        let request = builder.body(body).map_err(io::Error::other)?;
        sender.send_request(request).await.map_err(io::Error::other)
    }
}

impl CallerStream {
    /// The HTTP status.
    #[must_use]
    pub fn status(&self) -> u16 {
        self.response.status().as_u16()
    }

    /// The adapter and version in the answer's headers.
    #[must_use]
    pub fn adapter(&self) -> Option<(Box<str>, u32)> {
        let header = |name: &str| self.response.headers().get(name)?.to_str().ok();
        let version = header("x-redwinglatch-version")?.parse().ok()?;
        Some((header("x-redwinglatch-adapter")?.into(), version))
    }

    /// The backend server in the answer's headers.
    #[must_use]
    pub fn backend(&self) -> Option<SocketAddr> {
        self.response.headers().get("x-redwinglatch-backend")?.to_str().ok()?.parse().ok()
    }

    /// The next event as JSON, or `None` after the last one.
    ///
    /// # Errors
    ///
    /// Fails when the connection fails before the last event.
    pub async fn next(&mut self) -> io::Result<Option<Value>> {
        while !self.ended {
            if let Some(event) = self.take_event() {
                self.ended = event["done"] == true || !event["error"].is_null();
                return Ok(Some(event));
            }
            let Some(frame) = self.response.body_mut().frame().await else {
                return Err(io::ErrorKind::UnexpectedEof.into());
            };
            if let Ok(data) = frame.map_err(io::Error::other)?.into_data() {
                self.buffer.extend_from_slice(&data);
            }
        }
        Ok(None)
    }

    /// Reads all tokens up to the last event and returns the text.
    ///
    /// # Errors
    ///
    /// Fails when a token is missing or doubled, or the stream ends with an error.
    pub async fn text(&mut self) -> io::Result<String> {
        let mut text = String::new();
        let mut next_index = 0;
        while let Some(event) = self.next().await? {
            if !event["error"].is_null() {
                return Err(io::Error::other(event["error"].to_string()));
            }
            if event["done"] == true {
                return Ok(text);
            }
            if event["index"] != next_index {
                let detail = format!("expected token {next_index}, got {event}");
                return Err(io::Error::other(detail));
            }
            next_index += 1;
            text.push_str(event["text"].as_str().unwrap_or_default());
        }
        Err(io::ErrorKind::UnexpectedEof.into())
    }

    fn take_event(&mut self) -> Option<Value> {
        loop {
            let end = self.buffer.windows(2).position(|window| window == b"\n\n")?;
            let block: Vec<u8> = self.buffer.drain(..end + 2).collect();
            if let Some(data) = block.strip_prefix(b"data: ") {
                return serde_json::from_slice(data.trim_ascii_end()).ok();
            }
        }
    }
}
