/*!
A stand-in of the platform: tables with transactions, objects, and the list of
live and leaving instances, in memory.

It speaks the protocol of docs/PLATFORM.md. `POST /lab/faults` makes it down,
slow, silent, refuse by rate, or lose an answer after the effect;
`POST /lab/instances` replaces the list; `GET /lab/counts` tells how many calls
there were.
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
