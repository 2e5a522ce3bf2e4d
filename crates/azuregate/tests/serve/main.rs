//! Tests of entry instances against a fake store and fake backend servers.

#![allow(clippy::unwrap_used, reason = "a test that panics has failed")]

mod at_most_once;
mod backends;
mod broken_responses;
mod clients;
mod cluster;
mod configuration;
mod connectors;
mod crashing_requests;
mod cut_off;
mod endless_responses;
mod late_copies;
mod late_requests;
mod leaving;
mod links;
mod lookups;
mod pauses;
#[allow(dead_code, reason = "shared with the tests of crowds")]
mod process;
mod rate_limits;
mod refusals;
mod relay;
mod reload;
mod request_lines;
mod responses;
mod shutdown;
mod slow_links;
mod traffic;
