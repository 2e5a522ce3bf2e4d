//! An entry instance on the users' platform, against stand-ins for the store and
//! the backend servers.

#![allow(clippy::unwrap_used, reason = "a test that panics has failed")]

mod answers;
mod at_most_once;
mod clients;
mod configuration;
mod links;
mod lookups;
mod relay;
mod reload;
mod servers;
mod slow_links;
mod stops;
mod world;
