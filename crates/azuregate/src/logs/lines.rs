//! Appender that writes each event as one line.

use std::{
    fmt,
    io::Write,
    sync::{Mutex, PoisonError},
    time::Instant,
};

use logforth::{
    Append, Diagnostic, Error, Layout,
    kv::{Key, Value},
    layout::LogfmtLayout,
    record::{Level, Record},
};

use super::rate_limiter::{EventKind, RateLimiter, Suppressed};

/// Lines of one kind that are written per window.
const LINES_PER_WINDOW: u64 = 50;
const WINDOW_MS: u64 = 1_000;
/// Maximum length of a line, since callers choose some of the values.
const MAX_LINE_BYTES: usize = 8_192;
/// Suffix of a truncated line.
const TRUNCATED: &str = " truncated=true";

/// Appender that writes each event as one line and limits the rate of each kind.
pub struct Lines<W> {
    layout: LogfmtLayout,
    origin: Instant,
    state: Mutex<State<W>>,
}

struct State<W> {
    out: W,
    limiter: RateLimiter,
}

impl<W> fmt::Debug for Lines<W> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Lines").finish_non_exhaustive()
    }
}

impl<W: Write> Lines<W> {
    /// Creates an appender that writes to `out`.
    pub fn new(out: W) -> Lines<W> {
        let limiter = RateLimiter::new(LINES_PER_WINDOW, WINDOW_MS);
        let state = Mutex::new(State { out, limiter });
        Lines { layout: LogfmtLayout::default(), origin: Instant::now(), state }
    }

    fn now_ms(&self) -> u64 {
        u64::try_from(self.origin.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    fn line(&self, record: &Record, diags: &[Box<dyn Diagnostic>]) -> Result<String, Error> {
        let bytes = self.layout.format(record, diags)?;
        Ok(escape_line(&String::from_utf8_lossy(&bytes)))
    }

    fn suppressed_line(&self, suppressed: &Suppressed) -> Result<String, Error> {
        let Suppressed { kind, count } = suppressed;
        let pairs = [
            (Key::new("of"), Value::str(&kind.message)),
            (Key::new("code"), Value::str(&kind.code)),
            (Key::new("count"), Value::u64(*count)),
        ];
        let record = Record::builder()
            .level(Level::Warn)
            .target_static(module_path!())
            .payload(format_args!("lines suppressed"))
            .key_values(&pairs[..])
            .build();
        self.line(&record, &[])
    }
}

impl<W: Send + Write + 'static> Append for Lines<W> {
    fn append(&self, record: &Record, diags: &[Box<dyn Diagnostic>]) -> Result<(), Error> {
        let now_ms = self.now_ms();
        // The state is consistent even if a thread panicked while it held the lock.
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        let mut text = String::new();
        for suppressed in state.limiter.take_suppressed(now_ms) {
            text.push_str(&self.suppressed_line(&suppressed)?);
            text.push('\n');
        }
        if state.limiter.admit(kind(record), now_ms) {
            text.push_str(&self.line(record, diags)?);
            text.push('\n');
        }
        state.out.write_all(text.as_bytes()).map_err(Error::from_io_error)
    }

    fn flush(&self) -> Result<(), Error> {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        state.out.flush().map_err(Error::from_io_error)
    }
}

fn kind(record: &Record) -> EventKind {
    let code = record.key_values().get("code");
    EventKind {
        message: record.payload().to_string(),
        code: code.map_or_else(String::new, |code| code.to_string()),
    }
}

/// Escapes control characters and line separators in a formatted event, and truncates
/// it to the maximum length of a line.
///
/// logforth quotes a value only if it contains a space, an equals sign or a quote.
/// Without escaping, a line break in a value chosen by a caller could forge an event,
/// and control characters would reach the terminal of the reader.
pub fn escape_line(text: &str) -> String {
    let mut line = String::with_capacity(text.len());
    for c in text.chars() {
        if c.is_control() || matches!(c, '\u{2028}' | '\u{2029}') {
            line.extend(c.escape_default());
        } else {
            line.push(c);
        }
        if line.len() > MAX_LINE_BYTES {
            line.push_str(TRUNCATED);
            break;
        }
    }
    line
}
