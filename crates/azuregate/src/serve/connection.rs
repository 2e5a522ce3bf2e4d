//! Serves one client connection.

use std::{cell::Cell, convert::Infallible, net::IpAddr, pin::pin, rc::Rc, time::Duration};

use azuregate_core::{balance::ClientLimits, client_memory::Activity};
use hyper::{
    Request, Response,
    body::{Body, Incoming},
    header,
    server::conn::http1,
    service::service_fn,
};
use tokio::{
    net::TcpStream,
    time::{self, Instant},
};

use super::{
    client_memory::ConnectionMemory,
    client_stream,
    pipeline::{Pipeline, RequestScanner},
    request::{self, PrecedesBody},
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
/// How long a connection is read after a response that was sent before the whole request was received. If it were
/// closed at once, the client could lose that response.
pub(super) const LINGER_MS: u64 = 500;
/// How long a new connection may take to send its first request during a shutdown:
/// several round-trip times plus one retransmission.
const FIRST_REQUEST_TIMEOUT_MS: u64 = 700;

/// The activity of a connection.
struct ConnectionState {
    in_flight: Cell<u32>,
    idle_since_ms: Cell<u64>,
    has_received_request: Cell<bool>,
    /// When the first bytes of the incomplete request head arrived.
    partial_head_since_ms: Cell<Option<u64>>,
    /// Responses that are being sent.
    responding: Cell<u32>,
    /// Whether the last response was sent before the whole request was received.
    has_unread_body: Cell<bool>,
    pipeline: Pipeline,
    memory: Rc<ConnectionMemory>,
}

impl ConnectionState {
    fn new(pipeline: Pipeline, memory: Rc<ConnectionMemory>, now_ms: u64) -> ConnectionState {
        ConnectionState {
            in_flight: Cell::new(0),
            idle_since_ms: Cell::new(now_ms),
            has_received_request: Cell::new(false),
            partial_head_since_ms: Cell::new(None),
            responding: Cell::new(0),
            has_unread_body: Cell::new(false),
            pipeline,
            memory,
        }
    }

    /// Charges the buffers of a request whose first bytes have arrived. Closes the connection if there is no
    /// memory for a head that is not complete; a request is refused.
    fn charge_head(&self) {
        self.memory.set_active(true);
        if self.in_flight.get() > 0 || self.responding.get() > 0 {
            return;
        }
        self.memory.set_activity(Activity::Receiving);
        if self.partial_head_since_ms.get().is_some() && !self.memory.has_memory() {
            self.memory.close();
        }
    }

    /// Records what the connection waits for after a response.
    fn finish_response(&self) {
        self.responding.set(self.responding.get() - 1);
        let is_busy = self.in_flight.get() > 0 || self.responding.get() > 0;
        if is_busy || self.pipeline.has_unhandled() {
            return;
        }
        let has_partial_head = self.partial_head_since_ms.get().is_some();
        self.memory.set_active(has_partial_head);
        let activity = if has_partial_head { Activity::Receiving } else { Activity::Idle };
        self.memory.set_activity(activity);
    }

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

/// A response that is being sent until this is dropped.
struct Responding(Rc<ConnectionState>);

impl Responding {
    fn new(connection_state: &Rc<ConnectionState>) -> Responding {
        connection_state.responding.set(connection_state.responding.get() + 1);
        Responding(Rc::clone(connection_state))
    }
}

impl Drop for Responding {
    fn drop(&mut self) {
        self.0.finish_response();
    }
}

/// Serves a connection from `client` until either side closes it.
pub(super) async fn serve(
    state: Rc<State>,
    stream: TcpStream,
    client: IpAddr,
    memory: Rc<ConnectionMemory>,
) {
    let _ = stream.set_nodelay(true);
    let limits = state.config().map_or(DEFAULT_LIMITS, |config| config.limits());
    let (client_stream, read_ahead) = client_stream::split(stream, Rc::clone(&memory));
    let pipeline = Pipeline::new(read_ahead.resume());
    let connection_state = ConnectionState::new(pipeline, Rc::clone(&memory), state.now_ms());
    let connection_state = Rc::new(connection_state);
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
    let pipeline = &connection_state.pipeline;
    let on_bytes = |bytes: &[u8]| {
        scanner.feed(bytes);
        while !pipeline.is_full()
            && let Some(request) = scanner.next_request()
        {
            pipeline.push(&state, client, &memory, request);
        }
        connection_state.set_partial_head(scanner.has_partial_head(), state.now_ms());
        if !bytes.is_empty() {
            connection_state.charge_head();
        }
    };
    let mut read_ahead = pin!(read_ahead.run(on_bytes, || pipeline.is_full()));
    let mut close_allowed = pin!(idle_close_allowed(&state, &connection_state));
    let mut is_closing = false;
    let idle_timeout_ms = limits.idle_timeout_ms + IDLE_TIMEOUT_MARGIN_MS;
    let head_timeout_ms = limits.header_timeout_ms + HEADER_TIMEOUT_MARGIN_MS;
    loop {
        tokio::select! {
            _ = &mut connection => {
                if connection_state.has_unread_body.get() {
                    let _ = time::timeout(Duration::from_millis(LINGER_MS), read_ahead).await;
                }
                return;
            }
            () = memory.closed() => {
                pipeline.log_unhandled(&state, client);
                return;
            }
            // The client disconnected; dropping the connection cancels its requests.
            () = &mut read_ahead => {
                pipeline.log_unhandled(&state, client);
                return;
            }
            () = &mut close_allowed, if !is_closing => {
                is_closing = true;
                // Otherwise the response to the last of these requests closes the connection.
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
    connection_state.has_unread_body.set(false);
    connection_state.memory.set_activity(Activity::Working);
    let (parts, body) = request.into_parts();
    let has_body = !body.is_end_stream();
    let memory = Rc::clone(&connection_state.memory);
    let mut response = match connection_state.pipeline.take_response(&parts).await {
        Some(response) => response,
        None => {
            let received_at = Instant::now();
            let state = Rc::clone(&state);
            // Boxed, since an idle connection would keep the memory.
            Box::pin(request::handle(state, client, memory, parts, Some(body), received_at)).await
        }
    };
    connection_state.pipeline.finish_current();
    connection_state.in_flight.set(connection_state.in_flight.get() - 1);
    connection_state.idle_since_ms.set(state.now_ms());
    let precedes_body = response.extensions().get::<PrecedesBody>().is_some();
    connection_state.has_unread_body.set(has_body && precedes_body);
    response.body_mut().hold(Responding::new(&connection_state));
    if state.stop.is_stopping() && !connection_state.pipeline.has_pending(&state) {
        let close = header::HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, close);
    }
    Ok(response)
}
