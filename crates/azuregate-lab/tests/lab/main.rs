//! Tests of the simulated systems and of the load tool's accounting.

#![allow(clippy::unwrap_used, reason = "a test that panics has failed")]

mod audit;
mod backends;
mod callers;
mod examples;
mod measure;
mod network;
mod platform;
mod reports;
