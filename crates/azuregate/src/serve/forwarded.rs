//! Takes requests that other instances forward.
//!
//! A forwarded request is handled as if a client had sent it, but never forwarded again, so there are
//! no loops.

use std::{convert::Infallible, net::SocketAddr, rc::Rc};

use hyper::{Request, Response, body::Incoming, header::HeaderValue, service::service_fn};
use tokio::{
    net::{TcpListener, TcpStream},
    task::spawn_local,
    time::Instant,
};

use super::{
    access_log::AccessLogEntry,
    attempt_state::AttemptState,
    bounded_connection,
    client_memory::{ConnectionMemory, Port},
    forwarding, leaving,
    request::{self, ReceivedRequest},
    response::RequestError,
    response_body::ResponseBody,
    state::State,
};
use crate::accept;

/// Until there is a configuration.
const DEFAULT_HEAD_BYTES: usize = 16 << 10;
/// What another instance adds to the head that its client sent.
const MAX_OWN_HEAD_BYTES: usize = 8 << 10;

/// Takes forwarded requests until the process ends.
pub(super) async fn serve(state: Rc<State>, listener: TcpListener) {
    loop {
        let (stream, peer) = accept::next(&listener).await;
        let Some(memory) = state.client_memory.open(Port::Forwarded, peer.ip()) else { continue };
        spawn_local(serve_connection(Rc::clone(&state), stream, peer, memory));
    }
}

async fn serve_connection(
    state: Rc<State>,
    stream: TcpStream,
    peer: SocketAddr,
    memory: Rc<ConnectionMemory>,
) {
    let _ = stream.set_nodelay(true);
    let head_bytes =
        state.config().map_or(DEFAULT_HEAD_BYTES, |config| config.limits().header_bytes);
    let service = service_fn({
        let memory = Rc::clone(&memory);
        move |request| handle(Rc::clone(&state), peer, Rc::clone(&memory), request)
    });
    bounded_connection::serve(stream, memory, head_bytes + MAX_OWN_HEAD_BYTES, service).await;
}

/// Counts a forwarded request that is in progress until dropped, which is when its response has been
/// written.
struct InProgress(Rc<State>);

impl InProgress {
    fn new(state: &Rc<State>) -> InProgress {
        state.forwarded_in_progress.set(state.forwarded_in_progress.get() + 1);
        InProgress(Rc::clone(state))
    }
}

impl Drop for InProgress {
    fn drop(&mut self) {
        self.0.forwarded_in_progress.set(self.0.forwarded_in_progress.get() - 1);
    }
}

async fn handle(
    state: Rc<State>,
    peer: SocketAddr,
    memory: Rc<ConnectionMemory>,
    request: Request<Incoming>,
) -> Result<Response<ResponseBody>, Infallible> {
    let in_progress = (InProgress::new(&state), memory.begin_request());
    let received_at = Instant::now();
    let (mut parts, body) = request.into_parts();
    let Some(executions) = forwarding::executions(&parts.headers) else {
        return Ok(own_response(RequestError::BadRequest, 0));
    };
    parts.headers.remove(forwarding::EXECUTIONS);
    let is_idempotent = forwarding::take_idempotent(&mut parts.headers);
    let mut attempts = AttemptState::forwarded(executions, is_idempotent);
    let log_entry = AccessLogEntry::new(&state, true, peer.ip(), &parts, received_at);
    let received = ReceivedRequest { parts, body: Some(body), received_at, memory };
    let result = request::respond(&state, &mut attempts, log_entry, received).await;
    let mut response = match result {
        Ok(mut response) => {
            forwarding::remove_error_headers(response.headers_mut());
            response
        }
        Err(error) => own_response(error, attempts.possible_executions()),
    };
    leaving::add_run(response.headers_mut(), attempts.leaving);
    response.body_mut().hold(in_progress);
    Ok(response)
}

/// Returns the response for an error of this instance, marked as its own.
fn own_response(error: RequestError, executions: u32) -> Response<ResponseBody> {
    let mut response = error.into_response();
    response.headers_mut().insert(forwarding::ERROR_CODE, HeaderValue::from_static(error.code()));
    response.headers_mut().insert(forwarding::EXECUTIONS, HeaderValue::from(executions));
    response
}
