//! A client that sends requests as callers of the system do.

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

/// Sends each request on a new connection.
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

/// The whole response to a request.
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
    /// The body as JSON; null if it is not valid JSON.
    pub body: Value,
    /// The raw body.
    pub bytes: Bytes,
}

/// A streamed response that is being received.
#[derive(Debug)]
pub struct CallerStream {
    response: Response<Incoming>,
    buffer: Vec<u8>,
    has_ended: bool,
}

impl CallerRequest {
    /// Creates a request with any method and path.
    #[must_use]
    pub fn new(method: Method, path: impl Into<Box<str>>, body: impl Into<Bytes>) -> CallerRequest {
        CallerRequest { method, path: path.into(), body: body.into(), headers: Vec::new() }
    }

    /// Creates a completion request for an adapter.
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
    /// Creates a caller of `customer` that authenticates with the callers' secret.
    #[must_use]
    pub fn new(customer: impl Into<Box<str>>, secret: impl Into<Box<str>>) -> FakeCaller {
        FakeCaller { customer: customer.into(), secret: secret.into() }
    }

    /// Requests the addresses of the entry instances from an instance.
    ///
    /// # Errors
    ///
    /// Fails when the instance can't be reached or the response has no list of entries.
    pub async fn entries(&self, address: SocketAddr) -> io::Result<Vec<SocketAddr>> {
        let request = CallerRequest::new(Method::GET, "/v1/entries", Bytes::new());
        let response = self.send(address, &request).await?;
        let entries = response.body["entries"].as_array();
        let entries =
            entries.ok_or_else(|| io::Error::other("the response has no list of entries"))?;
        let address = |entry: &Value| entry["address"].as_str()?.parse().ok();
        Ok(entries.iter().filter_map(address).collect())
    }

    /// Sends a request and reads the whole response.
    ///
    /// # Errors
    ///
    /// Fails when the connection fails before the end of the response.
    pub async fn send(
        &self,
        address: SocketAddr,
        request: &CallerRequest,
    ) -> io::Result<CallerResponse> {
        let response = self.open(address, request).await?;
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

    /// Sends a request whose response is streamed.
    ///
    /// # Errors
    ///
    /// Fails when the instance can't be reached or rejects the request; in the latter case the
    /// error message is the JSON body of the response.
    pub async fn stream(
        &self,
        address: SocketAddr,
        request: &CallerRequest,
    ) -> io::Result<CallerStream> {
        let response = self.open(address, request).await?;
        if response.status().is_success() {
            return Ok(CallerStream { response, buffer: Vec::new(), has_ended: false });
        }
        let refusal = response.into_body().collect().await.map_err(io::Error::other)?.to_bytes();
        Err(io::Error::other(String::from_utf8_lossy(&refusal).into_owned()))
    }

    async fn open(
        &self,
        address: SocketAddr,
        request: &CallerRequest,
    ) -> io::Result<Response<Incoming>> {
        let connection = TcpStream::connect(address).await?;
        connection.set_nodelay(true)?;
        let (mut sender, connection) =
            http1::handshake(TokioIo::new(connection)).await.map_err(io::Error::other)?;
        // Reading the response shows how the connection ended, so the task's result is not needed.
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

    /// The adapter and version in the response's headers.
    #[must_use]
    pub fn adapter(&self) -> Option<(Box<str>, u32)> {
        let header = |name: &str| self.response.headers().get(name)?.to_str().ok();
        let version = header("x-redwinglatch-version")?.parse().ok()?;
        Some((header("x-redwinglatch-adapter")?.into(), version))
    }

    /// The backend server in the response's headers.
    #[must_use]
    pub fn backend(&self) -> Option<SocketAddr> {
        self.response.headers().get("x-redwinglatch-backend")?.to_str().ok()?.parse().ok()
    }

    /// Returns the next event as JSON, or `None` after the last one.
    ///
    /// # Errors
    ///
    /// Fails when the connection fails before the last event.
    pub async fn next(&mut self) -> io::Result<Option<Value>> {
        while !self.has_ended {
            if let Some(event) = self.take_event() {
                self.has_ended = event["done"] == true || !event["error"].is_null();
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
    /// Fails when a token is missing or duplicated, or the stream ends with an error.
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
                let detail = format!("expected the event of token {next_index}, received {event}");
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
