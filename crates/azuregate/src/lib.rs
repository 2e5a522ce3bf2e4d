/*!
The entry instances of azuregate, as a library.

The binary is a thin command line around this crate. An entry instance runs until
it is told to stop:

```no_run
use azuregate::{run, settings::Settings, stop};

# async fn example() -> Result<(), Box<dyn std::error::Error>> {
let settings = Settings::load("entry-1.jsonc".as_ref())?;
let (_stop_handle, stop) = stop::channel();
run::run(settings, stop).await?;
# Ok(())
# }
```

# Design

Each task owns its sockets and its state. Tasks communicate by typed messages, and
a task ends when its channel is closed. External interfaces are trait objects, so
that tests can replace them:
[`platform::Platform`], [`backend::BackendDialer`], [`peer::PeerLink`],
[`clock::Clock`] and [`metrics::MetricSink`].

* [`config`] owns the configuration and publishes immutable snapshots of it.
* [`gateway`] serves callers according to the newest snapshot.
* [`dispatch`] distributes the selection of backend servers among instances.
* [`selector`] manages the slots of a service's backend servers.
* [`claims`] runs a request with an idempotency key at most once.
* [`poll`] reads the platform, [`probe`] probes backend servers, [`membership`]
  tracks the other instances.
* [`peer`] distributes accepted changes among instances.
* [`client_limiter`] limits what callers make the instance hold.
* [`operators`] serves the operators' remote procedure calls.
*/

mod accept;
pub mod backend;
pub mod body;
pub mod claims;
pub mod cli;
pub mod client_limiter;
pub mod clock;
pub mod config;
pub mod dispatch;
pub mod gateway;
pub mod jsonc;
pub mod logs;
pub mod membership;
mod metered_stream;
pub mod metrics;
pub mod operators;
pub mod peer;
pub mod platform;
pub mod poll;
pub mod probe;
pub mod run;
pub mod selector;
pub mod serve;
pub mod settings;
pub mod status;
pub mod stop;
pub mod timer;
pub mod traffic;
