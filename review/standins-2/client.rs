//! Clients.

use std::{
    io,
    net::SocketAddr,
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

use crate::{net::Connection, record::Record};

/// How a request ended for its client.
#[derive(Clone, Debug)]
pub struct Outcome {
    pub id: String,
    /// When its last byte was sent.
    pub sent_s: f64,
    pub ended_s: f64,
    /// The status; 0 if the connection ended without a complete answer or the client gave up.
    pub status: u16,
    /// Whether the answer bears a signature of an upstream.
    pub is_signed: bool,
    pub retry_after: String,
    pub closes: bool,
    pub body_bytes: usize,
    pub error: String,
}

/// A request to send.
#[derive(Clone, Debug)]
pub struct Request<'a> {
    pub id: &'a str,
    pub method: &'a str,
    pub path: &'a str,
    pub body_bytes: usize,
    /// The rate at which the body is sent; 0 for no limit.
    pub bytes_per_s: usize,
    pub deadline_ms: u64,
}

pub const HOST: &str = "ficu95.example";
const CHUNK_BYTES: usize = 64 << 10;

/// Sends a request on a connection and waits for its answer until the deadline has passed by a
/// second.
pub fn send(connection: &mut Connection, request: &Request<'_>, record: &Arc<Record>) -> Outcome {
    let mut outcome = Outcome {
        id: request.id.to_owned(),
        sent_s: record.now_s(),
        ended_s: 0.0,
        status: 0,
        is_signed: false,
        retry_after: String::new(),
        closes: true,
        body_bytes: 0,
        error: String::new(),
    };
    record.line(&format!(
        "client sends {} {} {}, {} bytes, X-Deadline-Ms {}",
        request.id, request.method, request.path, request.body_bytes, request.deadline_ms
    ));
    let patience = Duration::from_millis(request.deadline_ms + 1_000);
    let _ = connection.stream.set_read_timeout(Some(patience));
    let _ = connection.stream.set_write_timeout(Some(patience));
    let result = exchange(connection, request, record, &mut outcome);
    outcome.ended_s = record.now_s();
    if let Err(e) = result {
        outcome.status = 0;
        outcome.error = e.to_string();
    }
    record.line(&format!(
        "client: {} ends: {}{}{}",
        request.id,
        match outcome.status {
            0 => format!("no complete answer ({})", outcome.error),
            status => format!("status {status}, {} bytes", outcome.body_bytes),
        },
        if outcome.is_signed { ", signed" } else { "" },
        if outcome.retry_after.is_empty() {
            String::new()
        } else {
            format!(", Retry-After {}", outcome.retry_after)
        }
    ));
    outcome
}

fn exchange(
    connection: &mut Connection,
    request: &Request<'_>,
    record: &Record,
    outcome: &mut Outcome,
) -> io::Result<()> {
    let Request { id, method, path, body_bytes, bytes_per_s, deadline_ms } = request;
    let length = match *method {
        "GET" => String::new(),
        _ => format!("Content-Length: {body_bytes}\r\n"),
    };
    let head = format!(
        "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: {id}\r\n\
         X-Deadline-Ms: {deadline_ms}\r\n{length}\r\n"
    );
    connection.write(head.as_bytes())?;
    let started_at = Instant::now();
    let chunk = vec![b'x'; CHUNK_BYTES];
    let mut sent = 0;
    while sent < *body_bytes {
        let count = CHUNK_BYTES.min(body_bytes - sent);
        connection.write(&chunk[..count])?;
        sent += count;
        if *bytes_per_s > 0 {
            let due = Duration::from_secs_f64(sent as f64 / *bytes_per_s as f64);
            thread::sleep(due.saturating_sub(started_at.elapsed()));
        }
    }
    outcome.sent_s = record.now_s();
    let head = connection.read_head()?;
    outcome.body_bytes = connection.read_body(&head)?.len();
    outcome.status = head.status();
    outcome.is_signed = !head.field("x-response-signature").is_empty();
    outcome.retry_after = head.field("retry-after").to_owned();
    outcome.closes = head.field("connection").eq_ignore_ascii_case("close");
    Ok(())
}

/// Sends a request on a connection of its own.
pub fn send_once(addr: SocketAddr, request: &Request<'_>, record: &Arc<Record>) -> Outcome {
    match Connection::open(addr) {
        Ok(mut connection) => send(&mut connection, request, record),
        Err(e) => {
            record.line(&format!("client cannot connect for {}: {e}", request.id));
            let now_s = record.now_s();
            Outcome {
                id: request.id.to_owned(),
                sent_s: now_s,
                ended_s: now_s,
                status: 0,
                is_signed: false,
                retry_after: String::new(),
                closes: true,
                body_bytes: 0,
                error: "not connected".to_owned(),
            }
        }
    }
}

/// Calls `GET path`; returns the status and the body.
pub fn get(addr: SocketAddr, path: &str) -> io::Result<(u16, String)> {
    let mut connection = Connection::open(addr)?;
    let _ = connection.stream.set_read_timeout(Some(Duration::from_secs(1)));
    connection.write(format!("GET {path} HTTP/1.1\r\nHost: {addr}\r\n\r\n").as_bytes())?;
    let head = connection.read_head()?;
    let body = connection.read_body(&head)?;
    Ok((head.status(), String::from_utf8_lossy(&body).into_owned()))
}
