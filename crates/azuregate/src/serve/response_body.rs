//! Response bodies sent to clients.

use std::{
    net::SocketAddr,
    pin::Pin,
    rc::Rc,
    task::{Context, Poll},
};

use azuregate_core::balance::{Choice, Fingerprint};
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::{Body, Frame, Incoming, SizeHint};

use super::{crash_detection, in_flight::InFlightRequest, pool::Connection, state::State};

/// A response body.
pub(super) enum ResponseBody {
    /// A body held completely in memory.
    Buffered(Full<Bytes>),
    /// A body forwarded while it arrives from the backend server.
    Streaming(Box<StreamingBody>),
}

impl ResponseBody {
    pub(super) fn buffered(bytes: Bytes) -> ResponseBody {
        ResponseBody::Buffered(Full::new(bytes))
    }

    /// Returns a body that begins with `buffered` and goes on with `incoming`.
    pub(super) fn streaming(
        buffered: Bytes,
        incoming: Incoming,
        from: StreamedFrom,
    ) -> ResponseBody {
        ResponseBody::Streaming(Box::new(StreamingBody {
            buffered: Some(buffered),
            incoming,
            from,
        }))
    }
}

/// A response body whose first part is buffered and whose rest is still arriving.
pub(super) struct StreamingBody {
    buffered: Option<Bytes>,
    incoming: Incoming,
    from: StreamedFrom,
}

/// Where a streaming body comes from. Held until the body is sent or the client disconnects.
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
        /// The connection to it until the body ends.
        connection: Option<Connection>,
        /// The state that holds idle connections.
        state: Rc<State>,
    },
}

impl StreamedFrom {
    fn record_end(&mut self) {
        match self {
            StreamedFrom::Backend { in_flight, request, .. } => {
                in_flight.release_connection();
                in_flight.state.record_response(*request);
            }
            StreamedFrom::Instance { addr, connection, state } => {
                if let Some(connection) = connection.take() {
                    state.instance_pool.put(*addr, connection, state.now_ms());
                }
            }
        }
    }

    fn record_broken(&self) {
        match self {
            StreamedFrom::Backend { in_flight, choice, request } => {
                crash_detection::record_broken(&in_flight.state, choice, *request);
            }
            // The other instance has seen what happened to its server.
            StreamedFrom::Instance { .. } => {}
        }
    }
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        match &mut *self {
            ResponseBody::Buffered(full) => {
                Pin::new(full).poll_frame(cx).map_err(|never| match never {})
            }
            ResponseBody::Streaming(streaming) => streaming.poll_frame(cx),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            ResponseBody::Buffered(full) => full.is_end_stream(),
            ResponseBody::Streaming(streaming) => {
                streaming.buffered.is_none() && streaming.incoming.is_end_stream()
            }
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            ResponseBody::Buffered(full) => full.size_hint(),
            ResponseBody::Streaming(_) => SizeHint::default(),
        }
    }
}

impl StreamingBody {
    fn poll_frame(
        &mut self,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        if let Some(buffered) = self.buffered.take() {
            return Poll::Ready(Some(Ok(Frame::data(buffered))));
        }
        let polled = Pin::new(&mut self.incoming).poll_frame(cx);
        match polled {
            Poll::Ready(None) => self.from.record_end(),
            Poll::Ready(Some(Err(_))) => self.from.record_broken(),
            Poll::Ready(Some(Ok(_))) | Poll::Pending => {}
        }
        polled
    }
}
