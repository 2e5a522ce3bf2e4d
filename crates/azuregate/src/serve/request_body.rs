//! Request bodies, which are kept in segments until there is a response.

use std::{
    convert::Infallible,
    pin::Pin,
    rc::Rc,
    task::{Context, Poll},
};

use bytes::{Buf, Bytes};
use http_body_util::BodyExt;
use hyper::body::{Body, Frame, Incoming, SizeHint};

use super::{
    client_memory::{Charge, ConnectionMemory},
    response::RequestError,
};

/// The first segment of a body without a length.
const MIN_SEGMENT_BYTES: usize = 4 << 10;
const MAX_SEGMENT_BYTES: usize = 64 << 10;

/// A body that is held in memory. Clones share it.
#[derive(Clone, Default)]
pub(super) struct RequestBody {
    shared: Option<Rc<Shared>>,
    /// The number of segments that were sent.
    sent_segments: usize,
    sent_bytes: usize,
}

struct Shared {
    segments: Vec<Bytes>,
    bytes: usize,
    _charge: Charge,
}

impl RequestBody {
    /// Reads the complete body, so that a slow client does not occupy a backend server and a rejected request
    /// can be sent to another one.
    ///
    /// # Errors
    ///
    /// Returns an error if the body is longer than `limit_bytes`, if it ends early, or if there is no memory
    /// for it.
    pub(super) async fn read(
        mut incoming: Incoming,
        limit_bytes: usize,
        memory: &Rc<ConnectionMemory>,
    ) -> Result<RequestBody, RequestError> {
        let size = incoming.size_hint();
        if size.lower() > limit_bytes as u64 {
            return Err(RequestError::BodyTooLarge);
        }
        let length = size.exact().and_then(|length| usize::try_from(length).ok());
        let body = memory.begin_body();
        if let Some(length) = length {
            body.reserve(length).await?;
        }
        let mut bytes = 0;
        loop {
            let frame = tokio::select! {
                biased;
                () = body.evicted() => return Err(RequestError::NoMemory),
                frame = incoming.frame() => frame,
            };
            let Some(frame) = frame else { break };
            let frame = frame.map_err(|_| RequestError::BodyIncomplete)?;
            let Ok(mut data) = frame.into_data() else { continue };
            if bytes + data.len() > limit_bytes {
                return Err(RequestError::BodyTooLarge);
            }
            while data.has_remaining() {
                if body.spare_bytes() == 0 {
                    let segment_bytes = segment_bytes(bytes, length);
                    if length.is_none() {
                        body.reserve(segment_bytes).await?;
                    }
                    body.add_segment(segment_bytes);
                }
                let count = data.len().min(body.spare_bytes());
                body.append(&data.split_to(count));
                bytes += count;
            }
        }
        let (segments, charge) = body.complete()?;
        let segments = segments.into_iter().map(bytes::BytesMut::freeze).collect();
        let shared = Rc::new(Shared { segments, bytes, _charge: charge });
        Ok(RequestBody { shared: Some(shared), ..RequestBody::default() })
    }

    /// Returns the length in bytes.
    pub(super) fn len(&self) -> usize {
        self.shared.as_ref().map_or(0, |shared| shared.bytes)
    }

    /// Returns the segments, which together are the body.
    pub(super) fn segments(&self) -> Vec<&[u8]> {
        self.shared.iter().flat_map(|shared| &shared.segments).map(Bytes::as_ref).collect()
    }
}

/// Returns the size of the next segment of a body of which `received_bytes` have been received. A body takes
/// no more than twice its length, and no more than its length if that is known.
fn segment_bytes(received_bytes: usize, length: Option<usize>) -> usize {
    let max_bytes = length.map_or(received_bytes, |length| length - received_bytes);
    match length {
        Some(_) => max_bytes.min(MAX_SEGMENT_BYTES),
        None => max_bytes.clamp(MIN_SEGMENT_BYTES, MAX_SEGMENT_BYTES),
    }
}

impl Body for RequestBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        let next = self.shared.as_ref().and_then(|shared| shared.segments.get(self.sent_segments));
        let Some(segment) = next.cloned() else { return Poll::Ready(None) };
        self.sent_segments += 1;
        self.sent_bytes += segment.len();
        Poll::Ready(Some(Ok(Frame::data(segment))))
    }

    fn is_end_stream(&self) -> bool {
        self.sent_bytes == self.len()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact((self.len() - self.sent_bytes) as u64)
    }
}
