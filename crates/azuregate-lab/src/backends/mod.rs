/*!
Simulated backend servers with slots, a connection limit, service times, load
reports and injected faults.

`POST /lab/behaviour` replaces the [`Behaviour`]; `POST /lab/silence` stops
responses on all open connections. `GET /lab/ran` and `/lab/keys` return how
often each request and idempotency key was executed, and `/lab/stats` returns
the [`Stats`].
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
