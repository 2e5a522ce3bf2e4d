//! Writes events as lines.

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

/// How many lines of one kind are written in a window.
const LINES_PER_WINDOW: u64 = 50;
/// Length of the window.
const WINDOW_MS: u64 = 1_000;
/// The longest line, in bytes; callers choose some of the values.
const MAX_LINE_BYTES: usize = 8_192;
/// Ends a line that was too long.
const TRUNCATED: &str = " truncated=true";

/// Writes each event as one line, and bounds the lines of each kind.
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
    /// Writes to `out`.
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
        // A thread that panicked while it wrote has left nothing half done here.
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

/// Makes one line of what was formatted.
///
/// logfmt quotes a value only if it holds a blank, an equals sign or a quote. A
/// value that holds nothing but a line break among letters would end the line,
/// and what follows would read as an event of its own; control characters would
/// reach the terminal of whoever reads the log.
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
