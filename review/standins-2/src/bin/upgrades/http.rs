//! A small HTTP/1.1 server and client on blocking sockets.

use std::{
    io::{self, BufRead, BufReader, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

/// A request or the head of a response; `first` is its first line.
#[derive(Debug, Clone, Default)]
pub struct Message {
    pub first: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        headers.find(|(key, _)| key.eq_ignore_ascii_case(name)).map(|(_, value)| value.as_str())
    }

    pub fn path(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or_default()
    }

    pub fn status(&self) -> u16 {
        self.first.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or_default()
    }
}

/// Reads a head; `None` at the end of the connection.
pub fn read_head(reader: &mut impl BufRead) -> io::Result<Option<Message>> {
    let mut message = Message::default();
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    message.first = line.trim_end().to_owned();
    loop {
        line.clear();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let text = line.trim_end();
        if text.is_empty() {
            return Ok(Some(message));
        }
        if let Some((name, value)) = text.split_once(':') {
            message.headers.push((name.trim().to_owned(), value.trim().to_owned()));
        }
    }
}

/// Reads the next chunk of a chunked body; `None` at its end.
pub fn read_chunk(reader: &mut impl BufRead) -> io::Result<Option<Vec<u8>>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    let size = usize::from_str_radix(line.trim(), 16).map_err(io::Error::other)?;
    let mut data = vec![0; size + 2];
    reader.read_exact(&mut data)?;
    data.truncate(size);
    Ok((size > 0).then_some(data))
}

/// Reads the body that a head announces.
pub fn read_body(reader: &mut impl BufRead, head: &Message) -> io::Result<Vec<u8>> {
    let mut body = Vec::new();
    let is_chunked =
        head.header("transfer-encoding").is_some_and(|value| value.contains("chunked"));
    if is_chunked {
        while let Some(chunk) = read_chunk(reader)? {
            body.extend(chunk);
        }
    } else if let Some(length) = head.header("content-length") {
        body.resize(length.parse().map_err(io::Error::other)?, 0);
        reader.read_exact(&mut body)?;
    }
    Ok(body)
}

/// Handles one request on a connection; returns whether the connection stays open.
pub type Handler = Arc<dyn Fn(&Message, &mut TcpStream) -> io::Result<bool> + Send + Sync>;

/// Serves requests until `stop` is set; open connections are then closed.
pub fn serve(listener: TcpListener, stop: Arc<AtomicBool>, handler: Handler) {
    listener.set_nonblocking(true).expect("a listener");
    thread::spawn(move || {
        while !stop.load(Ordering::Relaxed) {
            match listener.accept() {
                Ok((stream, _)) => {
                    let (handler, stop) = (Arc::clone(&handler), Arc::clone(&stop));
                    thread::spawn(move || serve_connection(stream, &stop, &handler));
                }
                Err(_) => thread::sleep(Duration::from_millis(2)),
            }
        }
    });
}

fn serve_connection(stream: TcpStream, stop: &AtomicBool, handler: &Handler) -> Option<()> {
    stream.set_nonblocking(false).ok()?;
    stream.set_nodelay(true).ok()?;
    stream.set_read_timeout(Some(Duration::from_millis(20))).ok()?;
    let mut writer = stream.try_clone().ok()?;
    let mut reader = BufReader::new(stream);
    loop {
        // Waits for the next request in short steps, so that the end of the server closes the connection.
        loop {
            if stop.load(Ordering::Relaxed) {
                return None;
            }
            match reader.fill_buf() {
                Ok([]) => return None,
                Ok(_) => break,
                Err(error) if is_timeout(&error) => {}
                Err(_) => return None,
            }
        }
        reader.get_ref().set_read_timeout(Some(Duration::from_secs(5))).ok()?;
        let mut request = read_head(&mut reader).ok()??;
        request.body = read_body(&mut reader, &request).ok()?;
        reader.get_ref().set_read_timeout(Some(Duration::from_millis(20))).ok()?;
        if !handler(&request, &mut writer).ok()? {
            return None;
        }
    }
}

pub fn is_timeout(error: &io::Error) -> bool {
    matches!(error.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut)
}

/// Returns whether the peer of a connection has closed it.
pub fn is_closed(stream: &TcpStream) -> bool {
    let mut byte = [0];
    if stream.set_nonblocking(true).is_err() {
        return true;
    }
    let peeked = stream.peek(&mut byte);
    let _ = stream.set_nonblocking(false);
    match peeked {
        Ok(0) => true,
        Ok(_) => false,
        Err(error) => !is_timeout(&error),
    }
}

/// Writes a response with a length.
pub fn respond(
    stream: &mut TcpStream,
    status: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> io::Result<()> {
    let mut text = format!("HTTP/1.1 {status}\r\n");
    for (name, value) in headers {
        text += &format!("{name}: {value}\r\n");
    }
    text += &format!("Content-Length: {}\r\n\r\n{body}", body.len());
    stream.write_all(text.as_bytes())
}

/// Connects and writes a request; returns the connection.
pub fn send(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> io::Result<TcpStream> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    let mut text = format!("{method} {path} HTTP/1.1\r\n");
    for (name, value) in headers {
        text += &format!("{name}: {value}\r\n");
    }
    if !body.is_empty() || method != "GET" {
        text += &format!("Content-Length: {}\r\n", body.len());
    }
    text += "\r\n";
    text += body;
    stream.write_all(text.as_bytes())?;
    Ok(stream)
}

/// Sends a request on a new connection and reads the whole response.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
    limit: Duration,
) -> io::Result<Message> {
    let stream = send(address, method, path, headers, body)?;
    stream.set_read_timeout(Some(limit))?;
    let mut reader = BufReader::new(stream);
    let head = read_head(&mut reader)?;
    let mut response = head.ok_or(io::Error::from(io::ErrorKind::UnexpectedEof))?;
    response.body = read_body(&mut reader, &response)?;
    Ok(response)
}
