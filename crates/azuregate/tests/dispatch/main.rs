//! Requests that are handed over between instances, on a simulated network.

#![allow(clippy::unwrap_used, reason = "a test that panics has failed")]

mod hand_over;
mod net;
mod world;
