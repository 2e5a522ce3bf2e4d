//! The choice of backend servers by object, and what bounds it.

#![allow(clippy::unwrap_used, reason = "a test that panics has failed")]

mod budgets;
mod choice;
mod config;
mod datagrams;
mod health;
mod lapsed;
mod large;
mod members;
mod overload;
mod replay;
mod shared_objects;
mod uneven;
mod world;
