//! Logging: one line per event for any input, at a limited rate.

#![allow(clippy::unwrap_used, reason = "a test that panics has failed")]

use std::{
    io::{self, Read, Write},
    sync::{Arc, Mutex},
};

use azuregate::logs::{
    EventKind, Lines, NonBlockingWriter, RateLimiter, Summaries, Suppressed, escape_line,
};
use logforth::{
    Append,
    kv::{Key, Value},
    record::{Level, Record},
};
use proptest::prelude::*;

#[derive(Clone, Default)]
struct SharedBuffer(Arc<Mutex<Vec<u8>>>);

impl Write for SharedBuffer {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0.lock().unwrap().extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl SharedBuffer {
    fn lines(&self) -> Vec<String> {
        let text = String::from_utf8(self.0.lock().unwrap().clone()).unwrap();
        text.lines().map(str::to_owned).collect()
    }
}

fn log_refusal(lines: &Lines<SharedBuffer>, request: &str, code: &str) {
    let pairs = [(Key::new("request"), Value::str(request)), (Key::new("code"), Value::str(code))];
    let record = Record::builder()
        .level(Level::Info)
        .target("azuregate::gateway")
        .payload(format_args!("request refused"))
        .key_values(&pairs[..])
        .build();
    lines.append(&record, &[]).unwrap();
}

/// A value from a caller, and the end of the line that it is logged in.
const VALUES: &[(&str, &str)] = &[
    ("r1", "request=r1 code=x"),
    ("a b", r#"request="a b" code=x"#),
    ("a=b", r#"request="a=b" code=x"#),
    (r#"a"b"#, r#"request="a\"b" code=x"#),
    ("a\nlevel", r"request=a\nlevel code=x"),
    ("a\r\nlevel=ERROR", r#"request="a\r\nlevel=ERROR" code=x"#),
    ("\u{1b}[2J", r"request=\u{1b}[2J code=x"),
    ("a\u{2028}b", r"request=a\u{2028}b code=x"),
    ("a\u{9b}b", r"request=a\u{9b}b code=x"),
    ("жито", "request=жито code=x"),
    ("", "request= code=x"),
];

// Guards against forged events: a request id that contains a line break must not start
// a new line.
#[test]
fn event_is_written_as_one_line() {
    for (value, expected) in VALUES {
        let buffer = SharedBuffer::default();
        log_refusal(&Lines::new(buffer.clone()), value, "x");
        let lines = buffer.lines();
        let [line] = &lines[..] else { panic!("{value:?}: {lines:?}") };
        assert!(line.ends_with(expected), "{value:?}: {line}");
        assert!(line.contains(" level=INFO module=azuregate::gateway "), "{line}");
        assert!(line.contains(r#" message="request refused" "#), "{line}");
    }
}

#[test]
fn long_line_is_truncated() {
    let buffer = SharedBuffer::default();
    log_refusal(&Lines::new(buffer.clone()), &"x".repeat(100_000), "x");
    let lines = buffer.lines();
    assert!(lines[0].len() < 8_300, "{} bytes", lines[0].len());
    assert!(lines[0].ends_with(" truncated=true"));
}

proptest! {
    #[test]
    fn escaped_line_has_no_control_characters(value in any::<Vec<char>>()) {
        let value = String::from_iter(value);
        let line = escape_line(&value);
        prop_assert!(line.chars().all(|c| !c.is_control()), "{line:?}");
        prop_assert_eq!(line.lines().count(), usize::from(!line.is_empty()));
    }
}

// Guards against a flood of equal events that suppresses events of other kinds.
#[test]
fn rate_limit_is_per_kind() {
    let buffer = SharedBuffer::default();
    let lines = Lines::new(buffer.clone());
    for index in 0..1_000 {
        log_refusal(&lines, &format!("r{index}"), "queue-full");
    }
    log_refusal(&lines, "other", "too-late");
    let seen = buffer.lines();
    let count = |code: &str| seen.iter().filter(|line| line.ends_with(code)).count();
    // Above 50 if the test runs longer than one window.
    assert!((50..=500).contains(&count("code=queue-full")), "{}", seen.len());
    assert_eq!(count("code=too-late"), 1);
}

fn kind(code: &str) -> EventKind {
    EventKind { message: "request refused".to_owned(), code: code.to_owned() }
}

#[test]
fn suppressed_lines_are_counted_per_kind() {
    let mut limiter = RateLimiter::new(2, 1_000);
    let admitted: Vec<_> = (0..5).map(|_| limiter.admit(kind("queue-full"), 100)).collect();
    assert_eq!(admitted, [true, true, false, false, false]);
    assert!(limiter.admit(kind("too-late"), 200));
    assert_eq!(limiter.take_suppressed(1_099), []);
    let three = Suppressed { kind: kind("queue-full"), count: 3 };
    assert_eq!(limiter.take_suppressed(1_100), [three]);
    assert_eq!(limiter.take_suppressed(1_200), []);
    assert!(limiter.admit(kind("queue-full"), 1_100));
}

#[test]
fn number_of_kinds_is_limited() {
    let mut limiter = RateLimiter::new(1, 1_000);
    let admitted = (0..1_000).filter(|index| limiter.admit(kind(&index.to_string()), 0)).count();
    assert_eq!(admitted, 256 + 1);
    assert_eq!(
        limiter.take_suppressed(1_000),
        [Suppressed { kind: EventKind::default(), count: 1_000 - 257 }]
    );
}

/// Guards against writes that block if the log collector stops reading. Dropped lines
/// are counted, and the count is written once the pipe accepts data again.
#[test]
fn full_pipe_does_not_block_writes() {
    let (mut reader, writer) = std::io::pipe().unwrap();
    let mut log = NonBlockingWriter::new(writer);
    let line = [b"x".repeat(999), b"\n".to_vec()].concat();
    for _ in 0..1_000 {
        log.write_all(&line).unwrap();
    }
    let dropped = log.dropped();
    assert!((1..1_000).contains(&dropped), "{dropped}");
    let mut taken = vec![0; (1_000 - dropped as usize) * line.len()];
    reader.read_exact(&mut taken).unwrap();
    log.write_all(b"last\n").unwrap();
    drop(log);
    let mut rest = String::new();
    reader.read_to_string(&mut rest).unwrap();
    assert_eq!(rest, format!("lines dropped count={dropped}\nlast\n"));
}

fn log_write(lines: &Lines<SharedBuffer>, id: &str, keep: bool) {
    let pairs = [
        (Key::new("id"), Value::str(id)),
        (Key::new("code"), Value::str("rejected")),
        (Key::new("status"), Value::u64(503)),
        (Key::new("failed"), Value::str("b1:rejected,b2:connection broke")),
        (Key::new("connections"), Value::str("84/9,12/1")),
        (Key::new("keep"), Value::bool(keep)),
    ];
    let record = Record::builder()
        .level(Level::Info)
        .target("azuregate::serve::access_log")
        .payload(format_args!("request"))
        .key_values(&pairs[..])
        .build();
    lines.append(&record, &[]).unwrap();
}

/// Guards against a refused write of which the log has nothing but the count of suppressed lines.
#[test]
fn suppressed_write_is_found_by_its_id() {
    let buffer = SharedBuffer::default();
    let lines = Lines::new(buffer.clone());
    for number in 0..600 {
        log_write(&lines, &format!("w{number:04}"), true);
        log_write(&lines, &format!("r{number:04}"), false);
    }
    lines.flush().unwrap();
    let seen = buffer.lines().join("\n");
    for number in 0..600 {
        let cause = "status=503 failed=b1:rejected,b2:connection broke connections=84/9,12/1";
        let summary = format!("id=w{number:04} {cause}");
        let line = format!(
            "id=w{number:04} code=rejected status=503 failed=\"b1:rejected,b2:connection broke\" \
             connections=84/9,12/1"
        );
        assert!(seen.contains(&summary) || seen.contains(&line), "w{number:04} is missing");
    }
    // Above 50 if the test runs longer than one window.
    assert!((0..600).filter(|number| seen.contains(&format!("id=r{number:04} "))).count() <= 300);
}

/// Guards against a log that grows with the load without a bound, or that does not say what it lacks.
#[test]
fn summaries_of_suppressed_writes_are_bounded() {
    let mut summaries = Summaries::new(10_000, 1_000);
    let mut written = Vec::new();
    for number in 0..5_000 {
        let summary = format!("id=w{number:04} {}", "x".repeat(number));
        written.extend(summaries.add(kind("rejected"), &summary, 100));
    }
    written.extend(summaries.take().into_iter().map(|(_, text)| text));
    let written = written.concat();
    assert!((9_000..=10_000).contains(&written.len()), "{}", written.len());
    assert_eq!(written.matches("id=w").count() as u64 + summaries.take_omitted(), 5_000);
    assert_eq!((summaries.take_omitted(), summaries.take()), (0, Vec::new()));
    summaries.add(kind("rejected"), "id=next", 1_100);
    assert_eq!(summaries.take(), [(kind("rejected"), "id=next".to_owned())]);
}
