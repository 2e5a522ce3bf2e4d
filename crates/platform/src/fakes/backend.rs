//! A fake backend server.

use std::{
    hash::{DefaultHasher, Hash, Hasher},
    net::{IpAddr, SocketAddr},
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering},
    },
    time::{Duration, Instant},
};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    sync::watch,
    time,
};

use super::{
    behaviour::{Behaviour, response_text, success},
    endless::{Endless, EndlessCounts, EndlessPart},
};

/// A server crashes when it executes a request whose path has a segment that begins with
/// this.
pub const CRASH_SEGMENT: &str = "crash-";
/// With this segment, it sends a part of a long response before.
const LATE_CRASH_SEGMENT: &str = "crash-late";
/// A request whose query has this parameter takes that many milliseconds to execute.
const WORK_PARAMETER: &str = "work_ms=";
/// The same for the second half of its response, which is a long one.
const STREAM_PARAMETER: &str = "stream_ms=";
const PARTIAL_RESPONSE_BYTES: usize = 100_000;
/// Time from a crash to the next start, unless the test sets another one.
const CRASH_DOWNTIME: Duration = Duration::from_millis(1_500);
/// Time for which a server executes a request that crashes it.
const TIME_TO_CRASH: Duration = Duration::from_millis(30);

/// Time after which a server reads the rest of a body that it has answered early.
const EARLY_ANSWER_PAUSE: Duration = Duration::from_millis(60);
/// A small buffer, so that a long body waits at its sender until it is read.
const RECEIVE_BUFFER_BYTES: usize = 16 << 10;

/// The response that a connection repeats.
enum LateCopy {
    None,
    Pending(String),
    Sent,
}

/// A request that the fake received.
#[derive(Clone, Debug)]
pub struct ReceivedRequest {
    /// The method and path, separated by a space.
    pub method_and_path: String,
    /// The value of `X-Request-Id`.
    pub id: String,
    /// The address of the instance that sent it.
    pub sender: IpAddr,
    /// The value of `X-Deadline-Ms`, 0 if missing.
    pub deadline_ms: u64,
    /// The value of `X-Target-Instance`.
    pub target_backend: String,
    /// Whether the request was executed; rejected and misdirected ones are not.
    pub is_executed: bool,
    /// The body, or what has arrived of it.
    pub body: Vec<u8>,
    /// Whether the whole body has arrived.
    pub is_complete: bool,
    /// When the request was complete, or answered before.
    pub received_at: Instant,
    /// When the client closed the connection before the response was sent.
    pub cancelled_at: Option<Instant>,
    /// When the request crashed the server.
    pub crashed_at: Option<Instant>,
    /// When the server responded with its rate limit.
    pub limit_named_at: Option<Instant>,
    /// When the server responded with 503 and a pause, and how long it is.
    pub pushed_back: Option<(Instant, Duration)>,
    /// When the server responded and said that it is leaving.
    pub leaving_said_at: Option<Instant>,
}

/// A fake backend server on a port of its own, which records the requests that it
/// receives. After a crash it starts again under another id, unless it keeps its id.
#[derive(Clone)]
pub struct FakeBackend {
    addr: SocketAddr,
    shared: Arc<Shared>,
}

/// The number of a server's starts and whether it is up.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct Run {
    starts: u32,
    is_up: bool,
}

