//! Outcomes of requests: the response, the reported outcome, and how often the request
//! was attempted and ran.

#![allow(clippy::unwrap_used, reason = "a test that panics has failed")]

mod adapter;
mod attempts;
mod bodies;
mod claims;
mod endless;
mod error_kinds;
mod fake_dialer;
mod fake_platform;
mod home;
mod pool;
mod script;
mod server;
mod world;
