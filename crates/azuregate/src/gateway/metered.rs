//! Counts the bytes of bodies that cross a link between regions.

use std::sync::Arc;

use http_body_util::BodyExt;

use crate::{body::Body, selector::Meter};

/// Counts the bytes of a request's body as they leave.
pub(crate) fn up(body: Body, meter: Option<&Arc<Meter>>) -> Body {
    metered(body, meter, Meter::add_up)
}

/// Counts the bytes of an answer's body as they arrive.
pub(crate) fn down(body: Body, meter: Option<&Arc<Meter>>) -> Body {
    metered(body, meter, Meter::add_down)
}

fn metered(body: Body, meter: Option<&Arc<Meter>>, count: fn(&Meter, usize)) -> Body {
    let Some(meter) = meter.cloned() else {
        return body;
    };
    let counted = body.map_frame(move |frame| {
        count(&meter, frame.data_ref().map_or(0, bytes::Bytes::len));
        frame
    });
    counted.boxed_unsync()
}
