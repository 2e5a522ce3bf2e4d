//! The body type that all parts of the request path share.

use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, Empty, Full, combinators::UnsyncBoxBody};

/// What can go wrong while a body streams.
pub type BodyError = Box<dyn std::error::Error + Send + Sync>;

/// A body of a request or an answer.
pub type Body = UnsyncBoxBody<Bytes, BodyError>;

/// A body without bytes.
pub fn empty() -> Body {
    Empty::new().map_err(|never| match never {}).boxed_unsync()
}

/// A body held in memory.
pub fn full(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into()).map_err(|never| match never {}).boxed_unsync()
}

/// Reads a body into memory.
///
/// # Errors
///
/// When it is longer than `limit_bytes` or ends early.
// Not `http_body_util::Limited`: over a body with a boxed error, the compiler
// cannot prove that a future which holds it may move between threads.
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
