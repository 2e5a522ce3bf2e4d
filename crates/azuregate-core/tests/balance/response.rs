//! Which request a response answers, and what it says of it.

use azuregate_core::balance::{ResponseHead, ResponseKind};

const SENT: &[u8] = b"r1";

/// A response head and what it must be to the request `SENT`.
type Case = (u16, Option<&'static [u8]>, Marks, ResponseKind);

#[derive(Clone, Copy)]
enum Marks {
    None,
    Signed,
    NotExecuted,
    SignedAndNotExecuted,
    SignedAndEncoded,
}

const OTHER: Option<&[u8]> = Some(b"r2");
const SAME: Option<&[u8]> = Some(SENT);

const CASES: [Case; 29] = [
    (200, SAME, Marks::Signed, ResponseKind::Answer),
    (204, SAME, Marks::Signed, ResponseKind::Answer),
    (404, SAME, Marks::Signed, ResponseKind::Answer),
    (500, SAME, Marks::Signed, ResponseKind::Answer),
    (500, SAME, Marks::None, ResponseKind::Answer),
    // Not marked, so it may have been executed.
    (503, SAME, Marks::None, ResponseKind::Answer),
    (503, SAME, Marks::NotExecuted, ResponseKind::Rejected),
    (503, SAME, Marks::SignedAndNotExecuted, ResponseKind::Rejected),
    (429, SAME, Marks::NotExecuted, ResponseKind::Rejected),
    (400, SAME, Marks::NotExecuted, ResponseKind::Rejected),
    (408, SAME, Marks::NotExecuted, ResponseKind::Rejected),
    // What says both that the request was executed and that it was not.
    (200, SAME, Marks::NotExecuted, ResponseKind::Invalid),
    (200, SAME, Marks::SignedAndNotExecuted, ResponseKind::Invalid),
    (101, SAME, Marks::NotExecuted, ResponseKind::Invalid),
    (500, SAME, Marks::NotExecuted, ResponseKind::Answer),
    (504, SAME, Marks::SignedAndNotExecuted, ResponseKind::Answer),
    (421, SAME, Marks::None, ResponseKind::Misdirected),
    (421, SAME, Marks::NotExecuted, ResponseKind::Misdirected),
    (200, SAME, Marks::None, ResponseKind::Invalid),
    (200, SAME, Marks::SignedAndEncoded, ResponseKind::Invalid),
    (101, SAME, Marks::Signed, ResponseKind::Invalid),
    (200, OTHER, Marks::Signed, ResponseKind::Foreign),
    (503, OTHER, Marks::NotExecuted, ResponseKind::Foreign),
    (421, OTHER, Marks::NotExecuted, ResponseKind::Foreign),
    (500, OTHER, Marks::Signed, ResponseKind::Foreign),
    (200, None, Marks::Signed, ResponseKind::Unnamed),
    (503, None, Marks::NotExecuted, ResponseKind::Unnamed),
    (421, None, Marks::None, ResponseKind::Unnamed),
    (500, None, Marks::None, ResponseKind::Unnamed),
];

/// Guards against believing a response that answers another request or names none, above all that
/// the request was not executed.
#[test]
fn response_counts_only_if_it_names_the_request() {
    for (number, (status, request_id, marks, expected)) in CASES.into_iter().enumerate() {
        let head = ResponseHead {
            status,
            request_id,
            is_marked_not_executed: matches!(
                marks,
                Marks::NotExecuted | Marks::SignedAndNotExecuted
            ),
            is_signed: matches!(
                marks,
                Marks::Signed | Marks::SignedAndNotExecuted | Marks::SignedAndEncoded
            ),
            is_encoded: matches!(marks, Marks::SignedAndEncoded),
        };
        assert_eq!(head.kind(SENT), expected, "case {number}: {head:?}");
    }
}
