/*!
Accounts for the memory and the connections that clients make an instance hold.

A client can make an instance hold memory for as long as it likes: it sends a body and stops just short of its
end, or it does not read its response. [`Account`] charges each connection with what it holds, and decides who
gives way when the machine has no more: a connection that waits for its client goes first, never one that waits
for the instance or for a backend server.

# Design

* A connection stalls when it has waited for its client for [`STALL_MS`]. Bytes of a body count as progress by
  the segment, so a client that sends one byte at a time stalls as well.
* When memory is short, connections that stall give way, those with the highest product of bytes and time first.
* If none stalls, a body waits for [`MAX_WAIT_MS`], in which others complete or stall, but only while it holds no
  memory. One of known length therefore reserves all of it before its first byte, and one that is sent in chunks
  is refused if there is no memory for the next segment. Bodies never wait for each other.
* Bodies of more than [`SMALL_BODY_BYTES`] leave a part of the memory to other requests.

# Example

```
use azuregate_core::client_memory::{Account, Decision, Limits};

let mut account = Account::new(Limits::of_machine(256, 4_096));
let upload = account.open(0).unwrap();
account.begin_body(upload, 0);
assert_eq!(account.reserve_body(upload, 65_536, 0, 0), Decision::Granted);
```
*/

mod account;
mod limits;

pub use account::{Account, Activity, Decision, HolderId, Refused, Usage};
pub use limits::{ACTIVE_BYTES, CONNECTION_BYTES, Limits, MAX_WAIT_MS, SMALL_BODY_BYTES, STALL_MS};
