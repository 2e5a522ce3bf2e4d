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

use super::{
    rate_limiter::{EventKind, RateLimiter, Suppressed},
    summaries::{self, Summaries},
};

/// Lines of one kind that are written per window.
const LINES_PER_WINDOW: u64 = 50;
const WINDOW_MS: u64 = 1_000;
/// Bytes of summaries of suppressed lines that are written per window.
const SUMMARY_BYTES_PER_WINDOW: usize = 128 << 10;
/// A suppressed event whose key of this name is true is summarized.
const KEEP: &str = "keep";
/// The keys of a summary.
const SUMMARY_KEYS: [&str; 6] =
    ["id", "status", "backend", "failed", "connections", "forwarded_to"];
/// Maximum length of a line, since callers choose some of the values.
const MAX_LINE_BYTES: usize = 8_192;
/// Suffix of a truncated line.
const TRUNCATED: &str = " truncated=true";

/// Appender that writes each event as one line and limits the rate of each kind.
///
/// Of suppressed events that have the pair `keep=true`, a summary is written with others of their
/// kind.
pub struct Lines<W> {
    layout: LogfmtLayout,
    origin: Instant,
    state: Mutex<State<W>>,
}

struct State<W> {
    out: W,
    limiter: RateLimiter,
    summaries: Summaries,
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
        let summaries = Summaries::new(SUMMARY_BYTES_PER_WINDOW, WINDOW_MS);
        let state = Mutex::new(State { out, limiter, summaries });
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
        self.line_about(
            kind,
            format_args!("lines suppressed"),
            (Key::new("count"), Value::u64(*count)),
        )
    }

    fn summaries_line(&self, kind: &EventKind, summaries: &str) -> Result<String, Error> {
        let pair = (Key::new("lines"), Value::str(summaries));
        self.line_about(kind, format_args!("suppressed lines summarized"), pair)
    }

    /// Returns a line of this module about events of a kind.
    fn line_about(
        &self,
        kind: &EventKind,
        message: fmt::Arguments<'_>,
        pair: (Key<'_>, Value<'_>),
    ) -> Result<String, Error> {
        let pairs = [
            (Key::new("of"), Value::str(&kind.message)),
            (Key::new("code"), Value::str(&kind.code)),
            pair,
        ];
        let record = Record::builder()
            .level(Level::Warn)
            .target_static(module_path!())
            .payload(message)
            .key_values(&pairs[..])
            .build();
        let mut line = self.line(&record, &[])?;
        line.push('\n');
        Ok(line)
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
        }
        let kind = kind(record);
        if state.limiter.admit(kind.clone(), now_ms) {
            text.push_str(&self.line(record, diags)?);
            text.push('\n');
        } else if let Some(summary) = summary(record)
            && let Some(summaries) = state.summaries.add(kind.clone(), &summary, now_ms)
        {
            text.push_str(&self.summaries_line(&kind, &summaries)?);
        }
        state.out.write_all(text.as_bytes()).map_err(Error::from_io_error)
    }

    fn flush(&self) -> Result<(), Error> {
        let now_ms = self.now_ms();
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        let mut text = String::new();
        for suppressed in state.limiter.take_suppressed(now_ms) {
            text.push_str(&self.suppressed_line(&suppressed)?);
        }
        for (kind, summaries) in state.summaries.take() {
            text.push_str(&self.summaries_line(&kind, &summaries)?);
        }
        let omitted = state.summaries.take_omitted();
        if omitted > 0 {
            let pair = (Key::new("count"), Value::u64(omitted));
            text.push_str(&self.line_about(
                &EventKind::default(),
                format_args!("summaries omitted"),
                pair,
            )?);
        }
        state.out.write_all(text.as_bytes()).map_err(Error::from_io_error)?;
        state.out.flush().map_err(Error::from_io_error)
    }
}

/// Returns the summary of an event that has to stay explainable if its line is suppressed.
fn summary(record: &Record) -> Option<String> {
    let pairs = record.key_values();
    pairs.get(KEEP).filter(|keep| keep.to_string() == "true")?;
    let values = SUMMARY_KEYS.iter().filter_map(|key| Some((*key, pairs.get(key)?.to_string())));
    Some(summaries::summary(values))
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
