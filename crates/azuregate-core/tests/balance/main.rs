//! Load balancing: choice of backend servers, health, budgets, membership and configuration.

#![allow(clippy::unwrap_used, reason = "a test that panics has failed")]

mod budgets;
mod choice;
mod config;
mod crash_reports;
mod datagrams;
mod fixtures;
mod health;
mod large_bodies;
mod leaving;
mod limited_load;
mod members;
mod missing_backends;
mod overload;
mod paused_load;
mod pushbacks;
mod quarantine;
mod quarantine_simulation;
mod rate_limit_ways;
mod rate_limits;
mod reachability;
mod request_times;
mod response;
mod retry_windows;
mod sent_ids;
mod shared_objects;
mod simulation;
mod skewed_load;
