//! A stand-in of an upstream.
//!
//! The query of a request says how long its work takes (`work`, in milliseconds), how long the
//! upstream works before it reads the body (`first`), over how many milliseconds it sends a long
//! answer (`sending`), and whether it may spoil its answer (`spoil`).

use std::{
    io,
    net::{SocketAddr, TcpListener},
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    net::{Connection, Head},
    record::Record,
};

/// The length of a long answer, and of the part that is sent at once.
pub const LONG_ANSWER_BYTES: usize = 300_000;
const FIRST_PART_BYTES: usize = 100_000;
/// The number of further parts, which are sent in equal steps.
const PARTS: usize = 40;

/// The length of a chunk of an answer.
const CHUNK_BYTES: usize = 10_000;
/// The only upstream that may spoil answers, and which of its answers: less than 3 of 100.
const FAULTY_ID: &str = "i-00000000";
const SPOILT_PERIOD: u64 = 34;

/// What an upstream has seen of one request.
#[derive(Clone, Debug)]
pub struct Run {
    pub request: String,
    pub service: String,
    pub started_s: f64,
    /// When it wrote the whole answer; `None` if the connection ended before.
    pub answered_s: Option<f64>,
    /// When the connection ended before the answer.
    pub broken_off_s: Option<f64>,
}

#[derive(Default)]
pub struct Runs(Mutex<Vec<Run>>);

impl Runs {
    pub fn all(&self) -> Vec<Run> {
        self.0.lock().unwrap().clone()
    }

    pub fn of(&self, request: &str) -> Vec<Run> {
        self.all().into_iter().filter(|run| run.request == request).collect()
    }
}

pub struct Upstream {
    pub id: String,
    pub service: String,
    pub addr: SocketAddr,
    pub zone: String,
    /// The number of answers with a body in chunks.
    long_answers: AtomicU64,
    record: Arc<Record>,
    runs: Arc<Runs>,
}

