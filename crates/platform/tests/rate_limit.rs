//! Parsing of the rate limit that a backend server names.

use azuregate_platform::request::parse_rate_limit;

#[test]
fn rate_limits_are_parsed_and_nonsense_is_not() {
    let cases = [
        ("3.1", Some(3.1)),
        (" 12 ", Some(12.0)),
        ("0", Some(0.0)),
        ("0.25", Some(0.25)),
        ("-1", None),
        ("NaN", None),
        ("inf", None),
        ("1e999", None),
        ("", None),
        ("3,1", None),
        ("3 a second", None),
    ];
    for (text, limit_per_s) in cases {
        assert_eq!(parse_rate_limit(text), limit_per_s, "{text:?}");
    }
}
