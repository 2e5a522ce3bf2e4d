//! Tests of configuration, membership, peer links, polling and probing.

#![allow(missing_docs, clippy::unwrap_used, reason = "tests")]

mod config;
mod links;
mod mesh;
mod poll;
mod probe;
mod world;