impl Upstream {
    pub fn start(
        id: &str,
        service: &str,
        zone: &str,
        addr: SocketAddr,
        record: &Arc<Record>,
        runs: &Arc<Runs>,
    ) -> Arc<Upstream> {
        let listener = TcpListener::bind(addr).unwrap_or_else(|e| {
            crate::world::cannot_run(&format!("upstream cannot listen at {addr}: {e}"))
        });
        let upstream = Arc::new(Upstream {
            id: id.to_owned(),
            service: service.to_owned(),
            addr,
            zone: zone.to_owned(),
            long_answers: AtomicU64::new(0),
            record: Arc::clone(record),
            runs: Arc::clone(runs),
        });
        let server = Arc::clone(&upstream);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let server = Arc::clone(&server);
                thread::spawn(move || server.serve(Connection::new(stream)));
            }
        });
        upstream
    }

    /// The entry that the upstream writes to the store.
    pub fn entry(&self, sequence: u64) -> String {
        format!(
            "{{\"backend\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"configVersion\":\"v1\",\
             \"capacity\":8,\"state\":\"ready\",\"warmupLeftS\":0,\"sequence\":{sequence}}}",
            self.service, self.addr, self.zone
        )
    }

    fn serve(&self, mut connection: Connection) {
        while let Ok(head) = connection.read_head() {
            if head.path() == "/healthz" {
                let fields = format!("X-Instance-Id: {}\r\n", self.id);
                if connection.respond("200 OK", &fields, b"").is_err() {
                    return;
                }
                continue;
            }
            if !self.serve_request(&mut connection, &head) {
                return;
            }
        }
    }

    /// Serves a request; returns whether the connection can carry another one.
    fn serve_request(&self, connection: &mut Connection, head: &Head) -> bool {
        let id = head.field("x-request-id").to_owned();
        let echo = format!("X-Request-Id: {id}\r\nX-Instance-Id: {}\r\n", self.id);
        if head.field("x-target-instance") != self.id {
            return connection.respond("421 Misdirected Request", &echo, b"").is_ok();
        }
        let number = self.start_run(&id, head);
        let work = Duration::from_millis(head.parameter("work").unwrap_or(20));
        let first = Duration::from_millis(head.parameter("first").unwrap_or(0));
        if !self.work(connection, first, true) {
            return self.end_run(number, &id, "connection ended before its body was read", false);
        }
        let Ok(body) = connection.read_body(head) else {
            return self.end_run(number, &id, "connection ended within its body", false);
        };
        if !self.work(connection, work, false) {
            return self.end_run(number, &id, "connection ended while at work", false);
        }
        let fields = format!("{echo}X-Response-Signature: {}.{id}\r\n", self.id);
        let answer = format!("{} has run {id} with {} bytes\n", self.id, body.len());
        let answered = match head.parameter("sending") {
            Some(sending_ms) => respond_slowly(connection, &fields, sending_ms),
            None if head.parameter("spoil").is_some() => {
                self.respond_in_chunks(connection, head, &fields)
            }
            None => connection.respond("200 OK", &fields, answer.as_bytes()),
        };
        match answered {
            Ok(()) => self.end_run(number, &id, "answers 200", true),
            Err(_) => self.end_run(number, &id, "connection ended at its answer", false),
        }
    }

    /// Answers with a chunked body. If the request says so, the head of a few answers of the
    /// faulty upstream names a length as well, which is not that of the body.
    fn respond_in_chunks(
        &self,
        connection: &mut Connection,
        head: &Head,
        fields: &str,
    ) -> io::Result<()> {
        let number = self.long_answers.fetch_add(1, Ordering::SeqCst) + 1;
        let is_spoilt = head.parameter("spoil") == Some(1)
            && self.id == FAULTY_ID
            && number % SPOILT_PERIOD == 0;
        let length = match is_spoilt {
            true => format!("Content-Length: {}\r\n", LONG_ANSWER_BYTES / 2),
            false => String::new(),
        };
        if is_spoilt {
            self.record.line(&format!("upstream {} spoils its answer", self.id));
        }
        let head = format!("HTTP/1.1 200 OK\r\n{fields}{length}Transfer-Encoding: chunked\r\n\r\n");
        connection.write(head.as_bytes())?;
        for _ in 0..LONG_ANSWER_BYTES / CHUNK_BYTES {
            connection.write(format!("{CHUNK_BYTES:x}\r\n").as_bytes())?;
            connection.write(&[b'y'; CHUNK_BYTES])?;
            connection.write(b"\r\n")?;
        }
        connection.write(b"0\r\n\r\n")
    }

    /// Works, unless the connection ends. What has arrived is not read meanwhile, so that a
    /// connection whose body waits can be seen to end by its reset only.
    fn work(&self, connection: &mut Connection, time: Duration, has_unread: bool) -> bool {
        let until = Instant::now() + time;
        while Instant::now() < until {
            if !has_unread && connection.is_closed() {
                return false;
            }
            let left = until.saturating_duration_since(Instant::now());
            thread::sleep(left.min(Duration::from_millis(5)));
        }
        true
    }

    fn start_run(&self, id: &str, head: &Head) -> usize {
        let started_s = self.record.now_s();
        self.record.line(&format!(
            "upstream {} ({}) runs {id}, {} bytes, X-Deadline-Ms {}",
            self.id,
            self.service,
            head.length(),
            head.field("x-deadline-ms")
        ));
        let mut runs = self.runs.0.lock().unwrap();
        runs.push(Run {
            request: id.to_owned(),
            service: self.service.clone(),
            started_s,
            answered_s: None,
            broken_off_s: None,
        });
        runs.len() - 1
    }

    fn end_run(&self, number: usize, id: &str, outcome: &str, is_answered: bool) -> bool {
        let now_s = self.record.now_s();
        self.record.line(&format!("upstream {}: {id}: {outcome}", self.id));
        let mut runs = self.runs.0.lock().unwrap();
        let run = &mut runs[number];
        match is_answered {
            true => run.answered_s = Some(now_s),
            false => run.broken_off_s = Some(now_s),
        }
        is_answered
    }
}

/// Sends a long answer without a pause that is longer than a part of the whole time.
fn respond_slowly(connection: &mut Connection, fields: &str, sending_ms: u64) -> io::Result<()> {
    let length = format!("Content-Length: {LONG_ANSWER_BYTES}");
    connection.write(format!("HTTP/1.1 200 OK\r\n{fields}{length}\r\n\r\n").as_bytes())?;
    connection.write(&vec![b'y'; FIRST_PART_BYTES])?;
    for _ in 0..PARTS {
        thread::sleep(Duration::from_millis(sending_ms / PARTS as u64));
        connection.write(&vec![b'y'; (LONG_ANSWER_BYTES - FIRST_PART_BYTES) / PARTS])?;
    }
    Ok(())
}
