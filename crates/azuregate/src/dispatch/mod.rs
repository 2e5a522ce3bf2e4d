/*!
How instances divide the selection of backend servers among themselves.
*/

mod load_exchange;
mod routing_mode;

pub use load_exchange::{LoadExchange, LoadUpdate, LoadUpdates};
pub use routing_mode::{RouterFactory, RoutingMode};
