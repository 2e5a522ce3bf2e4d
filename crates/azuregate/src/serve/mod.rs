/*!
An entry instance on the users' platform.

One process does everything on one thread: it takes requests of clients, tells
clients which instances to use, and answers whether it is ready. What it believes
comes from the platform's store and from heartbeats of the other instances.

# Design

`state` holds what the instance believes. All tasks run on one thread and share
it; nothing is borrowed across a wait. Requests read it without a message or a
lock, which the request path would pay for on every request.

* `tables` holds copies of the store's tables, `apply` does what their rows ask for.
  `watch` brings changes from the store, `follow` from other instances, `relay`
  passes them on, `encoded` writes them down. `heartbeat` tells which other instances live.
* `listen` accepts connections, `connection` serves one, `client_stream` notices
  that its client has left.
* `pipeline` starts requests that wait behind others on their connection.
* `request` takes one request to its answer, `attempt` to one backend server,
  `pool` keeps connections to them.
* `ports` answers the platform's and the clients' questions.
* `stop` ends the process without cutting a request off.
*/

mod answer;
mod apply;
mod attempt;
mod client_stream;
mod connection;
mod encoded;
mod follow;
mod heartbeat;
mod in_flight;
mod listen;
mod metrics;
mod phase;
mod pipeline;
mod pool;
mod ports;
mod relay;
mod reload;
mod request;
mod state;
mod stop;
mod streaming;
mod tables;
mod watch;

use std::{
    fmt, fs,
    path::{Path, PathBuf},
    rc::Rc,
};

use azuregate_platform::settings::Settings;
use error_stack::{Report, ResultExt};
use tokio::{
    sync,
    task::{LocalSet, spawn_local},
};

use self::{listen::Listeners, phase::Phase, ports::Audience, state::State};
use crate::stop::StopSignal;

/// An instance that cannot run.
#[derive(Debug)]
pub struct ServeError;

impl fmt::Display for ServeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the entry instance cannot run")
    }
}

impl std::error::Error for ServeError {}

/// Reads the settings that the platform wrote for this process.
///
/// # Errors
///
/// When the file cannot be read, or fields are missing or cannot be read.
pub fn load_settings(path: &Path) -> Result<Settings, Report<ServeError>> {
    let text = fs::read_to_string(path)
        .change_context(ServeError)
        .attach_with(|| format!("cannot read {}", path.display()))?;
    Settings::parse(&text).change_context(ServeError)
}

/// Runs an instance until `stop` says so, then finishes what is in progress.
/// Follows changes of the settings file if its path is given.
///
/// # Errors
///
/// When a port cannot be opened.
pub async fn run(
    settings: Settings,
    file: Option<PathBuf>,
    stop: StopSignal,
) -> Result<(), Report<ServeError>> {
    LocalSet::new().run_until(run_local(settings, file, stop)).await
}

async fn run_local(
    settings: Settings,
    file: Option<PathBuf>,
    stop: StopSignal,
) -> Result<(), Report<ServeError>> {
    let listeners = Listeners::open(&settings).await?;
    let (phase, phases) = sync::watch::channel(Phase::Serving);
    let state = Rc::new(State::new(settings, stop, phases));
    log::info!(instance:% = state.settings.instance, start:% = state.start; "entry instance started");
    watch::start(&state);
    if let Some(file) = file {
        spawn_local(reload::serve(Rc::clone(&state), file));
    }
    spawn_local(heartbeat::serve(Rc::clone(&state), listeners.heartbeats));
    spawn_local(relay::serve(Rc::clone(&state), listeners.followers));
    spawn_local(follow::serve(Rc::clone(&state)));
    spawn_local(close_idle(Rc::clone(&state)));
    spawn_local(ports::serve(Rc::clone(&state), listeners.ready, Audience::Clients));
    spawn_local(ports::serve(Rc::clone(&state), listeners.lookups, Audience::Clients));
    if let Some(metrics) = listeners.metrics {
        spawn_local(ports::serve(Rc::clone(&state), metrics, Audience::Operators));
    }
    spawn_local(listen::serve(Rc::clone(&state), listeners.traffic));
    stop::finish(&state, phase).await;
    log::info!(instance:% = state.settings.instance; "entry instance stopped");
    Ok(())
}

/// Closes idle connections to backend servers until the process ends.
async fn close_idle(state: Rc<State>) {
    let mut ticks = state.timer.subscribe(pool::SWEEP_EVERY_MS);
    while ticks.recv().await.is_some() {
        state.pool.sweep(state.now_ms());
    }
}
