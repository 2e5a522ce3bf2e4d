//! One connection of a client.

use std::{cell::Cell, convert::Infallible, pin::pin, rc::Rc, time::Duration};

use azuregate_core::balance::ClientLimits;
use hyper::{Request, Response, body::Incoming, header, server::conn::http1, service::service_fn};
use tokio::{
    net::TcpStream,
    time::{self, Instant},
};

use super::{
    client_stream,
    phase::Phase,
    pipeline::{Pipeline, Scanner},
    request,
    state::State,
    stop,
    streaming::Answer,
};

/// The smallest buffer that the HTTP server accepts.
const LEAST_BUFFER_BYTES: usize = 8 << 10;
/// Limits before the first configuration.
const FIRST_LIMITS: ClientLimits = ClientLimits {
    header_bytes: 16 << 10,
    body_bytes: 1 << 20,
    header_timeout_ms: 3_000,
    idle_timeout_ms: 15_000,
};
/// How much longer than allowed a connection may stay idle: what clients send in
/// the last moment must not meet a closed connection.
const IDLE_SLACK_MS: u64 = 1_000;
/// How much longer than allowed a head may take: one that was sent in time may
/// have been held up on the way, by a lost packet or two.
const HEAD_SLACK_MS: u64 = 1_000;
/// How long a client that has connected may take to send its first request while
/// the instance stops: several times the way there, with a packet lost.
const FIRST_REQUEST_MS: u64 = 700;

/// What is known of a connection's use.
#[derive(Default)]
struct Usage {
    at_work: Cell<u32>,
    idle_since_ms: Cell<u64>,
    has_served: Cell<bool>,
    /// Since when a part of a head has been there, while the rest has not come.
    in_head_since_ms: Cell<Option<u64>>,
    pipeline: Pipeline,
}

impl Usage {
    fn is_in_head(&self, is_in_head: bool, now_ms: u64) {
        let since_ms = self.in_head_since_ms.get().unwrap_or(now_ms);
        self.in_head_since_ms.set(is_in_head.then_some(since_ms));
    }

    /// Whether the client keeps the connection with a head that never ends. Behind
    /// a request that is at work, the rest may have come and not been read.
    fn takes_too_long(&self, head_ms: u64, now_ms: u64) -> bool {
        let since_ms = self.in_head_since_ms.get();
        self.at_work.get() == 0
            && since_ms.is_some_and(|since_ms| now_ms.saturating_sub(since_ms) >= head_ms)
    }

    fn is_idle(&self, idle_ms: u64, now_ms: u64) -> bool {
        let idle = now_ms.saturating_sub(self.idle_since_ms.get());
        self.at_work.get() == 0 && idle >= idle_ms
    }
}

/// Serves a connection until one side closes it.
pub(super) async fn serve(state: Rc<State>, stream: TcpStream) {
    let _ = stream.set_nodelay(true);
    let limits = state.config().map_or(FIRST_LIMITS, |config| config.limits());
    let usage = Rc::new(Usage::default());
    usage.idle_since_ms.set(state.now_ms());
    let (client, read_ahead) = client_stream::split(stream);
    let service = service_fn({
        let (state, usage) = (Rc::clone(&state), Rc::clone(&usage));
        move |request| answer(Rc::clone(&state), Rc::clone(&usage), request)
    });
    let mut server = http1::Builder::new();
    server
        .header_read_timeout(None)
        .max_buf_size(limits.header_bytes.max(LEAST_BUFFER_BYTES))
        .half_close(false);
    let mut connection = pin!(server.serve_connection(client, service));
    let mut scanner = Scanner::default();
    let mut read_ahead = pin!(read_ahead.run(|bytes| {
        scanner.feed(bytes);
        while let Some(parts) = scanner.next() {
            usage.pipeline.arrived(&state, parts);
        }
        usage.is_in_head(scanner.is_in_head(), state.now_ms());
    }));
    let mut stopping = pin!(may_close(&state, &usage));
    let mut is_stopping = false;
    let idle_ms = limits.idle_timeout_ms + IDLE_SLACK_MS;
    let head_ms = limits.header_timeout_ms + HEAD_SLACK_MS;
    loop {
        tokio::select! {
            _ = &mut connection => return,
            // The client has left; dropping the connection cancels its requests.
            () = &mut read_ahead => return,
            () = &mut stopping, if !is_stopping => {
                is_stopping = true;
                connection.as_mut().graceful_shutdown();
            }
            () = time::sleep(Duration::from_millis(head_ms.min(idle_ms))) => {
                let now_ms = state.now_ms();
                if usage.takes_too_long(head_ms, now_ms) {
                    log::info!(head_ms = head_ms; "client took too long to send a head");
                    return;
                }
                if !is_stopping && usage.is_idle(idle_ms, now_ms) {
                    return;
                }
            }
        }
    }
}

/// Resolves when the connection may be closed once it is idle.
///
/// A client that has just connected sends its request at once. Closing the
/// connection before that is read would cut off a request at a planned stop.
async fn may_close(state: &State, usage: &Usage) {
    let first_request_by = Instant::now() + Duration::from_millis(FIRST_REQUEST_MS);
    stop::reached(state, Phase::ClosingIdle).await;
    if !usage.has_served.get() {
        time::sleep_until(first_request_by).await;
    }
}

async fn answer(
    state: Rc<State>,
    usage: Rc<Usage>,
    request: Request<Incoming>,
) -> Result<Response<Answer>, Infallible> {
    usage.at_work.set(usage.at_work.get() + 1);
    usage.has_served.set(true);
    let (parts, body) = request.into_parts();
    let mut response = match usage.pipeline.answer(&parts).await {
        Some(response) => response,
        None => request::handle(Rc::clone(&state), parts, Some(body), Instant::now()).await,
    };
    usage.pipeline.answered();
    usage.at_work.set(usage.at_work.get() - 1);
    usage.idle_since_ms.set(state.now_ms());
    if state.stop.is_stopping() {
        let close = header::HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, close);
    }
    Ok(response)
}
