//! Help texts, and errors in settings and command lines.

use std::fmt::Write;

use crate::server::azuregate;

const COMMANDS: [&str; 20] = [
    "",
    "run",
    "serve",
    "check",
    "status",
    "policy",
    "policy get",
    "policy list",
    "policy set",
    "policy history",
    "shift",
    "shift start",
    "shift stop",
    "shift show",
    "drain",
    "drain start",
    "drain stop",
    "drain show",
    "entries",
    "histograms",
];

#[tokio::test]
async fn every_command_has_help_with_an_example() {
    let mut seen = String::new();
    for command in COMMANDS {
        let run = azuregate(&format!("{command} --help")).await;
        assert_eq!(run.exit, 0, "{command}: {}", run.stderr);
        let (own, shared) = run.stdout.split_once("\nExit status:").unwrap();
        assert!(own.contains("\nExample:\n  azuregate "), "{command} has no example");
        assert!(shared.contains("  6  unknown"), "{command}");
        writeln!(seen, "$ azuregate {command} --help\n{own}").unwrap();
    }
    insta::assert_snapshot!(seen);
}

#[tokio::test]
async fn check_prints_json() {
    let example = concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples/entry.jsonc");
    let text = std::fs::read_to_string(example).unwrap();
    let bad = text.replace("\"instance\"", "\"instanse\"").replace(": 8082", ": 8080");
    let warning = text.replace("\"stop_delay_ms\": 6000", "\"stop_delay_ms\": 200");
    let mut seen = String::new();
    for (name, text, exit) in [("good", &text, 0), ("bad", &bad, 2), ("warning", &warning, 0)] {
        let file = format!("{}/check-{name}.jsonc", env!("CARGO_TARGET_TMPDIR"));
        std::fs::write(&file, text).unwrap();
        let run = azuregate(&format!("check --settings {file} --output json")).await;
        assert_eq!(run.exit, exit, "{name}: {}", run.stderr);
        let output = run.transcript(&[]).replace(env!("CARGO_TARGET_TMPDIR"), "[dir]");
        writeln!(seen, "# {name}\n{output}").unwrap();
    }
    insta::assert_snapshot!(seen);
}

#[tokio::test]
async fn a_port_in_use_is_logged_as_one_line() {
    let taken = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let port = taken.local_addr().unwrap().port();
    let example = concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples/entry.jsonc");
    let text = std::fs::read_to_string(example).unwrap();
    let text = text.replace("127.0.10.1\"", "127.0.0.1\"").replace(": 8080", &format!(": {port}"));
    let file = format!("{}/taken.jsonc", env!("CARGO_TARGET_TMPDIR"));
    std::fs::write(&file, text).unwrap();
    let run = azuregate(&format!("run --settings {file}")).await;
    assert_eq!(run.exit, 1, "{}", run.stderr);
    let [line] = run.stderr.lines().collect::<Vec<_>>()[..] else { panic!("{}", run.stderr) };
    assert!(
        line.contains(r#"level=ERROR"#) && line.contains(r#"message="cannot start""#),
        "{line}"
    );
    assert!(line.contains(&format!("cannot listen on 127.0.0.1:{port}")), "{line}");
}

#[tokio::test]
async fn invalid_command_lines_are_reported() {
    let lines = [
        "",
        "polish",
        "policy",
        "policy get",
        "policy get --service",
        "policy get --service s",
        "policy get --service s --at localhost",
        "status --at 127.0.0.1:1 --output yaml",
        "status --at 127.0.0.1:1 --timeout-ms 0",
        "status --at 127.0.0.1:1 --timeout-ms 1s",
        "shift start --service s --at 127.0.0.1:1 --to-share-ppm sofia-a",
        "shift start --service s --at 127.0.0.1:1 --to-share-ppm sofia-a=1,sofia-a=2",
        "shift start --service s --at 127.0.0.1:1 --to-share-ppm sofia-a=1 --cap-ppm 1",
        "policy set --at 127.0.0.1:1 --file no-such-file.jsonc",
        "check --settings no-such-file.jsonc",
    ];
    let mut seen = String::new();
    for line in lines {
        let run = azuregate(line).await;
        assert_eq!(run.exit, 2, "{line}: {}", run.stderr);
        assert_eq!(run.stdout, "", "{line}");
        let first = run.stderr.lines().next().unwrap();
        writeln!(seen, "$ azuregate {line}\n{first}").unwrap();
    }
    insta::assert_snapshot!(seen);
}
