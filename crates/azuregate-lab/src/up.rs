//! Runs all of an example in one process.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use azuregate::{
    dispatch::Rule,
    platform::{Commit, Expect, Table, Write},
    run, stop,
};
use tokio::{net::TcpListener, task::JoinHandle, time};

use crate::{
    backends::{self, Backend},
    client::{self, ClientError},
    example::{EntryExample, Example},
    platform::{self, Server},
};

/// A running example.
pub struct Lab {
    /// The platform's stand-in.
    pub platform: Arc<Server>,
    /// The backend servers of all services.
    pub backends: Vec<Arc<Backend>>,
    /// The entry instances.
    pub entries: Vec<Entry>,
    status_addrs: Vec<SocketAddr>,
    stand_ins: Vec<JoinHandle<()>>,
}

/// A running entry instance.
pub struct Entry {
    /// As in the example.
    pub example: EntryExample,
    stopper: stop::Stopper,
    task: JoinHandle<()>,
}

/// Starts everything that an example describes.
///
/// # Errors
///
/// When a port cannot be opened.
pub async fn start(example: &Example) -> Result<Lab, ClientError> {
    start_with(example, &Rule::default()).await
}

/// Starts everything that an example describes, with entry instances that
/// choose backend servers by `rule`.
///
/// # Errors
///
/// When a port cannot be opened.
pub async fn start_with(example: &Example, rule: &Rule) -> Result<Lab, ClientError> {
    let mut lab = stand_ins(example).await?;
    for entry in &example.entries {
        lab.entries.push(start_entry(example, entry, rule.clone()));
        lab.status_addrs.push(SocketAddr::new(entry.ip, example.ports.status));
    }
    Ok(lab)
}

/// Starts the platform and the backend servers of an example, without entry
/// instances.
///
/// # Errors
///
/// When a port cannot be opened.
pub async fn stand_ins(example: &Example) -> Result<Lab, ClientError> {
    let server = start_platform(example);
    let listener = TcpListener::bind(example.platform_addr).await?;
    let mut stand_ins = vec![spawn(platform::serve(listener, Arc::clone(&server)))];
    let backends = make_backends(example);
    for backend in &backends {
        let listener = TcpListener::bind(backend.server.addr).await?;
        stand_ins.push(spawn(backends::serve(listener, Arc::clone(backend))));
    }
    Ok(Lab { platform: server, backends, entries: Vec::new(), status_addrs: Vec::new(), stand_ins })
}

/// A platform that holds the first policy of each service.
pub fn start_platform(example: &Example) -> Arc<Server> {
    let server = Server::new(example.instance_list());
    for service in &example.services {
        let policy = example.first_policy(service);
        let write = Write {
            table: Table::Policy,
            key: policy.service.to_string(),
            expect: Expect::Absent,
            value: serde_json::to_value(&policy).ok(),
        };
        let commit = server.store().transact(&[write]);
        debug_assert!(matches!(commit, Commit::Done(_)), "a new store has no rows");
    }
    Arc::new(server)
}

/// The backend servers of all services.
pub fn make_backends(example: &Example) -> Vec<Arc<Backend>> {
    let of_service = |service: &crate::example::ServiceExample| {
        let (connections, service_ms) = (service.connections, service.service_ms);
        example
            .backends(service)
            .into_iter()
            .map(move |server| Arc::new(Backend::new(server, connections, service_ms)))
    };
    example.services.iter().flat_map(of_service).collect()
}

fn spawn<F>(serve: F) -> JoinHandle<()>
where
    F: Future<Output = std::convert::Infallible> + Send + 'static,
{
    tokio::spawn(async move {
        serve.await;
    })
}

fn start_entry(example: &Example, entry: &EntryExample, rule: Rule) -> Entry {
    let (stopper, stop) = stop::channel();
    let settings = example.settings(entry);
    let task = tokio::spawn(async move {
        if let Err(e) = run::run_with(settings, stop, rule).await {
            eprintln!("{e:?}");
        }
    });
    Entry { example: entry.clone(), stopper, task }
}

impl Lab {
    /// Waits until every entry instance says that it is ready.
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

    /// Stops the entry instances as planned, then the stand-ins.
    pub async fn stop(self) {
        for entry in &self.entries {
            entry.stopper.stop();
        }
        for entry in self.entries {
            let _ = entry.task.await;
        }
        for task in &self.stand_ins {
            task.abort();
        }
    }

    /// Waits until a stand-in ends, which none does by itself.
    pub async fn wait(&mut self) {
        for task in &mut self.stand_ins {
            let _ = task.await;
        }
    }
}

async fn is_ready(addr: SocketAddr) -> bool {
    client::get(addr, "/ready").await.is_ok_and(|answer| answer.status().is_success())
}
