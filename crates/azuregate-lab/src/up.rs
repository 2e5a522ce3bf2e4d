//! Runs an example deployment in one process.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use azuregate::{
    dispatch::RoutingMode,
    platform::{Commit, Expect, Table, Write},
    run, stop,
};
use azuregate_core::names::ServiceName;
use tokio::{net::TcpListener, task::JoinHandle, time};

use crate::{
    backends::{self, Backend},
    client::{self, ClientError},
    example::{EntryExample, Example},
    network::{Network, Relay},
    platform::{self, Server},
};

/// A running example.
pub struct Lab {
    /// The simulated platform.
    pub platform: Arc<Server>,
    /// The backend servers of all services.
    pub backends: Vec<Arc<Backend>>,
    /// The entry instances.
    pub entries: Vec<Entry>,
    /// The example that is running.
    pub example: Example,
    status_addrs: Vec<SocketAddr>,
    simulator_tasks: Vec<JoinHandle<()>>,
}

/// A running entry instance.
pub struct Entry {
    /// The instance's entry in the example.
    pub example: EntryExample,
    stopper: stop::StopHandle,
    task: JoinHandle<()>,
}

/// Options for running an example.
#[derive(Clone, Debug)]
pub struct Options {
    /// How entry instances choose backend servers.
    pub rule: RoutingMode,
    /// Whether to simulate the network delays of the example.
    pub delays: bool,
    /// Seed of the service times.
    pub seed: u64,
}

impl Default for Options {
    fn default() -> Options {
        Options { rule: RoutingMode::default(), delays: false, seed: 1 }
    }
}

/// Starts an example with the default options.
///
/// # Errors
///
/// When a port cannot be opened.
pub async fn start(example: &Example) -> Result<Lab, ClientError> {
    start_with(example, &Options::default()).await
}

/// Starts an example with `options`.
///
/// # Errors
///
/// When a port cannot be opened.
pub async fn start_with(example: &Example, options: &Options) -> Result<Lab, ClientError> {
    let example = Example { relays: options.delays, ..example.clone() };
    let mut lab = start_simulators_with(&example, options).await?;
    lab.start_entries(&options.rule);
    Ok(lab)
}

/// Starts the platform and the backend servers of an example, without entry
/// instances, with the default options.
///
/// # Errors
///
/// When a port cannot be opened.
pub async fn start_simulators(example: &Example) -> Result<Lab, ClientError> {
    start_simulators_with(example, &Options::default()).await
}

/// Starts the platform, the backend servers and, if [`Example::relays`] is set, the
/// relays of an example, without entry instances.
///
/// # Errors
///
/// When a port cannot be opened.
pub async fn start_simulators_with(
    example: &Example,
    options: &Options,
) -> Result<Lab, ClientError> {
    let network = options.delays.then(|| Arc::new(example.network()));
    let (platform, task) = serve_platform(example, network.as_ref()).await?;
    let (backends, mut simulator_tasks) =
        serve_backends(example, network.as_ref(), options.seed).await?;
    simulator_tasks.push(task);
    if let Some(network) = network.filter(|_| example.relays) {
        start_relays(example, &network, &mut simulator_tasks).await?;
    }
    Ok(Lab {
        platform,
        backends,
        entries: Vec::new(),
        example: example.clone(),
        status_addrs: Vec::new(),
        simulator_tasks,
    })
}

/// Starts the simulated platform of an example.
///
/// # Errors
///
/// When its port cannot be opened.
pub async fn serve_platform(
    example: &Example,
    network: Option<&Arc<Network>>,
) -> Result<(Arc<Server>, JoinHandle<()>), ClientError> {
    let mut server = build_platform(example);
    if let Some(network) = network {
        server = server.with_network(Arc::clone(network), example.platform_zone());
    }
    let server = Arc::new(server);
    let listener = TcpListener::bind(example.platform_addr).await?;
    let task = spawn(platform::serve(listener, Arc::clone(&server)));
    Ok((server, task))
}

/// Starts the backend servers of an example, with a seed for their service times.
///
/// # Errors
///
/// When a port cannot be opened.
pub async fn serve_backends(
    example: &Example,
    network: Option<&Arc<Network>>,
    seed: u64,
) -> Result<(Vec<Arc<Backend>>, Vec<JoinHandle<()>>), ClientError> {
    let (mut backends, mut tasks) = (Vec::new(), Vec::new());
    for mut backend in build_backends(example, seed) {
        if let Some(network) = network {
            backend = backend.with_network(Arc::clone(network));
        }
        let listener = TcpListener::bind(backend.server.addr).await?;
        let backend = Arc::new(backend);
        tasks.push(tokio::spawn(backends::serve(listener, Arc::clone(&backend))));
        backends.push(backend);
    }
    Ok((backends, tasks))
}

