/*!
Stand-ins of backend servers: slots, bounded connections, service times, load
reports, and everything that can go wrong with them.

`POST /lab/behaviour` replaces the [`Behaviour`]; `POST /lab/silence` makes all
open connections silent for good. `GET /lab/ran`, `/lab/keys` and `/lab/stats`
tell what truly ran.
*/

mod behaviour;
mod counts;
mod load;
mod responses;
mod server;
mod service_times;

use std::sync::{Mutex, MutexGuard, PoisonError};

pub use behaviour::{Behaviour, Distribution};
pub use counts::{BUCKET_MS, Bucket, Counts, Stats, epoch_ms};
pub use server::{Backend, serve};

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
