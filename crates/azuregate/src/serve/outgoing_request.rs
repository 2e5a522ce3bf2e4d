//! A client request prepared for forwarding.

use std::{cell::OnceCell, rc::Rc};

use azuregate_core::balance::Fingerprint;
use azuregate_platform::request;
use hyper::{
    HeaderMap, Method, Request, Uri, Version,
    header::{self, HeaderName, HeaderValue},
    http::request::Parts,
};
use tokio::time::Instant;

use super::{client_memory::ConnectionMemory, request_body::RequestBody};

/// Headers that distinguish requests with the same path and body: the host and the caller's
/// credentials. The client's address is not part of it, since a caller may come from several.
const FINGERPRINT_HEADERS: [HeaderName; 3] = [header::HOST, header::AUTHORIZATION, header::COOKIE];

/// A client request prepared for forwarding to any backend server.
pub(super) struct OutgoingRequest {
    pub(super) method: Method,
    pub(super) uri: Uri,
    pub(super) headers: HeaderMap,
    pub(super) body: RequestBody,
    pub(super) is_idempotent: bool,
    /// When the response must be complete.
    pub(super) deadline: Instant,
    /// What the client's connection holds.
    pub(super) memory: Rc<ConnectionMemory>,
    fingerprint: OnceCell<Fingerprint>,
}

impl OutgoingRequest {
    pub(super) fn new(
        parts: Parts,
        body: RequestBody,
        is_idempotent: bool,
        deadline: Instant,
        memory: Rc<ConnectionMemory>,
    ) -> OutgoingRequest {
        OutgoingRequest {
            method: parts.method,
            uri: parts.uri,
            headers: parts.headers,
            body,
            is_idempotent,
            deadline,
            memory,
            fingerprint: OnceCell::new(),
        }
    }

    /// Returns the request ID; empty if there is none.
    pub(super) fn id(&self) -> &[u8] {
        self.headers.get(request::REQUEST_ID).map(HeaderValue::as_bytes).unwrap_or_default()
    }

    /// Returns the time until the deadline.
    pub(super) fn remaining_ms(&self) -> u64 {
        let remaining = self.deadline.saturating_duration_since(Instant::now());
        u64::try_from(remaining.as_millis()).unwrap_or(u64::MAX)
    }

    /// Returns the request to send to a server, with the time that is left for it.
    pub(super) fn to_request(&self) -> Request<RequestBody> {
        let mut request = Request::new(self.body.clone());
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.uri.clone();
        *request.version_mut() = Version::HTTP_11;
        *request.headers_mut() = self.headers.clone();
        request.headers_mut().insert(request::DEADLINE_MS, HeaderValue::from(self.remaining_ms()));
        request
    }

    /// Returns the fingerprint, which is computed when it is first needed.
    pub(super) fn fingerprint(&self) -> Fingerprint {
        *self.fingerprint.get_or_init(|| {
            let path = self.uri.path_and_query().map_or("", |path| path.as_str());
            let headers = FINGERPRINT_HEADERS
                .map(|name| self.headers.get(name).map(HeaderValue::as_bytes).unwrap_or_default());
            let line = [self.method.as_str().as_bytes(), path.as_bytes()].map(|part| vec![part]);
            let headers = headers.map(|header| vec![header]);
            let parts = line.into_iter().chain([self.body.segments()]).chain(headers);
            Fingerprint::of_segments(parts)
        })
    }
}
