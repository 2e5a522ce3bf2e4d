//! Counts the bytes of bodies that cross a link between regions.

use std::sync::Arc;

use http_body_util::BodyExt;

use crate::{body::Body, selector::ByteCounter};

/// Counts the bytes of a request body as they are sent.
pub(crate) fn request_body(body: Body, counter: Option<&Arc<ByteCounter>>) -> Body {
    counted(body, counter, ByteCounter::add_request_bytes)
}

/// Counts the bytes of a response body as they arrive.
pub(crate) fn response_body(body: Body, counter: Option<&Arc<ByteCounter>>) -> Body {
    counted(body, counter, ByteCounter::add_response_bytes)
}

fn counted(body: Body, counter: Option<&Arc<ByteCounter>>, add: fn(&ByteCounter, usize)) -> Body {
    let Some(counter) = counter.cloned() else {
        return body;
    };
    let counted = body.map_frame(move |frame| {
        add(&counter, frame.data_ref().map_or(0, bytes::Bytes::len));
        frame
    });
    counted.boxed_unsync()
}
