//! Configuration and membership: what is taken in, from whom, and when an
//! instance serves.

#![allow(missing_docs, clippy::unwrap_used, reason = "tests")]

mod config;
mod links;
mod mesh;
mod poll;
mod probe;
mod world;
