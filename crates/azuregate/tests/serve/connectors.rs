//! Connectors to backend servers that delay or refuse connections.

use std::{
    io,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use async_trait::async_trait;
use azuregate::serve::{Connector, TcpConnector};
use tokio::{net::TcpStream, time};

use crate::cluster::{Instance, TestCluster, eventually};

/// Opens connections after a delay.
pub(crate) struct SlowConnector {
    pub(crate) connector: TcpConnector,
    pub(crate) delay: Duration,
}

#[async_trait]
impl Connector for SlowConnector {
    async fn connect(&self, addr: SocketAddr) -> io::Result<TcpStream> {
        time::sleep(self.delay).await;
        self.connector.connect(addr).await
    }
}

/// Refuses connections while `is_cut` is set.
#[derive(Clone)]
pub(crate) struct CutConnector {
    pub(crate) connector: TcpConnector,
    pub(crate) is_cut: Arc<AtomicBool>,
}

#[async_trait]
impl Connector for CutConnector {
    async fn connect(&self, addr: SocketAddr) -> io::Result<TcpStream> {
        match self.is_cut.load(Ordering::Relaxed) {
            true => Err(io::ErrorKind::ConnectionRefused.into()),
            false => self.connector.connect(addr).await,
        }
    }
}

/// Starts an instance that reaches backend servers through a connector made from the usual one, and
/// waits until it is ready.
pub(crate) async fn start_with(
    cluster: &TestCluster,
    number: u8,
    connector: impl FnOnce(TcpConnector) -> Box<dyn Connector>,
) -> Instance {
    let ip = format!("{}.{number}", cluster.network).parse().unwrap();
    let text = cluster.settings_text(number);
    let connector = connector(TcpConnector { ip });
    let instance = cluster.start_instance_with_connector(number, &text, connector);
    eventually("the instance is ready", async || instance.readiness().await == 200).await;
    instance
}
