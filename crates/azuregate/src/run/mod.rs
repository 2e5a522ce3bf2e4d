//! Runs an entry instance: opens its ports and starts its tasks.

mod ports;
mod shared;

use std::{fmt, sync::Arc, time::Duration};

use azuregate_core::client_memory::Limits;
use azuregate_schema::v1::operators_server::OperatorsServer;
use error_stack::Report;
use tokio::{
    net::TcpListener,
    sync::oneshot,
    task::{JoinHandle, JoinSet},
    time,
};
use tonic::transport::server::TcpIncoming;

use crate::{
    client_limiter::ClientLimiter, dispatch::RoutingMode, operators::OperatorsService, probe,
    settings::Settings, status, stop::StopSignal, traffic::TrafficServer,
};

use self::{ports::Ports, shared::Shared};

const OPERATORS_SHUTDOWN_TIMEOUT_MS: u64 = 5_000;

/// The error of an instance that could not start.
#[derive(Debug)]
pub struct RunError;

impl fmt::Display for RunError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the entry instance cannot run")
    }
}

impl std::error::Error for RunError {}

/// Runs an entry instance until `stop` is signalled and the requests in progress
/// have ended.
///
/// # Errors
///
/// Fails if a port cannot be opened.
pub async fn run(settings: Settings, stop: StopSignal) -> Result<(), Report<RunError>> {
    run_with_rule(settings, stop, RoutingMode::default()).await
}

/// Runs an entry instance, as [`run`] does, that selects backend servers by `rule`.
///
/// # Errors
///
/// Fails if a port cannot be opened.
pub async fn run_with_rule(
    settings: Settings,
    stop: StopSignal,
    rule: RoutingMode,
) -> Result<(), Report<RunError>> {
    let stop_delay_ms = settings.stop_delay_ms;
    let ports = Ports::open(&settings).await?;
    let shared = Shared::start(settings, stop)?;
    let background = start_background(&shared, ports.peers, ports.status);
    let operators = OperatorsPort::start(shared.operators(), ports.operators);

    let limits = Limits::of_machine(shared.settings.memory_mb, shared.settings.max_fds);
    let limiter = ClientLimiter::new(limits);
    let callers = TrafficServer {
        gateway: Arc::new(shared.gateway(rule)),
        config: shared.config.clone(),
        instance: shared.settings.instance.clone(),
        start: shared.start,
        stop: shared.stop.clone(),
        limiter,
    };
    log::info!(instance:% = shared.settings.instance, start:% = shared.start; "entry instance started");
    callers.serve(ports.traffic, stop_delay_ms).await;
    log::info!(instance:% = shared.settings.instance; "entry instance stopped");

    // Dropping the set aborts its tasks.
    drop(background);
    operators.stop().await;
    Ok(())
}

/// Starts the tasks that serve neither callers nor operators.
fn start_background(shared: &Shared, peers: TcpListener, status: TcpListener) -> JoinSet<()> {
    let members = shared.members();
    let mut tasks = JoinSet::new();
    tasks.spawn(shared.poller(&members).serve());
    tasks.spawn(shared.prober().serve());
    tasks.spawn(probe::close_idle(shared.pool.clone(), shared.snapshots.clone()));
    tasks.spawn(shared.cleaner().serve());
    tasks.spawn(shared.mesh(members).serve(peers));
    tasks.spawn(status::serve(status, Arc::new(shared.status())));
    tasks
}

/// The server of the operators' calls.
struct OperatorsPort {
    shutdown: oneshot::Sender<()>,
    task: JoinHandle<Result<(), tonic::transport::Error>>,
}

impl OperatorsPort {
    fn start(service: OperatorsService, listener: TcpListener) -> OperatorsPort {
        let (shutdown, shutdown_requested) = oneshot::channel::<()>();
        // A response is several small writes. With Nagle's algorithm, the later ones
        // would wait up to 40 ms for a delayed acknowledgement.
        let incoming = TcpIncoming::from(listener).with_nodelay(Some(true));
        let server = tonic::transport::Server::builder()
            .add_service(OperatorsServer::new(service))
            .serve_with_incoming_shutdown(incoming, async {
                let _ = shutdown_requested.await;
            });
        OperatorsPort { shutdown, task: tokio::spawn(server) }
    }

    /// Stops accepting calls and waits for those in progress, so that an operator
    /// learns the outcome of a change.
    async fn stop(self) {
        drop(self.shutdown);
        let _ =
            time::timeout(Duration::from_millis(OPERATORS_SHUTDOWN_TIMEOUT_MS), self.task).await;
    }
}
