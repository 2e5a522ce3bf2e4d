//! Serves one client connection.

use std::{cell::Cell, convert::Infallible, net::IpAddr, pin::pin, rc::Rc, time::Duration};

use azuregate_core::balance::ClientLimits;
use hyper::{Request, Response, body::Incoming, header, server::conn::http1, service::service_fn};
use tokio::{
    net::TcpStream,
    time::{self, Instant},
};

use super::{
    client_stream,
    pipeline::{Pipeline, RequestScanner},
    request,
    response_body::ResponseBody,
    shutdown,
    shutdown_phase::ShutdownPhase,
    state::State,
};

/// The smallest buffer that hyper accepts.
const MIN_BUFFER_BYTES: usize = 8 << 10;
/// Limits used until the first configuration is loaded.
const DEFAULT_LIMITS: ClientLimits = ClientLimits {
    header_bytes: 16 << 10,
    body_bytes: 1 << 20,
    header_timeout_ms: 3_000,
    idle_timeout_ms: 15_000,
};
/// Added to the configured idle timeout, so that a request sent just before the timeout
/// does not reach a closed connection.
const IDLE_TIMEOUT_MARGIN_MS: u64 = 1_000;
/// Added to the configured header timeout, to allow for retransmission of lost packets.
const HEADER_TIMEOUT_MARGIN_MS: u64 = 1_000;
/// How long a new connection may take to send its first request during a shutdown:
/// several round-trip times plus one retransmission.
const FIRST_REQUEST_TIMEOUT_MS: u64 = 700;

/// The activity of a connection.
#[derive(Default)]
struct ConnectionState {
    in_flight: Cell<u32>,
    idle_since_ms: Cell<u64>,
    has_received_request: Cell<bool>,
    /// When the first bytes of the incomplete request head arrived.
    partial_head_since_ms: Cell<Option<u64>>,
    pipeline: Pipeline,
}

impl ConnectionState {
    fn set_partial_head(&self, has_partial_head: bool, now_ms: u64) {
        let since_ms = self.partial_head_since_ms.get().unwrap_or(now_ms);
        self.partial_head_since_ms.set(has_partial_head.then_some(since_ms));
    }

    /// Returns whether an incomplete request head has exceeded the timeout.
    ///
    /// Always false while a request is in flight, since the rest of the head may have
    /// arrived without having been read.
    fn is_head_overdue(&self, head_timeout_ms: u64, now_ms: u64) -> bool {
        let since_ms = self.partial_head_since_ms.get();
        self.in_flight.get() == 0
            && since_ms.is_some_and(|since_ms| now_ms.saturating_sub(since_ms) >= head_timeout_ms)
    }

    fn is_idle(&self, idle_timeout_ms: u64, now_ms: u64) -> bool {
        let idle_ms = now_ms.saturating_sub(self.idle_since_ms.get());
        self.in_flight.get() == 0 && idle_ms >= idle_timeout_ms
    }
}

/// Serves a connection from `client` until either side closes it.
pub(super) async fn serve(state: Rc<State>, stream: TcpStream, client: IpAddr) {
    let _ = stream.set_nodelay(true);
    let limits = state.config().map_or(DEFAULT_LIMITS, |config| config.limits());
    let connection_state = Rc::new(ConnectionState::default());
    connection_state.idle_since_ms.set(state.now_ms());
    let (client_stream, read_ahead) = client_stream::split(stream);
    let service = service_fn({
        let (state, connection_state) = (Rc::clone(&state), Rc::clone(&connection_state));
        move |request| handle(Rc::clone(&state), Rc::clone(&connection_state), client, request)
    });
    let mut server = http1::Builder::new();
    server
        .header_read_timeout(None)
        .max_buf_size(limits.header_bytes.max(MIN_BUFFER_BYTES))
        .half_close(false);
    let mut connection = pin!(server.serve_connection(client_stream, service));
    let mut scanner = RequestScanner::default();
    let mut read_ahead = pin!(read_ahead.run(|bytes| {
        scanner.feed(bytes);
        while let Some(request) = scanner.next_request() {
            connection_state.pipeline.push(&state, client, request);
        }
        connection_state.set_partial_head(scanner.has_partial_head(), state.now_ms());
    }));
    let mut close_allowed = pin!(idle_close_allowed(&state, &connection_state));
    let mut is_closing = false;
    let idle_timeout_ms = limits.idle_timeout_ms + IDLE_TIMEOUT_MARGIN_MS;
    let head_timeout_ms = limits.header_timeout_ms + HEADER_TIMEOUT_MARGIN_MS;
    loop {
        tokio::select! {
            _ = &mut connection => return,
            // The client disconnected; dropping the connection cancels its requests.
            () = &mut read_ahead => {
                connection_state.pipeline.log_unhandled(&state, client);
                return;
            }
            () = &mut close_allowed, if !is_closing => {
                is_closing = true;
                // Otherwise the response to the last of these requests closes the connection.
                let pipeline = &connection_state.pipeline;
                if !pipeline.has_pending(&state) && !pipeline.has_unhandled() {
                    connection.as_mut().graceful_shutdown();
                }
            }
            () = time::sleep(Duration::from_millis(head_timeout_ms.min(idle_timeout_ms))) => {
                let now_ms = state.now_ms();
                if connection_state.is_head_overdue(head_timeout_ms, now_ms) {
                    log::info!(head_ms = head_timeout_ms; "timed out reading request head");
                    return;
                }
                if !is_closing && connection_state.is_idle(idle_timeout_ms, now_ms) {
                    return;
                }
            }
        }
    }
}

/// Resolves when a graceful shutdown may close the connection once it is idle.
///
/// A new connection is kept open until its first request had time to arrive. Closing
/// it earlier would drop a request that is already on its way.
async fn idle_close_allowed(state: &State, connection_state: &ConnectionState) {
    let first_request_deadline = Instant::now() + Duration::from_millis(FIRST_REQUEST_TIMEOUT_MS);
    shutdown::wait_for_phase(state, ShutdownPhase::ClosingIdle).await;
    if !connection_state.has_received_request.get() {
        time::sleep_until(first_request_deadline).await;
    }
}

async fn handle(
    state: Rc<State>,
    connection_state: Rc<ConnectionState>,
    client: IpAddr,
    request: Request<Incoming>,
) -> Result<Response<ResponseBody>, Infallible> {
    connection_state.in_flight.set(connection_state.in_flight.get() + 1);
    connection_state.has_received_request.set(true);
    let (parts, body) = request.into_parts();
    let mut response = match connection_state.pipeline.take_response(&parts).await {
        Some(response) => response,
        None => request::handle(Rc::clone(&state), client, parts, Some(body), Instant::now()).await,
    };
    connection_state.pipeline.finish_current();
    connection_state.in_flight.set(connection_state.in_flight.get() - 1);
    connection_state.idle_since_ms.set(state.now_ms());
    if state.stop.is_stopping() && !connection_state.pipeline.has_pending(&state) {
        let close = header::HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, close);
    }
    Ok(response)
}
