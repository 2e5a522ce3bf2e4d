/*!
Entry instances of azuregate, as a library.

The binary is a thin command line round this crate. An entry instance runs from
its settings until it is told to stop:

```no_run
use azuregate::{run, settings::Settings, stop};

# async fn example() -> Result<(), Box<dyn std::error::Error>> {
let settings = Settings::load("entry-1.jsonc".as_ref())?;
let (_stopper, stop) = stop::channel();
run::run(settings, stop).await?;
# Ok(())
# }
```

# Design

Tasks own their sockets and their state and talk by typed messages; closing a
task's channel ends it. Borders are trait objects, so that each has a small fake:
[`platform::Platform`], [`backend::BackendDialer`], [`peer::PeerLink`],
[`clock::Clock`] and [`metrics::MetricSink`].

* [`config`] owns the configuration and publishes immutable snapshots of it.
* [`gateway`] serves callers from the newest snapshot.
* [`dispatch`] shares the choice of backend servers among instances.
* [`selector`] owns the slots of one service's backend servers.
* [`claims`] lets a request with an idempotency key run at most once.
* [`poll`] reads the platform, [`probe`] watches backend servers, [`membership`]
  watches the other instances.
* [`peer`] spreads accepted changes between instances.
* [`operators`] serves the operators' remote procedure calls.
*/

mod accept;
pub mod backend;
pub mod body;
pub mod claims;
pub mod cli;
pub mod clock;
pub mod config;
pub mod dispatch;
pub mod gateway;
pub mod jsonc;
pub mod logs;
pub mod membership;
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
