/*!
Fakes of the platform's store and of backend servers, for tests.

[`FakeStore`] keeps rows in memory and [`FakeBackend`] responds to requests. Tests
inject the faults of the real systems into both. They listen on loopback addresses
and are not compiled into the released binary.
*/

mod backend;
mod behaviour;
mod endless;
mod fixtures;
mod rows;
mod store;

pub use backend::{CRASH_SEGMENT, FakeBackend, ReceivedRequest};
pub use behaviour::Behaviour;
pub use endless::{Endless, EndlessPart};
pub use fixtures::{ConfigDocument, backend_row, config_row, settings_text};
pub use store::{FakeStore, StoreFault};
