/*!
How instances share the choice of backend servers among themselves.
*/

mod exchange;
mod rule;

pub use exchange::{Exchange, Word, Words};
pub use rule::{RouterFactory, Rule};
