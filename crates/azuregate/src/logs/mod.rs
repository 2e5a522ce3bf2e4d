/*!
Logging: one logfmt line per event, on standard error or standard output.

The crate logforth formats and filters events. This module additionally escapes
control characters, so that callers cannot forge lines ([`escape_line`]), limits the
rate of lines ([`RateLimiter`]), of which it keeps [`Summaries`] where each event has to be
found, and never blocks on standard output ([`NonBlockingWriter`]).
*/

mod lines;
mod non_blocking;
mod rate_limiter;
mod summaries;

use std::io::Write;

use log::LevelFilter;
use logforth::{filter::rustlog::RustLogFilterBuilder, starter_log};

pub use lines::{Lines, escape_line};
pub use non_blocking::NonBlockingWriter;
pub use rate_limiter::{EventKind, RateLimiter, Suppressed};
pub use summaries::Summaries;

/// Initializes logging to standard error. `filter` is a level such as `info`, or a
/// comma-separated list of `module=level`.
///
/// An invalid filter is replaced by `info`. Further calls in the same process have no
/// effect.
pub fn init(filter: &str) {
    init_with(filter, std::io::stderr());
}

/// Initializes logging like [`init`], but to standard output, from which the platform
/// collects logs.
pub fn init_stdout(filter: &str) {
    init_with(filter, NonBlockingWriter::stdout());
}

fn init_with(filter: &str, out: impl Send + Write + 'static) {
    let parsed = RustLogFilterBuilder::try_from_spec(filter)
        .unwrap_or_else(|_| RustLogFilterBuilder::from_spec("info"))
        .build();
    let lines = Lines::new(out);
    let builder = starter_log::builder().dispatch(|d| d.filter(parsed).append(lines));
    if builder.try_apply().is_ok() {
        // Without it, trace events of all libraries are formatted before the filter
        // discards them.
        log::set_max_level(max_level(filter));
    }
}

/// Installs a panic hook that logs panics as events, each on one line.
pub fn install_panic_hook() {
    std::panic::set_hook(Box::new(|panic| {
        let place = panic.location().map_or_else(String::new, ToString::to_string);
        let detail = panic.payload_as_str().unwrap_or_default();
        log::error!(place = place, detail = detail; "task panicked");
    }));
}

/// Returns the most verbose level that the filter admits.
fn max_level(filter: &str) -> LevelFilter {
    let levels = filter.split([',', '=', '/']).filter_map(|part| part.trim().parse().ok());
    levels.max().unwrap_or(LevelFilter::Trace)
}
