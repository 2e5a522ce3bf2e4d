//! Runs an entry instance: opens its ports and starts its tasks.

use std::{convert::Infallible, fmt, net::SocketAddr, sync::Arc, time::Duration};

use azuregate_core::{names::StartNumber, snapshot::Snapshot};
use azuregate_schema::v1::operators_server::OperatorsServer;
use error_stack::{Report, ResultExt};
use futures_util::future::BoxFuture;
use http_body_util::BodyExt;
use hyper::{Request, Response, server::conn::http1, service::service_fn};
use hyper_util::{
    rt::{TokioIo, TokioTimer},
    server::graceful::GracefulShutdown,
};
use tokio::{net::TcpListener, time};
use tokio_stream::wrappers::TcpListenerStream;

use crate::{
    backend::{HttpDialer, Pool},
    body::Body,
    claims::Claims,
    clock::{SharedClock, SystemClock},
    config::{Change, Config, Source},
    dispatch::{Exchange, Rule},
    gateway::{Gateway, Parts},
    metrics::{MetricSink, NullSink, Recorder, StatsdSink},
    operators::{self, OperatorsService},
    peer::Mesh,
    platform::{HttpPlatform, SharedPlatform, Table},
    selector::{SelectorParts, Selectors},
    settings::Settings,
    status::{self, Status},
    stop::Stop,
    timer::Timer,
};

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
pub async fn run_with(
    settings: Settings,
    mut stop: Stop,
    rule: Rule,
) -> Result<(), Report<RunError>> {
    let traffic = bind(&settings, settings.traffic_port).await?;
    let peers = bind(&settings, settings.peer_port).await?;
    let operators = bind(&settings, settings.operators_port).await?;
    let status_listener = bind(&settings, settings.status_port).await?;

    let clock: SharedClock = Arc::new(SystemClock::new());
    let start = StartNumber(clock.epoch().0);
    let timer = Timer::start();
    let platform: SharedPlatform =
        Arc::new(HttpPlatform::new(settings.platform.addr, settings.platform.timeout_ms));
    let (config, snapshots) = Config::start(Snapshot::empty(Arc::new(settings.topology.clone())));
    let recorder = Recorder::start(metric_sink(&settings)?);

    let poller = tokio::spawn(poll(
        Arc::clone(&platform),
        config.clone(),
        timer.clone(),
        settings.platform.poll_ms,
    ));
    let exchange = Exchange::default();
    let mesh = Mesh {
        instance: settings.instance.clone(),
        start,
        config: config.clone(),
        snapshots: snapshots.clone(),
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
    let operators = tokio::spawn(
        tonic::transport::Server::builder()
            .add_service(OperatorsServer::new(operators_service))
            .serve_with_incoming(TcpListenerStream::new(operators)),
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
        config,
        clock: Arc::clone(&clock),
        dialer: Arc::new(HttpDialer { ip: settings.ip }),
        pool: Pool::start(Arc::clone(&clock)),
        claims: Claims::new(platform, Arc::clone(&clock), snapshots, &settings.instance, start),
        selectors,
        recorder,
    }));
    log::info!(instance:% = settings.instance, start:% = start; "entry instance started");
    serve_callers(traffic, gateway, &mut stop, settings.stop_delay_ms).await;
    log::info!(instance:% = settings.instance; "entry instance stopped");
    for task in [poller, mesh, status] {
        task.abort();
    }
    operators.abort();
    Ok(())
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

/// Reads policies and the instance list from the platform at each tick.
async fn poll(platform: SharedPlatform, config: Config, timer: Timer, every_ms: u64) {
    let mut ticks = timer.subscribe(every_ms);
    let mut since_sequence = 0;
    let mut listed = false;
    loop {
        match platform.instances().await {
            Ok(list) => {
                config.change(Change::List(list));
                listed = true;
            }
            Err(e) => log::warn!(error:% = e; "instance list not read"),
        }
        match platform.changes(Table::Policy, since_sequence).await {
            Ok(changes) => {
                since_sequence = changes.sequence;
                for row in changes.rows {
                    apply_row(&config, row);
                }
                // Without the list every request would be refused for want of a
                // backend server, by an instance that says it is ready.
                if listed {
                    config.change(Change::Confirmed);
                }
            }
            Err(e) => log::warn!(error:% = e; "policies not read"),
        }
        if ticks.recv().await.is_none() {
            return;
        }
    }
}

fn apply_row(config: &Config, row: crate::platform::Row) {
    match serde_json::from_value(row.value) {
        Ok(policy) => config.change(Change::Policy(policy, Source::Platform)),
        Err(e) => log::error!(key:% = row.key, error:% = e; "policy row not understood"),
    }
}

async fn serve_callers(
    listener: TcpListener,
    gateway: Arc<Gateway>,
    stop: &mut Stop,
    stop_delay_ms: u64,
) {
    let graceful = GracefulShutdown::new();
    let stopped = async {
        stop.wait().await;
        // Callers that cached this entry still come; closing the listener first
        // would cut them off.
        time::sleep(Duration::from_millis(stop_delay_ms)).await;
    };
    tokio::pin!(stopped);
    loop {
        tokio::select! {
            accepted = listener.accept() => {
                let Ok((stream, caller)) = accepted else { continue };
                let _ = stream.set_nodelay(true);
                let gateway = Arc::clone(&gateway);
                let service = service_fn(move |request: Request<hyper::body::Incoming>| {
                    let request = request.map(|body| body.map_err(Into::into).boxed_unsync());
                    answer(Arc::clone(&gateway), request, caller)
                });
                let conn = http1::Builder::new()
                    .timer(TokioTimer::new())
                    .serve_connection(TokioIo::new(stream), service);
                let conn = graceful.watch(conn);
                tokio::spawn(async move {
                    if let Err(e) = conn.await {
                        log::debug!(caller:% = caller, error:% = e; "caller's connection ended");
                    }
                });
            }
            () = &mut stopped => break,
        }
    }
    drop(listener);
    graceful.shutdown().await;
}

fn answer(
    gateway: Arc<Gateway>,
    request: Request<Body>,
    caller: SocketAddr,
) -> BoxFuture<'static, Result<Response<Body>, Infallible>> {
    Box::pin(async move { Ok(gateway.handle(request, caller).await) })
}
