/*!
Logs: one line of key=value pairs for each event, on standard error.

logforth formats and filters. What is added here keeps callers from writing lines
of their own ([`escape_line`]) and overload from flooding the log ([`RateLimiter`]).
*/

mod lines;
mod non_blocking;
mod rate_limiter;

use std::io::Write;

use log::LevelFilter;
use logforth::{filter::rustlog::RustLogFilterBuilder, starter_log};

pub use lines::{Lines, escape_line};
pub use non_blocking::NonBlockingWriter;
pub use rate_limiter::{EventKind, RateLimiter, Suppressed};

/// Starts logging; `filter` is a level such as `info`, or a list of
/// `module=level`.
///
/// A filter that is not understood logs everything of `info` and above. A
/// second start in one process changes nothing.
pub fn init(filter: &str) {
    init_with(filter, std::io::stderr());
}

/// Like [`init`], but on standard output, where the users' platform collects
/// logs.
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
        // Otherwise every trace event of every library is put together only for
        // the filter to drop it.
        log::set_max_level(max_level(filter));
    }
}

/// Makes a panic an event of the log, on one line like all others.
pub fn install_panic_hook() {
    std::panic::set_hook(Box::new(|panic| {
        let place = panic.location().map_or_else(String::new, ToString::to_string);
        let detail = panic.payload_as_str().unwrap_or_default();
        log::error!(place = place, detail = detail; "task panicked");
    }));
}

/// The level beyond which the filter lets nothing through.
fn max_level(filter: &str) -> LevelFilter {
    let levels = filter.split([',', '=', '/']).filter_map(|part| part.trim().parse().ok());
    levels.max().unwrap_or(LevelFilter::Trace)
}
