//! Buffers the response to a request for its claim, and replays it for a repeated
//! request.

use azuregate_core::{
    claim::{StoredBody, StoredResponse},
    error::{Error, ErrorKind},
};
use bytes::Bytes;
use futures_util::{StreamExt, stream};
use http_body_util::{BodyExt, BodyStream, StreamBody};
use hyper::{Response, body::Frame, http::response};

use crate::{
    body::{self, Body},
    platform::Platform,
};

/// The largest response body that is stored. A larger one is streamed to the caller,
/// and a repeated request learns only that the request ran.
const MAX_STORED_BYTES: usize = 1 << 20;

/// The result of buffering a response.
pub(crate) enum Buffered {
    /// The body is in memory.
    Complete(CompleteResponse),
    /// The body exceeds [`MAX_STORED_BYTES`]; the response streams all of it.
    TooLarge(Response<Body>),
}

/// A response whose body is in memory.
pub(crate) struct CompleteResponse {
    head: response::Parts,
    bytes: Bytes,
}

impl CompleteResponse {
    /// Returns the response as a claim stores it, and its body. Headers whose values
    /// are not text are left out.
    pub(crate) fn to_stored(&self) -> (StoredResponse, Bytes) {
        let headers = self.head.headers.iter();
        let headers = headers
            .filter_map(|(name, value)| Some((name.to_string(), value.to_str().ok()?.to_owned())))
            .collect();
        let body = StoredBody::Inline(self.bytes.to_vec());
        let stored = StoredResponse { status: self.head.status.as_u16(), headers, body };
        (stored, self.bytes.clone())
    }

    pub(crate) fn into_response(self) -> Response<Body> {
        Response::from_parts(self.head, body::full(self.bytes))
    }
}

/// Reads a response into memory, up to [`MAX_STORED_BYTES`] of body.
pub(crate) async fn buffer(response: Response<Body>) -> Result<Buffered, Error> {
    let (head, mut rest) = response.into_parts();
    let mut frames = Vec::new();
    let mut length = 0;
    while let Some(frame) = rest.frame().await {
        let frame = frame.map_err(|e| Error::new(ErrorKind::AnswerCut, e.to_string()))?;
        let Ok(data) = frame.into_data() else { continue };
        length += data.len();
        frames.push(data);
        if length > MAX_STORED_BYTES {
            let first = stream::iter(frames).map(|data| Ok(Frame::data(data)));
            let all = first.chain(BodyStream::new(rest));
            let body = BodyExt::boxed_unsync(StreamBody::new(all));
            return Ok(Buffered::TooLarge(Response::from_parts(head, body)));
        }
    }
    Ok(Buffered::Complete(CompleteResponse { head, bytes: frames.concat().into() }))
}

/// Builds a response from a stored one, reading its body from the object store if it
/// is there.
pub(crate) async fn replay(
    platform: &dyn Platform,
    stored: StoredResponse,
) -> Result<Response<Body>, Error> {
    let bytes = match stored.body {
        StoredBody::Inline(bytes) => Bytes::from(bytes),
        StoredBody::Object(name) => {
            let object = platform.get_object(&name).await;
            let object = object.map_err(|e| {
                Error::new(ErrorKind::ClaimUnknown, e.to_string()).with_unknown_earlier_attempt()
            })?;
            let gone = || Error::new(ErrorKind::AnswerNotKept, format!("object {name} not found"));
            object.ok_or_else(gone)?
        }
    };
    let mut builder = Response::builder().status(stored.status);
    for (name, value) in &stored.headers {
        builder = builder.header(name, value);
    }
    builder
        .body(body::full(bytes))
        .map_err(|e| Error::new(ErrorKind::Internal, format!("invalid stored response: {e}")))
}