struct Shared {
    name: String,
    run: watch::Sender<Run>,
    is_up: watch::Sender<bool>,
    crash_downtime: Mutex<Duration>,
    /// The value of `Server-Limit` in responses, and since when it is sent.
    rate_limit: Mutex<Option<(String, Instant)>>,
    /// Further header lines of responses, each with its line end.
    headers: Mutex<String>,
    /// Connections beyond this number are reset.
    max_connections: AtomicUsize,
    /// Whether it starts again under the id that it had.
    keeps_id: AtomicBool,
    idle_timeout: Mutex<Duration>,
    connections: AtomicUsize,
    endless: EndlessCounts,
    behaviour: Mutex<Behaviour>,
    /// The number of choices among mixed behaviours.
    choices: AtomicU64,
    received: Mutex<Vec<ReceivedRequest>>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl FakeBackend {
    /// Starts a server with the id `id` at the loopback address `ip`.
    ///
    /// # Panics
    ///
    /// Panics if no port can be opened.
    pub async fn start(id: &str, ip: &str) -> FakeBackend {
        let listener = TcpListener::bind((ip, 0)).await.expect("a loopback port is free");
        let _ = socket2::SockRef::from(&listener).set_recv_buffer_size(RECEIVE_BUFFER_BYTES);
        let addr = listener.local_addr().expect("the port is open");
        let shared = Arc::new(Shared {
            name: id.to_owned(),
            run: watch::Sender::new(Run { starts: 1, is_up: true }),
            is_up: watch::Sender::new(true),
            crash_downtime: Mutex::new(CRASH_DOWNTIME),
            rate_limit: Mutex::default(),
            headers: Mutex::default(),
            max_connections: AtomicUsize::new(usize::MAX),
            keeps_id: AtomicBool::new(false),
            idle_timeout: Mutex::new(Duration::MAX),
            connections: AtomicUsize::new(0),
            endless: EndlessCounts::default(),
            behaviour: Mutex::default(),
            choices: AtomicU64::new(0),
            received: Mutex::default(),
        });
        tokio::spawn(run(listener, addr, Arc::clone(&shared)));
        FakeBackend { addr, shared }
    }

    /// Returns the id of the server's current or next start.
    pub fn id(&self) -> String {
        self.shared.id()
    }

    /// Sets the time from a crash to the next start.
    pub fn set_crash_downtime(&self, downtime: Duration) {
        *lock(&self.shared.crash_downtime) = downtime;
    }

    /// Names a rate limit in all further responses of this run, or no limit any more. `text` is the
    /// value of the header.
    pub fn set_rate_limit(&self, text: Option<&str>) {
        let limit = text.map(|text| (text.to_owned(), Instant::now()));
        *lock(&self.shared.rate_limit) = limit;
    }

    /// Returns the rate limit that the server names, and since when.
    pub fn rate_limit(&self) -> Option<(String, Instant)> {
        lock(&self.shared.rate_limit).clone()
    }

    /// Adds header lines to all further responses of this run, those to misdirected requests
    /// included.
    pub fn set_headers(&self, lines: &[&str]) {
        *lock(&self.shared.headers) = lines.iter().map(|line| format!("{line}\r\n")).collect();
    }

    /// Lets the server start again under the id that it had after a crash.
    pub fn keep_id(&self) {
        self.shared.keeps_id.store(true, Ordering::Relaxed);
    }

    /// Resets further connections while `count` are open, and closes them once they are idle for
    /// `idle_timeout`.
    pub fn limit_connections(&self, count: usize, idle_timeout: Duration) {
        self.shared.max_connections.store(count, Ordering::Relaxed);
        *lock(&self.shared.idle_timeout) = idle_timeout;
    }

    /// Returns the number of open connections.
    pub fn connections(&self) -> usize {
        self.shared.connections.load(Ordering::Relaxed)
    }

    /// Returns how many bytes [`Behaviour::Endless`] has sent.
    pub fn endless_bytes(&self) -> u64 {
        self.shared.endless.sent_bytes.load(Ordering::Relaxed)
    }

    /// Returns on how many connections [`Behaviour::Endless`] is sending.
    pub fn endless_connections(&self) -> usize {
        self.shared.endless.connections.load(Ordering::Relaxed)
    }

    /// Ends the server as a crash does: without a response to any request.
    pub fn crash(&self) {
        self.shared.crash();
    }

    /// Returns whether the server is up, and notifies of changes.
    pub fn subscribe_up(&self) -> watch::Receiver<bool> {
        self.shared.is_up.subscribe()
    }

    /// Waits until the server has crashed and started again, and returns the id under which
    /// it crashed.
    pub async fn restarted(&self) -> String {
        let crashed = self.id();
        let mut run = self.shared.run.subscribe();
        let starts = run.borrow().starts;
        // The sender lives as long as `self`.
        let _ = run.wait_for(|run| run.starts > starts).await;
        crashed
    }

    /// Returns the server's address.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Sets how further requests are handled.
    pub fn set(&self, behaviour: Behaviour) {
        *lock(&self.shared.behaviour) = behaviour;
    }

    /// Returns all requests received so far.
    pub fn received(&self) -> Vec<ReceivedRequest> {
        lock(&self.shared.received).clone()
    }
}

impl Shared {
    fn id(&self) -> String {
        let starts = self.run.borrow().starts;
        match starts == 1 || self.keeps_id.load(Ordering::Relaxed) {
            true => self.name.clone(),
            false => format!("{}.{starts}", self.name),
        }
    }

