//! Reads and writes HTTP/1.1 messages.

use std::{
    io::{self, Read},
    net::TcpStream,
    time::{Duration, Instant},
};

/// A request as an upstream or the store received it.
pub struct Request {
    pub method: String,
    pub path: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn header(&self, name: &str) -> &str {
        find(&self.headers, name)
    }

    /// Returns the value of a field of the query, without decoding it.
    pub fn query(&self, name: &str) -> &str {
        let query = self.path.split_once('?').map_or("", |(_, query)| query);
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.find(|(key, _)| *key == name).map_or("", |(_, value)| value)
    }
}

/// A response as a client received it.
pub struct Response {
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Response {
    pub fn header(&self, name: &str) -> &str {
        find(&self.headers, name)
    }
}

/// Why a client has no complete response.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum NoResponse {
    /// The connection ended first.
    Closed,
    /// The client gave up waiting.
    TimedOut,
}

fn find<'a>(headers: &'a [(String, String)], name: &str) -> &'a str {
    headers.iter().find(|(key, _)| key == name).map_or("", |(_, value)| value)
}

/// A connection with the bytes that were read and not used yet.
pub struct Connection {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl Connection {
    pub fn new(stream: TcpStream) -> Connection {
        let _ = stream.set_nodelay(true);
        Connection { stream, buffer: Vec::new() }
    }

    /// Returns whether the peer has closed the connection.
    pub fn is_closed_by_peer(&self) -> bool {
        let _ = self.stream.set_nonblocking(true);
        let closed = match self.stream.peek(&mut [0]) {
            Ok(0) => true,
            Ok(_) => false,
            Err(e) => e.kind() != io::ErrorKind::WouldBlock,
        };
        let _ = self.stream.set_nonblocking(false);
        closed
    }

    /// Reads a request; `None` if the connection ended.
    pub fn read_request(&mut self) -> Option<Request> {
        let (line, headers) = self.read_head(None).ok()?;
        let mut words = line.split(' ');
        let method = words.next()?.to_owned();
        let path = words.next()?.to_owned();
        let body = self.read_body(&headers, false, None).ok()?;
        Some(Request { method, path, headers, body })
    }

    /// Reads a complete response.
    pub fn read_response(&mut self, deadline: Instant) -> Result<Response, NoResponse> {
        let (line, headers) = self.read_head(Some(deadline))?;
        let status = line.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or(0);
        let body = self.read_body(&headers, true, Some(deadline))?;
        Ok(Response { status, headers, body })
    }

    fn read_head(
        &mut self,
        deadline: Option<Instant>,
    ) -> Result<(String, Vec<(String, String)>), NoResponse> {
        let end = loop {
            if let Some(at) = self.buffer.windows(4).position(|bytes| bytes == b"\r\n\r\n") {
                break at + 4;
            }
            self.fill(deadline)?;
        };
        let head: Vec<u8> = self.buffer.drain(..end).collect();
        let head = String::from_utf8_lossy(&head).into_owned();
        let mut lines = head.split("\r\n");
        let first = lines.next().unwrap_or_default().to_owned();
        let headers = lines.filter_map(|line| line.split_once(':'));
        let headers = headers
            .map(|(name, value)| (name.trim().to_ascii_lowercase(), value.trim().to_owned()))
            .collect();
        Ok((first, headers))
    }

    fn read_body(
        &mut self,
        headers: &[(String, String)],
        is_response: bool,
        deadline: Option<Instant>,
    ) -> Result<Vec<u8>, NoResponse> {
        if find(headers, "transfer-encoding").eq_ignore_ascii_case("chunked") {
            return self.read_chunks(deadline);
        }
        if let Ok(length) = find(headers, "content-length").parse::<usize>() {
            return self.take(length, deadline);
        }
        if !is_response {
            return Ok(Vec::new());
        }
        // A response without a length ends with its connection.
        loop {
            match self.fill(deadline) {
                Ok(()) => {}
                Err(NoResponse::Closed) => return Ok(std::mem::take(&mut self.buffer)),
                Err(NoResponse::TimedOut) => return Err(NoResponse::TimedOut),
            }
        }
    }

    fn read_chunks(&mut self, deadline: Option<Instant>) -> Result<Vec<u8>, NoResponse> {
        let mut body = Vec::new();
        loop {
            let end = loop {
                if let Some(at) = self.buffer.windows(2).position(|bytes| bytes == b"\r\n") {
                    break at;
                }
                self.fill(deadline)?;
            };
            let line = self.take(end + 2, deadline)?;
            let size = String::from_utf8_lossy(&line[..end]).into_owned();
            let size = usize::from_str_radix(size.trim(), 16).map_err(|_| NoResponse::Closed)?;
            body.extend(self.take(size, deadline)?);
            self.take(2, deadline)?;
            if size == 0 {
                return Ok(body);
            }
        }
    }

    fn take(&mut self, count: usize, deadline: Option<Instant>) -> Result<Vec<u8>, NoResponse> {
        while self.buffer.len() < count {
            self.fill(deadline)?;
        }
        Ok(self.buffer.drain(..count).collect())
    }

    fn fill(&mut self, deadline: Option<Instant>) -> Result<(), NoResponse> {
        if let Some(deadline) = deadline {
            let left = deadline.saturating_duration_since(Instant::now());
            if left < Duration::from_millis(1) {
                return Err(NoResponse::TimedOut);
            }
            let _ = self.stream.set_read_timeout(Some(left));
        }
        let mut bytes = [0; 16_384];
        match self.stream.read(&mut bytes) {
            Ok(0) => Err(NoResponse::Closed),
            Ok(count) => {
                self.buffer.extend_from_slice(&bytes[..count]);
                Ok(())
            }
            Err(e) if e.kind() == io::ErrorKind::Interrupted => Ok(()),
            Err(e) if matches!(e.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut) => {
                Err(NoResponse::TimedOut)
            }
            Err(_) => Err(NoResponse::Closed),
        }
    }
}
