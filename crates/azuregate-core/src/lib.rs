/*!
The decisions of azuregate, without sockets, files, clocks or async.

Time and randomness are arguments, so that each decision can be replayed in a
test:

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

* [`policy`] and [`snapshot`] hold what operators decided and what the platform
  listed; a snapshot is immutable and is replaced as a whole.
* [`route`] chooses a backend server for one request.
* [`shift`] works out how far a shift has come, and bounds what moves.
* [`steer`] plans which availability zones a request may go to.
* [`claim`] decides whether a request with an idempotency key may run.
* [`home`] decides the same for keys that belong to one start of an instance.
* [`balance`] chooses a backend server by the object that a request is about.
* [`replica`] holds copies of the store's tables, and tells whether they are fresh.
* [`blocks`] finds the site of a client from its address.
* [`membership`] tells which instances take new work, [`neighbours`] which keep
  links to each other.
* [`probe`] tells which backend servers do not answer.
* [`entries`] answers which entry instances a caller should use.
* [`retry`] bounds retries to a share of recent requests.
* [`latency`] estimates the usual latency of an answer.
* [`error`] is the closed list of error kinds and the table from kind to answer.
*/

pub mod balance;
pub mod blocks;
pub mod claim;
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
