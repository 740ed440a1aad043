//! A minimal HTTP/1.1 server and client on blocking sockets, enough for the stand-ins of this review.

use std::io::{BufRead, BufReader, Error, ErrorKind, Result, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::time::Duration;

/// A message without its start line.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub fields: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn field(&self, name: &str) -> Option<&str> {
        let found = self.fields.iter().find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }
}

/// A request as a server reads it.
#[derive(Clone, Debug)]
pub struct Request {
    pub method: String,
    pub target: String,
    pub message: Message,
}

impl Request {
    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }

    pub fn query(&self, name: &str) -> Option<&str> {
        let query = self.target.split_once('?')?.1;
        query.split('&').find_map(|pair| {
            let (key, value) = pair.split_once('=')?;
            (key == name).then_some(value)
        })
    }
}

/// Connection that counts nothing and decides nothing; handlers write to it.
pub struct Exchange<'a> {
    pub stream: &'a mut TcpStream,
}

impl Exchange<'_> {
    /// Writes a complete response.
    pub fn respond(&mut self, status: u16, fields: &[(&str, &str)], body: &[u8]) -> Result<()> {
        let mut head = format!("HTTP/1.1 {status} X\r\n");
        for (name, value) in fields {
            head.push_str(&format!("{name}: {value}\r\n"));
        }
        head.push_str(&format!("Content-Length: {}\r\n\r\n", body.len()));
        let mut bytes = head.into_bytes();
        bytes.extend_from_slice(body);
        self.stream.write_all(&bytes)
    }

    /// Writes the head of a chunked response.
    pub fn start_chunks(&mut self, status: u16, fields: &[(&str, &str)]) -> Result<()> {
        let mut head = format!("HTTP/1.1 {status} X\r\nTransfer-Encoding: chunked\r\n");
        for (name, value) in fields {
            head.push_str(&format!("{name}: {value}\r\n"));
        }
        head.push_str("\r\n");
        self.stream.write_all(head.as_bytes())
    }

    pub fn chunk(&mut self, data: &[u8]) -> Result<()> {
        let mut bytes = format!("{:x}\r\n", data.len()).into_bytes();
        bytes.extend_from_slice(data);
        bytes.extend_from_slice(b"\r\n");
        self.stream.write_all(&bytes)
    }
}

fn read_line(reader: &mut impl BufRead) -> Result<String> {
    let mut line = Vec::new();
    reader.read_until(b'\n', &mut line)?;
    if line.last() != Some(&b'\n') {
        return Err(Error::from(ErrorKind::UnexpectedEof));
    }
    while matches!(line.last(), Some(b'\n' | b'\r')) {
        line.pop();
    }
    String::from_utf8(line).map_err(|_| Error::from(ErrorKind::InvalidData))
}

/// Reads the fields and the body that follow a start line. `has_body` is false for responses that never have one.
fn read_message(reader: &mut impl BufRead, is_response: bool) -> Result<Message> {
    let mut message = Message::default();
    loop {
        let line = read_line(reader)?;
        if line.is_empty() {
            break;
        }
        let (name, value) = line.split_once(':').ok_or(ErrorKind::InvalidData)?;
        message.fields.push((name.to_owned(), value.trim().to_owned()));
    }
    let is_chunked = message
        .field("transfer-encoding")
        .is_some_and(|value| value.eq_ignore_ascii_case("chunked"));
    if is_chunked {
        loop {
            let line = read_line(reader)?;
            let size = usize::from_str_radix(line.trim(), 16).map_err(|_| ErrorKind::InvalidData)?;
            let mut data = vec![0; size + 2];
            reader.read_exact(&mut data)?;
            if size == 0 {
                return Ok(message);
            }
            message.body.extend_from_slice(&data[..size]);
        }
    }
    match message.field("content-length") {
        Some(length) => {
            let length = length.parse().map_err(|_| Error::from(ErrorKind::InvalidData))?;
            message.body = vec![0; length];
            reader.read_exact(&mut message.body)?;
        }
        None if is_response => {
            reader.read_to_end(&mut message.body)?;
        }
        None => {}
    }
    Ok(message)
}

/// Serves connections, one thread each; the handler returns false to close the connection.
pub fn serve<H>(listener: TcpListener, handler: Arc<H>)
where
    H: Fn(&Request, &mut Exchange<'_>) -> Result<bool> + Send + Sync + 'static,
{
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            let Ok(stream) = stream else { return };
            let handler = Arc::clone(&handler);
            std::thread::spawn(move || serve_connection(stream, &*handler));
        }
    });
}

/// Serves one connection until it ends.
pub fn serve_connection<H>(mut stream: TcpStream, handler: &H)
where
    H: Fn(&Request, &mut Exchange<'_>) -> Result<bool>,
{
    let _ = stream.set_nodelay(true);
    let Ok(reading) = stream.try_clone() else { return };
    let mut reader = BufReader::new(reading);
    while let Ok(line) = read_line(&mut reader) {
        let mut words = line.split(' ');
        let (Some(method), Some(target)) = (words.next(), words.next()) else {
            break;
        };
        let Ok(message) = read_message(&mut reader, false) else { break };
        let request = Request {
            method: method.to_owned(),
            target: target.to_owned(),
            message,
        };
        let mut exchange = Exchange { stream: &mut stream };
        if !handler(&request, &mut exchange).unwrap_or(false) {
            break;
        }
    }
    let _ = stream.shutdown(Shutdown::Both);
}

/// A client's connection, kept between requests.
pub struct Client {
    address: SocketAddr,
    timeout: Duration,
    open: Option<BufReader<TcpStream>>,
}

/// A response as a client reads it.
#[derive(Clone, Debug)]
pub struct Response {
    pub status: u16,
    pub message: Message,
}

impl Client {
    pub fn new(address: SocketAddr, timeout: Duration) -> Self {
        Self {
            address,
            timeout,
            open: None,
        }
    }

    /// Sends a request and reads the whole response. The connection is kept unless the server closes it.
    pub fn send(&mut self, method: &str, path: &str, fields: &[(&str, &str)], body: &[u8]) -> Result<Response> {
        let result = self.exchange(method, path, fields, body);
        let is_kept = result.as_ref().is_ok_and(|response| {
            let connection = response.message.field("connection");
            !connection.is_some_and(|value| value.eq_ignore_ascii_case("close"))
        });
        if !is_kept {
            self.open = None;
        }
        result
    }

    fn exchange(&mut self, method: &str, path: &str, fields: &[(&str, &str)], body: &[u8]) -> Result<Response> {
        if self.open.is_none() {
            let stream = TcpStream::connect_timeout(&self.address, Duration::from_secs(1))?;
            stream.set_nodelay(true)?;
            stream.set_read_timeout(Some(self.timeout))?;
            stream.set_write_timeout(Some(self.timeout))?;
            self.open = Some(BufReader::new(stream));
        }
        let reader = self.open.as_mut().ok_or(ErrorKind::NotConnected)?;
        let mut head = format!("{method} {path} HTTP/1.1\r\n");
        for (name, value) in fields {
            head.push_str(&format!("{name}: {value}\r\n"));
        }
        head.push_str(&format!("Content-Length: {}\r\n\r\n", body.len()));
        let mut bytes = head.into_bytes();
        bytes.extend_from_slice(body);
        reader.get_mut().write_all(&bytes)?;
        let line = read_line(reader)?;
        let status = line.split(' ').nth(1).and_then(|status| status.parse().ok());
        let status = status.ok_or(ErrorKind::InvalidData)?;
        Ok(Response {
            status,
            message: read_message(reader, true)?,
        })
    }
}
