//! HTTP/1.1 over plain sockets: just what the stand-ins need.

use std::{
    collections::BTreeMap,
    io::{self, Read, Write},
    net::{IpAddr, SocketAddr, TcpListener, TcpStream},
    time::{Duration, Instant},
};

/// The head of a request or of a response.
#[derive(Clone, Debug, Default)]
pub struct Head {
    /// The request line or the status line.
    pub line: String,
    /// The fields, with names in lower case.
    pub fields: BTreeMap<String, String>,
}

impl Head {
    pub fn field(&self, name: &str) -> &str {
        self.fields.get(name).map_or("", String::as_str)
    }

    pub fn path(&self) -> &str {
        self.line.split(' ').nth(1).unwrap_or_default()
    }

    pub fn status(&self) -> u16 {
        self.line.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or_default()
    }

    pub fn length(&self) -> usize {
        self.field("content-length").parse().unwrap_or_default()
    }

    pub fn is_chunked(&self) -> bool {
        self.field("transfer-encoding").contains("chunked")
    }

    /// The value of a parameter in the query of the path.
    pub fn parameter(&self, name: &str) -> Option<u64> {
        let query = self.path().split_once('?')?.1;
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.find(|(key, _)| *key == name)?.1.parse().ok()
    }
}

/// A connection with a buffer of what was read beyond the last message.
pub struct Connection {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl Connection {
    pub fn new(stream: TcpStream) -> Connection {
        let _ = stream.set_nodelay(true);
        Connection { stream, buffer: Vec::new() }
    }

    /// Connects to `addr` within a second.
    pub fn open(addr: SocketAddr) -> io::Result<Connection> {
        TcpStream::connect_timeout(&addr, Duration::from_secs(1)).map(Connection::new)
    }

    fn fill(&mut self) -> io::Result<()> {
        let mut bytes = [0; 65_536];
        let count = self.stream.read(&mut bytes)?;
        if count == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        self.buffer.extend_from_slice(&bytes[..count]);
        Ok(())
    }

    pub fn read_head(&mut self) -> io::Result<Head> {
        loop {
            let end = self.buffer.windows(4).position(|window| window == b"\r\n\r\n");
            if let Some(end) = end {
                let text = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
                self.buffer.drain(..end + 4);
                let mut lines = text.lines();
                let mut head =
                    Head { line: lines.next().unwrap_or_default().to_owned(), ..Head::default() };
                for (name, value) in lines.filter_map(|line| line.split_once(':')) {
                    head.fields.insert(name.to_ascii_lowercase(), value.trim().to_owned());
                }
                return Ok(head);
            }
            self.fill()?;
        }
    }

    pub fn read_exact(&mut self, length: usize) -> io::Result<Vec<u8>> {
        while self.buffer.len() < length {
            self.fill()?;
        }
        Ok(self.buffer.drain(..length).collect())
    }

    /// Reads a body whose length the head gives, or whose chunks do.
    pub fn read_body(&mut self, head: &Head) -> io::Result<Vec<u8>> {
        if !head.is_chunked() {
            return self.read_exact(head.length());
        }
        let mut body = Vec::new();
        loop {
            let size = usize::from_str_radix(self.read_line()?.trim(), 16)
                .map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
            body.extend(self.read_exact(size)?);
            self.read_line()?;
            if size == 0 {
                return Ok(body);
            }
        }
    }

    fn read_line(&mut self) -> io::Result<String> {
        loop {
            if let Some(end) = self.buffer.iter().position(|byte| *byte == b'\n') {
                let line: Vec<u8> = self.buffer.drain(..=end).collect();
                return Ok(String::from_utf8_lossy(&line).into_owned());
            }
            self.fill()?;
        }
    }

    /// Returns whether the peer has closed or reset the connection.
    pub fn is_closed(&mut self) -> bool {
        let _ = self.stream.set_read_timeout(Some(Duration::from_millis(1)));
        let result = self.stream.peek(&mut [0]);
        let _ = self.stream.set_read_timeout(None);
        match result {
            Ok(0) => true,
            Ok(_) => false,
            Err(e) => !matches!(e.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut),
        }
    }

    pub fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }

    pub fn respond(&mut self, status: &str, fields: &str, body: &[u8]) -> io::Result<()> {
        let length = body.len();
        let mut bytes =
            format!("HTTP/1.1 {status}\r\n{fields}Content-Length: {length}\r\n\r\n").into_bytes();
        bytes.extend_from_slice(body);
        self.write(&bytes)
    }
}

/// Returns a port that is free at all of `ips`.
pub fn free_port(ips: &[IpAddr], taken: &[u16]) -> u16 {
    let start = Instant::now();
    while start.elapsed() < Duration::from_secs(5) {
        let Ok(listener) = TcpListener::bind((ips[0], 0)) else { continue };
        let Ok(port) = listener.local_addr().map(|addr| addr.port()) else { continue };
        drop(listener);
        let is_free = |ip: &IpAddr| TcpListener::bind((*ip, port)).is_ok();
        if !taken.contains(&port) && ips.iter().all(is_free) {
            return port;
        }
    }
    crate::world::cannot_run("no free port")
}
