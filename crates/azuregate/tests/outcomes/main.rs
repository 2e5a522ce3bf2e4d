//! What becomes of a request, told from the caller's side: its answer, what the
//! caller may conclude, how often it ran, and how often it was tried.

#![allow(clippy::unwrap_used, reason = "a test that panics has failed")]

mod answers;
mod attempts;
mod bodies;
mod border;
mod claims;
mod fake_dialer;
mod fake_platform;
mod home;
mod pool;
mod script;
mod server;
mod world;
