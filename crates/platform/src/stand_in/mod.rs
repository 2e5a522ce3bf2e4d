/*!
Small stand-ins for what the platform runs, for tests.

[`StoreStandIn`] keeps rows in memory and [`BackendStandIn`] answers requests;
both are told to fail in the ways that the real ones do. They listen on loopback
and are never part of the shipped program.
*/

mod backend;
mod rows;
mod store;
mod write;

pub use backend::{BackendStandIn, Behaviour, Seen};
pub use store::{StoreFault, StoreStandIn};
pub use write::{ConfigText, backend_row, config_row, settings_text};
