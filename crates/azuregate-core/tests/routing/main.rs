//! Tests of request routing with a simulated clock.

#![allow(clippy::unwrap_used, reason = "a test that panics has failed")]

mod dispatch;
mod fixture;
mod groups;
mod hand_over;
mod limits;
mod links;
mod slots;
