//! Response bodies sent to clients.

use std::{
    any::Any,
    cell::RefCell,
    error::Error,
    fmt,
    net::SocketAddr,
    pin::Pin,
    rc::Rc,
    task::{Context, Poll},
};

use azuregate_core::balance::{Choice, Fingerprint};
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use tokio::{
    task::{AbortHandle, spawn_local},
    time::{self, Instant},
};

use super::{crash_detection, in_flight::InFlightRequest, metrics, pool::Connection, state::State};

/// A response body.
pub(super) struct ResponseBody {
    source: Source,
    guards: Vec<Box<dyn Any>>,
}

enum Source {
    /// A body held completely in memory.
    Buffered(Full<Bytes>),
    /// A body forwarded while it arrives from the backend server.
    Streaming(Box<StreamingBody>),
}

impl ResponseBody {
    pub(super) fn buffered(bytes: Bytes) -> ResponseBody {
        ResponseBody { source: Source::Buffered(Full::new(bytes)), guards: Vec::new() }
    }

    /// Drops `guard` when the body is sent or given up.
    pub(super) fn hold(&mut self, guard: impl Any) {
        self.guards.push(Box::new(guard));
    }

    /// Returns a body that begins with `buffered` and goes on with `incoming`. What does not arrive
    /// by the deadline is cut.
    pub(super) fn streaming(
        buffered: Bytes,
        incoming: Incoming,
        from: StreamedFrom,
        deadline: Instant,
    ) -> ResponseBody {
        let from = Rc::new(RefCell::new(Some(from)));
        // A task of its own, since the body is not polled while the client does not read.
        let timeout = spawn_local({
            let from = Rc::clone(&from);
            async move {
                time::sleep_until(deadline).await;
                if let Some(from) = from.take() {
                    from.record_cut("deadline");
                }
            }
        });
        let source = Source::Streaming(Box::new(StreamingBody {
            buffered: Some(buffered),
            incoming,
            from,
            is_complete: false,
            timeout: timeout.abort_handle(),
        }));
        ResponseBody { source, guards: Vec::new() }
    }
}

/// Why a response body ended early.
#[derive(Debug)]
pub(super) enum BodyError {
    /// The connection to the server broke, or what came was no body.
    Broken(hyper::Error),
    /// The deadline passed.
    TimedOut,
}

impl fmt::Display for BodyError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            BodyError::Broken(error) => write!(f, "response ended early: {error}"),
            BodyError::TimedOut => f.write_str("response not complete by its deadline"),
        }
    }
}

impl Error for BodyError {}

/// A response body whose first part is buffered and whose rest is still arriving.
pub(super) struct StreamingBody {
    buffered: Option<Bytes>,
    incoming: Incoming,
    /// `None` after the end or the deadline.
    from: Rc<RefCell<Option<StreamedFrom>>>,
    is_complete: bool,
    timeout: AbortHandle,
}

impl Drop for StreamingBody {
    fn drop(&mut self) {
        self.timeout.abort();
        self.from.take();
    }
}

/// Where a streaming body comes from. Held until the body is sent, the client disconnects or the
/// deadline passes.
pub(super) enum StreamedFrom {
    /// A backend server.
    Backend {
        /// The request's accounting, with the connection.
        in_flight: InFlightRequest,
        /// The server.
        choice: Choice,
        /// The request.
        request: Fingerprint,
    },
    /// Another instance.
    Instance {
        /// Its address.
        addr: SocketAddr,
        /// The connection to it.
        connection: Connection,
        /// The state that holds idle connections.
        state: Rc<State>,
    },
}

impl StreamedFrom {
    fn record_end(self) {
        match self {
            StreamedFrom::Backend { mut in_flight, request, .. } => {
                in_flight.release_connection();
                in_flight.state.record_response(request);
            }
            StreamedFrom::Instance { addr, connection, state } => {
                state.instance_pool.put(addr, connection, state.now_ms());
            }
        }
    }

    fn record_broken(&self) {
        match self {
            StreamedFrom::Backend { in_flight, choice, request } if in_flight.has_broken() => {
                crash_detection::record_broken(&in_flight.state, choice, *request);
            }
            StreamedFrom::Backend { .. } => self.record_cut("malformed or too long"),
            // The other instance has seen what happened to its server.
            StreamedFrom::Instance { .. } => {}
        }
    }

    /// Records that this instance has stopped reading.
    fn record_cut(&self, cause: &str) {
        let (state, source) = match self {
            StreamedFrom::Backend { in_flight, choice, .. } => {
                (&in_flight.state, choice.backend.id.to_string())
            }
            StreamedFrom::Instance { state, addr, .. } => (state, addr.to_string()),
        };
        metrics::inc_by(&state.metrics.responses_cut, 1);
        log::info!(source = source, cause = cause; "response cut");
    }
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        match &mut self.source {
            Source::Buffered(full) => Pin::new(full).poll_frame(cx).map_err(|never| match never {}),
            Source::Streaming(streaming) => streaming.poll_frame(cx),
        }
    }

    fn is_end_stream(&self) -> bool {
        match &self.source {
            Source::Buffered(full) => full.is_end_stream(),
            Source::Streaming(streaming) => {
                streaming.buffered.is_none() && streaming.incoming.is_end_stream()
            }
        }
    }

    fn size_hint(&self) -> SizeHint {
        match &self.source {
            Source::Buffered(full) => full.size_hint(),
            Source::Streaming(_) => SizeHint::default(),
        }
    }
}

impl StreamingBody {
    fn poll_frame(
        &mut self,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        if let Some(buffered) = self.buffered.take() {
            return Poll::Ready(Some(Ok(Frame::data(buffered))));
        }
        if self.is_complete {
            return Poll::Ready(None);
        }
        // Checked first, since a body looks complete once its connection is dropped.
        if self.from.borrow().is_none() {
            return Poll::Ready(Some(Err(BodyError::TimedOut)));
        }
        let polled = Pin::new(&mut self.incoming).poll_frame(cx);
        let is_broken = matches!(polled, Poll::Ready(Some(Err(_))));
        self.is_complete = match polled {
            Poll::Ready(None) => true,
            // A body of known length is not polled again after its last byte.
            Poll::Ready(Some(Ok(_))) => self.incoming.is_end_stream(),
            Poll::Ready(Some(Err(_))) | Poll::Pending => false,
        };
        let has_ended = is_broken || self.is_complete;
        match has_ended.then(|| self.from.take()).flatten() {
            Some(from) if is_broken => from.record_broken(),
            Some(from) => from.record_end(),
            None => {}
        }
        polled.map_err(BodyError::Broken)
    }
}
