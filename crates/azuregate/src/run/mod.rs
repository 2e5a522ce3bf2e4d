//! Runs an entry instance: opens its ports and starts its tasks.

mod ports;
mod shared;

use std::{fmt, sync::Arc, time::Duration};

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
    dispatch::RoutingMode, operators::OperatorsService, probe, settings::Settings, status,
    stop::Stop, traffic::TrafficServer,
};

use self::{ports::Ports, shared::Shared};

/// How long a planned stop waits for operators' calls in progress.
const OPERATORS_STOP_LIMIT_MS: u64 = 5_000;

/// An instance that could not start.
#[derive(Debug)]
pub struct RunError;

impl fmt::Display for RunError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the entry instance cannot run")
    }
}

impl std::error::Error for RunError {}

/// Runs an entry instance until `stop` says so, then finishes what is in
/// progress.
///
/// # Errors
///
/// When a port cannot be opened.
pub async fn run(settings: Settings, stop: Stop) -> Result<(), Report<RunError>> {
    run_with(settings, stop, RoutingMode::default()).await
}

/// Runs an entry instance that chooses backend servers by `rule`.
///
/// # Errors
///
/// When a port cannot be opened.
pub async fn run_with(
    settings: Settings,
    stop: Stop,
    rule: RoutingMode,
) -> Result<(), Report<RunError>> {
    let stop_delay_ms = settings.stop_delay_ms;
    let ports = Ports::open(&settings).await?;
    let shared = Shared::start(settings, stop)?;
    let background = start_background(&shared, ports.peers, ports.status);
    let operators = OperatorsPort::start(shared.operators(), ports.operators);

    let callers = TrafficServer {
        gateway: Arc::new(shared.gateway(rule)),
        config: shared.config.clone(),
        instance: shared.settings.instance.clone(),
        start: shared.start,
        stop: shared.stop.clone(),
    };
    log::info!(instance:% = shared.settings.instance, start:% = shared.start; "entry instance started");
    callers.serve(ports.traffic, stop_delay_ms).await;
    log::info!(instance:% = shared.settings.instance; "entry instance stopped");

    // Dropping the set ends its tasks.
    drop(background);
    operators.stop().await;
    Ok(())
}

/// Starts the tasks that run beside requests and calls.
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

/// The operators' port, which finishes its calls before it closes.
struct OperatorsPort {
    open: oneshot::Sender<()>,
    task: JoinHandle<Result<(), tonic::transport::Error>>,
}

impl OperatorsPort {
    fn start(service: OperatorsService, listener: TcpListener) -> OperatorsPort {
        let (open, closed) = oneshot::channel::<()>();
        // An answer is several small writes; without nodelay the later ones wait
        // 40 ms for the acknowledgement of the first.
        let incoming = TcpIncoming::from(listener).with_nodelay(Some(true));
        let server = tonic::transport::Server::builder()
            .add_service(OperatorsServer::new(service))
            .serve_with_incoming_shutdown(incoming, async {
                let _ = closed.await;
            });
        OperatorsPort { open, task: tokio::spawn(server) }
    }

    /// An operator's change that is in progress is settled, and its outcome told.
    async fn stop(self) {
        drop(self.open);
        let _ = time::timeout(Duration::from_millis(OPERATORS_STOP_LIMIT_MS), self.task).await;
    }
}
