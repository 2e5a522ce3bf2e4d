//! Contract tests of the `Platform` trait, run on `HttpPlatform` with the
//! simulated platform and on an in-memory fake.

#![allow(missing_docs, clippy::unwrap_used, reason = "tests")]

mod contract;
mod fake;
mod under_test;
