//! Tests of the operators' service with an in-memory platform.

#![allow(clippy::unwrap_used, reason = "a test that panics has failed")]

mod conversions;
mod fake;
mod faults;
mod recorder;
mod refusals;
mod views;
