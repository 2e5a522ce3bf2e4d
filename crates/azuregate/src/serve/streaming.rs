//! Bodies of answers to clients.

use std::{
    pin::Pin,
    task::{Context, Poll},
};

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::{Body, Frame, Incoming, SizeHint};

use super::in_flight::InFlight;

/// The body of an answer.
pub(super) enum Answer {
    /// It is held in memory.
    Whole(Full<Bytes>),
    /// It still arrives.
    Streaming(Box<Streaming>),
}

impl Answer {
    pub(super) fn whole(bytes: Bytes) -> Answer {
        Answer::Whole(Full::new(bytes))
    }
}

/// A long answer, of which a part has arrived.
pub(super) struct Streaming {
    first: Option<Bytes>,
    rest: Incoming,
    /// Ends when the client has the whole answer or has left.
    in_flight: InFlight,
}

impl Streaming {
    pub(super) fn new(first: Bytes, rest: Incoming, in_flight: InFlight) -> Streaming {
        Streaming { first: Some(first), rest, in_flight }
    }
}

impl Body for Answer {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        match &mut *self {
            Answer::Whole(whole) => Pin::new(whole).poll_frame(cx).map_err(|never| match never {}),
            Answer::Streaming(streaming) => streaming.poll(cx),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Answer::Whole(whole) => whole.is_end_stream(),
            Answer::Streaming(streaming) => {
                streaming.first.is_none() && streaming.rest.is_end_stream()
            }
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Answer::Whole(whole) => whole.size_hint(),
            Answer::Streaming(_) => SizeHint::default(),
        }
    }
}

impl Streaming {
    fn poll(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        if let Some(first) = self.first.take() {
            return Poll::Ready(Some(Ok(Frame::data(first))));
        }
        let polled = Pin::new(&mut self.rest).poll_frame(cx);
        if matches!(polled, Poll::Ready(None)) {
            self.in_flight.keep_connection();
        }
        polled
    }
}
