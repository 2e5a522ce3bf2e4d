/*!
An in-memory simulation of the platform: tables with transactions, objects, and
the list of live and leaving instances.

It implements the protocol of docs/PLATFORM.md. `POST /lab/faults` replaces the
injected [`Faults`], `POST /lab/instances` replaces the instance list, and
`GET /lab/counts` returns the call [`Counts`].
*/

mod faults;
mod instance_list;
mod rate_limiter;
mod server;
mod store;

pub use faults::Faults;
pub use instance_list::DelayedInstanceList;
pub use server::{Counts, Server, serve};
pub use store::Store;
