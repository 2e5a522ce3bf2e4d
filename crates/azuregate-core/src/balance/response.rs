//! What a response of a backend server says of the request that was sent, and what a status says to
//! a client.

/// The parts of a response head that tell which request it answers and whether that was executed.
#[derive(Clone, Copy, Debug, Default)]
pub struct ResponseHead<'a> {
    /// The status code.
    pub status: u16,
    /// The request ID; `None` if there is none or more than one.
    pub request_id: Option<&'a [u8]>,
    /// Whether it says that the request was not executed.
    pub is_marked_not_executed: bool,
    /// Whether it has the server's signature.
    pub is_signed: bool,
    /// Whether the body is encoded.
    pub is_encoded: bool,
}

/// What a response is to a request.
///
/// Only the last three say anything of the request or of the server. After the others the request
/// may have been executed, and the next response on the connection cannot be told either.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ResponseKind {
    /// It names another request, such as the late copy of a response.
    Foreign,
    /// It names no request.
    Unnamed,
    /// Clients do not accept it as an answer.
    Invalid,
    /// The address belongs to another server; the request was not executed.
    Misdirected,
    /// The server did not execute the request.
    Rejected,
    /// The server executed the request, or says nothing else.
    Answer,
}

impl ResponseHead<'_> {
    /// Returns what the response is to the request with this ID.
    pub fn kind(&self, request_id: &[u8]) -> ResponseKind {
        let is_misdirected = self.status == 421;
        let is_success = (200..300).contains(&self.status);
        // With other statuses, the mark contradicts the status.
        let can_reject = self.status == 503 || (400..500).contains(&self.status);
        match self.request_id {
            None => ResponseKind::Unnamed,
            Some(id) if id != request_id => ResponseKind::Foreign,
            Some(_) if is_misdirected => ResponseKind::Misdirected,
            Some(_) if self.status < 200 => ResponseKind::Invalid,
            Some(_) if is_success && !self.is_valid_success() => ResponseKind::Invalid,
            Some(_) if self.is_marked_not_executed && can_reject => ResponseKind::Rejected,
            Some(_) => ResponseKind::Answer,
        }
    }

    fn is_valid_success(&self) -> bool {
        self.is_signed && !self.is_encoded && !self.is_marked_not_executed
    }
}

/// Returns whether a response with this status promises a client that its request was not executed
/// and never will be.
///
/// ```
/// use azuregate_core::balance::promises_not_executed;
///
/// assert!(promises_not_executed(503));
/// assert!(!promises_not_executed(502));
/// ```
pub fn promises_not_executed(status: u16) -> bool {
    matches!(status, 408 | 421 | 429 | 503)
}
