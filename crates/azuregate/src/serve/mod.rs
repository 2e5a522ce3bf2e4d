/*!
Runs an entry instance on the users' platform.

A single-threaded process proxies client requests to backend servers, answers
instance lookups, and serves readiness and metrics. Its view of the deployment
comes from the platform's store and from heartbeats of the other instances.

# Design

All tasks run on one thread and share `State`. No `RefCell` borrow is held across
an await point, so the request path needs neither locks nor channels.

* `tables` holds replicas of the store's tables and `apply` applies their changes.
  `table_watch` receives changes from the store and `follower` from other instances;
  `relay` forwards them to followers in the format of `encoding`. `heartbeat` detects
  which other instances are alive.
* `listen` accepts connections, `connection` serves one connection, `bounded_connection` one of another port, and
  `client_stream` detects that its client has disconnected.
* `pipeline` starts pipelined requests before the previous responses are sent.
* `request` handles one client request and `access_log` logs it. `dispatch` sends it to backend
  servers, by an `attempt` each; `attempt_state` is what has become of it so far.
* `client_memory` charges connections with what they hold, and makes them give way when the machine is short of
  memory; `request_body` is a body that it charges.
* `pool` holds idle connections to backend servers, which `connector` opens.
* `crash_detection` tells crashes of backend servers from other `broken_requests` by a `probe`, and
  `quarantine_rows` keeps the requests that cause them in the store.
* `rate_limits` reads the limits that backend servers name, and reports them to others;
  `grants` asks others for a request that is refused otherwise.
* `pushback` reads the pauses that backend servers ask for, and `leaving` which of them are
  leaving.
* `reachability` checks whether backend servers can be reached at all. `forwarding` sends requests
  through other instances while they cannot, which `forwarded` takes there.
* `endpoints` serves readiness, lookups and metrics.
* `shutdown` implements the graceful shutdown. `request_timing` measures how long requests take, which
  tells whether one can end before the process does.
*/

mod access_log;
mod apply;
mod attempt;
mod attempt_state;
mod bounded_connection;
mod broken_requests;
mod client_memory;
mod client_stream;
mod connection;
mod connector;
mod crash_detection;
mod dispatch;
mod encoding;
mod endpoints;
mod follower;
mod forwarded;
mod forwarding;
mod grants;
mod heartbeat;
mod in_flight;
mod leaving;
mod listen;
mod metrics;
mod outgoing_request;
mod pipeline;
mod pool;
mod probe;
mod pushback;
mod quarantine_rows;
mod rate_limits;
mod reachability;
mod relay;
mod reload;
mod request;
mod request_body;
mod request_timing;
mod response;
mod response_body;
mod shutdown;
mod shutdown_phase;
mod state;
mod table_watch;
mod tables;

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

pub use self::connector::{Connector, TcpConnector};
use self::{endpoints::Audience, listen::Listeners, shutdown_phase::ShutdownPhase, state::State};
use crate::stop::StopSignal;

const LOG_FLUSH_INTERVAL_MS: u64 = 1_000;

/// The error of an entry instance that cannot start.
#[derive(Debug)]
pub struct ServeError;

impl fmt::Display for ServeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the entry instance cannot run")
    }
}

impl std::error::Error for ServeError {}

/// Reads and parses the settings file of this process.
///
/// # Errors
///
/// Returns an error if the file cannot be read, or if a field is missing or invalid.
pub fn load_settings(path: &Path) -> Result<Settings, Report<ServeError>> {
    let text = fs::read_to_string(path)
        .change_context(ServeError)
        .attach_with(|| format!("cannot read {}", path.display()))?;
    Settings::parse(&text).change_context(ServeError)
}

/// Runs an entry instance until `stop` is signalled, then shuts down gracefully.
///
/// If `file` is given, changes to that settings file are applied at run time.
///
/// # Errors
///
/// Returns an error if a port cannot be bound.
pub async fn run(
    settings: Settings,
    file: Option<PathBuf>,
    stop: StopSignal,
) -> Result<(), Report<ServeError>> {
    let connector = TcpConnector { ip: settings.ip };
    run_with_connector(settings, file, stop, Box::new(connector)).await
}

/// Runs an entry instance that reaches backend servers through `connector`.
///
/// # Errors
///
/// Returns an error if a port cannot be bound.
pub async fn run_with_connector(
    settings: Settings,
    file: Option<PathBuf>,
    stop: StopSignal,
    connector: Box<dyn Connector>,
) -> Result<(), Report<ServeError>> {
    let result = LocalSet::new().run_until(run_local(settings, file, stop, connector)).await;
    // After the tasks have been dropped, which logs requests in progress.
    log::logger().flush();
    result
}

async fn run_local(
    settings: Settings,
    file: Option<PathBuf>,
    stop: StopSignal,
    connector: Box<dyn Connector>,
) -> Result<(), Report<ServeError>> {
    let listeners = Listeners::open(&settings).await?;
    let (phase, phases) = sync::watch::channel(ShutdownPhase::Serving);
    let (grant_questions, questions) = grants::queue();
    let state = Rc::new(State::new(settings, stop, phases, grant_questions, connector));
    log::info!(instance:% = state.settings.instance, start:% = state.start; "entry instance started");
    table_watch::start(&state);
    if let Some(file) = file {
        spawn_local(reload::serve(Rc::clone(&state), file));
    }
    spawn_local(heartbeat::serve(Rc::clone(&state), listeners.heartbeats, questions));
    spawn_local(relay::serve(Rc::clone(&state), listeners.followers));
    spawn_local(follower::serve(Rc::clone(&state)));
    if let Some(forwarded) = listeners.forwarded {
        spawn_local(forwarded::serve(Rc::clone(&state), forwarded));
    }
    spawn_local(quarantine_rows::serve(Rc::clone(&state)));
    spawn_local(evict_idle_connections(Rc::clone(&state)));
    spawn_local(flush_log(Rc::clone(&state)));
    spawn_local(endpoints::serve(Rc::clone(&state), listeners.readiness, Audience::Clients));
    spawn_local(endpoints::serve(Rc::clone(&state), listeners.lookups, Audience::Clients));
    if let Some(metrics) = listeners.metrics {
        spawn_local(endpoints::serve(Rc::clone(&state), metrics, Audience::Operators));
    }
    spawn_local(listen::serve(Rc::clone(&state), listeners.traffic));
    shutdown::run(&state, phase).await;
    state.has_ended.set(true);
    log::info!(instance:% = state.settings.instance; "entry instance stopped");
    Ok(())
}

/// Writes what the log holds back, also when there are no further events.
async fn flush_log(state: Rc<State>) {
    let mut ticks = state.timer.subscribe(LOG_FLUSH_INTERVAL_MS);
    while ticks.recv().await.is_some() {
        log::logger().flush();
    }
}

async fn evict_idle_connections(state: Rc<State>) {
    let mut ticks = state.timer.subscribe(pool::EVICTION_INTERVAL_MS);
    while ticks.recv().await.is_some() {
        state.pool.evict_idle(state.now_ms());
        state.instance_pool.evict_idle(state.now_ms());
    }
}
