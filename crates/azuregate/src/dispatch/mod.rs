/*!
How instances share the choice of backend servers among themselves.
*/

mod exchange;
mod rule;

pub use exchange::{Exchange, LoadUpdate, LoadUpdates};
pub use rule::{RouterFactory, Rule};