    /// Returns how to handle the next request, and whether its response is repeated.
    fn next_behaviour(&self, late_copy: &LateCopy) -> (Behaviour, bool) {
        let behaviour = lock(&self.behaviour).clone();
        let (behaviour, is_mixed) = match behaviour {
            Behaviour::Mixed(shares) => (self.choose(&shares), true),
            other => (other, false),
        };
        match behaviour {
            Behaviour::LateCopy(first) if is_mixed || matches!(late_copy, LateCopy::None) => {
                (*first, true)
            }
            Behaviour::LateCopy(_) => (Behaviour::Respond, false),
            other => (other, false),
        }
    }

    fn choose(&self, shares: &[(u64, Behaviour)]) -> Behaviour {
        let mut hash = DefaultHasher::new();
        (&self.name, self.choices.fetch_add(1, Ordering::Relaxed)).hash(&mut hash);
        let mut rest = hash.finish() % 100;
        for (share, behaviour) in shares {
            match rest.checked_sub(*share) {
                Some(left) => rest = left,
                None => return behaviour.clone(),
            }
        }
        Behaviour::Respond
    }

    fn crash(&self) {
        self.run.send_if_modified(|run| std::mem::replace(&mut run.is_up, false));
        *lock(&self.rate_limit) = None;
        lock(&self.headers).clear();
        self.is_up.send_replace(false);
    }

    async fn crashed(&self) {
        // The sender lives as long as `self`.
        let _ = self.run.subscribe().wait_for(|run| !run.is_up).await;
    }
}

/// Runs the server, and starts it again after each crash.
async fn run(mut listener: TcpListener, addr: SocketAddr, shared: Arc<Shared>) {
    loop {
        tokio::select! {
            () = accept(&listener, &shared) => return,
            () = shared.crashed() => {}
        }
        drop(listener);
        let downtime = *lock(&shared.crash_downtime);
        time::sleep(downtime).await;
        listener = TcpListener::bind(addr).await.expect("the port is still free");
        shared.run.send_modify(|run| *run = Run { starts: run.starts + 1, is_up: true });
        shared.is_up.send_replace(true);
    }
}

async fn accept(listener: &TcpListener, shared: &Arc<Shared>) {
    while let Ok((stream, sender)) = listener.accept().await {
        if shared.connections.load(Ordering::Relaxed)
            >= shared.max_connections.load(Ordering::Relaxed)
        {
            let _ = socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO));
            continue;
        }
        let shared = Arc::clone(shared);
        tokio::spawn(async move {
            shared.connections.fetch_add(1, Ordering::Relaxed);
            tokio::select! {
                () = serve(stream, sender.ip(), &shared) => {}
                () = shared.crashed() => {}
            }
            shared.connections.fetch_sub(1, Ordering::Relaxed);
        });
    }
}

