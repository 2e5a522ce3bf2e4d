/*!
Small stand-ins for what the platform runs, for tests.

[`FakeStore`] keeps rows in memory and [`FakeBackend`] answers requests;
both are told to fail in the ways that the real ones do. They listen on loopback
and are never part of the shipped program.
*/

mod backend;
mod fixtures;
mod rows;
mod store;

pub use backend::{Behaviour, FakeBackend, ReceivedRequest};
pub use fixtures::{ConfigDocument, backend_row, config_row, settings_text};
pub use store::{FakeStore, StoreFault};
