/*!
The decision logic of azuregate, without I/O, clocks or async code.

Time and randomness are passed as arguments, so that tests can reproduce every
decision:

```
use azuregate_core::{
    error::{ErrorKind, Outcome},
    time::Millis,
};

let response = ErrorKind::QueueFull.response();
assert_eq!(response.outcome, Outcome::NotRun);
assert!(Millis(5) < Millis(7));
```

# Design

* [`policy`] and [`snapshot`] hold the operators' policies and the instances and
  servers that the platform lists. A snapshot is immutable and replaced as a whole.
* [`route`] selects a backend server for a request.
* [`shift`] computes the progress of traffic shifts and limits what moves.
* [`steer`] selects the availability zones that a request may be sent to.
* [`claim`] decides whether a request with an idempotency key may run.
* [`client_memory`] limits what clients make an instance hold.
* [`home`] does the same for keys that belong to one start of an instance.
* [`balance`] selects a backend server by the object that a request concerns.
* [`replica`] holds copies of the store's tables and tracks whether they are fresh.
* [`blocks`] maps client addresses to sites.
* [`membership`] tracks which instances accept new requests, [`neighbours`] selects
  those that keep connections to each other.
* [`probe`] detects backend servers that do not respond.
* [`entries`] selects the entry instances that a client should use.
* [`retry`] limits retries to a share of recent requests.
* [`latency`] tracks the usual response time.
* [`error`] defines the error kinds and the response to each.
*/

pub mod balance;
pub mod blocks;
pub mod claim;
pub mod client_memory;
pub mod entries;
pub mod error;
pub mod home;
pub mod latency;
pub mod membership;
pub mod names;
pub mod neighbours;
pub mod policy;
pub mod probe;
pub mod replica;
pub mod retry;
pub mod route;
pub mod shift;
pub mod snapshot;
pub mod steer;
pub mod time;
pub mod topology;
