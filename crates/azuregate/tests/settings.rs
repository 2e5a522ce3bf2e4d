//! Parsing and validation of settings files.

#![allow(clippy::unwrap_used, reason = "a test that panics has failed")]

use std::{fmt::Write, path::Path};

use azuregate::settings::Settings;
use proptest::prelude::*;

const EXAMPLE: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples/entry.jsonc");

/// Invalid settings, as replacements in the example file.
const INVALID: &[(&str, &[(&str, &str)])] = &[
    ("unknown key", &[(r#""instance":"#, r#""instanse":"#)]),
    ("missing unit", &[(r#""timeout_ms":"#, r#""timeout":"#)]),
    ("wrong unit", &[(r#""stop_delay_ms": 6000"#, r#""stop_delay_s": 6"#)]),
    ("camel case", &[(r#""poll_ms":"#, r#""pollMs":"#)]),
    ("a key without a similar one", &[(r#""log_filter": "info""#, r#""region": "sofia""#)]),
    ("missing keys", &[(r#""ip": "127.0.10.1","#, ""), (r#""zone_delay_ms": 4,"#, "")]),
    (
        "wrong types",
        &[
            (": 8080", r#": "8080""#),
            (": 1000", r#": "1s""#),
            (r#"["varna-a", "varna-b"]"#, r#""varna-a""#),
        ],
    ),
    ("clashing ports", &[(": 8082", ": 8080"), (": 8083", ": 8081")]),
    ("the platform at its own port", &[("127.0.10.100:7000", "127.0.10.1:8081")]),
    ("a zone that no region has", &[(r#""zone": "sofia-a""#, r#""zone": "sofia-c""#)]),
    (
        "zones and regions twice",
        &[(r#""plovdiv-b""#, r#""sofia-b""#), (r#""name": "varna""#, r#""name": "sofia""#)],
    ),
    ("no zones", &[(r#"["varna-a", "varna-b"]"#, "[]")]),
    (
        "out of range",
        &[
            (": 8081", ": 70000"),
            (": 500", ": 5"),
            (": 4000", ": 0"),
            (": 20,", ": -1,"),
            (": 6000", ": 1.5"),
        ],
    ),
    (
        "unspecified numbers",
        &[(r#""127.0.10.1""#, r#""0.0.0.0""#), ("127.0.10.100:7000", "[::]:0")],
    ),
    ("no number", &[(r#""127.0.10.1""#, r#""localhost""#), (":8125", "")]),
    ("a name with blanks", &[(r#""entry-1""#, r#""entry 1""#)]),
    ("a filter", &[(r#""info""#, r#""loud""#)]),
    ("a key twice", &[(r#""instance": "entry-1","#, r#""instance": "a", "instance": "b","#)]),
    ("null", &[(": 8080", ": null"), (r#""127.0.10.100:8125""#, "null")]),
    ("not JSON", &[(r#""entry-1","#, r#""entry-1""#)]),
    ("truncated", &[(r#""stop_delay_ms": 6000"#, r#""stop_delay_ms":"#)]),
];

fn example() -> String {
    std::fs::read_to_string(EXAMPLE).unwrap()
}

fn errors(text: &str) -> String {
    Settings::parse(text).unwrap_err().current_context().to_string()
}

#[test]
fn the_example_is_valid() {
    let settings = Settings::load(Path::new(EXAMPLE)).unwrap();
    assert_eq!(settings.platform.poll_ms, 500);
    assert_eq!(settings.topology.zones().count(), 6);
}

#[test]
fn optional_settings_have_defaults() {
    let full = Settings::parse(&example()).unwrap();
    let optional = [r#""poll_ms": 500,"#, r#""log_filter": "info","#, r#""timeout_ms": 1000"#];
    let text = optional.iter().fold(example(), |text, part| text.replace(part, ""));
    assert_eq!(Settings::parse(&text).unwrap(), full);
}

// Serialized settings must be valid settings.
#[test]
fn settings_survive_a_round_trip() {
    let mut settings = Settings::parse(&example()).unwrap();
    for statsd_addr in [settings.statsd_addr, None] {
        settings.statsd_addr = statsd_addr;
        let text = serde_json::to_string(&settings).unwrap();
        assert_eq!(Settings::parse(&text).unwrap(), settings);
    }
}

#[test]
fn invalid_settings() {
    let mut seen = String::new();
    for (name, replacements) in INVALID {
        let text = replacements.iter().fold(example(), |text, (old, new)| {
            assert!(text.contains(old), "{name}: the example has no {old}");
            text.replacen(old, new, 1)
        });
        writeln!(seen, "# {name}\n{}\n", errors(&text)).unwrap();
    }
    insta::assert_snapshot!(seen);
}

#[test]
fn all_errors_are_reported_at_once() {
    let text = example()
        .replace("sofia-a\",\n", "nowhere\",\n")
        .replace("8082", "8080")
        .replace("\"timeout_ms\"", "\"timeout\"")
        .replace("\"instance\"", "\"name\"");
    insta::assert_snapshot!(errors(&text));
}

#[test]
fn documents_that_are_not_settings() {
    let texts = ["", "// nothing", "[]", "7", "null", "{}", "{ \"platform\": [] }", "\u{feff}{"];
    let mut seen = String::new();
    for text in texts {
        writeln!(seen, "# {text:?}\n{}\n", errors(text)).unwrap();
    }
    insta::assert_snapshot!(seen);
}

#[test]
fn a_file_that_cannot_be_read_is_named() {
    let error = Settings::load(Path::new("no/such/file.jsonc")).unwrap_err();
    assert_eq!(
        error.current_context().to_string(),
        "no/such/file.jsonc: the settings cannot be read"
    );
}

proptest! {
    #[test]
    fn garbage_never_panics(text in any::<Vec<char>>()) {
        let _ = Settings::parse(&String::from_iter(text));
    }

    // Partly valid files reach more of the validation than random text.
    #[test]
    fn a_mutated_example_never_panics(
        at in any::<prop::sample::Index>(),
        len in 0_usize..40,
        new in r#"[\{\}\[\]",:0-9a-zé/\n ]{0,6}"#,
    ) {
        let chars: Vec<char> = example().chars().collect();
        let start = at.index(chars.len());
        let end = (start + len).min(chars.len());
        let mutated: String =
            chars[..start].iter().copied().chain(new.chars()).chain(chars[end..].iter().copied()).collect();
        if let Err(error) = Settings::parse(&mutated) {
            let lines = mutated.split('\n').count();
            for problem in error.current_context().problems() {
                prop_assert!((1..=lines).contains(&problem.line), "{problem}");
            }
        }
    }
}
