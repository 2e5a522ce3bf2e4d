//! The choice of backend servers by object, and what bounds it.

#![allow(clippy::unwrap_used, reason = "a test that panics has failed")]

mod budgets;
mod choice;
mod config;
mod datagrams;
mod health;
mod large;
mod members;
mod missing_backends;
mod overload;
mod replay;
mod shared_objects;
mod uneven;
mod world;