async fn serve(mut stream: TcpStream, sender: IpAddr, shared: &Shared) {
    let mut bytes = Vec::new();
    let mut last_id = "none".to_owned();
    let mut late_copy = LateCopy::None;
    let behaviour = lock(&shared.behaviour).clone();
    if let Behaviour::Endless(endless @ Endless { part: EndlessPart::Unsolicited, .. }) = behaviour
    {
        return endless.send(&mut stream, "", &shared.endless).await;
    }
    loop {
        let idle_timeout = *lock(&shared.idle_timeout);
        let head = time::timeout(idle_timeout, read_head(&mut stream, &mut bytes)).await;
        let Ok(Some((mut received, length))) = head else { return };
        received.sender = sender;
        let is_for_another = received.target_backend != shared.id();
        let (behaviour, repeats) = match is_for_another {
            true => (Behaviour::Misdirect, false),
            false => shared.next_behaviour(&late_copy),
        };
        if !behaviour.is_early() {
            received.is_complete = read_body(&mut stream, &mut bytes, length).await;
            if !received.is_complete {
                return;
            }
            received.body = bytes.drain(..length).collect();
            received.received_at = Instant::now();
        }
        let behaviour = requested_behaviour(&received.method_and_path, behaviour);
        received.is_executed = !behaviour.is_rejection();
        let crashes =
            received.is_executed && received.method_and_path.contains(&format!("/{CRASH_SEGMENT}"));
        let is_late_crash = received.method_and_path.contains(&format!("/{LATE_CRASH_SEGMENT}"));
        let id = received.id.clone();
        let index = {
            let mut all = lock(&shared.received);
            all.push(received);
            all.len() - 1
        };
        if crashes {
            if is_late_crash {
                send_partial_response(&mut stream, &id).await;
            }
            time::sleep(TIME_TO_CRASH).await;
            lock(&shared.received)[index].crashed_at = Some(Instant::now());
            return shared.crash();
        }
        if let Behaviour::Delay(pause) = behaviour {
            let mut end = [0; 1];
            tokio::select! {
                () = time::sleep(pause) => {}
                _ = stream.peek(&mut end) => {
                    lock(&shared.received)[index].cancelled_at = Some(Instant::now());
                    return;
                }
            }
        }
        let limit = lock(&shared.rate_limit).clone().map(|(text, _)| text);
        let names_limit = limit.is_some() && behaviour.is_answer();
        lock(&shared.received)[index].limit_named_at = names_limit.then(Instant::now);
        if let Behaviour::PushBack(pause) = behaviour {
            lock(&shared.received)[index].pushed_back = Some((Instant::now(), pause));
        }
        let mut headers = lock(&shared.headers).clone();
        // Another server responds when it misdirects.
        if let Some(limit) = limit.filter(|_| behaviour != Behaviour::Misdirect) {
            headers += &format!("Server-Limit: {limit}\r\n");
        }
        if headers.contains("Server-Leaving: 1") && behaviour.is_answer() {
            lock(&shared.received)[index].leaving_said_at = Some(Instant::now());
        }
        if let Behaviour::Endless(endless) = behaviour {
            return endless.send(&mut stream, &id, &shared.endless).await;
        }
        if let LateCopy::Pending(copy) = &late_copy {
            if stream.write_all(copy.as_bytes()).await.is_err() {
                return;
            }
            late_copy = LateCopy::Sent;
        }
        let text = response_text(&behaviour, &id, &last_id, &headers);
        if !respond(&mut stream, &behaviour, &text).await {
            return;
        }
        if behaviour.is_early() {
            time::sleep(EARLY_ANSWER_PAUSE).await;
            let is_complete = read_body(&mut stream, &mut bytes, length).await;
            let length = length.min(bytes.len());
            let received = &mut lock(&shared.received)[index];
            received.body = bytes.drain(..length).collect();
            received.is_complete = is_complete;
        }
        if repeats {
            late_copy = LateCopy::Pending(text);
        }
        last_id = id;
    }
}

/// Returns how to handle a request that an otherwise sound server is asked to handle in a way.
fn requested_behaviour(path: &str, behaviour: Behaviour) -> Behaviour {
    let duration = |name| {
        let (_, text) = path.split_once(name)?;
        let digits = text.split(|c: char| !c.is_ascii_digit()).next()?;
        digits.parse().ok().map(Duration::from_millis)
    };
    if !matches!(behaviour, Behaviour::Respond | Behaviour::Delay(_)) {
        return behaviour;
    }
    match (duration(WORK_PARAMETER), duration(STREAM_PARAMETER)) {
        (Some(work), _) => Behaviour::Delay(work),
        (None, Some(rest)) => Behaviour::Stream(rest),
        (None, None) => behaviour,
    }
}

