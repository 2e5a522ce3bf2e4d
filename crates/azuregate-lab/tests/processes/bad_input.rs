//! What bad settings, requests and operators' calls get. The page
//! docs/BAD-INPUT.md is made of these runs:
//! `INSTA_UPDATE=always cargo test -p azuregate-lab --test processes bad_input`.

use std::{
    env, fs,
    io::{Read, Write},
    net::{IpAddr, SocketAddr, TcpStream},
    path::Path,
    process::{Command, Output},
    time::Duration,
};

use crate::deployment::{Deployment, azuregate};

const PAGE: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../../docs/BAD-INPUT.md");
const EXAMPLE: &str = include_str!("../../../../examples/entry.jsonc");

const HEAD: &str = "\
# What bad input gets

A test makes this page from runs of real processes, and fails when it is out of
date (`crates/azuregate-lab/tests/processes/bad_input.rs`).

";

/// A kind of bad settings: what is replaced in `examples/entry.jsonc`, by what.
const SETTINGS: &[(&str, &[(&str, &str)])] = &[
    ("A key that is misspelt", &[(r#""instance":"#, r#""instanse":"#)]),
    ("A name without its unit", &[(r#""timeout_ms": 1000"#, r#""timeout": 1000"#)]),
    ("Another unit", &[(r#""stop_delay_ms": 6000"#, r#""stop_delay_s": 6"#)]),
    ("Values of the wrong type", &[(": 8080", r#": "8080""#), (": 1000", r#": "1s""#)]),
    ("Keys that are missing", &[(r#""ip": "127.0.10.1","#, ""), (r#""zone_delay_ms": 4,"#, "")]),
    ("Ports that clash", &[(": 8082", ": 8080"), (": 8083", ": 8081")]),
    ("A zone that no region has", &[(r#""zone": "sofia-a""#, r#""zone": "sofia-c""#)]),
    ("A zone that two regions have", &[(r#""plovdiv-b""#, r#""sofia-b""#)]),
    ("Values out of range", &[(": 500,", ": 5,"), (": 4000", ": 0")]),
    ("Numbers that stand for many machines", &[(r#""127.0.10.1""#, r#""0.0.0.0""#)]),
    ("A log level that is misspelt", &[(r#""log_filter": "info""#, r#""log_filter": "inof""#)]),
    ("No JSON", &[(r#""entry-1","#, r#""entry-1""#)]),
];

/// A kind of bad request, as it goes over the connection.
const REQUESTS: &[(&str, &str)] = &[
    ("No Host", "GET /hello HTTP/1.1\n\n"),
    ("A service that no policy names", "GET /hello HTTP/1.1\nHost: no-such-desk\n\n"),
    (
        "A timeout that is no number",
        "GET /hello HTTP/1.1\nHost: starter-desk\nAzuregate-Timeout-Ms: 1s\n\n",
    ),
    (
        "A timeout out of range",
        "GET /hello HTTP/1.1\nHost: starter-desk\nAzuregate-Timeout-Ms: 0\n\n",
    ),
    (
        "An empty idempotency key",
        "POST /orders HTTP/1.1\nHost: starter-desk\nIdempotency-Key:\nContent-Length: 0\n\n",
    ),
    (
        "An idempotency key that named another request",
        "POST /holds HTTP/1.1\nHost: starter-desk\nIdempotency-Key: k1\nContent-Length: 0\n\n",
    ),
    (
        "A tenant with blanks",
        "GET /hello HTTP/1.1\nHost: starter-desk\nAzuregate-Tenant: the bakers\n\n",
    ),
    ("Entries of no service", "GET /v1/entries HTTP/1.1\nHost: entry\n\n"),
    ("Entries of an unknown service", "GET /v1/entries?service=x HTTP/1.1\nHost: entry\n\n"),
    ("No HTTP", "hello\n\n"),
];

/// A kind of bad call of an operator.
const CALLS: &[(&str, &str)] = &[
    ("An unknown service", "policy get --service no-such"),
    (
        "Shares that do not add up",
        "shift start --service starter-desk --to-share-ppm sofia-a=900000",
    ),
    (
        "Zones that nobody knows",
        "shift start --service starter-desk --to-share-ppm sofia-c=500000,nowhere=500000",
    ),
    ("A backend server that nobody knows", "drain start --service starter-desk --backend desk-7"),
    (
        "A backend server that is not drained",
        "drain stop --service starter-desk --backend starter-desk-01",
    ),
    ("No shift to stop", "shift stop --service starter-desk"),
    ("A version that is no more", "shift stop --service starter-desk --based-on 7"),
    ("A policy with mistakes", "policy set --file policy.jsonc"),
];

const BAD_POLICY: &str = r#"{
  "service": "Starter-Desk",
  "cap": { "share_ppm": 0, "window": 1000 },
  "drains": "starter-desk-01",
  "timeout_ms": 10000
}
"#;

#[tokio::test]
async fn what_bad_input_gets() {
    let deployment = Deployment::start("bad_input").await;
    let dir = Path::new(env!("CARGO_TARGET_TMPDIR")).join("bad_input");
    let mut page = HEAD.to_owned();
    page.push_str("## Settings\n\nThe changes are made to `examples/entry.jsonc`.\n\n");
    for (name, replacements) in SETTINGS {
        page.push_str(&settings(&dir, name, replacements));
    }
    page.push_str("## Requests\n\n");
    let first = "POST /orders HTTP/1.1\nHost: starter-desk\nIdempotency-Key: k1\n\
                 Content-Length: 0\n\n";
    let answer = exchange(deployment.traffic(0), first);
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    for (name, request) in REQUESTS {
        let answer = exchange(deployment.traffic(0), request);
        page.push_str(&format!("### {name}\n\n```http\n{request}```\n\n```http\n{answer}```\n\n"));
    }
    page.push_str("## Operators' calls\n\n");
    fs::write(dir.join("policy.jsonc"), BAD_POLICY).unwrap();
    for (name, line) in CALLS {
        let told = call(&dir, deployment.operators(0), line);
        page.push_str(&format!("### {name}\n\n```console\n{told}```\n\n"));
    }
    let page = format!("{}\n", page.trim_end());
    if env::var("INSTA_UPDATE").as_deref() == Ok("always") {
        fs::write(PAGE, &page).unwrap();
    }
    assert!(fs::read_to_string(PAGE).unwrap() == page, "the page is out of date; see the test");
    insta::assert_snapshot!(page);
}

fn settings(dir: &Path, name: &str, replacements: &[(&str, &str)]) -> String {
    let mut text = EXAMPLE.to_owned();
    let mut diff = String::new();
    for (old, new) in replacements {
        assert!(text.contains(old), "{name}: the example has no {old}");
        text = text.replacen(old, new, 1);
    }
    for (old, new) in EXAMPLE.lines().zip(text.lines()).filter(|(old, new)| old != new) {
        diff.push_str(&format!("-{old}\n+{new}\n"));
    }
    fs::write(dir.join("entry.jsonc"), text).unwrap();
    let check = run(dir, &["check", "--settings", "entry.jsonc"]);
    // The same checks keep an instance from starting.
    let start = run(dir, &["run", "--settings", "entry.jsonc"]);
    assert_eq!((&check.status, &check.stderr), (&start.status, &start.stderr), "{name}");
    let told = told("azuregate check --settings entry.jsonc", &check);
    format!("### {name}\n\n```diff\n{diff}```\n\n```console\n{told}```\n\n")
}

fn run(dir: &Path, args: &[&str]) -> Output {
    Command::new(azuregate()).current_dir(dir).args(args).output().unwrap()
}

fn told(line: &str, output: &Output) -> String {
    let text = |bytes: &[u8]| String::from_utf8(bytes.to_vec()).unwrap();
    let (stdout, stderr) = (text(&output.stdout), text(&output.stderr));
    let exit = output.status.code().unwrap();
    format!("$ {line}\n{stdout}{stderr}$ echo $?\n{exit}\n")
}

fn call(dir: &Path, at: SocketAddr, line: &str) -> String {
    let address = at.to_string();
    let line = format!("{line} --operation-id op-1");
    // Reading takes no operation id.
    let line = line.replace("no-such --operation-id op-1", "no-such");
    let mut args: Vec<&str> = line.split(' ').collect();
    args.extend(["--at", &address]);
    let output = run(dir, &args);
    assert_ne!(output.status.code(), Some(0), "{line}");
    let port = at.port();
    told(&format!("azuregate {line} --at 127.0.10.1:{port}"), &output)
        .replace(&at.ip().to_string(), "127.0.10.1")
}

/// Sends raw bytes and gives all that comes back, but for the date.
fn exchange(addr: SocketAddr, request: &str) -> String {
    // Each exchange ends with its connection; a made up request id would differ
    // from run to run.
    let more = "\nAzuregate-Request-Id: r1\nConnection: close\n\n";
    let request = request.replacen("\n\n", more, 1).replace('\n', "\r\n");
    let mut stream = TcpStream::connect(addr).unwrap();
    stream.set_read_timeout(Some(Duration::from_secs(10))).unwrap();
    stream.write_all(request.as_bytes()).unwrap();
    let mut bytes = Vec::new();
    stream.read_to_end(&mut bytes).unwrap();
    let text = String::from_utf8(bytes).unwrap().replace('\r', "");
    let is_kept = |line: &&str| !line.starts_with("date:");
    let mut answer = String::new();
    for line in text.lines().filter(is_kept) {
        answer.push_str(line);
        answer.push('\n');
    }
    let IpAddr::V4(ip) = addr.ip() else { return answer };
    answer.replace(&ip.to_string(), "127.0.10.1")
}
