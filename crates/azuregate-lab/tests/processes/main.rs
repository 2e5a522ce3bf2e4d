//! Tests with real processes on loopback. They bound what must happen, not how
//! fast.

#![allow(clippy::unwrap_used, reason = "a test that panics has failed")]

mod bad_input;
mod configuration;
mod crowds;
mod deployment;
mod dispatchers;
mod load;
mod operators;
mod outcomes;
mod path;
