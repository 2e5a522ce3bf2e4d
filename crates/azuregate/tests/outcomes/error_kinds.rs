//! The table that maps error kinds to responses.

use std::fmt::Write;

use azuregate_core::error::{Error, ErrorKind, Outcome, Retry};

#[test]
fn responses_by_error_kind() {
    let mut table = String::new();
    for kind in ErrorKind::ALL {
        let answer = kind.response();
        let after = answer.retry_after_s.map_or("-".to_owned(), |s| s.to_string());
        let (code, outcome) = (kind.code(), answer.outcome.as_str());
        let retry = answer.retry;
        writeln!(table, "{code:22} {} {outcome:8} {after:2} {retry:?}", answer.status).unwrap();
    }
    insta::assert_snapshot!(table);
}

#[test]
fn unknown_outcomes_are_never_always_retried() {
    for kind in ErrorKind::ALL {
        let answer = kind.response();
        let is_unknown = answer.outcome == Outcome::Unknown;
        assert!(!(is_unknown && answer.retry == Retry::Always), "{kind}");
    }
}

// A retry of a request that ran is refused before its claim is read. If the outcome
// were "not-run", the client would send the request again under another key.
#[test]
fn refusal_before_reading_the_claim_is_unknown() {
    let error = Error::new(ErrorKind::ClaimNotMade, "down");
    assert_eq!(error.outcome(), Outcome::NotRun);
    let error = error.with_unknown_earlier_attempt();
    assert_eq!((error.outcome(), error.retry_after_s()), (Outcome::Unknown, Some(1)));
}
