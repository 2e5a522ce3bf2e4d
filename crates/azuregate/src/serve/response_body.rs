//! Response bodies sent to clients.

use std::{
    pin::Pin,
    task::{Context, Poll},
};

use azuregate_core::balance::{Choice, Fingerprint};
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::{Body, Frame, Incoming, SizeHint};

use super::{crash_detection, in_flight::InFlightRequest};

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
}

/// A response body whose first part is buffered and whose rest is still arriving.
pub(super) struct StreamingBody {
    buffered: Option<Bytes>,
    incoming: Incoming,
    /// Held until the body is sent or the client disconnects.
    in_flight: InFlightRequest,
    choice: Choice,
    request: Fingerprint,
}

impl StreamingBody {
    pub(super) fn new(
        buffered: Bytes,
        incoming: Incoming,
        in_flight: InFlightRequest,
        choice: Choice,
        request: Fingerprint,
    ) -> StreamingBody {
        StreamingBody { buffered: Some(buffered), incoming, in_flight, choice, request }
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
            Poll::Ready(None) => {
                self.in_flight.release_connection();
                self.in_flight.state.record_response(self.request);
            }
            Poll::Ready(Some(Err(_))) => {
                crash_detection::record_broken(&self.in_flight.state, &self.choice, self.request);
            }
            Poll::Ready(Some(Ok(_))) | Poll::Pending => {}
        }
        polled
    }
}
