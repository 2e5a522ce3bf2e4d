/*!
A stand-in of the platform: tables with transactions, objects, and the list of
live and leaving instances, in memory.

It speaks the protocol of docs/PLATFORM.md and can be told to be down, slow, or
to lose an answer after the effect.
*/

mod faults;
mod server;
mod store;

pub use faults::Faults;
pub use server::{Server, serve};
pub use store::Store;
