//! A response body that releases its slot and connection when it ends.

use std::{
    pin::Pin,
    task::{Context, Poll},
};

use azuregate_core::{
    error::{Error, ErrorKind},
    route::Completion,
};
use bytes::Bytes;
use hyper::body::{Body as HttpBody, Frame, SizeHint};

use crate::{
    backend::{BackendConn, Pool},
    body::{Body, BodyError},
    selector::Lease,
};

/// Streams a response to the client.
///
/// The connection returns to the pool only after the whole response was read;
/// otherwise the next request on it would read the rest of this response.
pub(crate) struct LeaseBody {
    inner: Body,
    held: Option<HeldResources>,
}

/// The resources held until the response ends.
pub(crate) struct HeldResources {
    /// Identifies the request in logs.
    pub(crate) request_id: String,
    pub(crate) lease: Lease,
    pub(crate) conn: Box<dyn BackendConn>,
    pub(crate) pool: Pool,
    pub(crate) latency_ms: u64,
    pub(crate) reusable: bool,
}

impl LeaseBody {
    pub(crate) fn new(inner: Body, held: HeldResources) -> LeaseBody {
        let mut body = LeaseBody { inner, held: Some(held) };
        body.finish_if_ended();
        body
    }

    fn finish_if_ended(&mut self) {
        if self.inner.is_end_stream() {
            self.finish();
        }
    }

    fn finish(&mut self) {
        let Some(mut held) = self.held.take() else {
            return;
        };
        held.lease.set_completion(Completion::Responded { latency_ms: held.latency_ms });
        if held.reusable {
            held.pool.put(held.lease.addr, held.conn);
        }
    }

    /// Ends the response with an error, and closes the connection by dropping it.
    fn abort(&mut self, detail: &str) -> Error {
        let error = Error::new(ErrorKind::AnswerCut, detail);
        if let Some(mut held) = self.held.take() {
            held.lease.set_truncated();
            log::info!(
                request = held.request_id, backend:% = held.lease.backend,
                code = error.kind().code(), detail = detail;
                "answer cut"
            );
        }
        error
    }
}

impl HttpBody for LeaseBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        // A truncated response must end with an error: after a clean end, the
        // client would take it for complete.
        match Pin::new(&mut self.inner).poll_frame(cx) {
            Poll::Pending => Poll::Pending,
            Poll::Ready(Some(Ok(frame))) => {
                self.finish_if_ended();
                Poll::Ready(Some(Ok(frame)))
            }
            Poll::Ready(Some(Err(e))) => {
                let error = self.abort(&e.to_string());
                Poll::Ready(Some(Err(error.into())))
            }
            Poll::Ready(None) => {
                self.finish();
                Poll::Ready(None)
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        self.inner.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.inner.size_hint()
    }
}
