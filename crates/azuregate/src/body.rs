//! The body type of requests and responses, and adapters for it.

use std::{
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicU8, Ordering},
    },
    task::{Context, Poll},
};

use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, Empty, Full, combinators::UnsyncBoxBody};
use hyper::body::{Body as HttpBody, Frame, SizeHint};
use tokio::time::{self, Instant, Sleep};

/// An error while a body is streamed.
pub type BodyError = Box<dyn std::error::Error + Send + Sync>;

/// The body of a request or a response.
pub type Body = UnsyncBoxBody<Bytes, BodyError>;

/// Returns an empty body.
pub fn empty() -> Body {
    Empty::new().map_err(|never| match never {}).boxed_unsync()
}

/// Returns a body that is held in memory.
pub fn full(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into()).map_err(|never| match never {}).boxed_unsync()
}

/// Reads a body into memory.
///
/// # Errors
///
/// Fails if the body is longer than `limit_bytes` or ends early.
// `http_body_util::Limited` cannot be used here: over a body with a boxed error, the
// compiler cannot prove that the future is `Send`.
pub async fn collect(mut body: Body, limit_bytes: usize) -> Result<Bytes, BodyError> {
    let mut collected = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame?.into_data() else { continue };
        if collected.len() + data.len() > limit_bytes {
            return Err(format!("the body is longer than {limit_bytes} bytes").into());
        }
        collected.extend_from_slice(&data);
    }
    Ok(collected.freeze())
}

/// The transmission state of a body; shared with its sender.
#[derive(Clone, Debug)]
pub struct Progress(Arc<AtomicU8>);

const IN_PROGRESS: u8 = 0;
const COMPLETE: u8 = 1;
const FAILED: u8 = 2;

impl Progress {
    /// Returns whether the whole body was read.
    pub fn is_complete(&self) -> bool {
        self.0.load(Ordering::Acquire) == COMPLETE
    }

    /// Returns whether the body itself failed, as opposed to its receiver.
    pub fn has_failed(&self) -> bool {
        self.0.load(Ordering::Acquire) == FAILED
    }
}

/// Tracks the transmission of `inner`.
pub fn with_progress(inner: Body) -> (Body, Progress) {
    let state = if inner.is_end_stream() { COMPLETE } else { IN_PROGRESS };
    let progress = Progress(Arc::new(AtomicU8::new(state)));
    (ProgressBody { inner, progress: progress.clone() }.boxed_unsync(), progress)
}

struct ProgressBody {
    inner: Body,
    progress: Progress,
}

impl HttpBody for ProgressBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let polled = Pin::new(&mut self.inner).poll_frame(cx);
        let state = match &polled {
            Poll::Pending => IN_PROGRESS,
            Poll::Ready(Some(Err(_))) => FAILED,
            Poll::Ready(Some(Ok(_))) if !self.inner.is_end_stream() => IN_PROGRESS,
            Poll::Ready(Some(Ok(_)) | None) => COMPLETE,
        };
        if state != IN_PROGRESS {
            self.progress.0.store(state, Ordering::Release);
        }
        polled
    }

    fn is_end_stream(&self) -> bool {
        self.inner.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.inner.size_hint()
    }
}

/// Ends `inner` with an error if it is not complete by `deadline`.
///
/// Without a deadline, a sender that stalls would occupy a slot and two connections
/// indefinitely.
pub fn with_deadline(inner: Body, deadline: Instant) -> Body {
    let expiry = Box::pin(time::sleep_until(deadline));
    DeadlineBody { inner, expiry }.boxed_unsync()
}

struct DeadlineBody {
    inner: Body,
    expiry: Pin<Box<Sleep>>,
}

impl HttpBody for DeadlineBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let polled = Pin::new(&mut self.inner).poll_frame(cx);
        if polled.is_pending() && self.expiry.as_mut().poll(cx).is_ready() {
            return Poll::Ready(Some(Err("the body was incomplete at the deadline".into())));
        }
        polled
    }

    fn is_end_stream(&self) -> bool {
        self.inner.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.inner.size_hint()
    }
}
