//! The listeners of an entry instance, all bound before any task is started.

use std::net::SocketAddr;

use error_stack::{Report, ResultExt};
use tokio::net::TcpListener;

use crate::{run::RunError, settings::Settings};

/// Bound listeners that do not accept connections yet.
pub(super) struct Ports {
    pub(super) traffic: TcpListener,
    pub(super) peers: TcpListener,
    pub(super) operators: TcpListener,
    pub(super) status: TcpListener,
}

impl Ports {
    pub(super) async fn open(settings: &Settings) -> Result<Ports, Report<RunError>> {
        Ok(Ports {
            traffic: bind(settings, settings.traffic_port).await?,
            peers: bind(settings, settings.peer_port).await?,
            operators: bind(settings, settings.operators_port).await?,
            status: bind(settings, settings.status_port).await?,
        })
    }
}

async fn bind(settings: &Settings, port: u16) -> Result<TcpListener, Report<RunError>> {
    let addr = SocketAddr::new(settings.ip, port);
    TcpListener::bind(addr)
        .await
        .change_context(RunError)
        .attach_with(|| format!("cannot listen on {addr}"))
}
