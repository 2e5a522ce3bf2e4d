//! Logs: one line of key=value pairs for each event, on standard error.

use logforth::{append, filter::rustlog::RustLogFilterBuilder, layout::LogfmtLayout, starter_log};

/// Starts logging; `filter` is a level such as `info`, or a list of
/// `module=level`.
///
/// A filter that is not understood logs everything of `info` and above. A
/// second start in one process changes nothing.
pub fn start(filter: &str) {
    let filter = RustLogFilterBuilder::try_from_spec(filter)
        .unwrap_or_else(|_| RustLogFilterBuilder::from_spec("info"))
        .build();
    let stderr = append::Stderr::default().with_layout(LogfmtLayout::default());
    let builder = starter_log::builder().dispatch(|d| d.filter(filter).append(stderr));
    let _ = builder.try_apply();
}
