//! The contract of the border to the platform, passed by `HttpPlatform` against
//! the stand-in and by a small fake in memory.

#![allow(missing_docs, clippy::unwrap_used, reason = "tests")]

mod contract;
mod fake;
mod under_test;
