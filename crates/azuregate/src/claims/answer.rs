//! Answers on their way into a claim and out of it again.

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

/// The largest answer body that is kept for repeats, in bytes. A larger one goes
/// to the caller as it comes, and a repeat is told that the request ran.
const KEPT_LIMIT_BYTES: usize = 1 << 20;

/// An answer that was read for keeping.
pub(crate) enum Read {
    /// All of it is here.
    Whole(WholeAnswer),
    /// It is too large to keep, and goes on to stream.
    TooLarge(Response<Body>),
}

/// An answer held in memory.
pub(crate) struct WholeAnswer {
    head: response::Parts,
    bytes: Bytes,
}

impl WholeAnswer {
    /// What is kept of it, and its body.
    pub(crate) fn kept(&self) -> (StoredResponse, Bytes) {
        let headers = self.head.headers.iter();
        let headers = headers
            .filter_map(|(name, value)| Some((name.to_string(), value.to_str().ok()?.to_owned())))
            .collect();
        let body = StoredBody::Inline(self.bytes.to_vec());
        let kept = StoredResponse { status: self.head.status.as_u16(), headers, body };
        (kept, self.bytes.clone())
    }

    /// The answer for the caller.
    pub(crate) fn into_response(self) -> Response<Body> {
        Response::from_parts(self.head, body::full(self.bytes))
    }
}

/// Reads an answer into memory, up to the limit.
pub(crate) async fn read(response: Response<Body>) -> Result<Read, Error> {
    let (head, mut rest) = response.into_parts();
    let mut frames = Vec::new();
    let mut length = 0;
    while let Some(frame) = rest.frame().await {
        let frame = frame.map_err(|e| Error::new(ErrorKind::AnswerCut, e.to_string()))?;
        let Ok(data) = frame.into_data() else { continue };
        length += data.len();
        frames.push(data);
        if length > KEPT_LIMIT_BYTES {
            let first = stream::iter(frames).map(|data| Ok(Frame::data(data)));
            let all = first.chain(BodyStream::new(rest));
            let body = BodyExt::boxed_unsync(StreamBody::new(all));
            return Ok(Read::TooLarge(Response::from_parts(head, body)));
        }
    }
    Ok(Read::Whole(WholeAnswer { head, bytes: frames.concat().into() }))
}

/// Gives a kept answer again.
pub(crate) async fn replay(
    platform: &dyn Platform,
    kept: StoredResponse,
) -> Result<Response<Body>, Error> {
    let bytes = match kept.body {
        StoredBody::Inline(bytes) => Bytes::from(bytes),
        StoredBody::Object(name) => {
            let object = platform.get_object(&name).await;
            let object = object.map_err(|e| {
                Error::new(ErrorKind::ClaimUnknown, e.to_string()).with_unknown_earlier_attempt()
            })?;
            let gone =
                || Error::new(ErrorKind::AnswerNotKept, format!("the object {name} is gone"));
            object.ok_or_else(gone)?
        }
    };
    let mut builder = Response::builder().status(kept.status);
    for (name, value) in &kept.headers {
        builder = builder.header(name, value);
    }
    builder
        .body(body::full(bytes))
        .map_err(|e| Error::new(ErrorKind::Internal, format!("the kept answer: {e}")))
}
