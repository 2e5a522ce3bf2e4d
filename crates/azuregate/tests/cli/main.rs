//! Tests of the command-line interface, which run the binary.

#![allow(clippy::unwrap_used, reason = "a test that panics has failed")]

mod calls;
#[path = "../operators/fake.rs"]
#[allow(dead_code, reason = "shared with the tests of the operators' service")]
mod fake;
mod help;
mod pipes;
mod server;
mod shares;
