//! HTTP responses for errors.

use azuregate_core::error::{Error, ErrorKind};
use hyper::{Response, StatusCode, header};

use crate::body::{self, Body};

/// Header that states whether the request may have run.
pub(crate) const OUTCOME: &str = "azuregate-outcome";

/// Builds the response for an error.
pub(crate) fn from_error(error: &Error) -> Response<Body> {
    let response = error.kind().response();
    let text = format!("{error}\n");
    let mut builder = Response::builder()
        .status(response.status)
        .header(header::CONTENT_TYPE, "text/plain; charset=utf-8")
        .header(OUTCOME, error.outcome().as_str());
    if let Some(after_s) = error.retry_after_s() {
        builder = builder.header(header::RETRY_AFTER, after_s);
    }
    builder.body(body::full(text)).unwrap_or_else(|_| {
        let mut response = Response::new(body::empty());
        *response.status_mut() = StatusCode::from_u16(ErrorKind::Internal.response().status)
            .unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
        response
    })
}
