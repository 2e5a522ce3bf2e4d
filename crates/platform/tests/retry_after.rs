//! Parsing of the pause that a backend server asks for.

use azuregate_platform::request::parse_retry_after;

#[test]
fn pauses_are_parsed_and_nonsense_is_not() {
    let cases = [
        ("3", Some(3_000)),
        (" 2 ", Some(2_000)),
        ("0.25", Some(250)),
        ("0.0001", Some(1)),
        ("0", Some(0)),
        ("1e20", Some(u64::MAX)),
        ("-1", None),
        ("-0.5", None),
        ("NaN", None),
        ("inf", None),
        ("1e999", None),
        ("", None),
        ("3, 5", None),
        ("3 seconds", None),
        ("Fri, 04 Dec 2026 10:00:00 GMT", None),
    ];
    for (text, pause_ms) in cases {
        assert_eq!(parse_retry_after(text), pause_ms, "{text:?}");
    }
}
