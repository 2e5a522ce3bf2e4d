//! Decisions of routing, on a hand-driven clock.

#![allow(clippy::unwrap_used, reason = "a test that panics has failed")]

mod dispatch;
mod groups;
mod handing_over;
mod limits;
mod links;
mod slots;
mod world;