/// Sends a response; returns whether the connection stays open.
async fn respond(stream: &mut TcpStream, behaviour: &Behaviour, text: &str) -> bool {
    let mut text = text.as_bytes();
    if let Behaviour::Stream(delay) = behaviour {
        let (first, rest) = text.split_at(text.len() / 2);
        if stream.write_all(first).await.is_err() {
            return false;
        }
        time::sleep(*delay).await;
        text = rest;
    }
    let is_sent = stream.write_all(text).await.is_ok();
    let resets =
        matches!(behaviour, Behaviour::CloseDelimitedReset | Behaviour::ResetBeforeBody(_));
    if resets {
        // Without the delay, the reset would discard bytes that were not yet read.
        time::sleep(Duration::from_millis(50)).await;
        let _ = socket2::SockRef::from(&*stream).set_linger(Some(Duration::ZERO));
    }
    let closes = matches!(
        behaviour,
        Behaviour::DropResponse
            | Behaviour::Truncate
            | Behaviour::Close
            | Behaviour::CloseDelimited
            | Behaviour::CloseDelimitedReset
            | Behaviour::ResetBeforeBody(_)
    );
    is_sent && !closes
}

async fn send_partial_response(stream: &mut TcpStream, id: &str) {
    let body = "x".repeat(PARTIAL_RESPONSE_BYTES);
    let text = success(id, Some(2 * PARTIAL_RESPONSE_BYTES), &body);
    // The server crashes in any case.
    let _ = stream.write_all(text.as_bytes()).await;
}

/// Reads the head of a request; returns it with the length of its body.
async fn read_head(
    stream: &mut TcpStream,
    bytes: &mut Vec<u8>,
) -> Option<(ReceivedRequest, usize)> {
    let head_end = loop {
        if let Some(at) = bytes.windows(4).position(|window| window == b"\r\n\r\n") {
            break at + 4;
        }
        fill(stream, bytes).await?;
    };
    let head = String::from_utf8_lossy(&bytes[..head_end]).into_owned();
    bytes.drain(..head_end);
    let field = |name: &str| {
        let line = head.lines().find(|line| {
            line.split_once(':').is_some_and(|(key, _)| key.eq_ignore_ascii_case(name))
        });
        line.and_then(|line| line.split_once(':')).map(|(_, value)| value.trim().to_owned())
    };
    let length = field("content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
    let line = head.lines().next().unwrap_or_default();
    let received = ReceivedRequest {
        method_and_path: line.trim_end_matches(" HTTP/1.1").to_owned(),
        id: field("x-request-id").unwrap_or_default(),
        sender: IpAddr::from([0, 0, 0, 0]),
        deadline_ms: field("x-deadline-ms").and_then(|text| text.parse().ok()).unwrap_or(0),
        target_backend: field("x-target-instance").unwrap_or_default(),
        is_executed: false,
        body: Vec::new(),
        is_complete: false,
        received_at: Instant::now(),
        cancelled_at: None,
        crashed_at: None,
        limit_named_at: None,
        pushed_back: None,
        leaving_said_at: None,
    };
    Some((received, length))
}

/// Reads until `bytes` has the whole body; returns false if the connection ends before.
async fn read_body(stream: &mut TcpStream, bytes: &mut Vec<u8>, length: usize) -> bool {
    while bytes.len() < length {
        if fill(stream, bytes).await.is_none() {
            return false;
        }
    }
    true
}

async fn fill(stream: &mut TcpStream, bytes: &mut Vec<u8>) -> Option<()> {
    let mut buffer = [0; 4096];
    match stream.read(&mut buffer).await {
        Ok(count @ 1..) => {
            bytes.extend_from_slice(&buffer[..count]);
            Some(())
        }
        Ok(0) | Err(_) => None,
    }
}