async fn start_relays(
    example: &Example,
    network: &Arc<Network>,
    simulator_tasks: &mut Vec<JoinHandle<()>>,
) -> Result<(), ClientError> {
    for entry in &example.entries {
        for (port, relay_port) in example.relayed_ports() {
            let listener = TcpListener::bind(SocketAddr::new(entry.ip, relay_port)).await?;
            let relay = Relay {
                network: Arc::clone(network),
                zone: entry.zone.clone(),
                upstream_addr: SocketAddr::new(entry.ip, port),
            };
            simulator_tasks.push(spawn(relay.serve(listener)));
        }
    }
    Ok(())
}

/// Returns a platform that holds the initial policy of each service.
pub fn build_platform(example: &Example) -> Server {
    let server = Server::new(example.instance_list());
    for service in &example.services {
        let policy = example.initial_policy(service);
        let write = Write {
            table: Table::Policy,
            key: policy.service.to_string(),
            expect: Expect::Absent,
            value: serde_json::to_value(&policy).ok(),
        };
        let commit = server.store().transact(&[write]);
        debug_assert!(matches!(commit, Commit::Done(_)), "a new store has no rows");
    }
    server
}

/// Returns the backend servers of all services, with a seed for their service
/// times.
pub fn build_backends(example: &Example, seed: u64) -> Vec<Backend> {
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut backends = Vec::new();
    for service in &example.services {
        for server in example.backends(service) {
            let (connections, behaviour) = (service.connections, service.behaviour());
            backends.push(Backend::new(server, connections, behaviour, rng.u64(..)));
        }
    }
    backends
}

fn spawn<F>(serve: F) -> JoinHandle<()>
where
    F: Future<Output = std::convert::Infallible> + Send + 'static,
{
    tokio::spawn(async move {
        serve.await;
    })
}

fn start_entry(example: &Example, entry: &EntryExample, rule: RoutingMode) -> Entry {
    let (stopper, stop) = stop::channel();
    let settings = example.settings(entry);
    let task = tokio::spawn(async move {
        if let Err(e) = run::run_with_rule(settings, stop, rule).await {
            eprintln!("{e:?}");
        }
    });
    Entry { example: entry.clone(), stopper, task }
}

impl Lab {
    /// Starts the entry instances, in this process.
    pub fn start_entries(&mut self, rule: &RoutingMode) {
        for entry in &self.example.entries {
            self.entries.push(start_entry(&self.example, entry, rule.clone()));
            self.status_addrs.push(SocketAddr::new(entry.ip, self.example.ports.status));
        }
    }

    /// Waits until every entry instance reports that it is ready.
    ///
    /// # Errors
    ///
    /// When one is not ready after ten seconds.
    pub async fn wait_ready(&self) -> Result<(), ClientError> {
        for &addr in &self.status_addrs {
            let mut tries = 0;
            while !is_ready(addr).await {
                tries += 1;
                if tries > 100 {
                    return Err(format!("{addr} is not ready after ten seconds").into());
                }
                time::sleep(Duration::from_millis(100)).await;
            }
        }
        Ok(())
    }

    /// Performs a planned stop of the entry instances, then stops the simulators.
    pub async fn stop(self) {
        self.stop_within(Duration::MAX).await;
    }

    /// As [`Lab::stop`], but aborts entry instances that have not stopped after
    /// `timeout`.
    pub async fn stop_within(self, timeout: Duration) {
        for entry in &self.entries {
            entry.stopper.stop();
        }
        let start = Instant::now();
        for entry in self.entries {
            let mut task = entry.task;
            let remaining = timeout.saturating_sub(start.elapsed());
            if time::timeout(remaining, &mut task).await.is_err() {
                task.abort();
                let _ = task.await;
            }
        }
        for task in self.simulator_tasks {
            task.abort();
            let _ = task.await;
        }
        let ports = self.example.ports;
        for entry in &self.example.entries {
            for port in [ports.traffic, ports.peers, ports.operators, ports.status] {
                wait_port_free(SocketAddr::new(entry.ip, port)).await;
            }
        }
    }

    /// Returns the backend servers of one service.
    pub fn backends_of<'a>(
        &'a self,
        service: &'a ServiceName,
    ) -> impl Iterator<Item = &'a Arc<Backend>> {
        self.backends.iter().filter(move |backend| backend.server.service == *service)
    }

    /// Returns the number of executions of each request over all backend servers,
    /// by request ID.
    pub fn executions(&self) -> HashMap<String, u64> {
        let mut executions = HashMap::new();
        for backend in &self.backends {
            for (name, count) in &backend.counts().ran {
                *executions.entry(name.clone()).or_default() += count;
            }
        }
        executions
    }

    /// Waits for the tasks of the simulators, which do not end by themselves.
    pub async fn wait(&mut self) {
        for task in &mut self.simulator_tasks {
            let _ = task.await;
        }
    }
}

/// Waits until a port can be bound again, since the tasks of an instance end
/// shortly after it has stopped.
async fn wait_port_free(addr: SocketAddr) {
    for _ in 0..200 {
        if TcpListener::bind(addr).await.is_ok() {
            return;
        }
        time::sleep(Duration::from_millis(10)).await;
    }
}

async fn is_ready(addr: SocketAddr) -> bool {
    client::get(addr, "/ready").await.is_ok_and(|answer| answer.status().is_success())
}
