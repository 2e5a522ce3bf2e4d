//! Runs an entry instance: opens its ports and starts its tasks.

use std::{fmt, net::SocketAddr, sync::Arc, time::Duration};

use azuregate_core::{names::StartNumber, snapshot::Snapshot};
use azuregate_schema::v1::operators_server::OperatorsServer;
use error_stack::{Report, ResultExt};
use tokio::{net::TcpListener, sync::oneshot, time};
use tonic::transport::server::TcpIncoming;

use crate::{
    backend::{HttpDialer, Pool, SharedDialer},
    callers::Callers,
    claims::{Claims, Cleaner},
    clock::{SharedClock, SystemClock},
    config::Config,
    dispatch::{Exchange, Rule},
    gateway::{Gateway, Parts},
    membership::{self, Members},
    metrics::{MetricSink, NullSink, Recorder, StatsdSink},
    operators::{self, OperatorsService},
    peer::Mesh,
    platform::{HttpPlatform, SharedPlatform},
    poll::Poller,
    probe::{self, Prober},
    selector::{SelectorParts, Selectors},
    settings::Settings,
    status::{self, Status},
    stop::Stop,
    timer::Timer,
};

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
    run_with(settings, stop, Rule::default()).await
}

/// Runs an entry instance that chooses backend servers by `rule`.
///
/// # Errors
///
/// When a port cannot be opened.
pub async fn run_with(settings: Settings, stop: Stop, rule: Rule) -> Result<(), Report<RunError>> {
    let traffic = bind(&settings, settings.traffic_port).await?;
    let peers = bind(&settings, settings.peer_port).await?;
    let operators = bind(&settings, settings.operators_port).await?;
    let status_listener = bind(&settings, settings.status_port).await?;

    let clock: SharedClock = Arc::new(SystemClock::new());
    let start = StartNumber(clock.epoch().0);
    let timer = Timer::start();
    let platform: SharedPlatform = Arc::new(HttpPlatform::from_ip(
        settings.ip,
        settings.platform.addr,
        settings.platform.timeout_ms,
    ));
    let first = Snapshot::empty(Arc::new(settings.topology.clone()));
    let (config, snapshots) = Config::start_with_clock(first, Arc::clone(&clock));
    let recorder = Recorder::start(metric_sink(&settings)?);
    let dialer: SharedDialer = Arc::new(HttpDialer { ip: settings.ip });
    let pool = Pool::start(Arc::clone(&clock));

    let members = Members::start(membership::Parts {
        instance: settings.instance.clone(),
        config: config.clone(),
        snapshots: snapshots.clone(),
        clock: Arc::clone(&clock),
        timer: timer.clone(),
    });
    let poller = Poller {
        platform: Arc::clone(&platform),
        config: config.clone(),
        snapshots: snapshots.clone(),
        members: members.clone(),
        clock: Arc::clone(&clock),
        timer: timer.clone(),
        every_ms: settings.platform.poll_ms,
    };
    let poller = tokio::spawn(poller.serve());
    let prober = Prober {
        instance: settings.instance.clone(),
        start,
        dialer: Arc::clone(&dialer),
        config: config.clone(),
        snapshots: snapshots.clone(),
        timer: timer.clone(),
    };
    let prober = tokio::spawn(prober.serve());
    let closer = tokio::spawn(probe::close_idle(pool.clone(), snapshots.clone()));
    let cleaner = Cleaner {
        instance: settings.instance.clone(),
        platform: Arc::clone(&platform),
        clock: Arc::clone(&clock),
        snapshots: snapshots.clone(),
        timer: timer.clone(),
    };
    let cleaner = tokio::spawn(cleaner.serve());
    let exchange = Exchange::default();
    let mesh = Mesh {
        instance: settings.instance.clone(),
        start,
        ip: settings.ip,
        config: config.clone(),
        snapshots: snapshots.clone(),
        members,
        clock: Arc::clone(&clock),
        exchange: exchange.clone(),
        timer: timer.clone(),
    };
    let mesh = tokio::spawn(mesh.serve(peers));
    let operators_service = OperatorsService::new(operators::Parts {
        instance: settings.instance.clone(),
        zone: settings.zone.clone(),
        start,
        config: config.clone(),
        snapshots: snapshots.clone(),
        platform: Arc::clone(&platform),
        clock: Arc::clone(&clock),
        recorder: recorder.clone(),
        stop: stop.clone(),
    });
    let (operators_open, operators_closed) = oneshot::channel::<()>();
    let operators = tokio::spawn(
        tonic::transport::Server::builder()
            .add_service(OperatorsServer::new(operators_service))
            .serve_with_incoming_shutdown(incoming(operators), async {
                let _ = operators_closed.await;
            }),
    );
    let status =
        Status { snapshots: snapshots.clone(), recorder: recorder.clone(), stop: stop.clone() };
    let status = tokio::spawn(status::serve(status_listener, Arc::new(status)));
    let selectors = Selectors::new(SelectorParts {
        instance: settings.instance.clone(),
        zone: settings.zone.clone(),
        start,
        rule,
        clock: Arc::clone(&clock),
        snapshots: snapshots.clone(),
        exchange,
        timer: timer.clone(),
    });
    let gateway = Arc::new(Gateway::new(Parts {
        instance: settings.instance.clone(),
        zone: settings.zone.clone(),
        snapshots: snapshots.clone(),
        config: config.clone(),
        clock: Arc::clone(&clock),
        dialer,
        pool,
        claims: Claims::new(platform, Arc::clone(&clock), snapshots, &settings.instance, start),
        selectors,
        recorder,
    }));
    log::info!(instance:% = settings.instance, start:% = start; "entry instance started");
    let callers = Callers { gateway, config, instance: settings.instance.clone(), start, stop };
    callers.serve(traffic, settings.stop_delay_ms).await;
    log::info!(instance:% = settings.instance; "entry instance stopped");
    for task in [poller, prober, closer, cleaner, mesh, status] {
        task.abort();
    }
    // An operator's change that is in progress is settled, and its outcome told.
    drop(operators_open);
    let _ = time::timeout(Duration::from_millis(OPERATORS_STOP_LIMIT_MS), operators).await;
    Ok(())
}

/// Operators' connections. An answer is several small writes; without nodelay the
/// later ones wait 40 ms for the acknowledgement of the first.
fn incoming(operators: TcpListener) -> TcpIncoming {
    TcpIncoming::from(operators).with_nodelay(Some(true))
}

async fn bind(settings: &Settings, port: u16) -> Result<TcpListener, Report<RunError>> {
    let addr = SocketAddr::new(settings.ip, port);
    TcpListener::bind(addr)
        .await
        .change_context(RunError)
        .attach_with(|| format!("cannot listen on {addr}"))
}

fn metric_sink(settings: &Settings) -> Result<Arc<dyn MetricSink>, Report<RunError>> {
    let Some(addr) = settings.statsd_addr else {
        return Ok(Arc::new(NullSink));
    };
    match StatsdSink::new(addr) {
        Ok(sink) => Ok(Arc::new(sink)),
        Err(e) => Err(Report::new(RunError).attach(format!("cannot send metrics to {addr}: {e}"))),
    }
}
